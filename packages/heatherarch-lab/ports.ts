/**
 * Free ports on loopback.
 *
 * @module
 */
import { type AddressInfo, createServer, type Server } from "node:net";

/** Finds `count` free ports, all different. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers: Server[] = [];
  for (let i = 0; i < count; i++) {
    const server = createServer();
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
    servers.push(server);
  }
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}
