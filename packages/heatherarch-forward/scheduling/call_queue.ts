/**
 * Queues prompts at this VM until an engine is about to have capacity for them.
 *
 * Bursts bring two to five times as many prompts as the engines can prefill, for seconds. An engine
 * prefills in the order of arrival. Prompts that were sent to it can't be reordered, moved or
 * withdrawn, so a call that became late there stays ahead of calls that could be on time. Engines
 * therefore get only enough work for the next tens of milliseconds, and the other prompts wait here.
 *
 * Calls that can still meet their latency objective go first, ordered by route priority and by the
 * time that they have left. Late calls are placed when no other call waits, and are refused when
 * their clients are about to time out. Large prompts of an underserved size class go before all
 * others (see `size_fairness.ts`).
 *
 * @module
 */
import type { Clock } from "heatherarch-core";
import { LATE_LANE } from "./priority_lanes.ts";
import type { PromptPlacement } from "./prompt_placement.ts";
import { type SizeClass, SizeFairness } from "./size_fairness.ts";

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
}

/** Outcome of the wait of a call. */
export type QueueOutcome<P extends CallPlacement = PromptPlacement> =
  | { readonly kind: "placed"; readonly placed: LanePlacement<P> }
  /** No target is available now. */
  | { readonly kind: "noTarget" }
  /** No target can complete the call before it has to end its wait. */
  | {
    readonly kind: "tooLate";
    readonly placement: P;
    /** Time by which the placement had to be complete, monotonic milliseconds. */
    readonly readyDeadlineMs: number;
  };

/** A call that needs a target. Times are monotonic milliseconds. */
export interface QueuedCall<P extends CallPlacement = PromptPlacement> {
  /** Lane by the priority of the route. */
  readonly lane: number;
  /** Kind of request, within which large prompts get a minimum share. */
  readonly kind: string;
  readonly tokens: number;
  /** Start of the client's wait: the arrival, or the time at which a stream was interrupted. */
  readonly waitStartedAtMs: number;
  /** Latency objective: time from then within which the first token earns full worth. */
  readonly aimMs: number;
  /** Time at which the client times out. */
  readonly timeoutAtMs: number;
  /** Time from the completion at the target to the response, or its first event, at the client. */
  readonly responseDelayMs: number;
  /** Finds the target that would complete the call first; undefined if there is none. */
  findPlacement(): P | undefined;
  /** Whether the fleet has a spare engine for the prompt of a late call. */
  mayPlaceLate(): boolean;
  /**
   * Called once, unless the wait is cancelled. The work of a placed call has to be booked before this
   * returns.
   */
  onOutcome(outcome: QueueOutcome<P>): void;
}

/** Options of {@linkcode CallQueue}. */
export interface CallQueueOptions {
  readonly clock: Clock;
  /** An engine gets another prompt while its prefill backlog is not above this, in milliseconds. */
  readonly maxBacklogMs?: number;
  /** Largest backlog at which an engine gets the prompt of a late call, in milliseconds. */
  readonly maxLateBacklogMs?: number;
  /**
   * Whether a timer dispatches while prompts wait. Simulations turn it off and call
   * {@linkcode CallQueue.dispatch}.
   */
  readonly isTimerEnabled?: boolean;
}

/**
 * A response takes some 20 ms in addition to the prefill, and peers report their work every 60 ms.
 * With a smaller value an engine is idle between two prompts. With a larger one it holds prompts that
 * could have gone to another engine.
 */
const DEFAULT_MAX_BACKLOG_MS = 60;
/** Late calls use only engines that are almost idle. */
const DEFAULT_MAX_LATE_BACKLOG_MS = 20;
/** Shortest time between dispatches while prompts wait: a sixth of the default backlog. */
const MIN_DISPATCH_INTERVAL_MS = 10;
/**
 * Longest time between dispatches, and the longest delay until new engines, or work that peers finish
 * earlier than reported, are noticed. Between the two limits, the next dispatch waits until an engine
 * is known to have capacity. In an overload this saves a small VM two thirds of its dispatches.
 */
const MAX_DISPATCH_INTERVAL_MS = 30;
/**
 * Waiting prompts of one lane for which one dispatch searches an engine. If the first ones find all
 * engines full, the next ones do too.
 */
const MAX_PLACEMENTS_PER_DISPATCH = 8;
/** Time between dispatches of late calls, which may be many and are not urgent. */
const LATE_DISPATCH_INTERVAL_MS = 40;
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

