/**
 * A small HTTP server for stand-ins: koa, one handler, and all sockets within reach so that
 * they can be destroyed.
 *
 * @module
 */
import { createServer, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import Koa from "koa";

/** Handles one request. */
export type StandinHandler = (ctx: Koa.Context) => void | Promise<void>;

/** A server whose connections can be cut. */
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

  /** Listens on loopback; port 0 takes a free one. Returns the address. */
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

  /** As if the process ended: connections are cut and new ones refused for `downMs`. */
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

/** Reads a whole body as text. */
export async function readBody(ctx: Koa.Context): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of ctx.req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString("utf8");
}

/** Reads a whole body as JSON; an empty body is an empty object. */
export async function readJsonBody<T>(ctx: Koa.Context): Promise<T> {
  const text = await readBody(ctx);
  return (text === "" ? {} : JSON.parse(text)) as T;
}
