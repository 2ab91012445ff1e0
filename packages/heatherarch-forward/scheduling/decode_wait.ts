/**
 * Predicts when a decode engine becomes available while there is none.
 *
 * The decode engines can be drained or crash together, and other engines need some seconds to
 * take over the role. Clients of streams time out after about two seconds without an event.
 * A call therefore waits only if a decode engine is expected within that time. Any other call is
 * refused at once with a retry delay, before its prompt is prefilled in vain.
 *
 * All functions are pure: the current time is an argument.
 *
 * @module
 */
import { computeClientTimeoutMs } from "./client_timeout.ts";

/** Delay until the target list shows a finished role change: the entry is appended, then read. */
const TARGET_LIST_LAG_MS = 500;

/**
 * Time until the first engine is ready to decode, in milliseconds. `roleChangeStartsMs` are the
 * times at which engines began to change to the decode role. Returns undefined if no engine is
 * changing, and 0 if a role change is overdue.
 */
export function predictDecodeReadyMs(
  roleChangeStartsMs: readonly number[],
  roleChangeMs: number,
  nowMs: number,
): number | undefined {
  if (roleChangeStartsMs.length === 0) return undefined;
  const readyAtMs = Math.min(...roleChangeStartsMs) + roleChangeMs +
    TARGET_LIST_LAG_MS;
  return Math.max(0, readyAtMs - nowMs);
}

/** Whether a client that has waited for `waitedMs` is still connected when the engine is ready. */
export function isWorthWaiting(
  readyInMs: number | undefined,
  waitedMs: number,
  aimMs: number,
): boolean {
  if (readyInMs === undefined) return false;
  return waitedMs + readyInMs <= computeClientTimeoutMs(aimMs);
}
