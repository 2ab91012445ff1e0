/**
 * A TCP forwarder on loopback between two of the system's ends, which can be cut or made
 * silent in one direction while connections stay open.
 *
 * @module
 */
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** How the link behaves. `silentForward` and `silentBack` swallow bytes of one direction. */
export type LinkMode = "open" | "cut" | "silentForward" | "silentBack";

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
  /** Silence sticks to a connection that was open when it fell silent. */
  silent: LinkMode | undefined;
}

/** One forwarder to one address. */
export class CuttableLink {
  readonly #to: { host: string; port: number };
  readonly #server: Server;
  readonly #pairs = new Set<Pair>();
  #mode: LinkMode = "open";

  constructor(to: string) {
    const [host, port] = to.split(":");
    this.#to = { host, port: Number(port) };
    this.#server = createServer((socket) => this.#accept(socket));
  }

  async listen(port = 0): Promise<string> {
    await new Promise<void>((resolve) =>
      this.#server.listen(port, "127.0.0.1", resolve)
    );
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** `cut` destroys connections and refuses new ones until `open`. */
  setMode(mode: LinkMode): void {
    this.#mode = mode;
    if (mode !== "cut") return;
    for (const pair of this.#pairs) {
      pair.near.destroy();
      pair.far.destroy();
    }
  }

  /** Open connections go silent for good while new ones work. */
  silenceOpenConnections(direction: "silentForward" | "silentBack"): number {
    for (const pair of this.#pairs) pair.silent = direction;
    return this.#pairs.size;
  }

  async close(): Promise<void> {
    this.setMode("cut");
    await new Promise((resolve) => this.#server.close(resolve));
  }

  #accept(near: Socket): void {
    if (this.#mode === "cut") {
      near.destroy();
      return;
    }
    const far = connect(this.#to);
    const pair: Pair = { near, far, silent: undefined };
    this.#pairs.add(pair);
    near.setNoDelay(true);
    far.setNoDelay(true);
    near.on("data", (bytes) => {
      if (this.#swallows(pair, "silentForward")) return;
      if (!far.write(bytes)) near.pause();
    });
    far.on("data", (bytes) => {
      if (this.#swallows(pair, "silentBack")) return;
      if (!near.write(bytes)) far.pause();
    });
    far.on("drain", () => near.resume());
    near.on("drain", () => far.resume());
    const drop = (): void => {
      this.#pairs.delete(pair);
      near.destroy();
      far.destroy();
    };
    for (const socket of [near, far]) {
      socket.on("error", drop);
      socket.on("close", drop);
    }
  }

  #swallows(pair: Pair, direction: LinkMode): boolean {
    return this.#mode === direction || pair.silent === direction;
  }
}
