/**
 * The platform over HTTP: the log and the lagging list of VMs.
 *
 * @module
 */
import type Koa from "koa";
import type { ListedVm } from "heatherarch-log";
import { LogUnavailableError } from "heatherarch-log";
import { readJsonBody, StandinServer } from "./http_server.ts";
import { MemoryLog, type MemoryLogOptions } from "./memory_log.ts";

const STREAM_PATH = /^\/streams\/([A-Za-z0-9._-]+)$/;

/** The platform's stand-in. */
export class PlatformServer {
  readonly log: MemoryLog;
  readonly #server = new StandinServer((ctx) => this.#handleRequest(ctx));
  #vms: readonly ListedVm[] = [];
  /** How long a change of the list stays unseen, milliseconds. */
  vmListLagMs = 0;

  constructor(options: MemoryLogOptions = {}) {
    this.log = new MemoryLog(options);
  }

  listen(port = 0): Promise<string> {
    return this.#server.listen(port);
  }

  close(): Promise<void> {
    return this.#server.close();
  }

  /** Sets the list; callers see it after the lag. */
  setVms(vms: readonly ListedVm[]): void {
    if (this.vmListLagMs === 0) this.#vms = vms;
    else setTimeout(() => (this.#vms = vms), this.vmListLagMs);
  }

  async #handleRequest(ctx: Koa.Context): Promise<void> {
    try {
      await this.#route(ctx);
    } catch (error) {
      if (!(error instanceof LogUnavailableError)) throw error;
      ctx.req.socket.destroy();
      ctx.respond = false;
    }
  }

  async #route(ctx: Koa.Context): Promise<void> {
    if (ctx.path === "/vms") {
      if (this.log.faults.down) throw new LogUnavailableError("down");
      ctx.body = { vms: this.#vms };
      return;
    }
    const stream = STREAM_PATH.exec(ctx.path)?.[1];
    if (stream === undefined) return;
    if (ctx.method === "POST") {
      const { data } = await readJsonBody<{ data: unknown }>(ctx);
      ctx.body = { offset: await this.log.append(stream, data) };
      return;
    }
    const { from = "0", max = "1000", waitMs = "0" } = ctx.query as Record<
      string,
      string
    >;
    ctx.body = await this.log.read(stream, Number(from), {
      maxRecords: Number(max),
      waitMs: Number(waitMs),
    });
  }
}
