/**
 * Confirms that a response is complete whose end is that of its connection. The kernel of a target that
 * crashes ends its connections in order as well, so such an end counts once the same incarnation of the
 * target is known to live on.
 *
 * @module
 */
import { type Clock, sleep, startStallAwareTimer } from "heatherarch-core";
import type { ProbeResult } from "heatherarch-quarantine";
import type { CallContext } from "./call_context.ts";
import type { EngineReport, Target } from "../model.ts";
import type { CallCodec } from "../ports.ts";
import { isEndedByConnection } from "./response_relay.ts";
import type { TargetConnections } from "./target_connections.ts";
import {
  ExchangeError,
  type ResponseHead,
  type TargetExchange,
} from "./target_exchange.ts";

/** Options of {@linkcode EndConfirmation}. */
export interface EndConfirmationOptions {
  readonly clock: Pick<Clock, "readMonotonicMs">;
  readonly connections: Pick<TargetConnections, "send" | "checkOpenSince">;
  readonly codec: Pick<
    CallCodec,
    "encodeReportRequest" | "decodeReport" | "decodeResponse"
  >;
  /** Whether the target names a rate limit, so that a report is the last resort. */
  readonly isLimited: (target: Target) => boolean;
  /** Whether the rate limit of a target has room for a request of this VM now. */
  readonly hasRoom: (target: Target) => boolean;
  /** Checks whether a process accepts connections at the target's address. Never rejects. */
  readonly connect: (target: Target) => Promise<ProbeResult>;
  /** Called before each probe. */
  readonly onProbe?: () => void;
  /** Called for each end that was not confirmed. */
  readonly onUnconfirmed?: (target: Target) => void;
  /** Called with each error of a probe or of a listener that no code expects. Never throws. */
  readonly onError?: (thrown: unknown) => void;
}

/** Options of {@linkcode EndConfirmation.confirm}. */
export interface ConfirmOptions {
  /** Resolves when nobody waits for the confirmation any longer. */
  readonly abandoned: Promise<void>;
  /** Longest wait for the confirmation, milliseconds; by default until it is abandoned. */
  readonly maxWaitMs?: number;
}

/** What a probe tells about the incarnation that responded: it lives on, it has ended, or nothing. */
type ProbeAnswer = "alive" | "ended" | "unknown";

/** What connections tell. Without an older one, a new one doesn't tell whose it is. */
type ConnectionAnswer = ProbeAnswer | Exclude<ProbeResult, "refused">;

/** Shortest interval between probes of one target, milliseconds. All ends of the interval share one. */
const MIN_PROBE_INTERVAL_MS = 20;
/** A sound target may be silent for a second or so. */
const PROBE_TIMEOUT_MS = 1500;
/** Pause after a probe that told nothing, for example as the target closed an idle connection. */
const RETRY_PAUSE_MS = 30;
/**
 * A process needs longer than this to start again after it ended, milliseconds. What is connected by
 * then is connected to the process that responded.
 */
const MIN_RESTART_MS = 150;
const REPORT_LIMITS = { maxBytes: 64 * 1024, timeoutMs: PROBE_TIMEOUT_MS };
/** Share of the remaining time of a call that waits before it goes on elsewhere. */
const WAIT_SHARE = 0.5;

/** Why a response counts as lost whose end is not confirmed. */
export const UNCONFIRMED_END = "the target may have ended with its response";

/** An end that waits to be confirmed. */
class PendingEnd {
  readonly endedAtMs: number;
  readonly settled: Promise<boolean>;
  #resolve!: (isConfirmed: boolean) => void;

  constructor(endedAtMs: number) {
    this.endedAtMs = endedAtMs;
    this.settled = new Promise((resolve) => {
      this.#resolve = resolve;
    });
  }

  /** Settles the end unless it is settled. */
  settle(isConfirmed: boolean): void {
    this.#resolve(isConfirmed);
  }
}

/** Ends of the responses of one target. */
interface TargetEnds {
  /** Ends that came after the latest probe was sent. */
  waiting: PendingEnd[];
  /** Monotonic time of the latest probe that showed that the target lives on. */
  aliveAtMs: number;
}

/** The confirmations of one VM. */
export class EndConfirmation {
  readonly #options: EndConfirmationOptions;
  readonly #targets = new Map<string, TargetEnds>();

  constructor(options: EndConfirmationOptions) {
    this.#options = options;
  }

