/**
 * Computes the retry delay for clients that are refused under load.
 *
 * An overload lasts for seconds. A client that waited for two seconds without success and retries
 * after 0.2 s meets the same overload, is refused again, and takes capacity from other clients.
 * The time that the call waited is how long the overload is known to have lasted. Half of that time
 * is used as the delay, because the overload may end at any moment.
 *
 * @module
 */

/** Shortest delay that is returned, the duration of a queue of a few prompts. */
const MIN_RETRY_AFTER_MS = 200;
/** Delay as a fraction of the time that the call waited. */
const WAITED_FRACTION = 0.5;
/** Clients that are refused together spread their retries over this fraction of the delay. */
const JITTER_FRACTION = 0.5;

/**
 * Longest time for which a rate limit counts as full, in milliseconds. With a small share of a limit a
 * VM may have to wait for much longer, but a client that retries reaches another VM.
 */
export const MAX_RATE_LIMIT_DELAY_MS = 2000;

/** `Retry-After` of a VM that shuts down, in milliseconds: another VM serves the call at once. */
export const SHUTDOWN_RETRY_AFTER_MS = 10;

/** Time after which a client should retry, in milliseconds. */
export function computeRetryAfterMs(
  /** Time that the call waited before it was refused. */
  waitedMs: number,
  /** Time by which the response would miss the latency objective. */
  excessMs: number,
  /** Returns a random number in [0, 1). */
  drawUnit: () => number,
): number {
  const baseMs = Math.max(
    MIN_RETRY_AFTER_MS,
    excessMs,
    waitedMs * WAITED_FRACTION,
  );
  return baseMs * (1 + drawUnit() * JITTER_FRACTION);
}
