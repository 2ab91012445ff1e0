import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import { RuntimeClock, sleep } from "heatherarch-core";
import {
  type DeclineReason,
  type Link,
  type LinkIdentity,
  Membership,
  type MeshMessage,
  MeshNode,
} from "heatherarch-mesh";
import { findFreePorts } from "heatherarch-standins";
import {
  HandoverClient,
  type HandoverConnection,
  type HandoverResponder,
  HandoverServer,
  type HandoverServerOptions,
} from "../../mod.ts";

const KEY = "tests-on-loopback";
const OFFER = { service: "s", configVersion: 3 };
const MAX_BODY_BYTES = 1_000_000;

const cleanups: (() => void)[] = [];
afterEach(() => {
  for (const cleanup of cleanups.splice(0)) cleanup();
});

function buildIdentity(id: string, mesh = ""): LinkIdentity {
  return { id, incarnation: `${id}-1`, availabilityZone: "zone-a", mesh };
}

/** Starts the mesh node of a peer that serves calls as `options` tell. */
async function startPeer(
  options: Partial<HandoverServerOptions> = {},
  hasHandovers = true,
): Promise<{ server: HandoverServer; mesh: string; stop: () => void }> {
  const server = new HandoverServer({
    decideOffer: () => Promise.resolve(undefined),
    serve: (_head, body, responder) => {
      responder.sendHead({ size: body.length });
      responder.sendBytes(body);
      responder.end();
      return Promise.resolve();
    },
    getMaxBodyBytes: () => MAX_BODY_BYTES,
    ...options,
  });
  const [port] = await findFreePorts(1);
  const mesh = `127.0.0.1:${port}`;
  const self = buildIdentity("peer", mesh);
  const node = new MeshNode({
    self,
    listen: mesh,
    sharedKey: KEY,
    maxFrameBytes: 4 * 1024 * 1024,
    heartbeatMs: 1000,
    silenceMs: 1000,
    clock: new RuntimeClock(),
    membership: new Membership({ self, silenceMs: 1000 }),
    translate: (address) => address,
    buildHeartbeat: () => undefined,
    onLinkClosed: () => undefined,
    ...(hasHandovers ? { acceptHandover: (link) => server.accept(link) } : {}),
  });
  await node.start();
  cleanups.push(() => node.stop());
  return { server, mesh, stop: () => node.stop() };
}

function startClient(mesh: string, sharedKey = KEY): HandoverClient {
  const client = new HandoverClient({
    self: buildIdentity("cut"),
    sharedKey,
    clock: new RuntimeClock(),
    listPeers: () => [{ id: "peer", availabilityZone: "zone-a", mesh }],
    drawUnit: () => 0,
  });
  cleanups.push(() => client.close());
  return client;
}

/** Sends a call over a connection and resolves with its end. */
function sendCall(
  connection: HandoverConnection,
  body: Buffer,
): Promise<{ end: string; head?: unknown; body: Buffer }> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let head: unknown;
    const settle = (end: string): void =>
      resolve({ end, head, body: Buffer.concat(parts) });
    connection.send({ id: "call" }, body, {
      onResponse: (received) => head = received,
      onBytes: (bytes) => parts.push(bytes),
      onEnd: () => settle("end"),
      onFailure: (failure) => settle(JSON.stringify(failure)),
      onLost: () => settle("lost"),
    });
  });
}

async function offerCall(client: HandoverClient): Promise<HandoverConnection> {
  const reply = await client.offerCall(OFFER, new Set());
  assert.ok(reply !== undefined && reply !== "declined", String(reply));
  return reply;
}

test("a call and its response pass whole, and the connection is used again", async () => {
  const { server, mesh } = await startPeer();
  const client = startClient(mesh);
  const body = Buffer.alloc(300_000, "x");
  const first = await offerCall(client);
  assert.equal(server.openCalls, 1);
  const response = await sendCall(first, body);
  assert.deepEqual(response, { end: "end", head: { size: 300_000 }, body });
  assert.equal(server.openCalls, 0);
  assert.equal(await offerCall(client), first);
});

