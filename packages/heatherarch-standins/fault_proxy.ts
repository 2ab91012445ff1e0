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
export type FaultProxyMode = "open" | "cut" | "silentForward" | "silentBack";

interface ConnectionPair {
  readonly inbound: Socket;
  readonly outbound: Socket;
  /** Silence sticks to a connection that was open when it fell silent. */
  silentDirection: FaultProxyMode | undefined;
}

/** One forwarder to one address. */
export class FaultProxy {
  readonly #destination: { host: string; port: number };
  readonly #server: Server;
  readonly #pairs = new Set<ConnectionPair>();
  #mode: FaultProxyMode = "open";

  constructor(destination: string) {
    const [host, port] = destination.split(":");
    this.#destination = { host, port: Number(port) };
    this.#server = createServer((socket) => this.#accept(socket));
  }

  async listen(port = 0): Promise<string> {
    await new Promise<void>((resolve) =>
      this.#server.listen(port, "127.0.0.1", resolve)
    );
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** `cut` destroys connections and refuses new ones until `open`. */
  setMode(mode: FaultProxyMode): void {
    this.#mode = mode;
    if (mode !== "cut") return;
    for (const pair of this.#pairs) {
      pair.inbound.destroy();
      pair.outbound.destroy();
    }
  }

  /** Open connections go silent for good while new ones work. */
  silenceOpenConnections(direction: "silentForward" | "silentBack"): number {
    for (const pair of this.#pairs) pair.silentDirection = direction;
    return this.#pairs.size;
  }

  async close(): Promise<void> {
    this.setMode("cut");
    await new Promise((resolve) => this.#server.close(resolve));
  }

  #accept(inbound: Socket): void {
    if (this.#mode === "cut") {
      inbound.destroy();
      return;
    }
    const outbound = connect(this.#destination);
    const pair: ConnectionPair = {
      inbound,
      outbound,
      silentDirection: undefined,
    };
    this.#pairs.add(pair);
    inbound.setNoDelay(true);
    outbound.setNoDelay(true);
    inbound.on("data", (bytes) => {
      if (this.#isDropping(pair, "silentForward")) return;
      if (!outbound.write(bytes)) inbound.pause();
    });
    outbound.on("data", (bytes) => {
      if (this.#isDropping(pair, "silentBack")) return;
      if (!inbound.write(bytes)) outbound.pause();
    });
    outbound.on("drain", () => inbound.resume());
    inbound.on("drain", () => outbound.resume());
    const closePair = (): void => {
      this.#pairs.delete(pair);
      inbound.destroy();
      outbound.destroy();
    };
    for (const socket of [inbound, outbound]) {
      socket.on("error", closePair);
      socket.on("close", closePair);
    }
  }

  #isDropping(pair: ConnectionPair, direction: FaultProxyMode): boolean {
    return this.#mode === direction || pair.silentDirection === direction;
  }
}
