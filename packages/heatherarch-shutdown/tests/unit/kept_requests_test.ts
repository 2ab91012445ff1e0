import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import {
  buildRequest,
  type DrainedClient,
  DrainedServer,
} from "./drained_server.ts";

const BOUND = { timeout: 10_000 };
const REQUESTS = 40;
/** The parser, the connection and the test hold the last ones. */
const MAX_KEPT = 4;

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

/** Sends all requests, at most `depth` of them ahead of their responses. Returns references to them. */
async function serveRequests(
  server: DrainedServer,
  client: DrainedClient,
  depth: number,
): Promise<WeakRef<object>[]> {
  const references: WeakRef<object>[] = [];
  for (let sent = 0; sent < REQUESTS; sent += depth) {
    client.received = "";
    client.send(buildRequest("/").repeat(depth));
    await server.awaitRequests(depth);
    for (let index = 0; index < depth; index++) {
      const { request, response } = server.requests[index];
      references.push(new WeakRef(request), new WeakRef(response));
      server.respond(index);
    }
    while (client.countResponses(200) < depth) await sleep(1);
    server.requests.length = 0;
  }
  return references;
}

async function countKept(context: TestContext, depth: number) {
  const server = new DrainedServer(context);
  await server.start();
  const client = await server.connect(context);
  const references = await serveRequests(server, client, depth);
  // References are kept until the turn in which they were read has ended.
  await sleep(10);
  collectGarbage();
  const kept = references.filter((reference) => reference.deref());
  assert.equal(server.drainer.openConnections, 1);
  return kept.length;
}

// Guards against a connection that keeps all of its requests and responses for as long as it is open.
test("releases requests whose responses have ended", BOUND, async (context) => {
  const kept = await countKept(context, 1);
  assert.ok(kept <= MAX_KEPT, `${kept} of ${2 * REQUESTS} are kept`);
});

// Guards against the same through requests that wait for the response before them.
test("releases pipelined requests", BOUND, async (context) => {
  const kept = await countKept(context, 2);
  assert.ok(kept <= 2 * MAX_KEPT, `${kept} of ${2 * REQUESTS} are kept`);
});