for (const reason of ["noPath", "olderConfig"] as DeclineReason[]) {
  test(`a declined call (${reason}) is not sent, and the peer is not asked at once again`, async () => {
    let served = 0;
    const { mesh } = await startPeer({
      decideOffer: () => Promise.resolve(reason),
      serve: () => Promise.resolve(void served++),
    });
    const client = startClient(mesh);
    assert.equal(await client.offerCall(OFFER, new Set()), "declined");
    assert.equal(await client.offerCall(OFFER, new Set()), undefined);
    assert.equal(served, 0);
  });
}

// Guards against a VM that takes on more than it can serve for others.
test("a peer takes a bounded number of calls, and none once it stops", async () => {
  let isStopping = false;
  const { mesh } = await startPeer({
    maxCalls: 1,
    isStopping: () => isStopping,
    serve: () => new Promise(() => undefined),
  });
  const client = startClient(mesh);
  await offerCall(client);
  assert.equal(await client.offerCall(OFFER, new Set()), "declined");
  isStopping = true;
  const other = startClient(mesh);
  assert.equal(await other.offerCall(OFFER, new Set()), "declined");
});

test("a peer's failure ends the call with what the peer told", async () => {
  const { mesh } = await startPeer({
    serve: (_head, _body, responder) => {
      responder.fail({ kind: "overloaded" });
      return Promise.resolve();
    },
  });
  const connection = await offerCall(startClient(mesh));
  const { end } = await sendCall(connection, Buffer.alloc(0));
  assert.equal(end, JSON.stringify({ kind: "overloaded" }));
});

test("a response that the peer breaks off is lost, not ended", async () => {
  const { mesh } = await startPeer({
    serve: (_head, _body, responder) => {
      responder.sendHead({});
      responder.sendBytes(Buffer.from("half"));
      setTimeout(() => responder.destroy(), 20);
      return Promise.resolve();
    },
  });
  const connection = await offerCall(startClient(mesh));
  const { end, body } = await sendCall(connection, Buffer.alloc(0));
  assert.equal(end, "lost");
  assert.equal(String(body), "half");
});

test("a closed connection is a disconnect for the peer", async () => {
  let resolveServing: (responder: HandoverResponder) => void;
  const serving = new Promise<HandoverResponder>((resolve) => {
    resolveServing = resolve;
  });
  const { mesh } = await startPeer({
    serve: (_head, _body, responder) => {
      resolveServing(responder);
      return Promise.resolve();
    },
  });
  const connection = await offerCall(startClient(mesh));
  const ended = sendCall(connection, Buffer.alloc(0));
  const responder = await serving;
  const disconnected = new Promise<void>((resolve) =>
    responder.registerDisconnectListener(resolve)
  );
  connection.close();
  assert.equal((await ended).end, "lost");
  await disconnected;
  assert.equal(responder.isDisconnected, true);
});

// Guards against a slow client that makes a VM buffer what a fast peer sends.
test("a paused connection slows the peer down", async () => {
  const total = 40 * 1024 * 1024;
  let sent = 0;
  const { mesh } = await startPeer({
    serve: (_head, _body, responder) => {
      responder.sendHead({});
      const sendNext = (): void => {
        while (sent < total) {
          sent += 64 * 1024;
          if (responder.sendBytes(Buffer.alloc(64 * 1024))) continue;
          responder.registerDrainListener(sendNext);
          return;
        }
        responder.end();
      };
      sendNext();
      return Promise.resolve();
    },
  });
  const connection = await offerCall(startClient(mesh));
  const ended = sendCall(connection, Buffer.alloc(0));
  connection.pause();
  await new Promise((resolve) => setTimeout(resolve, 200));
  assert.ok(sent < total, `${sent} bytes sent to a paused connection`);
  connection.resume();
  const { end, body } = await ended;
  assert.equal(end, "end");
  assert.equal(body.length, total);
});

// Guards against a response that is cut although its call has ended: the peer stops while the connection of a
// slow client holds back what it has written.
test("a peer that stops when all is written sends whole responses to slow clients", async () => {
  const total = 15 * 1024 * 1024;
  const { server, mesh, stop } = await startPeer({
    serve: (_head, _body, responder) => {
      responder.sendHead({});
      responder.sendBytes(Buffer.alloc(total));
      responder.end();
      return Promise.resolve();
    },
  });
  const connection = await offerCall(startClient(mesh));
  const ended = sendCall(connection, Buffer.alloc(0));
  connection.pause();
  await sleep(200);
  const isOpen = () => server.openCalls > 0 || !server.isWritten;
  assert.ok(isOpen(), "the response is not written");
  setTimeout(() => connection.resume(), 200);
  while (isOpen()) await sleep(5);
  stop();
  const { end, body } = await ended;
  assert.equal(end, "end");
  assert.equal(body.length, total);
});

