/**
 * Reads a short body whose exchange something else could replace. A sound target may be silent for a second
 * or so in the middle of its response, so the exchange is given up only once its replacement is certain.
 *
 * @module
 */
import { sleep } from "heatherarch-core";
import { takeReplacement } from "./attempt_result.ts";
import type { CallContext, RequestPlan } from "./call_context.ts";
import type { Target } from "../model.ts";
import { runReported } from "../report_error.ts";
import { watchPathLoss } from "./path_loss_watch.ts";
import {
  ABANDONED_BODY,
  type BodyLimits,
  type TargetExchange,
} from "./target_exchange.ts";

/** Options of {@linkcode readReplaceableBody}. */
export interface ReplaceableBodyOptions {
  readonly context: CallContext;
  readonly target: Target;
  readonly exchange: TargetExchange;
  /**
   * The timeout bounds the time in which bytes arrive, as such a body may never end, and the silence after
   * which the exchange may be replaced.
   */
  readonly limits: BodyLimits;
  /** Whether the call may be repeated, also at a peer if the path to the target is lost. */
  readonly isRepeatable: boolean;
  /** Resolves with whether the call has another target to go to. Takes nothing. */
  readonly mayGiveUp: () => Promise<boolean>;
  /** Requests that replace the exchange, whose retries are taken when it is given up. */
  readonly replacement: RequestPlan;
  /** Whether the exchange is a prefill, which is no run; by default it is not. */
  readonly isPrefill?: boolean;
}

/** Interval at which a body is checked; without a byte for this long it counts as silent, milliseconds. */
const CHECK_INTERVAL_MS = 100;

/** Reads a body within limits. Rejects with an `ExchangeError` beyond them. */
export async function readReplaceableBody(
  options: ReplaceableBodyOptions,
): Promise<Buffer> {
  const { context, target, exchange, limits, isRepeatable, isPrefill } =
    options;
  const stopPathWatch = isRepeatable
    ? watchPathLoss({ context, target, exchange, isPrefill })
    : () => undefined;
  const stopBodyWatch = watchBody(options);
  try {
    return await exchange.readBody({ ...limits, timeoutMs: Infinity });
  } finally {
    stopBodyWatch();
    stopPathWatch();
  }
}

/** Aborts an exchange whose body exceeds its limits. Returns a function that stops this. */
function watchBody(options: ReplaceableBodyOptions): () => void {
  const { context, exchange, limits: { timeoutMs } } = options;
  let isStopped = false;
  let receivingMs = 0;
  let abandonedMs = 0;
  const isOver = async (): Promise<boolean> => {
    if (context.hasEnded) abandonedMs += CHECK_INTERVAL_MS;
    const silentMs = exchange.getSilentMs(context.nowMs);
    if (silentMs < CHECK_INTERVAL_MS) receivingMs += CHECK_INTERVAL_MS;
    if (abandonedMs >= ABANDONED_BODY.timeoutMs) return true;
    if (receivingMs >= timeoutMs) return true;
    if (silentMs < timeoutMs || !options.isRepeatable) return false;
    return await options.mayGiveUp() && !isStopped &&
      exchange.getSilentMs(context.nowMs) >= timeoutMs &&
      takeReplacement(context, options.replacement);
  };
  const checkOver = async (): Promise<boolean> => {
    try {
      return await isOver();
    } catch (error) {
      context.reportError("watch", error);
      return false;
    }
  };
  const watch = async (): Promise<void> => {
    while (!isStopped) {
      await sleep(CHECK_INTERVAL_MS);
      // Bytes that have arrived are no silence, although the timer runs before they are read.
      await context.dependencies.readBarrier.awaitRead();
      if (isStopped || !await checkOver() || isStopped) continue;
      exchange.abort(`response not complete within ${timeoutMs} ms`);
      return;
    }
  };
  runReported(context.dependencies, "watch", watch);
  return () => {
    isStopped = true;
  };
}
