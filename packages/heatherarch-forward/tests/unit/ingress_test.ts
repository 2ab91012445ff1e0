import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { afterEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { RuntimeClock } from "heatherarch-core";
import {
  type CallCodec,
  type CallServer,
  type ForwardedCall,
  Ingress,
  MemoryEventLog,
} from "../../mod.ts";

/** Time for the head of a request, and for the head and the body. */
const HEADER_TIMEOUT_MS = 100;
const REQUEST_TIMEOUT_MS = 200;
/** Longer than these times and the interval at which they are checked, 500 ms. */
const STALL_MS = 800;
const REQUEST = "POST /book/x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n";

let ingress: Ingress | undefined;
let client: Socket | undefined;

afterEach(() => {
  client?.destroy();
  ingress?.closeListener();
  ingress?.closeAll();
});

/** A server whose calls are recorded and responded to, and a client that has connected to it. */
interface Connected {
  readonly client: Socket;
  readonly bodies: string[];
  readonly readReceived: () => string;
}

async function connectClient(): Promise<Connected> {
  const bodies: string[] = [];
  const server = {
    serve: (call, response) => {
      bodies.push(call.body.toString());
      response.writeHead(200, ["Content-Length", "0"]);
      response.end();
      return Promise.resolve();
    },
  } satisfies Pick<CallServer, "serve">;
  const codec = {
    decodeCall: () => ({}) as ForwardedCall,
  } satisfies Pick<CallCodec, "decodeCall">;
  const port = await findFreePort();
  ingress = new Ingress({
    host: "127.0.0.1",
    port,
    codec: codec as unknown as CallCodec,
    server: server as unknown as CallServer,
    clock: new RuntimeClock(),
    log: new MemoryEventLog(),
  });
  ingress.applyLimits({
    maxHeaderBytes: 4096,
    maxBodyBytes: 1_000_000,
    headerTimeoutMs: HEADER_TIMEOUT_MS,
    idleTimeoutMs: REQUEST_TIMEOUT_MS - HEADER_TIMEOUT_MS,
  });
  await ingress.start();
  const socket = client = connect({
    host: "127.0.0.1",
    port,
    allowHalfOpen: true,
  });
  let received = "";
  socket.on("data", (bytes) => received += bytes.toString());
  await once(socket, "connect");
  // The server accepts the connection.
  await sleep(20);
  return { client: socket, bodies, readReceived: () => received };
}

async function findFreePort(): Promise<number> {
  const server = createServer().listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  server.close();
  await once(server, "close");
  return port;
}

/** Blocks the event loop, as a machine without processor time does. */
function stall(): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STALL_MS);
}

// Guards against a request that arrives in time, gets 408 as the process stalls before it reads it, and
// is run nevertheless. A client that returns after the 408 would book twice.
for (
  const [name, body] of [
    ["a request", "body"],
    ["a large request", "b".repeat(900_000)],
  ]
) {
  test(`${name} that arrives before a stall is served, and gets no 408`, async () => {
    const { client, bodies, readReceived } = await connectClient();
    const head = REQUEST.replace("4", String(body.length));
    client.write(head + body);
    stall();
    await sleep(200);
    assert.equal(bodies.length, 1, `got ${readReceived()}`);
    assert.match(readReceived(), /^HTTP\/1\.1 200 /);
  });
}

// Guards against a 408 that is followed by a run of its request.
test("a request whose end comes after its 408 is not run", async () => {
  const { client, bodies, readReceived } = await connectClient();
  client.write(REQUEST + "bo");
  while (readReceived() === "") await sleep(20);
  assert.match(readReceived(), /^HTTP\/1\.1 408 /);
  client.write("dy");
  await sleep(100);
  assert.deepEqual(bodies, []);
});

// The same for a connection on which nothing had arrived.
test("a request that comes after a 408 is not run", async () => {
  const { client, bodies, readReceived } = await connectClient();
  while (readReceived() === "") await sleep(20);
  assert.match(readReceived(), /^HTTP\/1\.1 408 /);
  client.write(REQUEST + "body");
  await sleep(100);
  assert.deepEqual(bodies, []);
});
