/**
 * Connections to targets, one pool for each incarnation of a target.
 *
 * @module
 */
import type { Socket } from "node:net";
import { buildConnector, Pool } from "undici";
import type { Target } from "../model.ts";
import type { EncodedRequest } from "../ports.ts";
import {
  buildWithheldExchange,
  type ResponseHead,
  TargetExchange,
} from "./target_exchange.ts";

type Connector = ReturnType<typeof buildConnector>;

/** What a request is for: work, or the release of resources that an earlier one holds. */
export type SendPurpose = "work" | "release";

/** Options of {@linkcode TargetConnections}. */
export interface TargetConnectionsOptions {
  /** Called with the head of each answer, before the sender sees it. */
  readonly onResponseHead?: (target: Target, head: ResponseHead) => void;
  /** Why nothing may be sent to a target now; undefined if it may. */
  readonly findBlockReason?: (
    target: Target,
    purpose: SendPurpose,
  ) => string | undefined;
  /** Longest wait for a connection, milliseconds. */
  readonly connectTimeoutMs?: number;
  /** A kept connection without a hint of the target is closed after this long, milliseconds. */
  readonly idleTimeoutMs?: number;
}

/** Some ten round trips between zones and a lost packet's first repeat (200 ms) twice. */
const DEFAULT_CONNECT_TIMEOUT_MS = 500;
/** Below the usual idle timeout of servers (5 s), so that a call seldom meets a closing one. */
const DEFAULT_IDLE_MS = 4000;
/** A connection is not used in the last second before the target closes it. */
const IDLE_MARGIN_MS = 1000;
/** Part of a target's connections that all VMs together use; health checks need some too. */
const USABLE_PART = 0.8;
const MIN_CONNECTIONS = 2;
/** Connections to one target while its service's limit is not known. */
const UNKNOWN_LIMIT = 32;

interface TargetPool {
  readonly pool: Pool;
  readonly resets: ResetWatch;
  open: number;
}

/** What the end of a stream is tested with: servers skip an empty line before a request. */
const END_PROBE = "\r\n";

/**
 * Tells an answer that ended with its connection from one that was cut off. undici takes a
 * reset for the end of a body without length; here the reset is seen before undici sees it.
 *
 * The runtime itself reports a reset that it finds behind bytes not read yet as the end of the
 * stream. A write tells the two apart: after a reset it fails at once. Without it each answer
 * without length that was cut right behind its last bytes passed as whole.
 */
class ResetWatch {
  readonly #isInUse: () => boolean;
  #isResetting = false;

  constructor(isInUse: () => boolean) {
    this.#isInUse = isInUse;
  }

  /** True while the error of a connection is being handed out. */
  get isResetting(): boolean {
    return this.#isResetting;
  }

  /** Wraps a connector so that errors of its sockets are seen first. */
  watch(connector: Connector): Connector {
    return (options, callback) =>
      connector(options, (...result) => {
        const [error, socket] = result;
        if (error === null) {
          socket.prependListener("error", () => this.#noteReset());
          socket.prependListener("end", () => this.#testEnd(socket));
        }
        callback(...result);
      });
  }

  /** Idle connections end without an answer that could be cut. */
  #testEnd(socket: Socket): void {
    if (!this.#isInUse()) return;
    socket.write(END_PROBE);
    if (socket.errored !== null) this.#noteReset();
  }

  #noteReset(): void {
    this.#isResetting = true;
    process.nextTick(() => {
      this.#isResetting = false;
    });
  }
}

/** All connections to targets of this VM. */
export class TargetConnections {
  readonly #options: Required<TargetConnectionsOptions>;
  readonly #pools = new Map<string, TargetPool>();
  #liveVms = 1;

  constructor(options: TargetConnectionsOptions = {}) {
    this.#options = {
      onResponseHead: () => undefined,
      findBlockReason: () => undefined,
      connectTimeoutMs: DEFAULT_CONNECT_TIMEOUT_MS,
      idleTimeoutMs: DEFAULT_IDLE_MS,
      ...options,
    };
  }

  /** Sets the number of VMs that share each target's connections. */
  setLiveVms(count: number): void {
    this.#liveVms = Math.max(1, count);
  }

  /** Connections of one target that this VM may have in use. */
  computeConnectionLimit(maxConnections: number | undefined): number {
    if (maxConnections === undefined) return UNKNOWN_LIMIT;
    const share = Math.floor(maxConnections * USABLE_PART / this.#liveVms);
    return Math.max(MIN_CONNECTIONS, share);
  }

  /** Whether another request may be sent to the target now. */
  hasCapacity(target: Target, maxConnections: number | undefined): boolean {
    const open = this.#pools.get(target.id)?.open ?? 0;
    return open < this.computeConnectionLimit(maxConnections);
  }

  /**
   * Sends a request. All requests to targets pass here, so this is the last check whether the
   * target may get one. A withheld request ends like one without a connection.
   */
  send(
    target: Target,
    request: EncodedRequest,
    purpose: SendPurpose = "work",
  ): TargetExchange {
    const ban = this.#options.findBlockReason(target, purpose);
    if (ban !== undefined) return buildWithheldExchange(ban);
    const pool = this.#openPool(target);
    pool.open++;
    const exchange = new TargetExchange(
      pool.pool,
      `http://${target.address}`,
      request,
      {
        onRelease: () => {
          pool.open--;
        },
        isReset: () => pool.resets.isResetting,
      },
    );
    exchange.head.then(
      (head) => this.#options.onResponseHead(target, head),
      // The sender handles the failure.
      () => undefined,
    );
    return exchange;
  }

  /** Closes the connections of targets that are no longer listed, once they are free. */
  closeAllExcept(ids: ReadonlySet<string>): void {
    for (const [id, { pool }] of this.#pools) {
      if (ids.has(id)) continue;
      this.#pools.delete(id);
      // Requests in progress end first; what they meet is theirs to handle.
      pool.close().catch(() => undefined);
    }
  }

  async close(): Promise<void> {
    const pools = [...this.#pools.values()];
    this.#pools.clear();
    await Promise.all(pools.map(({ pool }) => pool.destroy()));
  }

  #openPool(target: Target): TargetPool {
    let entry = this.#pools.get(target.id);
    if (entry === undefined) {
      const { connectTimeoutMs, idleTimeoutMs: idleMs } = this.#options;
      const resets = new ResetWatch(() => created.open > 0);
      const connector = buildConnector({ timeout: connectTimeoutMs });
      const pool = new Pool(`http://${target.address}`, {
        pipelining: 1,
        connections: null,
        connect: resets.watch(connector),
        keepAliveTimeout: idleMs,
        keepAliveTimeoutThreshold: IDLE_MARGIN_MS,
      });
      const created: TargetPool = { pool, resets, open: 0 };
      entry = created;
      this.#pools.set(target.id, created);
    }
    return entry;
  }
}
