/**
 * Readiness for the platform's balancer, and metrics.
 *
 * @module
 */
import type { Server } from "node:http";
import Koa from "koa";
import type { ForwardMetrics } from "../metrics.ts";

/** Options of {@linkcode StatusServer}. */
export interface StatusServerOptions {
  readonly metrics: ForwardMetrics;
  readonly readinessPath: string;
  readonly metricsPath: string;
  readonly isReady: () => boolean;
}

/** A small HTTP server for those who watch this VM. */
export class StatusServer {
  readonly #app = new Koa();
  readonly #servers: Server[] = [];

  constructor(options: StatusServerOptions) {
    this.#app.use(async (context) => {
      if (context.path === options.readinessPath) {
        context.status = options.isReady() ? 200 : 503;
        context.body = { ready: options.isReady() };
      } else if (context.path === options.metricsPath) {
        context.type = options.metrics.registry.contentType;
        context.body = await options.metrics.registry.metrics();
      }
    });
    this.#app.silent = true;
  }

  async listen(host: string, port: number): Promise<void> {
    const server = await new Promise<Server>((resolve, reject) => {
      const started = this.#app.listen(port, host, () => resolve(started));
      started.once("error", reject);
    });
    this.#servers.push(server);
  }

  close(): void {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }
}
