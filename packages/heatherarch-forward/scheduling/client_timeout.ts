/**
 * Computes how long the client of a stream waits before it times out, and from when.
 *
 * All functions are pure: times are arguments.
 *
 * @module
 */

/**
 * Clients abandon a stream after the longer of 2 s and four times its latency objective without an
 * event, as specified in the users' page of requests. The margin covers the network path to the
 * client and the first token.
 */
const CLIENT_TIMEOUT = { minMs: 2000, aimFactor: 4, marginMs: 250 };

/** Time for which a client waits for the next event of a stream, in milliseconds. */
export function computeClientTimeoutMs(aimMs: number): number {
  const { minMs, aimFactor, marginMs } = CLIENT_TIMEOUT;
  return Math.max(minMs, aimFactor * aimMs) - marginMs;
}

/** Options of {@linkcode computeWaitLimits}; times are monotonic milliseconds. */
export interface WaitOptions {
  readonly arrivedAtMs: number;
  /** Deadline of the call, set by its client and its route. */
  readonly deadlineAtMs: number;
  /** Latency objective of the route. */
  readonly aimMs: number;
  /** Time at which a started stream was interrupted; undefined before the first event. */
  readonly interruptedAtMs?: number;
}

/** Start and end of the wait of a call; monotonic milliseconds. */
export interface WaitLimits {
  readonly waitStartedAtMs: number;
  readonly timeoutAtMs: number;
}

/**
 * Computes the limits of a wait. A client that has received events restarts its timeout at the last
 * one, so an interrupted stream is not late just because its call is old.
 */
export function computeWaitLimits(options: WaitOptions): WaitLimits {
  const {
    arrivedAtMs,
    deadlineAtMs,
    aimMs,
    interruptedAtMs,
  } = options;
  const waitStartedAtMs = interruptedAtMs ?? arrivedAtMs;
  const timeoutAtMs = waitStartedAtMs + computeClientTimeoutMs(aimMs);
  return {
    waitStartedAtMs,
    timeoutAtMs: Math.min(deadlineAtMs, timeoutAtMs),
  };
}
