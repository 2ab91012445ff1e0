/**
 * When an engine will generate again, where none does.
 *
 * Pattern of load: the engines that generate are drained or crash together, and others need some
 * seconds to take their role. Callers of streams leave when they have heard nothing for about two
 * seconds, so a call waits only where the engine comes within that time; any other is told at
 * once when to come back, before its prompt is read for nothing.
 *
 * Pure: time comes in with each call.
 *
 * @module
 */
import { computeCallerTimeoutMs } from "./caller_timeout.ts";

/** From the end of a change until the list tells it: an entry, a reading of it, milliseconds. */
const LIST_LAG_MS = 500;

/**
 * Time until the first of the engines generates, milliseconds; `changingSince` are the times at
 * which engines began to take the role. Undefined where none does. 0 where one is overdue.
 */
export function predictDecodeReadyMs(
  changingSince: readonly number[],
  roleChangeMs: number,
  nowMs: number,
): number | undefined {
  if (changingSince.length === 0) return undefined;
  const readyAtMs = Math.min(...changingSince) + roleChangeMs + LIST_LAG_MS;
  return Math.max(0, readyAtMs - nowMs);
}

/** Whether a caller that has waited for `waitedMs` is still there when the engine comes. */
export function isWorthWaiting(
  comesInMs: number | undefined,
  waitedMs: number,
  aimMs: number,
): boolean {
  if (comesInMs === undefined) return false;
  return waitedMs + comesInMs <= computeCallerTimeoutMs(aimMs);
}
