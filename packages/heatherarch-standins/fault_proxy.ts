/**
 * A TCP proxy on loopback that can simulate network faults: it closes and refuses connections, holds
 * their data back, or discards the data of one direction while connections stay open.
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

/**
 * Behavior of the proxy. `silentForward` discards data to the destination, `silentBack` discards
 * data from it. `held` accepts connections and passes their data on once the mode changes.
 */
export type FaultProxyMode =
  | "open"
  | "cut"
  | "held"
  | "silentForward"
  | "silentBack";

interface ConnectionPair {
  readonly inbound: Socket;
  readonly outbound: Socket;
  /** Direction whose data is discarded for the rest of the connection. */
  silentDirection: FaultProxyMode | undefined;
}

/** A TCP proxy to one address. */
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

  /** Sets the mode. `cut` closes all connections and refuses new ones until the mode changes. */
  setMode(mode: FaultProxyMode): void {
    this.#mode = mode;
    for (const { inbound, outbound } of this.#pairs) {
      if (mode === "cut") {
        inbound.destroy();
        outbound.destroy();
        continue;
      }
      this.#updateReading(inbound, outbound);
      this.#updateReading(outbound, inbound);
    }
  }

  /**
   * Discards the data of one direction on all open connections, permanently; new connections
   * work. Returns the number of open connections.
   */
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
      outbound.write(bytes);
      this.#updateReading(inbound, outbound);
    });
    outbound.on("data", (bytes) => {
      if (this.#isDropping(pair, "silentBack")) return;
      inbound.write(bytes);
      this.#updateReading(outbound, inbound);
    });
    outbound.on("drain", () => this.#updateReading(inbound, outbound));
    inbound.on("drain", () => this.#updateReading(outbound, inbound));
    this.#updateReading(inbound, outbound);
    this.#updateReading(outbound, inbound);
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

  /** Reads from `source` unless its data is held back or `sink` is full. */
  #updateReading(source: Socket, sink: Socket): void {
    if (this.#mode === "held" || sink.writableNeedDrain) source.pause();
    else source.resume();
  }

  #isDropping(pair: ConnectionPair, direction: FaultProxyMode): boolean {
    return this.#mode === direction || pair.silentDirection === direction;
  }
}
