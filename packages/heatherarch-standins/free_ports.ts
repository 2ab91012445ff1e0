/**
 * Free ports on loopback, below the range from which the kernel gives ports to others.
 *
 * @module
 */
import { createServer, type Server } from "node:net";

const PORT_RANGE_START = 10_000;
const PORT_RANGE_END = 32_000;
/** Processes start to look at different places. */
const PROCESS_STRIDE = 613;

let nextPort = PORT_RANGE_START +
  (process.pid * PROCESS_STRIDE) % (PORT_RANGE_END - PORT_RANGE_START);

/** Finds `count` free ports, all different, none of which this process was given before. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers: Server[] = [];
  const ports: number[] = [];
  while (ports.length < count) {
    const port = nextPort;
    nextPort = nextPort + 1 >= PORT_RANGE_END ? PORT_RANGE_START : nextPort + 1;
    const server = await tryListen(port);
    if (server === undefined) continue;
    servers.push(server);
    ports.push(port);
  }
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
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
