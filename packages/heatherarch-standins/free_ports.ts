/**
 * Reserves free ports on loopback, below the kernel's ephemeral port range, so that no outgoing
 * connection can take one of them.
 *
 * @module
 */
import { createServer, type Server } from "node:net";

/** Options of {@linkcode PortReservations}. */
export interface PortReservationsOptions {
  /** First port of the range. */
  readonly start?: number;
  /** Number of blocks in the range. */
  readonly blocks?: number;
  /** Number of ports in a block, with the one that marks it as reserved. */
  readonly blockSize?: number;
  /** Number of the block at which the search begins. */
  readonly firstBlock?: number;
}

const DEFAULTS = { start: 10_000, blocks: 440, blockSize: 50, firstBlock: 0 };
/**
 * Distance between the first blocks of processes with successive ids, so that concurrent processes
 * search different parts of the range.
 */
const PROCESS_STRIDE = 13;

/**
 * Ports that are reserved for the life of the process.
 *
 * Ports are reserved in blocks: the process listens on the first port of each of its blocks until
 * it exits, and returns only the others. Concurrent processes thus never get the same port, also
 * while nobody listens on it. The kernel releases the blocks of a process that crashes.
 */
export class PortReservations {
  readonly #options: Required<PortReservationsOptions>;
  /** Ports of the reserved blocks, in the order of their reservation. */
  readonly #ports: number[] = [];
  /** Index of the port to try next. */
  #nextIndex = 0;
  #nextBlock: number;
  #triedBlocks = 0;
  /** The search that began last; searches run one after the other. */
  #lastSearch: Promise<unknown> = Promise.resolve();

  constructor(options: PortReservationsOptions = {}) {
    this.#options = { ...DEFAULTS, ...options };
    this.#nextBlock = this.#options.firstBlock;
  }

  /**
   * Finds `count` different free ports. A port is returned again only after the search has passed all
   * blocks of the range. Rejects if the range has too few free ports.
   */
  find(count: number): Promise<number[]> {
    const search = this.#lastSearch.then(() => this.#search(count));
    this.#lastSearch = search.catch(() => undefined);
    return search;
  }

  async #search(count: number): Promise<number[]> {
    const servers = new Map<number, Server>();
    try {
      for (let tried = 0; servers.size < count; tried++) {
        const isExhausted = this.#triedBlocks === this.#options.blocks &&
          tried > this.#ports.length;
        const port = isExhausted ? undefined : await this.#getNextPort();
        if (port === undefined) {
          throw new Error(`found ${servers.size} of ${count} free ports`);
        }
        const server = await tryListen(port);
        if (server !== undefined) servers.set(port, server);
      }
      return [...servers.keys()];
    } finally {
      await Promise.all([...servers.values()].map(closeServer));
    }
  }

  /** Returns the next reserved port; undefined if no block could be reserved. */
  async #getNextPort(): Promise<number | undefined> {
    if (this.#nextIndex === this.#ports.length) {
      const hasBlock = await this.#reserveBlock();
      if (!hasBlock) this.#nextIndex = 0;
    }
    return this.#ports[this.#nextIndex++];
  }

  /** Reserves the next block that no process holds. Returns whether there was one. */
  async #reserveBlock(): Promise<boolean> {
    const { start, blocks, blockSize } = this.#options;
    while (this.#triedBlocks < blocks) {
      const firstPort = start + this.#nextBlock * blockSize;
      this.#triedBlocks++;
      this.#nextBlock = (this.#nextBlock + 1) % blocks;
      const mark = await tryListen(firstPort);
      if (mark === undefined) continue;
      mark.unref();
      mark.on("connection", (socket) => socket.destroy());
      for (let i = 1; i < blockSize; i++) this.#ports.push(firstPort + i);
      return true;
    }
    return false;
  }
}

const reservations = new PortReservations({
  firstBlock: (process.pid * PROCESS_STRIDE) % DEFAULTS.blocks,
});

/** Finds `count` different free ports, which no other process gets while this one runs. */
export function findFreePorts(count: number): Promise<number[]> {
  return reservations.find(count);
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => server.close(() => resolve()));
}

function tryListen(port: number): Promise<Server | undefined> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once("error", () => resolve(undefined));
    server.listen(port, "127.0.0.1", () => resolve(server));
  });
}