// Guards against a rolling upgrade in which a call is lost at a peer that knows no handovers.
test("a peer without handovers is unreachable for offers", async () => {
  const { mesh } = await startPeer({}, false);
  const reply = await startClient(mesh).offerCall(OFFER, new Set());
  assert.equal(reply, "declined");
});

test("an offer without the fleet's key is not answered", async () => {
  const { mesh } = await startPeer();
  const client = startClient(mesh, "another-key-of-others");
  assert.equal(await client.offerCall(OFFER, new Set()), "declined");
});

test("a request that is larger than allowed closes the connection", async () => {
  const { mesh } = await startPeer({ getMaxBodyBytes: () => 1000 });
  const connection = await offerCall(startClient(mesh));
  const { end } = await sendCall(connection, Buffer.alloc(2000));
  assert.equal(end, "lost");
});

// Guards against connections that stay open for peers that have fallen silent.
test("a peer closes a connection on which nothing follows", async () => {
  const { mesh } = await startPeer({
    idleTimeoutMs: 50,
    requestTimeoutMs: 50,
  });
  const accepted = await offerCall(startClient(mesh));
  await sleep(200);
  assert.equal(accepted.isClosed, true, "no request after the offer");
  const unused = await offerCall(startClient(mesh));
  await sendCall(unused, Buffer.alloc(10));
  await sleep(200);
  assert.equal(unused.isClosed, true, "no offer after the call");
});

/** A link of which only the messages and the end matter. */
function startSession(server: HandoverServer) {
  const sent: string[] = [];
  const link = {
    send: ({ kind }: MeshMessage) => {
      sent.push(kind);
      return true;
    },
    close: () => sent.push("closed"),
  } as unknown as Link;
  const session = server.accept(link);
  cleanups.push(() => session.onClose());
  return { session, sent };
}

// Guards against parts without bytes, which no limit on bytes ends: each one held the connection, and
// one of the few calls that a peer takes, for two more seconds, and took memory.
test("a part without bytes closes the connection", async () => {
  const { server } = await startPeer();
  const { session, sent } = startSession(server);
  session.onMessage({ kind: "offer", ...OFFER });
  await sleep(0);
  assert.deepEqual(sent, ["offerReply"]);
  session.onMessage({ kind: "request", head: {} });
  session.onMessage({ kind: "bytes", bytes: Buffer.alloc(0) });
  assert.deepEqual(sent, ["offerReply", "closed"]);
});

// Guards against calls at a peer that are counted as open for ever, so that it declines all others.
test("a peer that fails to serve a call closes its connection and takes further calls", async () => {
  const errors: string[] = [];
  const { server, mesh } = await startPeer({
    maxCalls: 1,
    serve: () => Promise.reject(new RangeError("broken server")),
    onError: (error) => void errors.push((error as Error).message),
  });
  const client = startClient(mesh);
  for (let i = 0; i < 3; i++) {
    const connection = await client.offerCall(OFFER, new Set());
    assert.ok(typeof connection === "object");
    const lost = new Promise<void>((resolve) =>
      connection.send({}, Buffer.from("body"), {
        onResponse: () => assert.fail(),
        onBytes: () => assert.fail(),
        onEnd: () => assert.fail(),
        onFailure: () => assert.fail(),
        onLost: () => resolve(),
      })
    );
    await lost;
    assert.equal(server.openCalls, 0);
  }
  assert.deepEqual(errors, Array(3).fill("broken server"));
});

// Guards against an offer that waits for its timeout because the peer can't decide on it.
test("a peer that fails to decide on an offer closes its connection", async () => {
  const errors: unknown[] = [];
  const { mesh } = await startPeer({
    decideOffer: () => Promise.reject(new RangeError("broken offer")),
    onError: (error) => void errors.push(error),
  });
  const startedAtMs = performance.now();
  const reply = await startClient(mesh).offerCall(OFFER, new Set());
  assert.equal(reply, "declined");
  assert.equal(errors.length, 1);
  assert.ok(performance.now() - startedAtMs < 1000);
});
