/**
 * A timeout for responses of others that does not count the time in which this process stalls, since a
 * response may have arrived meanwhile that the process could not read.
 *
 * @module
 */

/** Interval at which the timer checks whether the process runs, milliseconds. */
const CHECK_INTERVAL_MS = 30;
/** A check that comes later than this shows that the process stalled, milliseconds. */
const MAX_CHECK_LATENESS_MS = 12;
/** The timeout is over in any case after this many times its length. */
const MAX_EXTENSION = 4;

/**
 * Calls `onTimeout` once the process has run for `timeoutMs`. Returns a function that stops the timer.
 */
export function startStallAwareTimer(
  onTimeout: () => void,
  timeoutMs: number,
): () => void {
  const maxChecks = Math.ceil(timeoutMs / CHECK_INTERVAL_MS);
  let checks = 0;
  let punctualChecks = 0;
  let dueAtMs = performance.now() + CHECK_INTERVAL_MS;
  const timer = setInterval(() => {
    const nowMs = performance.now();
    checks++;
    if (nowMs - dueAtMs <= MAX_CHECK_LATENESS_MS) punctualChecks++;
    dueAtMs = nowMs + CHECK_INTERVAL_MS;
    const isOver = punctualChecks >= maxChecks ||
      checks >= maxChecks * MAX_EXTENSION;
    if (!isOver) return;
    clearInterval(timer);
    // What has arrived by now is read first.
    setImmediate(onTimeout);
  }, CHECK_INTERVAL_MS);
  return () => clearInterval(timer);
}
