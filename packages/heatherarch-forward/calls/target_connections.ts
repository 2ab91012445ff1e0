/**
 * Connections to targets, with one pool for each incarnation of a target.
 *
 * @module
 */
import { BodyMemory, FramingBudget } from "heatherarch-client-limits";
import {
  type Clock,
  ReadBarrier,
  reportResets,
  RuntimeClock,
} from "heatherarch-core";
import { buildConnector, Pool } from "undici";
import type { Target } from "../model.ts";
import type { EncodedRequest } from "../ports.ts";
import {
  buildFailedExchange,
  buildWithheldExchange,
  type ResponseHead,
  type ResponseLimit,
  TargetExchange,
} from "./target_exchange.ts";
import { watchRequestWrites } from "./unwritten_requests.ts";

type Connector = ReturnType<typeof buildConnector>;

/**
 * Purpose of a request: work, the release of resources that an earlier request holds, control of an
 * engine, or a report that tells whether a target lives on and as which incarnation.
 */
export type SendPurpose = "work" | "release" | "control" | "report";

/** The request after which a response arrived on its connection. */
export interface SentRequest {
  /** Monotonic time at which it was sent. */
  readonly sentAtMs: number;
  /** Id of the call to which it belongs; undefined if it belongs to none. */
  readonly callId?: string;
}

/** Options of {@linkcode TargetConnections}. */
export interface TargetConnectionsOptions {
  /** Called with the head of each response, before the sender sees it. */
  readonly onResponseHead?: (
    target: Target,
    head: ResponseHead,
    request: SentRequest,
  ) => void;
  /**
   * Returns the number of runs in progress at a target from all VMs; undefined if VMs don't tell each
   * other that number.
   */
  readonly countRuns?: (target: Target) => number | undefined;
  /** Called with an error of a hook that nothing else handles. */
  readonly onError?: (error: unknown) => void;
  /** Called when a response has met a bound on what all responses together may take. */
  readonly onLimited?: (
    target: Target,
    limit: ResponseLimit,
    callId: string | undefined,
  ) => void;
  /** Called before a request is sent. */
  readonly onSend?: (target: Target) => void;
  /** Called when a connection has been opened. */
  readonly onConnect?: () => void;
  readonly clock?: Pick<Clock, "readMonotonicMs">;
  readonly readBarrier?: Pick<ReadBarrier, "awaitTurn">;
  /** Returns why nothing may be sent to a target now, or undefined if a request may be sent. */
  readonly findBlockReason?: (
    target: Target,
    purpose: SendPurpose,
  ) => string | undefined;
  /** Connect timeout, milliseconds. */
  readonly connectTimeoutMs?: number;
  /** Idle timeout of a connection whose target gives no keep-alive hint, milliseconds. */
  readonly idleTimeoutMs?: number;
}

/** Allows for some ten round trips between zones and two initial retransmissions of 200 ms. */
const DEFAULT_CONNECT_TIMEOUT_MS = 500;
/**
 * Below the usual idle timeout of servers (5 s), so that a call rarely uses a closing connection.
 */
const DEFAULT_IDLE_TIMEOUT_MS = 4000;
/** A connection is not reused in the last second before the target closes it. */
const KEEP_ALIVE_MARGIN_MS = 1000;
/** Share of a target's connections that all VMs together use; health checks need some as well. */
const USABLE_SHARE = 0.8;
/**
 * Part of the usable connections that VMs share by their runs at the target, so that a VM which gets
 * most calls may use most of them. The rest is shared evenly, for VMs whose load begins.
 */
const SHARED_BY_RUNS = 0.5;
const MIN_CONNECTIONS = 2;
/** Connections to one target if the limit of its service is not known. */
const DEFAULT_CONNECTION_LIMIT = 32;

/**
 * Longest time from sending a request, or from a connection that is ready for it, to writing it,
 * milliseconds. undici writes to a kept connection a turn of the event loop later; a process that was
 * frozen meanwhile has not read what has arrived since, disconnects among them.
 */
const MAX_WRITE_DELAY_MS = 200;

