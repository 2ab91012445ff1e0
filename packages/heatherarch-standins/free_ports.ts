/**
 * Finds free ports on loopback, below the kernel's ephemeral port range, so that no outgoing
 * connection can take one of them.
 *
 * @module
 */
import { createServer, type Server } from "node:net";

const PORT_RANGE_START = 10_000;
/** Exclusive. */
const PORT_RANGE_END = 32_000;
/**
 * Distance between the start ports of processes with successive ids, so that concurrent processes
 * search different parts of the range.
 */
const PROCESS_STRIDE = 613;

let nextPort = PORT_RANGE_START +
  (process.pid * PROCESS_STRIDE) % (PORT_RANGE_END - PORT_RANGE_START);

/**
 * Finds `count` different free ports. A port is returned again only after the search has wrapped
 * around the range. Rejects if the range has too few free ports.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers: Server[] = [];
  const ports: number[] = [];
  let tried = 0;
  while (ports.length < count) {
    if (tried++ >= PORT_RANGE_END - PORT_RANGE_START) {
      for (const server of servers) server.close();
      throw new Error(`found ${ports.length} of ${count} free ports`);
    }
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
