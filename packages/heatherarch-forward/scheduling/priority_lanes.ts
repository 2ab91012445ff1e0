/**
 * In which lane a prompt is read.
 *
 * Pattern of load: when engines have more to read than they can, first come, first served makes
 * every call late at once, the short ones behind the long. So calls that can still be on time
 * go first, by the rank of their route, and calls that are late anyway take what is left. The
 * order is kept at the VMs, see `read_queue.ts`: an engine admits by priority, which counts only
 * when its places have run out, and reads what it has admitted in the order of arrival.
 *
 * @module
 */
import { LANE_COUNT } from "../state/work_tracker.ts";

/** Lane of calls that miss their aim in any case. */
export const LATE_LANE = LANE_COUNT - 1;

/** Engine priorities run from 0 (first) to 9; the default of calls without one is 5. */
const FIRST_ENGINE_PRIORITY = 2;
const LATE_ENGINE_PRIORITY = 8;

/** Lane of a call that can be on time, by its route's rank. */
export function computeLane(routePriority: number): number {
  return Math.min(Math.max(0, routePriority), LATE_LANE - 1);
}

/** The priority that tells an engine the lane. */
export function computeEnginePriority(lane: number): number {
  return lane === LATE_LANE
    ? LATE_ENGINE_PRIORITY
    : FIRST_ENGINE_PRIORITY + lane;
}
