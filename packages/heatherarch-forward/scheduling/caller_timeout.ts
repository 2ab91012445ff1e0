/**
 * For how long the caller of a stream waits, and from when.
 *
 * Pure: time comes in with each call.
 *
 * @module
 */

/**
 * Callers leave a stream after the longer of 2 s and four times its aim without an event (the
 * users' page of requests); less the way there and the first token.
 */
const CALLER_PATIENCE = { leastMs: 2000, aims: 4, marginMs: 250 };

/** Time for which a caller waits for an event of a stream, milliseconds. */
export function computeCallerTimeoutMs(aimMs: number): number {
  const { leastMs, aims, marginMs } = CALLER_PATIENCE;
  return Math.max(leastMs, aims * aimMs) - marginMs;
}

/** What bounds the wait of a call; times are monotonic milliseconds. */
export interface WaitOptions {
  readonly arrivedAtMs: number;
  /** Time at which neither caller nor route waits any longer. */
  readonly deadlineAtMs: number;
  readonly aimMs: number;
  /** Time at which a stream that had begun broke off; undefined before the first event. */
  readonly interruptedAtMs?: number;
}

/** From when and until when a call waits; monotonic milliseconds. */
export interface WaitLimits {
  readonly waitStartedAtMs: number;
  readonly timeoutAtMs: number;
}

/**
 * The limits of a wait. A caller that has had events waits anew from the last one, so a stream
 * that broke off is not late because its call is old.
 */
export function computeWaitLimits(options: WaitOptions): WaitLimits {
  const {
    arrivedAtMs,
    deadlineAtMs: endAtMs,
    aimMs,
    interruptedAtMs: brokeAtMs,
  } = options;
  const sinceMs = brokeAtMs ?? arrivedAtMs;
  const leavesAtMs = sinceMs + computeCallerTimeoutMs(aimMs);
  return {
    waitStartedAtMs: sinceMs,
    timeoutAtMs: Math.min(endAtMs, leavesAtMs),
  };
}