/** Queue of the calls that wait at one VM. */
export class CallQueue<P extends CallPlacement = PromptPlacement> {
  readonly #clock: Clock;
  readonly #maxBacklogMs: number;
  readonly #maxLateBacklogMs: number;
  readonly #isTimerEnabled: boolean;
  readonly #fairness = new SizeFairness();
  /** Calls that can be on time, in the order in which they are placed. */
  #waiting: WaitingCall<P>[] = [];
  /** Late calls, in the order in which they became late. */
  #late: WaitingCall<P>[] = [];
  #lateDispatchedAtMs = -Infinity;
  /** Time until an engine is expected to have capacity for a waiting call, in milliseconds. */
  #capacityInMs = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: CallQueueOptions) {
    this.#clock = options.clock;
    this.#maxBacklogMs = options.maxBacklogMs ?? DEFAULT_MAX_BACKLOG_MS;
    this.#maxLateBacklogMs = options.maxLateBacklogMs ??
      DEFAULT_MAX_LATE_BACKLOG_MS;
    this.#isTimerEnabled = options.isTimerEnabled ?? true;
  }

  /** Number of waiting prompts. */
  get size(): number {
    return this.#waiting.length + this.#late.length;
  }

  /** Adds a prompt; returns a function that cancels its wait. */
  enqueue(request: QueuedCall<P>): () => void {
    const waiting = this.#buildWaitingCall(request);
    const index = this.#waiting.findIndex((other) => isBefore(waiting, other));
    if (index < 0) this.#waiting.push(waiting);
    else this.#waiting.splice(index, 0, waiting);
    this.dispatch();
    return () => {
      if (!this.#remove(waiting)) return;
      this.#fairness.recordEnd(request.kind, waiting.size, false);
    };
  }

  /** Counts a prompt in its size class, and its outcome once there is one. */
  #buildWaitingCall(request: QueuedCall<P>): WaitingCall<P> {
    const { kind, tokens, onOutcome } = request;
    const size = this.#fairness.recordArrival(kind, tokens);
    return {
      ...request,
      size,
      onOutcome: (outcome) => {
        this.#fairness.recordEnd(kind, size, outcome.kind === "placed");
        onOutcome(outcome);
      },
    };
  }

  /** Places the prompts that can be placed now. */
  dispatch(): void {
    const nowMs = this.#clock.readMonotonicMs();
    this.#capacityInMs = MAX_DISPATCH_INTERVAL_MS;
    this.#placeUnderserved(nowMs);
    this.#placeWaiting(nowMs);
    if (nowMs - this.#lateDispatchedAtMs >= LATE_DISPATCH_INTERVAL_MS) {
      this.#lateDispatchedAtMs = nowMs;
      this.#placeLate(nowMs);
    }
    if (this.size === 0 || !this.#isTimerEnabled) return;
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      this.dispatch();
    }, Math.max(MIN_DISPATCH_INTERVAL_MS, this.#capacityInMs));
  }

  /**
   * Places large prompts of an underserved size class before all others, including those that can no
   * longer be on time: in an overload, no other rule of this queue places a large prompt. The cheapest
   * goes first, because its size class may no longer be underserved once it is placed.
   */
  #placeUnderserved(nowMs: number): void {
    const requests = [...this.#waiting, ...this.#late]
      .filter((request) => this.#isUnderserved(request))
      .slice(0, MAX_PLACEMENTS_PER_DISPATCH)
      .map((request) => ({ request, placement: request.findPlacement() }))
      .filter((entry): entry is PlacedCall<P> => entry.placement !== undefined)
      .sort((a, b) => a.placement.costMs - b.placement.costMs);
    for (const entry of requests) {
      if (this.#isUnderserved(entry.request)) this.#placeFirst(entry, nowMs);
    }
  }

  #isUnderserved({ kind, size }: WaitingCall<P>): boolean {
    return this.#fairness.isUnderserved(kind, size);
  }

  #placeFirst({ request, placement }: PlacedCall<P>, nowMs: number): void {
    const { waitStartedAtMs, aimMs, timeoutAtMs, responseDelayMs } = request;
    if (nowMs + findMinMs(placement) > timeoutAtMs - responseDelayMs) return;
    if (placement.backlogMs > this.#maxBacklogMs) {
      this.#noteCapacityInMs(placement.backlogMs - this.#maxBacklogMs);
      return;
    }
    const isLate = nowMs + placement.readyMs >
      waitStartedAtMs + aimMs - responseDelayMs;
    this.#remove(request);
    const lane = isLate ? LATE_LANE : request.lane;
    request.onOutcome({ kind: "placed", placed: { placement, lane } });
  }

  #placeWaiting(nowMs: number): void {
    const kept: WaitingCall<P>[] = [];
    const keptInLane = new Map<number, number>();
    for (const request of this.#waiting.splice(0)) {
      const { lane } = request;
      const before = keptInLane.get(lane) ?? 0;
      if (
        before < MAX_PLACEMENTS_PER_DISPATCH &&
        !this.#shouldKeepWaiting(request, nowMs)
      ) continue;
      kept.push(request);
      keptInLane.set(lane, before + 1);
    }
    this.#waiting = kept;
  }

  /** Whether a call that may be on time has to keep waiting. If not, it was placed or became late. */
  #shouldKeepWaiting(request: WaitingCall<P>, nowMs: number): boolean {
    const { waitStartedAtMs, aimMs, responseDelayMs, lane } = request;
    const placement = request.findPlacement();
    if (placement === undefined) {
      request.onOutcome({ kind: "noTarget" });
      return false;
    }
    const readyDeadlineMs = waitStartedAtMs + aimMs - responseDelayMs;
    if (nowMs + placement.readyMs > readyDeadlineMs) {
      this.#late.push(request);
      return false;
    }
    if (placement.backlogMs > this.#maxBacklogMs) {
      this.#noteCapacityInMs(placement.backlogMs - this.#maxBacklogMs);
      return true;
    }
    request.onOutcome({ kind: "placed", placed: { placement, lane } });
    return false;
  }

  #noteCapacityInMs(inMs: number): void {
    this.#capacityInMs = Math.min(this.#capacityInMs, inMs);
  }

  /**
   * Places late calls. Large prompts go first, then the calls that became late most recently, because
   * their clients stay longest.
   */
  #placeLate(nowMs: number): void {
    const considered = this.#late.splice(0).reverse()
      .map((request) => ({ request, placement: request.findPlacement() }));
    const ordered = [
      ...considered.filter(isLarge),
      ...considered.filter((entry) => !isLarge(entry)),
    ];
    const kept = new Set<WaitingCall<P>>();
    for (const entry of ordered) {
      if (this.#shouldKeepLateWaiting(entry, nowMs)) kept.add(entry.request);
    }
    const remaining = considered.map(({ request }) => request)
      .filter((request) => kept.has(request));
    this.#late = remaining.reverse();
  }

  /** Whether a late call has to keep waiting. If not, it was placed or refused. */
  #shouldKeepLateWaiting(
    { request, placement }: ConsideredCall<P>,
    nowMs: number,
  ): boolean {
    if (placement === undefined) {
      request.onOutcome({ kind: "noTarget" });
      return false;
    }
    const readyDeadlineMs = computeLateTimeoutAtMs(request, placement) -
      request.responseDelayMs;
    const readyMs = this.#isUnderserved(request)
      ? findMinMs(placement)
      : placement.readyMs;
    if (nowMs + readyMs > readyDeadlineMs) {
      request.onOutcome({
        kind: "tooLate",
        placement,
        readyDeadlineMs,
      });
      return false;
    }
    if (placement.backlogMs > this.#maxLateBacklogMs) {
      this.#noteCapacityInMs(placement.backlogMs - this.#maxLateBacklogMs);
      return true;
    }
    if (!request.mayPlaceLate()) return true;
    const placed = { placement, lane: LATE_LANE };
    request.onOutcome({ kind: "placed", placed });
    return false;
  }

  /** Removes a request; returns whether it was waiting. */
  #remove(request: WaitingCall<P>): boolean {
    const sizeBefore = this.size;
    this.#waiting = this.#waiting.filter((other) => other !== request);
    this.#late = this.#late.filter((other) => other !== request);
    return this.size < sizeBefore;
  }
}

