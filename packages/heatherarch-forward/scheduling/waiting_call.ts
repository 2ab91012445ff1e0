/**
 * A call in a queue, and what follows from its times: the order, and until when it waits.
 *
 * @module
 */
import type {
  CallPlacement,
  QueuedCall,
  QueueOutcome,
  RankedCall,
} from "./queued_call.ts";
import type { SizeClass } from "./size_fairness.ts";

/**
 * Each lane of lower priority counts as this much less waiting time. With strict priorities, an
 * overload of the first lane would starve the others.
 */
const LANE_PENALTY_MS = 300;
/**
 * A late call waits for this fraction of its client's timeout. The rest is too short for the prefill
 * and the first token. A call that is refused earlier is retried within the same burst.
 */
const LATE_WAIT_FRACTION = 0.85;
/**
 * A prompt whose prefill takes more than this fraction of its latency objective is seldom on time. It
 * waits until its client times out, because prompts of its size would otherwise not be served at all
 * under load.
 */
const LARGE_COST_FRACTION = 0.5;

/** Outcome of a call that can't be complete in time. */
export type TooLateOutcome<P extends CallPlacement> = Extract<
  QueueOutcome<P>,
  { kind: "tooLate" }
>;

/** A call in a queue. */
export interface WaitingCall<P extends CallPlacement> extends QueuedCall<P> {
  readonly size: SizeClass;
  rank: number;
  /** Time at a target with capacity, by the last placement that was found. */
  expectedMs: number | undefined;
  /** Whether the wait has ended, so that the call has no place in the queue any more. */
  hasEnded: boolean;
}

/** What decides until when a call waits. */
export type CallLimits = Pick<
  QueuedCall,
  "waitStartedAtMs" | "aimMs" | "timeoutAtMs"
>;

type OrderedCall = Pick<QueuedCall, "waitStartedAtMs" | "aimMs" | "lane">;

/** A call with the placement that it may get. */
export interface PlacedCall<P extends CallPlacement> {
  readonly request: WaitingCall<P>;
  readonly placement: P;
}

/** A call, with its best placement if there is one. */
export interface ConsideredCall<P extends CallPlacement> {
  readonly request: WaitingCall<P>;
  readonly placement: P | undefined;
}

/** Whether a prompt takes so long that it is seldom on time. */
export function isLarge<P extends CallPlacement>(
  { request, placement }: {
    readonly request: Pick<QueuedCall, "aimMs">;
    readonly placement: P | undefined;
  },
): boolean {
  if (placement === undefined) return false;
  return placement.costMs > request.aimMs * LARGE_COST_FRACTION;
}

/**
 * Shortest time in which a prompt can be prefilled. The booked time also includes waits for other
 * prompts, which are seconds for a large prompt. By the booked time, a large prompt that could be
 * prefilled in time would be refused on arrival.
 */
export function findMinMs(
  { backlogMs, unloadedMs }: CallPlacement,
): number {
  return backlogMs + unloadedMs;
}

/** Picks what the rank of a call depends on. */
export function buildRankedCall(
  { service, account, isReturn = false }: Pick<
    QueuedCall,
    "service" | "account" | "isReturn"
  >,
): RankedCall {
  return account === undefined ? { isReturn } : { service, account, isReturn };
}

/** Time of a call at a target with capacity; 0 if nothing is known. */
export function predictCallMs<P extends CallPlacement>(
  call: WaitingCall<P>,
): number {
  return call.predictMs?.() ?? call.expectedMs ?? 0;
}

/** Time by which a call has to be complete at its target, to reach its client in time. */
export function computeReadyDeadlineMs(
  { timeoutAtMs, responseDelayMs }: Pick<
    QueuedCall,
    "timeoutAtMs" | "responseDelayMs"
  >,
): number {
  return timeoutAtMs - responseDelayMs;
}

/** Time until which a late call waits. */
export function computeLateTimeoutAtMs<P extends CallPlacement>(
  request: CallLimits,
  placement: P,
): number {
  const { waitStartedAtMs, timeoutAtMs } = request;
  if (isLarge({ request, placement })) return timeoutAtMs;
  return waitStartedAtMs +
    (timeoutAtMs - waitStartedAtMs) * LATE_WAIT_FRACTION;
}

/** Whether a call that can be on time goes before another one of the same rank. */
export function isBefore(a: OrderedCall, b: OrderedCall): boolean {
  return computeOrderMs(a) < computeOrderMs(b);
}

/** Sort key of a waiting call: the time of its latency objective, plus a penalty for its lane. */
function computeOrderMs(
  { waitStartedAtMs, aimMs, lane }: OrderedCall,
): number {
  return waitStartedAtMs + aimMs + lane * LANE_PENALTY_MS;
}