  /**
   * Resolves with whether the incarnation of a target lives on whose response has ended just now. A
   * probe confirms all ends before it was sent; there is one at a time for each target. Never rejects.
   */
  async confirm(
    target: Target,
    { abandoned, maxWaitMs }: ConfirmOptions,
  ): Promise<boolean> {
    const end = new PendingEnd(this.#nowMs);
    const stopTimer = maxWaitMs === undefined
      ? () => undefined
      : startStallAwareTimer(() => end.settle(false), maxWaitMs);
    void abandoned.then(() => end.settle(false));
    this.#addEnd(target, end);
    const isConfirmed = await end.settled;
    stopTimer();
    if (!isConfirmed) this.#reportUnconfirmed(target);
    return isConfirmed;
  }

  /** An error of the log must not end a call that may go on elsewhere. */
  #reportUnconfirmed(target: Target): void {
    try {
      this.#options.onUnconfirmed?.(target);
    } catch (error) {
      this.#options.onError?.(error);
    }
  }

  get #nowMs(): number {
    return this.#options.clock.readMonotonicMs();
  }

  #addEnd(target: Target, end: PendingEnd): void {
    const ends = this.#targets.get(target.id);
    if (ends !== undefined) {
      ends.waiting.push(end);
      return;
    }
    const created: TargetEnds = { waiting: [end], aliveAtMs: -Infinity };
    this.#targets.set(target.id, created);
    void this.#probeWhileWaiting(target, created);
  }

  async #probeWhileWaiting(target: Target, ends: TargetEnds): Promise<void> {
    while (ends.waiting.length > 0) {
      const startedAtMs = this.#nowMs;
      const batch = ends.waiting;
      ends.waiting = [];
      const isAlive = await this.#probeFor(target, batch, ends.aliveAtMs);
      if (isAlive) ends.aliveAtMs = this.#nowMs;
      for (const end of batch) end.settle(isAlive);
      const restMs = MIN_PROBE_INTERVAL_MS - (this.#nowMs - startedAtMs);
      if (restMs > 0) await sleep(restMs);
    }
    this.#targets.delete(target.id);
  }

  /** Probes a target until its state is known or nobody waits. Resolves with whether it lives on. */
  async #probeFor(
    target: Target,
    batch: readonly PendingEnd[],
    aliveAtMs: number,
  ): Promise<boolean> {
    const firstEndMs = Math.min(...batch.map(({ endedAtMs }) => endedAtMs));
    const sinceMs = Math.max(aliveAtMs, firstEndMs);
    const abandonment = new AbortController();
    void Promise.all(batch.map(({ settled }) => settled))
      .then(() => abandonment.abort());
    while (!abandonment.signal.aborted) {
      const { signal } = abandonment;
      const answer = await this.#tryProbe(target, sinceMs, signal);
      if (answer !== "unknown") return answer === "alive";
      await sleep(RETRY_PAUSE_MS);
    }
    return false;
  }

  /** Probes a target. An error that no code expects tells nothing about the target. */
  async #tryProbe(
    target: Target,
    sinceMs: number,
    signal: AbortSignal,
  ): Promise<ProbeAnswer> {
    try {
      this.#options.onProbe?.();
      return await this.#probe(target, sinceMs, signal);
    } catch (error) {
      this.#options.onError?.(error);
      return "unknown";
    }
  }

  async #probe(
    target: Target,
    sinceMs: number,
    signal: AbortSignal,
  ): Promise<ProbeAnswer> {
    const { connections, codec, isLimited, hasRoom } = this.#options;
    if (isLimited(target)) {
      const answer = await this.#probeConnection(target, sinceMs);
      if (answer === "silent") return "unknown";
      if (answer !== "accepted") return answer;
      if (!hasRoom(target)) return "unknown";
    }
    const request = codec.encodeReportRequest(target);
    const exchange = connections.send(target, request, { purpose: "report" });
    const abort = (): void => exchange.abort("no response to a probe");
    const stopTimer = startStallAwareTimer(abort, PROBE_TIMEOUT_MS);
    signal.addEventListener("abort", abort, { once: true });
    const sending = this.#watchSending(exchange, sinceMs);
    try {
      return await this.#classifyResponse(target, exchange, {
        isSentInTime: sending.isInTime,
        sinceMs,
      });
    } catch (error) {
      if (!(error instanceof ExchangeError)) throw error;
      if (error.isConnectionRefused) return "ended";
      if (error.fault !== "withheld") return "unknown";
      return await this.#probeWithheld(target, sinceMs);
    } finally {
      sending.stop();
      stopTimer();
      signal.removeEventListener("abort", abort);
    }
  }

  /** Classifies the response to a probe. Rejects with an {@linkcode ExchangeError} if there is none. */
  async #classifyResponse(
    target: Target,
    exchange: TargetExchange,
    { isSentInTime, sinceMs }: { isSentInTime: () => boolean; sinceMs: number },
  ): Promise<ProbeAnswer> {
    const { codec, connections } = this.#options;
    const head = await exchange.head;
    const isInTime = isSentInTime();
    if (codec.decodeResponse(head.status, head.headers).misdirected) {
      exchange.discardBody();
      return "ended";
    }
    const report = codec.decodeReport(await exchange.readBody(REPORT_LIMITS));
    const isSame = isSameIncarnation(target, report) ??
      (isInTime || await connections.checkOpenSince(target, sinceMs));
    return isSame ? "alive" : "ended";
  }

  /** Observes whether a probe is sent before a process that ended could have started again. */
  #watchSending(
    exchange: TargetExchange,
    sinceMs: number,
  ): { isInTime: () => boolean; stop: () => void } {
    const remainingMs = sinceMs + MIN_RESTART_MS - this.#nowMs;
    if (remainingMs <= 0) {
      return { isInTime: () => false, stop: () => undefined };
    }
    let isInTime = true;
    const stop = startStallAwareTimer(() => {
      isInTime = exchange.isSent;
    }, remainingMs);
    return { isInTime: () => isInTime, stop };
  }

  /** Probes a target that may get no report now, as it is leaving or in backoff. */
  async #probeWithheld(target: Target, sinceMs: number): Promise<ProbeAnswer> {
    const isInTime = this.#nowMs - sinceMs < MIN_RESTART_MS;
    const answer = await this.#probeConnection(target, sinceMs);
    if (answer !== "accepted" && answer !== "silent") return answer;
    if (!isInTime) return "ended";
    return answer === "accepted" ? "alive" : "unknown";
  }

  /**
   * Probes by connections only. That one is accepted doesn't tell by which incarnation: a VM that was
   * late, or whose path was, sees the end of a process when the next one listens already. The process
   * that ended would have closed all its connections.
   */
  async #probeConnection(
    target: Target,
    sinceMs: number,
  ): Promise<ConnectionAnswer> {
    const { connections, connect } = this.#options;
    const result = await connect(target);
    if (result === "refused") return "ended";
    const isOpen = await connections.checkOpenSince(target, sinceMs);
    if (!isOpen) return result;
    return result === "accepted" ? "alive" : "unknown";
  }
}

