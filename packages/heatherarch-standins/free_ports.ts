/**
 * Free ports on loopback, below the range from which the kernel gives ports to others.
 *
 * @module
 */
import { createServer, type Server } from "node:net";

const LOWEST = 10_000;
const HIGHEST = 32_000;
/** Processes start to look at different places. */
const PROCESS_STRIDE = 613;

let next = LOWEST + (process.pid * PROCESS_STRIDE) % (HIGHEST - LOWEST);

/** Finds `count` free ports, all different, none of which this process was given before. */
export async function findFreePorts(count: number): Promise<number[]> {
  const held: Server[] = [];
  const ports: number[] = [];
  while (ports.length < count) {
    const port = next;
    next = next + 1 >= HIGHEST ? LOWEST : next + 1;
    const server = await tryListen(port);
    if (server === undefined) continue;
    held.push(server);
    ports.push(port);
  }
  await Promise.all(
    held.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}

function tryListen(port: number): Promise<Server | undefined> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once("error", () => resolve(undefined));
    server.listen(port, "127.0.0.1", () => resolve(server));
  });
}
