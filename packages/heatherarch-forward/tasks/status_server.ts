/**
 * Readiness for the platform's balancer; metrics and the quarantine for operators.
 *
 * @module
 */
import type { Server } from "node:http";
import type { Clock } from "heatherarch-core";
import Koa, { type Context } from "koa";
import type {
  QuarantinedRequest,
  RequestQuarantine,
} from "heatherarch-quarantine";
import type { ForwardMetrics } from "../metrics.ts";

/** Options of {@linkcode StatusServer}. */
export interface StatusServerOptions {
  readonly metrics: ForwardMetrics;
  readonly readinessPath: string;
  readonly metricsPath: string;
  readonly quarantine: RequestQuarantine;
  readonly clock: Clock;
  readonly isReady: () => boolean;
}

const QUARANTINE_PATH = "/quarantine";

/** A small HTTP server for those who watch this VM. */
export class StatusServer {
  readonly #options: StatusServerOptions;
  readonly #app = new Koa();
  readonly #servers: Server[] = [];
  readonly #operatorPorts = new Set<number | undefined>();

  constructor(options: StatusServerOptions) {
    this.#options = options;
    this.#app.use((context) => this.#answer(context));
    this.#app.silent = true;
  }

  /** Listens; operators may lift quarantines on ports that are for them. */
  async listen(
    host: string,
    port: number,
    isForOperators = false,
  ): Promise<void> {
    const server = await new Promise<Server>((resolve, reject) => {
      const started = this.#app.listen(port, host, () => resolve(started));
      started.once("error", reject);
    });
    if (isForOperators) this.#operatorPorts.add(port);
    this.#servers.push(server);
  }

  close(): void {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  async #answer(context: Context): Promise<void> {
    const { metrics, readinessPath, metricsPath, isReady } = this.#options;
    const isForOperators = this.#operatorPorts.has(
      context.req.socket.localPort,
    );
    if (context.path === readinessPath) {
      context.status = isReady() ? 200 : 503;
      context.body = { ready: isReady() };
    } else if (context.path === metricsPath) {
      context.type = metrics.registry.contentType;
      context.body = await metrics.registry.metrics();
    } else if (isForOperators && context.path.startsWith(QUARANTINE_PATH)) {
      this.#answerQuarantine(context);
    }
  }

  #answerQuarantine(context: Context): void {
    const { quarantine, clock } = this.#options;
    const nowMs = clock.readMonotonicMs();
    const request = context.path.slice(QUARANTINE_PATH.length + 1);
    if (context.method === "GET" && request === "") {
      const unixMs = clock.readWallMs() - nowMs;
      const held = quarantine.listQuarantined(nowMs);
      context.body = { quarantined: held.map((one) => describe(one, unixMs)) };
    } else if (context.method === "DELETE" && request !== "") {
      context.status = quarantine.clear(request, nowMs) ? 204 : 404;
    }
  }
}

/** A quarantine with its times as a clock on the wall shows them. */
function describe(
  { request, account, lives, sinceMs, untilMs }: QuarantinedRequest,
  unixMs: number,
) {
  return {
    request,
    account,
    endedTargets: lives,
    since: new Date(unixMs + sinceMs).toISOString(),
    until: new Date(unixMs + untilMs).toISOString(),
  };
}
