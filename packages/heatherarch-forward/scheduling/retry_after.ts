/**
 * When a caller that was refused under load should come back.
 *
 * Pattern of load: an overload lasts for seconds. A caller that has waited for two seconds in vain
 * and comes back after 0.2 s meets the same overload, is refused again, and takes the turn of
 * others. Half of the time that it waited is what the overload is known to last for, shortened
 * since it may end at any time.
 *
 * @module
 */

/** Shortest wait that is told: a queue of some prompts, milliseconds. */
const MIN_RETURN_MS = 200;
/** Part of the time waited in vain after which a caller should come back. */
const WAITED_PART = 0.5;
/** Callers refused together come back spread over this part of the time. */
const SPREAD = 0.5;

/** Time after which a caller should come back, milliseconds. */
export function computeRetryAfterMs(
  /** Time that it waited in vain. */
  waitedMs: number,
  /** Time by which its answer would be later than its aim. */
  excessMs: number,
  drawUnit: () => number,
): number {
  const plainMs = Math.max(MIN_RETURN_MS, excessMs, waitedMs * WAITED_PART);
  return plainMs * (1 + drawUnit() * SPREAD);
}