/** Purposes whose requests are withheld if they are written late. A report starts nothing. */
const WITHHELD_IF_LATE: ReadonlySet<SendPurpose> = new Set(["work", "control"]);

/** Connections to one target that only control requests use, at most. */
const MAX_CONTROL_CONNECTIONS = 2;
/**
 * Connections to one target that only reports of whether it lives on use, at most. Each kind of check
 * has one report in progress at a target, so that none waits for another one.
 */
const MAX_REPORT_CONNECTIONS = 4;

/**
 * Kinds of connections to one target. A response that arrives late, where the next one is expected, can
 * be told from the expected one only by the id of its call:
 * - `calls`: kept, for attempts of calls.
 * - `control`: kept, for requests whose responses name no call.
 * - `reports`: kept, for reports, which would tell nothing any more after waiting for other requests.
 * - `single`: for one request each, whose response could not be told from an earlier one.
 */
type ConnectionKind = "calls" | "control" | "reports" | "single";

/** Kind of connection of a request that doesn't need one of its own. */
const KIND_OF_PURPOSE: Readonly<Record<SendPurpose, ConnectionKind>> = {
  work: "calls",
  release: "control",
  control: "control",
  report: "reports",
};

/** Options of the pool of each kind, where they differ from those of calls. */
const POOL_OPTIONS: Readonly<Record<ConnectionKind, Partial<Pool.Options>>> = {
  calls: {},
  control: { connections: MAX_CONTROL_CONNECTIONS },
  reports: { connections: MAX_REPORT_CONNECTIONS },
  // Without pipelining undici closes a connection after its response.
  single: { pipelining: 0 },
};

/** Options of {@linkcode TargetConnections.send}. */
export interface SendOptions {
  readonly purpose?: SendPurpose;
  /** Uses a connection that is opened for this request and closed after its response. */
  readonly needsOwnConnection?: boolean;
  /** Id of the call to which the request belongs, if it belongs to one. */
  readonly callId?: string;
}

/**
 * Work on responses in very small chunks. A body of ordinary chunks stays below what is free, and so does a
 * stream of events that comes as fast as engines generate. The rate is 200,000 chunks of one byte a second; on a
 * slow machine the time that they take is the narrower bound.
 */
const FRAMING_LIMITS = {
  bytesPerSecond: 1_000_000,
  freeBytes: 8 * 1024,
  forgottenBytesPerSecond: 8 * 1024,
  maxBodies: Infinity,
  isOnlyBodyFree: false,
};

/** Memory for the bodies of all responses: 32 of the largest that are buffered as a whole, bytes. */
const MAX_BODY_MEMORY_BYTES = 32 * 1024 * 1024;

interface TargetPool {
  readonly pool: Pool;
  inFlight: number;
  /** Number of the connection that was opened last, from 1; 0 if none was. */
  latestOpened: number;
  /** Monotonic time at which each open connection was opened, by its client. */
  readonly open: Map<unknown, number>;
  /** Monotonic time at which a connection was last opened. */
  connectedAtMs: number;
}

/** All connections to one target. */
interface TargetPools {
  /** Requests in progress on connections of all kinds. */
  inFlight: number;
  readonly pools: Partial<Record<ConnectionKind, TargetPool>>;
}

/** Wraps a connector, so that a connection is used once what has arrived with it is read. */
function awaitReads(
  connector: Connector,
  readBarrier: Pick<ReadBarrier, "awaitTurn">,
): Connector {
  return (options, callback) =>
    connector(options, (...result) => {
      if (result[0] !== null) return callback(...result);
      // The requests that wait are written then. Those whose clients have left are aborted before.
      void readBarrier.awaitTurn({ isInProgress: true })
        .then(() => callback(...result));
    });
}

/** All connections of this VM to targets. */
export class TargetConnections {
  readonly #options: Required<TargetConnectionsOptions>;
  readonly #targets = new Map<string, TargetPools>();
  readonly #framing: FramingBudget;
  readonly #bodies = new BodyMemory({ maxBytes: MAX_BODY_MEMORY_BYTES });
  #liveVms = 1;
  /** Number of connections to all targets that were opened so far. */
  #opened = 0;

