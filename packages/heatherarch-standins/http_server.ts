/**
 * HTTP server for the stand-ins, built on koa, with a single request handler. It tracks its open
 * sockets so that they can be destroyed.
 *
 * @module
 */
import { createServer, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import Koa from "koa";

/** Handles one request. */
export type StandinHandler = (ctx: Koa.Context) => void | Promise<void>;

/** An HTTP server whose open connections can be destroyed. */
export class StandinServer {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #restartTimer: NodeJS.Timeout | undefined;

  constructor(handler: StandinHandler) {
    const app = new Koa();
    app.silent = true;
    app.use(handler);
    this.#server = createServer(app.callback());
    this.#server.keepAliveTimeout = 60_000;
    this.#server.on("connection", (socket: Socket) => {
      socket.setNoDelay(true);
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
  }

  /** Listens on loopback and returns the address. Port 0 selects a free port. */
  async listen(port = 0): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, "127.0.0.1", resolve);
    });
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Destroys all open connections. */
  destroyConnections(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  /**
   * Simulates a process exit: destroys all connections and refuses new ones for `downMs`, then
   * listens on the same port again.
   */
  simulateExit(downMs: number): void {
    const { port } = this.#server.address() as AddressInfo;
    this.#server.close();
    this.destroyConnections();
    this.#restartTimer = setTimeout(() => void this.listen(port), downMs);
  }

  async close(): Promise<void> {
    clearTimeout(this.#restartTimer);
    this.destroyConnections();
    await new Promise((resolve) => this.#server.close(resolve));
  }
}

/** Reads a request body as text. */
export async function readBody(ctx: Koa.Context): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of ctx.req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString("utf8");
}

/** Parses a request body as JSON. An empty body gives an empty object. */
export async function readJsonBody<T>(ctx: Koa.Context): Promise<T> {
  const text = await readBody(ctx);
  return (text === "" ? {} : JSON.parse(text)) as T;
}