/** Whether a report is of the listed incarnation; undefined if it doesn't tell that. */
function isSameIncarnation(
  { startedAtMs }: Target,
  report: EngineReport | undefined,
): boolean | undefined {
  if (report === undefined) return undefined;
  // Incarnations without a start have ids of their own, which the request names.
  if (startedAtMs === undefined) return true;
  if (report.startedAtMs === undefined) return undefined;
  return report.startedAtMs === startedAtMs;
}

/** Longest time for which a call waits for a confirmation; undefined if it waits until it ends. */
export function computeMaxWaitMs(
  { mayRunAgain, remainingMs }: Pick<
    CallContext,
    "mayRunAgain" | "remainingMs"
  >,
): number | undefined {
  if (!mayRunAgain) return undefined;
  return Math.min(PROBE_TIMEOUT_MS, remainingMs * WAIT_SHARE);
}

/**
 * Resolves with whether a response that has ended is complete: at once if its framing shows that, else
 * once its end is confirmed. A call that may run elsewhere keeps time for that.
 */
export async function confirmResponseEnd(
  context: CallContext,
  target: Target,
  head: ResponseHead,
): Promise<boolean> {
  const { call, dependencies, ended } = context;
  if (!isEndedByConnection(call.method, head)) return true;
  const isConfirmed = await dependencies.endConfirmation.confirm(target, {
    abandoned: ended,
    maxWaitMs: computeMaxWaitMs(context),
  });
  if (!isConfirmed) context.recordUnconfirmedEnd(target, UNCONFIRMED_END);
  return isConfirmed;
}
