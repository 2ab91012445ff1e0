import assert from "node:assert/strict";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { TargetProbe } from "../../mod.ts";

/** Probes a server that handles its connections in this way, and stops it. */
async function probeServer(
  onConnection: (socket: Socket) => void,
): Promise<string> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    onConnection(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const result = await new TargetProbe({ holdMs: 30 })
    .probe(`127.0.0.1:${port}`);
  for (const socket of sockets) socket.destroy();
  await new Promise((resolve) => server.close(resolve));
  return result;
}

// Guards against a proxy that passes for the target behind it, which is gone.
test("a connection that is closed at once is not accepted", async () => {
  assert.equal(await probeServer(() => undefined), "accepted");
  assert.equal(await probeServer((socket) => socket.end()), "refused");
  // A reset may come before the connection is seen to be open.
  assert.notEqual(
    await probeServer((socket) => socket.resetAndDestroy()),
    "accepted",
  );
});
