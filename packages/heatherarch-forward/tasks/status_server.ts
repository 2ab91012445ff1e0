/**
 * HTTP endpoints for readiness (the platform's load balancer), metrics and quarantine (operators).
 *
 * @module
 */
import { createServer, type Server } from "node:http";
import { ConnectionLimiter } from "heatherarch-client-limits";
import type { Clock } from "heatherarch-core";
import Koa, { type Context } from "koa";
import type {
  PartQuarantine,
  QuarantinedPart,
  QuarantinedRequest,
  RequestQuarantine,
} from "heatherarch-quarantine";
import type { ForwardMetrics } from "../metrics.ts";
import type { DutyStatus } from "./fleet_duties.ts";
import type { LoadStatus } from "./load_status.ts";
import type { QueueStatus } from "./queue_status.ts";
import type { UnreadableStatus } from "../state/unreadable_entries.ts";
import type { ReturnStatus } from "../scheduling/return_times.ts";

/** Options of {@linkcode StatusServer}. */
export interface StatusServerOptions {
  readonly metrics: ForwardMetrics;
  readonly readinessPath: string;
  readonly metricsPath: string;
  readonly quarantine: RequestQuarantine;
  readonly partQuarantine: PartQuarantine;
  readonly clock: Clock;
  readonly isReady: () => boolean;
  readonly onLimitExceeded: () => void;
  /** Returns what this VM knows of the duties of the fleet and the client accounts. */
  readonly getFleetStatus: () => FleetStatus;
}

/** What operators see of the fleet at one VM. It contains no API key, nor a digest of one. */
export interface FleetStatus {
  readonly vm: string;
  readonly config: {
    readonly version: number;
    /** Time since the configuration was last known to be the newest one; null if never. */
    readonly ageMs: number | null;
  };
  /** Client accounts and the number of their API keys; null if calls need no key. */
  readonly accounts: readonly { name: string; keys: number }[] | null;
  /** Shares of the client accounts that have used most recently, by service; the heaviest first. */
  readonly shares: readonly AccountShareStatus[];
  /** Services for which retries of rejected calls are booked here, or due in the fleet. */
  readonly returns: readonly ReturnStatus[];
  /** Services with calls that wait at this VM, or with a known dispatch rate. */
  readonly queues: readonly QueueStatus[];
  /** Services of which targets have reported their load, with the most loaded targets. */
  readonly loads: readonly LoadStatus[];
  /** Topics of the store with entries that this VM can't read now. */
  readonly unreadable: readonly UnreadableStatus[];
  /** Null if the fleet has no duties. */
  readonly duties: DutyStatus | null;
}

/** Recent use of one client account over all VMs, and its share. */
export interface AccountShareStatus {
  readonly service: string;
  readonly account: string;
  readonly weight: number;
  /** Part of the recent use of the service that is of the account, 0 to 1. */
  readonly use: number;
  /** Part that is its share when capacity is short, 0 to 1. */
  readonly share: number;
  /** 0 within the share; higher ranks wait longer. */
  readonly rank: number;
}

/**
 * The load balancer and the collectors of metrics ask one at a time, on a few connections. The metrics are
 * larger than what a connection buffers, so each request ahead may hold a response in memory.
 */
const LIMITS = { maxConnections: 64, maxRequestsAhead: 4 } as const;
const SERVER_OPTIONS = {
  headersTimeout: 5000,
  requestTimeout: 10_000,
  connectionsCheckingInterval: 1000,
} as const;
const QUARANTINE_PATH = "/quarantine";
const FLEET_PATH = "/fleet";

/** HTTP server for monitoring and operating this VM. */
export class StatusServer {
  readonly #options: StatusServerOptions;
  readonly #app = new Koa();
  readonly #servers: Server[] = [];
  readonly #operatorPorts = new Set<number | undefined>();

  constructor(options: StatusServerOptions) {
    this.#options = options;
    this.#app.use((context) => this.#handleRequest(context));
    this.#app.silent = true;
  }

  /** Starts listening. The quarantine is accessible only on ports for operators. */
  async listen(
    host: string,
    port: number,
    isForOperators = false,
  ): Promise<void> {
    const server = this.#createServer();
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, host, resolve);
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

  #createServer(): Server {
    const server = createServer(SERVER_OPTIONS);
    const limiter = new ConnectionLimiter({
      server,
      limits: LIMITS,
      onExceeded: this.#options.onLimitExceeded,
    });
    const handle = this.#app.callback();
    server.on("request", (request, response) => {
      if (limiter.admit(request, response) === "closed") return;
      void handle(request, response);
    });
    return server;
  }

  async #handleRequest(context: Context): Promise<void> {
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
      this.#handleQuarantine(context);
    } else if (isForOperators && context.path === FLEET_PATH) {
      context.body = this.#options.getFleetStatus();
    }
  }

  #handleQuarantine(context: Context): void {
    const { quarantine, partQuarantine, clock } = this.#options;
    const nowMs = clock.readMonotonicMs();
    const digest = context.path.slice(QUARANTINE_PATH.length + 1);
    if (context.method === "GET" && digest === "") {
      const unixOffsetMs = clock.readWallMs() - nowMs;
      const entries = quarantine.listQuarantined(nowMs);
      context.body = {
        quarantined: entries.map((entry) =>
          formatQuarantined(entry, unixOffsetMs)
        ),
        parts: partQuarantine.listQuarantined(nowMs).map((entry) =>
          formatQuarantined(entry, unixOffsetMs)
        ),
      };
    } else if (context.method === "DELETE" && digest !== "") {
      const isCleared = quarantine.clear(digest, nowMs) ||
        partQuarantine.evidence.clear(digest, nowMs);
      context.status = isCleared ? 204 : 404;
    }
  }
}

/** Formats a quarantine with its monotonic times converted to wall-clock times. */
function formatQuarantined(
  quarantined: QuarantinedRequest | QuarantinedPart,
  unixOffsetMs: number,
) {
  const { account, incarnations, sinceMs, untilMs } = quarantined;
  return {
    ..."part" in quarantined
      ? { part: quarantined.part }
      : { request: quarantined.request },
    account,
    endedTargets: incarnations,
    since: new Date(unixOffsetMs + sinceMs).toISOString(),
    until: new Date(unixOffsetMs + untilMs).toISOString(),
  };
}
