/**
 * Assigns prompts to priority lanes.
 *
 * When engines are overloaded with prompts, first come, first served makes every call late at once,
 * because short prompts wait behind long ones. Calls that can still meet their latency objective
 * therefore go first, ordered by the priority of their route. Calls that will miss it use the
 * capacity that is left.
 *
 * The VMs keep this order (see `call_queue.ts`), because engines do not. An engine admits
 * requests by priority only when it has run out of slots, and prefills admitted requests in the
 * order of arrival.
 *
 * @module
 */
import { LANE_COUNT } from "../state/work_tracker.ts";

/** Lane of calls that will miss their latency objective. */
export const LATE_LANE = LANE_COUNT - 1;

/** Engine priorities range from 0 (highest) to 9; a request without a priority has 5. */
const FIRST_ENGINE_PRIORITY = 2;
const LATE_ENGINE_PRIORITY = 8;

/** Lane of a call that can meet its latency objective, by the priority of its route. */
export function computeLane(routePriority: number): number {
  return Math.min(Math.max(0, routePriority), LATE_LANE - 1);
}

/** Priority that is sent to an engine for a lane. */
export function computeEnginePriority(lane: number): number {
  return lane === LATE_LANE
    ? LATE_ENGINE_PRIORITY
    : FIRST_ENGINE_PRIORITY + lane;
}
