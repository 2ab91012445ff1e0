import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import {
  type AddressInfo,
  connect,
  createServer as createTcpServer,
  type Socket,
} from "node:net";
import { afterEach, test } from "node:test";
import { type Clock, ManualClock, RuntimeClock } from "heatherarch-core";
import {
  ExchangeError,
  type SendPurpose,
  TargetConnections,
  type TargetExchange,
} from "../../mod.ts";
import { buildTarget } from "./fixtures.ts";

/** Below the idle timeout of both ends, which would close the connections as well, milliseconds. */
const MAX_CLOSE_MS = 2000;
const REQUEST = { path: "/", method: "GET", headers: [], body: null };

let server: Server | undefined;
let connections: TargetConnections | undefined;

afterEach(async () => {
  await connections?.close();
  server?.close();
});

/** Builds connections to a server that counts requests, with a check of whether one may be sent. */
async function build(
  findBlockReason: (purpose: SendPurpose) => string | undefined,
  clock: Clock = new RuntimeClock(),
) {
  let requests = 0;
  server = createServer((_request, response) => {
    requests++;
    response.end("ok");
  });
  await new Promise<void>((resolve) =>
    server?.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  const target = buildTarget("t", { address: `127.0.0.1:${port}` });
  connections = new TargetConnections({
    clock,
    findBlockReason: (_target, purpose) => findBlockReason(purpose),
  });
  return { target, connections, count: () => requests };
}

test("work for a blocked target is not sent, and fails as withheld", async () => {
  let blockReason: string | undefined = "the target is leaving";
  const { target, connections, count } = await build(() => blockReason);
  await assert.rejects(
    connections.send(target, REQUEST).head,
    (error: ExchangeError) =>
      error.fault === "withheld" && error.message === "the target is leaving",
  );
  assert.equal(connections.hasCapacity(target, 1), true);
  assert.equal(count(), 0);
  blockReason = undefined;
  assert.equal((await connections.send(target, REQUEST).head).status, 200);
});

test("resources of an earlier request may be released at a target that is blocked for work", async () => {
  const { target, connections, count } = await build((purpose) =>
    purpose === "work" ? "the target is leaving" : undefined
  );
  const exchange = connections.send(target, REQUEST, { purpose: "release" });
  assert.equal((await exchange.head).status, 200);
  assert.equal(count(), 1);
});

// Guards against connections that count as open after the target has closed them.
test("a connection is idle between requests, until it is closed", async () => {
  const { target, connections } = await build(() => undefined);
  assert.equal(connections.hasIdle(target), false);
  const exchange = connections.send(target, REQUEST);
  await exchange.head;
  await exchange.ended;
  assert.equal(connections.hasIdle(target), true);
  server?.closeAllConnections();
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.equal(connections.hasIdle(target), false);
});

test("VMs share a target's connections evenly, or by the runs that they have there", () => {
  const target = buildTarget("t");
  const build = (runs: number | undefined): TargetConnections => {
    const created = new TargetConnections({ countRuns: () => runs });
    created.setLiveVms(10);
    return created;
  };
  assert.equal(build(undefined).computeConnectionLimit(target, 100), 8);
  assert.equal(build(0).computeConnectionLimit(target, 100), 8);
  // All other VMs together have 90 runs, so this one keeps the even half of its share.
  assert.equal(build(90).computeConnectionLimit(target, 100), 4);
  assert.equal(build(90).computeConnectionLimit(target, undefined), 32);
});

test("the shares of all VMs add up to the usable connections of a target", () => {
  const runsByVm = [60, 5, 5, 0, 0, 0, 0, 0, 0, 0];
  const all = runsByVm.reduce((sum, runs) => sum + runs, 0);
  const limits = runsByVm.map((runs) => {
    const created = new TargetConnections({ countRuns: () => all });
    created.setLiveVms(runsByVm.length);
    const never = { path: "/", method: "GET", headers: [], body: null };
    const target = buildTarget("t", { address: "127.0.0.1:9" });
    for (let i = 0; i < runs; i++) {
      void created.send(target, never).ended.catch(() => undefined);
    }
    return created.computeConnectionLimit(target, 1000);
  });
  const sum = limits.reduce((total, limit) => total + limit, 0);
  assert.ok(sum <= 800 && sum > 780, `${limits}`);
  assert.ok(limits[0] > 300, `${limits}`);
});

/** Opens a connection, and returns both of its ends. The accepted one is paused. */
async function openConnection(): Promise<[Socket, Socket]> {
  const listener = createTcpServer({ pauseOnConnect: true });
  await new Promise<void>((resolve) =>
    listener.listen(0, "127.0.0.1", resolve)
  );
  const accepted = new Promise<Socket>((resolve) =>
    listener.once("connection", resolve)
  );
  const { port } = listener.address() as AddressInfo;
  const client = connect(port, "127.0.0.1");
  const ends: [Socket, Socket] = [client, await accepted];
  listener.close();
  return ends;
}

/** Resolves once a connection is closed; rejects if it stays open. */
async function awaitClose(socket: Socket): Promise<void> {
  if (socket.destroyed) return;
  await once(socket, "close", { signal: AbortSignal.timeout(MAX_CLOSE_MS) });
}

function blockEventLoop(ms: number): void {
  const untilMs = performance.now() + ms;
  while (performance.now() < untilMs);
}

// Guards against a request that is written to a connection which opens while the disconnect of the
// client, which has arrived as well, is not read yet.
test("a request whose client left before its connection opened is not written", async () => {
  const { target, count } = await build(() => undefined);
  const [client, accepted] = await openConnection();
  const exchange = connections!.send(target, REQUEST);
  accepted.once("end", () => exchange.abort("client disconnected"));
  // By then undici has begun to open the connection, and the event loop has not read that it is open.
  setImmediate(() => {
    accepted.resume();
    client.destroy();
    blockEventLoop(20);
  });
  const end = await exchange.ended;
  assert.ok(end !== "ended" && end.fault === "notSent");
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.equal(count(), 0);
});

// Guards against a request that undici writes to a kept connection after a stall, before what has arrived
// meanwhile is read.
test("a request is withheld if the process stalls before it is written", async () => {
  const { target, count } = await build(() => undefined);
  const first = connections!.send(target, REQUEST);
  await first.readBody({ maxBytes: 100, timeoutMs: 1000 });
  await new Promise((resolve) => setTimeout(resolve, 20));
  const second = connections!.send(target, REQUEST);
  blockEventLoop(300);
  const end = await second.ended;
  assert.ok(end !== "ended" && end.fault === "withheld");
  assert.equal(count(), 1);
  assert.equal((await connections!.send(target, REQUEST).head).status, 200);
});

// Guards against a report that counts as missing as the process stalled, though it starts nothing.
test("a report is sent although the process stalls before it is written", async () => {
  const { target } = await build(() => undefined);
  const send = (): TargetExchange =>
    connections!.send(target, REQUEST, { purpose: "report" });
  await send().readBody({ maxBytes: 100, timeoutMs: 1000 });
  await new Promise((resolve) => setTimeout(resolve, 20));
  const second = send();
  blockEventLoop(300);
  assert.equal((await second.head).status, 200);
});

test("it is known whether a connection from before a time is still open", async () => {
  const { target } = await build(() => undefined);
  const beforeMs = performance.now();
  await connections!.send(target, REQUEST, { purpose: "report" }).ended;
  await new Promise((resolve) => setTimeout(resolve, 20));
  const nowMs = performance.now();
  assert.equal(await connections!.checkOpenSince(target, beforeMs), false);
  assert.equal(await connections!.checkOpenSince(target, nowMs), true);
  server?.closeAllConnections();
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.equal(await connections!.checkOpenSince(target, nowMs), false);
});

// Guards against a late copy of a response without an id that a call takes for its own.
test("control requests have a few connections of their own, which are closed with the others", async () => {
  const { target, count } = await build(
    () => undefined,
    // No request is withheld as late.
    new ManualClock(),
  );
  const sockets = new Set<Socket>();
  server?.on("request", ({ socket }) => sockets.add(socket));
  const send = (purpose: SendPurpose): TargetExchange =>
    connections!.send(target, REQUEST, { purpose });
  const receive = async (exchange: TargetExchange): Promise<void> => {
    await exchange.readBody({ maxBytes: 100, timeoutMs: 1000 });
  };
  await receive(send("work"));
  assert.equal(sockets.size, 1);
  const control = Array.from(
    { length: 6 },
    (_, i) => send(i % 2 === 0 ? "control" : "release"),
  );
  assert.equal(connections!.hasCapacity(target, 7), false);
  await Promise.all(control.map(receive));
  assert.equal(count(), 7);
  assert.equal(sockets.size, 3);
  assert.equal(connections!.findLatestOpened(target), 1);
  connections!.renew([target.id]);
  await Promise.all([...sockets].map(awaitClose));
});

// Guards against a late copy of an earlier response to the same call.
test("a connection that a request needs for itself is used once", async () => {
  const { target } = await build(() => undefined);
  const sockets = new Set<Socket>();
  server?.on("request", ({ socket }) => sockets.add(socket));
  for (const needsOwnConnection of [false, true, true, false]) {
    const exchange = connections!.send(target, REQUEST, { needsOwnConnection });
    await exchange.readBody({ maxBytes: 100, timeoutMs: 1000 });
  }
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.deepEqual([...sockets].map(({ destroyed }) => destroyed), [
    false,
    true,
    true,
  ]);
});

// Guards against a check of an incarnation that holds for the connections after a renewal, as their
// count is the same.
test("the number of the latest connection rises over all renewals", async () => {
  const { target } = await build(() => undefined);
  assert.equal(connections!.findLatestOpened(target), undefined);
  const open = async (): Promise<number> => {
    await connections!.send(target, REQUEST).ended;
    return connections!.findLatestOpened(target) ?? NaN;
  };
  const first = await open();
  connections!.renew([target.id]);
  assert.equal(connections!.findLatestOpened(target), undefined);
  assert.ok(await open() > first);
});