interface WaitingCall<P extends CallPlacement> extends QueuedCall<P> {
  readonly size: SizeClass;
}

type OrderedCall = Pick<QueuedCall, "waitStartedAtMs" | "aimMs" | "lane">;

interface PlacedCall<P extends CallPlacement> {
  readonly request: WaitingCall<P>;
  readonly placement: P;
}

interface ConsideredCall<P extends CallPlacement> {
  readonly request: WaitingCall<P>;
  readonly placement: P | undefined;
}

function isLarge<P extends CallPlacement>(
  { request, placement }: ConsideredCall<P>,
): boolean {
  if (placement === undefined) return false;
  return placement.costMs > request.aimMs * LARGE_COST_FRACTION;
}

/**
 * Shortest time in which a prompt can be prefilled. The booked time also includes waits for other
 * prompts, which are seconds for a large prompt. By the booked time, a large prompt that could be
 * prefilled in time would be refused on arrival.
 */
function findMinMs(
  { backlogMs, unloadedMs }: CallPlacement,
): number {
  return backlogMs + unloadedMs;
}

/** Time until which a late call waits. */
function computeLateTimeoutAtMs<P extends CallPlacement>(
  request: WaitingCall<P>,
  placement: P,
): number {
  const { waitStartedAtMs, timeoutAtMs } = request;
  if (isLarge({ request, placement })) return timeoutAtMs;
  return waitStartedAtMs +
    (timeoutAtMs - waitStartedAtMs) * LATE_WAIT_FRACTION;
}

function isBefore(a: OrderedCall, b: OrderedCall): boolean {
  return computeOrderMs(a) < computeOrderMs(b);
}

/** Sort key of a waiting call: the time of its latency objective, plus a penalty for its lane. */
function computeOrderMs(
  { waitStartedAtMs, aimMs, lane }: OrderedCall,
): number {
  return waitStartedAtMs + aimMs + lane * LANE_PENALTY_MS;
}
