import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import { afterEach, test } from "node:test";
import { RuntimeClock } from "heatherarch-core";
import {
  CacheSurvey,
  type CallCodec,
  MemoryEventLog,
  PrefixIndex,
  TargetConnections,
} from "../../mod.ts";
import { buildEngine } from "./fixtures.ts";

let server: Server | undefined;
let connections: TargetConnections | undefined;

afterEach(async () => {
  await connections?.close();
  server?.close();
});

/** Starts an engine that responds with the ids of its cached prefixes and counts requests. */
async function startEngine(
  prefixIds: readonly string[],
): Promise<{ address: string; countRequests: () => number }> {
  let requestCount = 0;
  server = createServer((_request, response) => {
    requestCount++;
    response.end(JSON.stringify(prefixIds));
  });
  await new Promise<void>((resolve) => server?.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as { port: number };
  return { address: `127.0.0.1:${port}`, countRequests: () => requestCount };
}

function buildSurvey(address: string, index: PrefixIndex): CacheSurvey {
  connections = new TargetConnections();
  const codec = {
    encodeCacheListRequest: () => ({
      path: "/parts",
      method: "GET",
      headers: [],
      body: null,
    }),
    decodeCacheList: (body: Buffer) => JSON.parse(body.toString()) as string[],
  } as unknown as CallCodec;
  return new CacheSurvey({
    vmId: "vm-a",
    clock: new RuntimeClock(),
    codec,
    prefixIndex: index,
    connections,
    events: new MemoryEventLog(),
    listPrefillEngines: () => [buildEngine("e1", { address })],
    listParticipants: () => ["vm-a"],
  });
}

test("an engine is surveyed although a call has already recorded it as a holder", async () => {
  const engine = await startEngine(["k1", "k2"]);
  const index = new PrefixIndex();
  index.recordHolder("k9", "e1", "reading", performance.now());
  await buildSurvey(engine.address, index).run();
  assert.equal(engine.countRequests(), 1);
  for (const key of ["k1", "k2"]) {
    assert.deepEqual(index.listHolders(key).map(({ target }) => target), [
      "e1",
    ]);
  }
});

test("an engine that another VM has surveyed is not queried again", async () => {
  const engine = await startEngine(["k1"]);
  const other = new PrefixIndex();
  other.markSurveyed("e1");
  const index = new PrefixIndex();
  index.applyPeerUpdates(other.listUpdates(0).updates, performance.now());
  await buildSurvey(engine.address, index).run();
  assert.equal(engine.countRequests(), 0);
});

test("a VM that is no coordinator queries no engine", async () => {
  const engine = await startEngine(["k1"]);
  const index = new PrefixIndex();
  await buildSurvey(engine.address, index).run(() => false);
  assert.equal(engine.countRequests(), 0);
});

test("a survey is sent to peers even after many later prefix updates", () => {
  const index = new PrefixIndex({ maxKeys: 10 });
  index.markSurveyed("e1");
  for (let i = 0; i < 50; i++) index.recordHolder(`k${i}`, "e2", "read", i);
  const peer = new PrefixIndex();
  peer.applyPeerUpdates(index.listUpdates(0).updates, 100);
  assert.equal(peer.isSurveyed("e1"), true);
  index.forgetTarget("e1");
  assert.equal(index.isSurveyed("e1"), false);
});
