import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import { afterEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { FaultProxy } from "../../fault_proxy.ts";

/** Time in which data would pass a proxy on loopback that doesn't hold it. */
const PASS_MS = 100;
/** More than the buffers of the proxy's sockets hold. */
const LARGE_BYTES = 8 * 1024 * 1024;

let proxy: FaultProxy | undefined;
let echo: Server | undefined;
const clients: Socket[] = [];

afterEach(async () => {
  for (const client of clients.splice(0)) client.destroy();
  await proxy?.close();
  echo?.close();
});

async function startProxy(): Promise<{ proxy: FaultProxy; port: number }> {
  const server = echo = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.pipe(socket);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as { port: number };
  const started = proxy = new FaultProxy(`127.0.0.1:${port}`);
  const address = await started.listen();
  return { proxy: started, port: Number(address.split(":")[1]) };
}

async function connectClient(
  port: number,
): Promise<{ client: Socket; countBytes: () => number }> {
  const client = connect(port, "127.0.0.1");
  clients.push(client);
  client.on("error", () => undefined);
  let bytes = 0;
  client.on("data", (chunk: Buffer) => bytes += chunk.length);
  await once(client, "connect");
  return { client, countBytes: () => bytes };
}

async function waitForBytes(
  countBytes: () => number,
  expected: number,
): Promise<void> {
  const limitMs = performance.now() + 5000;
  while (countBytes() < expected) {
    assert.ok(performance.now() < limitMs, `${countBytes()} of ${expected}`);
    await sleep(5);
  }
}

// Guards against a silence that loses data, or that connections of before or during it outlive.
test("what a proxy holds passes once it is open again, on old and new connections", async () => {
  const { proxy, port } = await startProxy();
  const old = await connectClient(port);
  old.client.write("before");
  await waitForBytes(old.countBytes, 6);
  proxy.setMode("held");
  const added = await connectClient(port);
  old.client.write("during");
  added.client.write("during");
  await sleep(PASS_MS);
  assert.equal(old.countBytes(), 6);
  assert.equal(added.countBytes(), 0);
  proxy.setMode("open");
  await waitForBytes(old.countBytes, 12);
  await waitForBytes(added.countBytes, 6);
});

// Guards against a connection that stays paused as it was full when the proxy began to hold data.
test("a connection that is full while the proxy holds data goes on afterwards", async () => {
  const { proxy, port } = await startProxy();
  const { client, countBytes } = await connectClient(port);
  client.write(Buffer.alloc(LARGE_BYTES));
  await waitForBytes(countBytes, 1);
  proxy.setMode("held");
  await sleep(PASS_MS);
  proxy.setMode("open");
  await waitForBytes(countBytes, LARGE_BYTES);
});
