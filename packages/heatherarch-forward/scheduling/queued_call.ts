/**
 * A call that waits for a target, what decides its order, and the outcome of its wait.
 *
 * @module
 */
import type { DispatchRate } from "./dispatch_rate.ts";
import type { PromptPlacement } from "./prompt_placement.ts";

/** Times of a call at the target that it is placed on. */
export interface CallPlacement {
  /** Time that is booked for the target, in milliseconds. */
  readonly costMs: number;
  /** Time on a target without other load, in milliseconds. */
  readonly unloadedMs: number;
  /** Time until the target has capacity for the call, in milliseconds. */
  readonly backlogMs: number;
  /** Time until the call is complete at the target, including the backlog, in milliseconds. */
  readonly readyMs: number;
}

/** A placement, with the lane of its call. */
export interface LanePlacement<P extends CallPlacement = PromptPlacement> {
  readonly placement: P;
  readonly lane: number;
  /** Rank of the call when it was placed; 0 without a {@linkcode CallRanker}. */
  readonly rank: number;
}

/** What a queue knows about the wait of a call. */
export interface QueueForecast {
  readonly rank: number;
  /** Queued calls that are ordered before the call. */
  readonly callsAhead: number;
  /** Rate at which the queue dispatches; undefined while it is unknown. */
  readonly rate: DispatchRate | undefined;
  /** Time until the call is dispatched; undefined while the rate is unknown. */
  readonly predictedWaitMs: number | undefined;
}

/** Decides which waiting calls go first, before the order by time. */
export interface CallRanker {
  /** 0 goes first. Calls of equal rank remain ordered by time. */
  computeRank(call: RankedCall, nowMs: number): number;
  /** Called when a call is placed, with the time for which it occupies one slot of its target. */
  recordDispatch?(call: RankedCall, workMs: number, nowMs: number): void;
}

/** What the rank of a call depends on. */
export interface RankedCall {
  /** Service that the call is sent to. */
  readonly service?: string;
  /** Client account, if the call has one. */
  readonly account?: string;
  /** The call is a client's retry after a rejection, at the time that the rejection stated. */
  readonly isReturn: boolean;
}

/** Outcome of the wait of a call. */
export type QueueOutcome<P extends CallPlacement = PromptPlacement> =
  | { readonly kind: "placed"; readonly placed: LanePlacement<P> }
  /** No target is available now. */
  | { readonly kind: "noTarget" }
  /** No target can complete the call before it has to end its wait. */
  | {
    readonly kind: "tooLate";
    /** Best placement, unless the call was rejected because of the calls ahead. */
    readonly placement?: P;
    readonly forecast: QueueForecast;
    /** Predicted time until the call would be complete at a target, in milliseconds. */
    readonly readyMs: number;
    /** Time by which the placement had to be complete, monotonic milliseconds. */
    readonly readyDeadlineMs: number;
  };

/** A call that needs a target. Times are monotonic milliseconds. */
export interface QueuedCall<P extends CallPlacement = PromptPlacement> {
  /** Lane by the priority of the route. */
  readonly lane: number;
  /** Kind of request, within which large prompts get a minimum share. */
  readonly kind: string;
  /** Size of the prompt; a call without one takes no part in the shares by size. */
  readonly tokens?: number;
  /** Service that the call is sent to; a queue may have the calls of several. */
  readonly service?: string;
  /** Client account, if the call has one. */
  readonly account?: string;
  /** The call is a client's retry after a rejection; false by default. */
  readonly isReturn?: boolean;
  /** Start of the client's wait: the arrival, or the time at which a stream was interrupted. */
  readonly waitStartedAtMs: number;
  /** Latency objective: time from then within which the first token earns full worth. */
  readonly aimMs: number;
  /** Time at which the client times out. */
  readonly timeoutAtMs: number;
  /** Time from the completion at the target to the response, or its first event, at the client. */
  readonly responseDelayMs: number;
  /**
   * Finds the target that would complete the call first; undefined if there is none. The rank of the
   * call may decide how busy that target may be.
   */
  findPlacement(rank: number): P | undefined;
  /**
   * Predicts the time of the call at a target with capacity. Without it, the queue uses the last
   * placement that it found for the call.
   */
  predictMs?(): number;
  /** Whether the fleet has a spare engine for the prompt of a late call; by default it has. */
  mayPlaceLate?(): boolean;
  /**
   * Called once, unless the wait is cancelled. The work of a placed call has to be booked before this
   * returns.
   */
  onOutcome(outcome: QueueOutcome<P>): void;
  /**
   * Called when a step of the call throws, {@linkcode onOutcome} included: its wait has ended without an
   * outcome. The queue goes on with the other calls. Without it, the error ends the dispatch.
   */
  onError?(thrown: unknown): void;
}