  constructor(options: TargetConnectionsOptions = {}) {
    watchRequestWrites();
    this.#options = {
      onResponseHead: () => undefined,
      findBlockReason: () => undefined,
      countRuns: () => undefined,
      onSend: () => undefined,
      onConnect: () => undefined,
      onError: () => undefined,
      onLimited: () => undefined,
      clock: new RuntimeClock(),
      readBarrier: new ReadBarrier(),
      connectTimeoutMs: DEFAULT_CONNECT_TIMEOUT_MS,
      idleTimeoutMs: DEFAULT_IDLE_TIMEOUT_MS,
      ...options,
    };
    const { clock } = this.#options;
    this.#framing = new FramingBudget({ clock, ...FRAMING_LIMITS });
  }

  /** Sets the number of VMs that share each target's connections. */
  setLiveVms(count: number): void {
    this.#liveVms = Math.max(1, count);
  }

  /** Number of connections to one target that this VM may use at the same time. */
  computeConnectionLimit(
    target: Target,
    maxConnections: number | undefined,
  ): number {
    if (maxConnections === undefined) return DEFAULT_CONNECTION_LIMIT;
    const usable = maxConnections * USABLE_SHARE;
    const limit = Math.floor(usable * this.#computeShare(target));
    return Math.max(MIN_CONNECTIONS, limit);
  }

  #computeShare(target: Target): number {
    const evenShare = 1 / this.#liveVms;
    const runs = this.#options.countRuns(target);
    if (runs === undefined) return evenShare;
    const own = this.#countInFlight(target);
    const shareByRuns = (own + 1) / (Math.max(own, runs) + this.#liveVms);
    return SHARED_BY_RUNS * shareByRuns + (1 - SHARED_BY_RUNS) * evenShare;
  }

  /** Whether another request may be sent to the target now. */
  hasCapacity(target: Target, maxConnections: number | undefined): boolean {
    return this.#countInFlight(target) <
      this.computeConnectionLimit(target, maxConnections);
  }

  /** Time after which an idle connection is closed if its target gives no keep-alive hint. */
  get idleTimeoutMs(): number {
    return this.#options.idleTimeoutMs;
  }

  /** Whether a connection for calls to the target is open and not in use. */
  hasIdle(target: Target): boolean {
    const entry = this.#targets.get(target.id)?.pools.calls;
    return entry !== undefined && entry.open.size > entry.inFlight;
  }

  /**
   * Number of the connection to the target that was opened last for calls; undefined if none was opened
   * since its connections were renewed. It rises over all targets and renewals.
   */
  findLatestOpened(target: Target): number | undefined {
    const { calls, single } = this.#targets.get(target.id)?.pools ?? {};
    const latest = Math.max(
      calls?.latestOpened ?? 0,
      single?.latestOpened ?? 0,
    );
    return latest === 0 ? undefined : latest;
  }

  /**
   * Resolves with whether a connection of any kind to the target is still open that was opened before
   * a monotonic time, once all ends of connections that have arrived are read.
   */
  async checkOpenSince(target: Target, monotonicMs: number): Promise<boolean> {
    await this.#options.readBarrier.awaitTurn({ isInProgress: true });
    const pools = Object.values(this.#targets.get(target.id)?.pools ?? {});
    return pools.some(({ open }) =>
      [...open.values()].some((openedAtMs) => openedAtMs < monotonicMs)
    );
  }

  #countInFlight(target: Target): number {
    return this.#targets.get(target.id)?.inFlight ?? 0;
  }

  /**
   * Sends a request. All requests to targets pass through here, so this is the last check of
   * whether the target may get one. A withheld request ends like one without a connection, and so does
   * one that an error keeps from being sent: the caller always gets an exchange.
   */
  send(
    target: Target,
    request: EncodedRequest,
    options: SendOptions = {},
  ): TargetExchange {
    try {
      return this.#send(target, request, options);
    } catch (error) {
      return buildFailedExchange(error);
    }
  }

  #send(
    target: Target,
    request: EncodedRequest,
    { purpose = "work", needsOwnConnection = false, callId }: SendOptions,
  ): TargetExchange {
    const blockReason = this.#options.findBlockReason(target, purpose);
    if (blockReason !== undefined) return buildWithheldExchange(blockReason);
    this.#options.onSend(target);
    const sentAtMs = this.#options.clock.readMonotonicMs();
    const kind = needsOwnConnection ? "single" : KIND_OF_PURPOSE[purpose];
    const entry = this.#getEntry(target);
    const pool = entry.pools[kind] ??= this.#createPool(target, kind);
    entry.inFlight++;
    pool.inFlight++;
    const exchange = new TargetExchange(
      pool.pool,
      `http://${target.address}`,
      request,
      {
        onRelease: () => {
          entry.inFlight--;
          pool.inFlight--;
        },
        readMonotonicMs: () => this.#options.clock.readMonotonicMs(),
        framing: this.#framing,
        bodies: this.#bodies,
        onLimited: (limit) => this.#options.onLimited(target, limit, callId),
        mayWrite: () => {
          if (!WITHHELD_IF_LATE.has(purpose)) return true;
          const readyAtMs = Math.max(sentAtMs, pool.connectedAtMs);
          const nowMs = this.#options.clock.readMonotonicMs();
          return nowMs - readyAtMs <= MAX_WRITE_DELAY_MS;
        },
      },
    );
    exchange.head.then(
      (head) =>
        this.#options.onResponseHead(target, head, { sentAtMs, callId }),
      // The sender handles the error.
      () => undefined,
    ).catch(this.#options.onError);
    return exchange;
  }

  /** Closes the connections of all other targets, once they are free. */
  closeAllExcept(ids: ReadonlySet<string>): void {
    const others = [...this.#targets.keys()].filter((id) => !ids.has(id));
    this.renew(others);
  }

  /** Closes the connections of these targets once they are free. Further requests use new ones. */
  renew(ids: readonly string[]): void {
    for (const id of ids) {
      const pools = Object.values(this.#targets.get(id)?.pools ?? {});
      this.#targets.delete(id);
      // Requests in progress complete first and handle their own errors.
      for (const { pool } of pools) pool.close().catch(() => undefined);
    }
  }

  /** Closes all connections immediately; requests in progress fail. */
  async close(): Promise<void> {
    const pools = [...this.#targets.values()].flatMap((entry) =>
      Object.values(entry.pools)
    );
    this.#targets.clear();
    await Promise.all(pools.map(({ pool }) => pool.destroy()));
  }

  #getEntry(target: Target): TargetPools {
    let entry = this.#targets.get(target.id);
    if (entry === undefined) {
      entry = { inFlight: 0, pools: {} };
      this.#targets.set(target.id, entry);
    }
    return entry;
  }

  #createPool(target: Target, kind: ConnectionKind): TargetPool {
    const { connectTimeoutMs, idleTimeoutMs, onConnect } = this.#options;
    const connector = awaitReads(
      buildConnector({ timeout: connectTimeoutMs }),
      this.#options.readBarrier,
    );
    const pool = new Pool(`http://${target.address}`, {
      pipelining: 1,
      connections: null,
      connect: reportResets(connector, {
        isInUse: () => created.inFlight > 0,
      }),
      keepAliveTimeout: idleTimeoutMs,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      ...POOL_OPTIONS[kind],
    });
    const created: TargetPool = {
      pool,
      inFlight: 0,
      latestOpened: 0,
      open: new Map(),
      connectedAtMs: -Infinity,
    };
    pool.on("connect", (_origin, clients) => {
      created.connectedAtMs = this.#options.clock.readMonotonicMs();
      created.latestOpened = ++this.#opened;
      created.open.set(clients.at(-1), created.connectedAtMs);
      onConnect();
    });
    pool.on("disconnect", (_origin, clients) => {
      created.open.delete(clients.at(-1));
    });
    return created;
  }
}
