/**
 * Queues calls at this VM until a target is about to have capacity for them: prompts for an engine
 * that prefills them, and calls of a plain service.
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
 * Plain calls have no sizes, and an engine's long late prompts have no counterpart among them. A late
 * plain call waits behind those that can be on time, until it can't be served before its client times
 * out. If the queue rejects early, a call does not wait for that: it is rejected as soon as the calls
 * ahead of it, at the rate at which the queue dispatches, leave it too little time.
 *
 * @module
 */
import type { Clock } from "heatherarch-core";
import { type DispatchRate, DispatchRateMeter } from "./dispatch_rate.ts";
import { LATE_LANE } from "./priority_lanes.ts";
import type { PromptPlacement } from "./prompt_placement.ts";
import type {
  CallPlacement,
  CallRanker,
  QueuedCall,
  QueueForecast,
  QueueOutcome,
} from "./queued_call.ts";
import type { QueueReading } from "./return_times.ts";
import { type Overload, predictWaitMs } from "./wait_forecast.ts";
import { SizeFairness } from "./size_fairness.ts";
import {
  buildRankedCall,
  computeLateTimeoutAtMs,
  computeReadyDeadlineMs,
  type ConsideredCall,
  findMinMs,
  isBefore,
  isLarge,
  type PlacedCall,
  predictCallMs,
  type TooLateOutcome,
  type WaitingCall,
} from "./waiting_call.ts";

/**
 * How late calls are placed. With `spare` they use targets that are almost idle, and leave time for
 * the response before their clients time out. With `behind` they use any target with capacity, after
 * the calls that can be on time, until they can't be complete in time.
 */
export type LatePolicy = "spare" | "behind";

/** Options of {@linkcode CallQueue}. */
export interface CallQueueOptions {
  readonly clock: Clock;
  /** An engine gets another prompt while its prefill backlog is not above this, in milliseconds. */
  readonly maxBacklogMs?: number;
  /** Largest backlog at which an engine gets the prompt of a late call, in milliseconds. */
  readonly maxLateBacklogMs?: number;
  /** `spare` by default. */
  readonly latePolicy?: LatePolicy;
  /** Rejects calls as soon as the calls ahead of them leave too little time; false by default. */
  readonly rejectsEarly?: boolean;
  /** Orders calls before the order by time; by default all calls have rank 0. */
  readonly ranker?: CallRanker;
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
/**
 * The same for calls without affinity to a target, as the calls of a plain service. They differ only in
 * the targets that they have tried.
 */
const MAX_UNIFORM_SEARCHES = 3;
/** Time between dispatches of late calls, which may be many and are not urgent. */
const LATE_DISPATCH_INTERVAL_MS = 40;

/** Queue of the calls that wait at one VM. */
export class CallQueue<P extends CallPlacement = PromptPlacement> {
  readonly #clock: Clock;
  readonly #maxBacklogMs: number;
  readonly #maxLateBacklogMs: number;
  readonly #isTimerEnabled: boolean;
  readonly #latePolicy: LatePolicy;
  readonly #maxSearches: number;
  readonly #rejectsEarly: boolean;
  readonly #ranker: CallRanker | undefined;
  readonly #rate = new DispatchRateMeter();
  /** Dispatches of late calls, while such calls wait. */
  readonly #lateRate = new DispatchRateMeter();
  readonly #fairness = new SizeFairness();
  /** Calls that can be on time, in the order in which they are placed. */
  #waiting: WaitingCall<P>[] = [];
  /** Late calls, in the order in which they became late. */
  #late: WaitingCall<P>[] = [];
  /** Calls in both lists, and those that a dispatch in progress has taken out to consider them. */
  #size = 0;
  #lateDispatchedAtMs = -Infinity;
  /** Highest rank of the calls that wait at the current dispatch. */
  #maxRank = 0;
  /** Time of the first late call since no call waited; undefined without one. */
  #overloadSinceMs: number | undefined;
  /** Late calls placed since then. */
  #latePlaced = 0;
  /** Time until an engine is expected to have capacity for a waiting call, in milliseconds. */
  #capacityInMs = 0;
  #isBusy = false;
  #nextDispatchAtMs = -Infinity;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: CallQueueOptions) {
    this.#clock = options.clock;
    this.#maxBacklogMs = options.maxBacklogMs ?? DEFAULT_MAX_BACKLOG_MS;
    this.#maxLateBacklogMs = options.maxLateBacklogMs ??
      DEFAULT_MAX_LATE_BACKLOG_MS;
    this.#isTimerEnabled = options.isTimerEnabled ?? true;
    this.#latePolicy = options.latePolicy ?? "spare";
    this.#maxSearches = this.#latePolicy === "behind"
      ? MAX_UNIFORM_SEARCHES
      : MAX_PLACEMENTS_PER_DISPATCH;
    this.#rejectsEarly = options.rejectsEarly ?? false;
    this.#ranker = options.ranker;
  }

  /** Number of waiting calls. */
  get size(): number {
    return this.#size;
  }

  /** Whether calls kept waiting in the last dispatch. */
  get isBusy(): boolean {
    return this.#isBusy;
  }

  /** Rate at which calls are dispatched while calls wait; undefined while it is unknown. */
  measureRate(): DispatchRate | undefined {
    return this.#rate.measure(this.#clock.readMonotonicMs());
  }

  /** Counts the waiting calls by service; calls without one are left out. */
  countByService(): Map<string, number> {
    const counts = new Map<string, number>();
    for (const { service } of [...this.#waiting, ...this.#late]) {
      if (service === undefined) continue;
      counts.set(service, (counts.get(service) ?? 0) + 1);
    }
    return counts;
  }

  /** Describes the queue to the return of a rejected call; undefined while the rate is unknown. */
  readForReturn(): QueueReading | undefined {
    const rate = this.measureRate();
    if (rate === undefined) return undefined;
    const ahead = [...this.#waiting, ...this.#late]
      .filter(({ isReturn }) => isReturn).length;
    return { ...rate, aheadWorkMs: ahead * rate.workPerMs / rate.callsPerMs };
  }

  /** Adds a call; returns a function that cancels its wait. */
  enqueue(request: QueuedCall<P>): () => void {
    const waiting = this.#buildWaitingCall(request);
    this.#size++;
    const index = this.#waiting.findIndex((other) => isBefore(waiting, other));
    if (index < 0) this.#waiting.push(waiting);
    else this.#waiting.splice(index, 0, waiting);
    const cancel = (): void => {
      if (!this.#remove(waiting)) return;
      this.#endWait(waiting, false);
      this.#recordSize(this.#clock.readMonotonicMs());
    };
    try {
      if (!this.#mustAwaitCapacity()) this.dispatch();
    } catch (error) {
      cancel();
      throw error;
    }
    return cancel;
  }

  /** Gives back the place of a call, once. Returns whether the call had one. */
  #endWait(call: WaitingCall<P>, isPlaced: boolean): boolean {
    if (call.hasEnded) return false;
    call.hasEnded = true;
    this.#size--;
    if (call.tokens !== undefined) {
      this.#fairness.recordEnd(call.kind, call.size, isPlaced);
    }
    return true;
  }

  /**
   * Runs a step of one call. An error of it ends the wait of this call only: the other calls wait for
   * the same dispatch. Returns `failed` then.
   */
  #runStep<T>(call: WaitingCall<P>, failed: T, step: () => T): T {
    try {
      return step();
    } catch (error) {
      this.#remove(call);
      this.#endWait(call, false);
      if (call.onError === undefined) throw error;
      call.onError(error);
      return failed;
    }
  }

  /**
   * Whether the calls that waited already found no capacity, so that the dispatch that is scheduled is
   * soon enough for one more. Otherwise each arrival in an overload would cost searches for calls that
   * have just been found to have no capacity.
   */
  #mustAwaitCapacity(): boolean {
    return this.#latePolicy === "behind" && this.size > 1 &&
      this.#clock.readMonotonicMs() < this.#nextDispatchAtMs;
  }

  /** Counts a prompt in its size class, and its outcome once there is one. */
  #buildWaitingCall(request: QueuedCall<P>): WaitingCall<P> {
    const { kind, tokens } = request;
    const size = tokens === undefined
      ? "usual"
      : this.#fairness.recordArrival(kind, tokens);
    const waiting: WaitingCall<P> = {
      ...request,
      rank: 0,
      expectedMs: undefined,
      size,
      hasEnded: false,
      onOutcome: (outcome) => {
        const isPlaced = outcome.kind === "placed";
        if (this.#endWait(waiting, isPlaced)) request.onOutcome(outcome);
      },
    };
    return waiting;
  }

  /** Places the calls that can be placed now, and rejects those that are known to be too late. */
  dispatch(): void {
    const nowMs = this.#clock.readMonotonicMs();
    this.#capacityInMs = MAX_DISPATCH_INTERVAL_MS;
    const isLateDue = this.#latePolicy === "behind" ||
      nowMs - this.#lateDispatchedAtMs >= LATE_DISPATCH_INTERVAL_MS;
    if (isLateDue) this.#lateDispatchedAtMs = nowMs;
    const keptInLane = new Map<number, number>();
    const ranks = this.#updateRanks(nowMs);
    this.#maxRank = ranks[ranks.length - 1] ?? 0;
    for (const rank of ranks) {
      this.#placeUnderserved(rank, nowMs);
      this.#placeWaiting(rank, keptInLane, nowMs);
      if (isLateDue) this.#placeLate(rank, nowMs);
    }
    if (this.#rejectsEarly) this.#rejectTooLate(nowMs);
    const dispatchInMs = Math.max(MIN_DISPATCH_INTERVAL_MS, this.#capacityInMs);
    this.#nextDispatchAtMs = nowMs + dispatchInMs;
    this.#recordSize(nowMs);
    if (this.size === 0 || !this.#isTimerEnabled) return;
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      this.dispatch();
    }, dispatchInMs);
  }

  /** Ranks the waiting calls anew; returns the ranks that occur, the first one first. */
  #updateRanks(nowMs: number): number[] {
    const ranker = this.#ranker;
    if (ranker === undefined) return [0];
    const ranks = new Set<number>();
    for (const call of [...this.#waiting, ...this.#late]) {
      this.#runStep(call, undefined, () => {
        call.rank = ranker.computeRank(buildRankedCall(call), nowMs);
        ranks.add(call.rank);
      });
    }
    return [...ranks].sort((a, b) => a - b);
  }

  #settle(call: WaitingCall<P>, outcome: QueueOutcome<P>): void {
    this.#runStep(call, undefined, () => call.onOutcome(outcome));
  }

  /** Searches the best placement of a call, and keeps its expected time for forecasts. */
  #findPlacement(call: WaitingCall<P>): P | undefined {
    return this.#runStep(call, undefined, () => {
      const placement = call.findPlacement(call.rank);
      call.expectedMs = placement?.unloadedMs;
      return placement;
    });
  }

  #place(
    call: WaitingCall<P>,
    placement: P,
    lane: number,
    nowMs: number,
  ): void {
    const { rank } = call;
    this.#rate.record(placement.costMs, nowMs);
    if (lane === LATE_LANE) {
      this.#latePlaced++;
      this.#lateRate.record(placement.costMs, nowMs);
    }
    this.#runStep(call, undefined, () => {
      this.#ranker?.recordDispatch?.(
        buildRankedCall(call),
        placement.costMs,
        nowMs,
      );
      call.onOutcome({ kind: "placed", placed: { placement, lane, rank } });
    });
  }

  /** Records whether calls wait, after the queue has changed. */
  #recordSize(nowMs: number): void {
    this.#isBusy = this.size > 0;
    this.#rate.setBusy(this.#isBusy, nowMs);
    this.#lateRate.setBusy(this.#late.length > 0, nowMs);
    if (this.#late.length > 0) this.#overloadSinceMs ??= nowMs;
    if (this.size > 0) return;
    this.#overloadSinceMs = undefined;
    this.#latePlaced = 0;
  }

  #describeOverload(nowMs: number): Overload {
    const lastedMs = nowMs - (this.#overloadSinceMs ?? nowMs);
    const lateCallsPerMs = this.#latePlaced / Math.max(1, lastedMs);
    const recent = this.#lateRate.measure(nowMs)?.callsPerMs;
    return {
      lastedMs,
      lateCallsPerMs,
      ...(recent === undefined ? {} : { recentLateCallsPerMs: recent }),
    };
  }

  /** Lists the waiting calls in the order in which they are placed. */
  #listInOrder(): WaitingCall<P>[] {
    const calls = [...this.#waiting, ...this.#late];
    if (this.#ranker === undefined) return calls;
    return calls.sort((a, b) => a.rank - b.rank);
  }

  /** Rejects the calls which the calls ahead of them leave too little time. */
  #rejectTooLate(nowMs: number): void {
    const rate = this.#rate.measure(nowMs);
    if (rate === undefined) return;
    const overload = this.#describeOverload(nowMs);
    const late = new Set(this.#late);
    const rejected = new Map<WaitingCall<P>, TooLateOutcome<P>>();
    for (const [index, call] of this.#listInOrder().entries()) {
      const callsAhead = index - rejected.size;
      // New calls that can be on time delay other late calls, but not returns, which go before them.
      const isDelayed = late.has(call) && !call.isReturn;
      const predictedWaitMs = predictWaitMs({
        callsAhead,
        callsPerMs: rate.callsPerMs,
        ...(isDelayed ? { overload } : {}),
      });
      const callMs = this.#runStep(call, undefined, () => predictCallMs(call));
      if (callMs === undefined) continue;
      const readyMs = predictedWaitMs + callMs;
      const readyDeadlineMs = computeReadyDeadlineMs(call);
      if (nowMs + readyMs <= readyDeadlineMs) continue;
      const forecast = { rank: call.rank, callsAhead, rate, predictedWaitMs };
      rejected.set(call, {
        kind: "tooLate",
        forecast,
        readyMs,
        readyDeadlineMs,
      });
    }
    if (rejected.size === 0) return;
    this.#waiting = this.#waiting.filter((call) => !rejected.has(call));
    this.#late = this.#late.filter((call) => !rejected.has(call));
    for (const [call, outcome] of rejected) this.#settle(call, outcome);
  }

  /**
   * Places large prompts of an underserved size class before all others, including those that can no
   * longer be on time: in an overload, no other rule of this queue places a large prompt. The cheapest
   * goes first, because its size class may no longer be underserved once it is placed.
   */
  #placeUnderserved(rank: number, nowMs: number): void {
    const requests = [...this.#waiting, ...this.#late]
      .filter((request) => request.rank === rank)
      .filter((request) => this.#isUnderserved(request))
      .slice(0, MAX_PLACEMENTS_PER_DISPATCH)
      .map((request) => ({ request, placement: this.#findPlacement(request) }))
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
    const maxBacklogMs = this.#getMaxBacklogMs(request.rank);
    if (placement.backlogMs > maxBacklogMs) {
      this.#noteCapacityInMs(placement.backlogMs - maxBacklogMs);
      return;
    }
    const isLate = nowMs + placement.readyMs >
      waitStartedAtMs + aimMs - responseDelayMs;
    this.#remove(request);
    const lane = isLate ? LATE_LANE : request.lane;
    this.#place(request, placement, lane, nowMs);
  }

  #placeWaiting(
    rank: number,
    keptInLane: Map<number, number>,
    nowMs: number,
  ): void {
    const kept: WaitingCall<P>[] = [];
    for (const request of this.#waiting.splice(0)) {
      if (request.rank !== rank) {
        kept.push(request);
        continue;
      }
      const { lane } = request;
      const before = keptInLane.get(lane) ?? 0;
      if (
        before < this.#maxSearches &&
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
    const placement = this.#findPlacement(request);
    if (placement === undefined) {
      this.#settle(request, { kind: "noTarget" });
      return false;
    }
    const readyDeadlineMs = waitStartedAtMs + aimMs - responseDelayMs;
    if (nowMs + placement.readyMs > readyDeadlineMs) {
      this.#late.push(request);
      return false;
    }
    const maxBacklogMs = this.#getMaxBacklogMs(request.rank);
    if (placement.backlogMs > maxBacklogMs) {
      this.#noteCapacityInMs(placement.backlogMs - maxBacklogMs);
      return true;
    }
    this.#place(request, placement, lane, nowMs);
    return false;
  }

  /**
   * Calls of higher rank leave room at the targets for calls of rank 0 at other VMs, which are not in
   * this queue. With the same limit for all, the VM with most calls takes all targets.
   */
  #getMaxBacklogMs(rank: number): number {
    return rank > 0 ? this.#maxLateBacklogMs : this.#maxBacklogMs;
  }

  #noteCapacityInMs(inMs: number): void {
    this.#capacityInMs = Math.min(this.#capacityInMs, inMs);
  }

  #placeLate(rank: number, nowMs: number): void {
    if (this.#latePolicy === "behind") this.#placeLateBehind(rank, nowMs);
    else this.#placeLateOnSpare(rank, nowMs);
  }

  /** Places late calls in the order in which their clients time out. */
  #placeLateBehind(rank: number, nowMs: number): void {
    const ordered = this.#late.splice(0)
      .sort((a, b) => a.timeoutAtMs - b.timeoutAtMs);
    const kept: WaitingCall<P>[] = [];
    let searched = 0;
    for (const request of ordered) {
      const isConsidered = request.rank === rank &&
        searched < this.#maxSearches;
      if (!isConsidered) {
        kept.push(request);
        continue;
      }
      const placement = this.#findPlacement(request);
      if (!this.#shouldKeepLateWaiting({ request, placement }, nowMs)) continue;
      kept.push(request);
      searched++;
    }
    this.#late = kept;
  }

  /**
   * Places late calls on targets that are almost idle. Large prompts go first, then the calls that
   * became late most recently, because their clients stay longest.
   */
  #placeLateOnSpare(rank: number, nowMs: number): void {
    const late = this.#late.splice(0);
    const others = late.filter((request) => request.rank !== rank);
    const considered = late.filter((request) => request.rank === rank)
      .reverse()
      .map((request) => ({ request, placement: this.#findPlacement(request) }));
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
    this.#late = [...others, ...remaining.reverse()];
  }

  /** Whether a late call has to keep waiting. If not, it was placed or refused. */
  #shouldKeepLateWaiting(
    { request, placement }: ConsideredCall<P>,
    nowMs: number,
  ): boolean {
    if (placement === undefined) {
      this.#settle(request, { kind: "noTarget" });
      return false;
    }
    const timeoutAtMs = this.#latePolicy === "behind"
      ? request.timeoutAtMs
      : computeLateTimeoutAtMs(request, placement);
    const readyDeadlineMs = timeoutAtMs - request.responseDelayMs;
    const readyMs = this.#isUnderserved(request)
      ? findMinMs(placement)
      : placement.readyMs;
    const isTooLate = nowMs + readyMs > readyDeadlineMs;
    if (isTooLate && this.#mayReject(nowMs)) {
      this.#settle(request, {
        kind: "tooLate",
        placement,
        forecast: this.#buildForecast(request, placement, nowMs),
        readyMs: placement.readyMs,
        readyDeadlineMs,
      });
      return false;
    }
    // Late calls are limited because they delay calls that can be on time. If the only ones that wait
    // are of accounts beyond their share, a late call of another account goes before them.
    const isPreferred = request.rank <= 0 && this.#maxRank > 0;
    const maxBacklogMs = isPreferred
      ? this.#maxBacklogMs
      : this.#maxLateBacklogMs;
    if (placement.backlogMs > maxBacklogMs) {
      this.#noteCapacityInMs(placement.backlogMs - maxBacklogMs);
      return true;
    }
    const mayPlace = isPreferred || this.#mayPlaceLate(request);
    if (request.hasEnded) return false;
    if (!mayPlace) return true;
    this.#place(request, placement, LATE_LANE, nowMs);
    return false;
  }

  #mayPlaceLate(call: WaitingCall<P>): boolean {
    const ask = (): boolean => call.mayPlaceLate?.() ?? true;
    return this.#runStep(call, false, ask);
  }

  /**
   * Whether predictions are good enough to reject a call. Those for plain calls are learned from the
   * calls that are sent, so they are not while few have been dispatched.
   */
  #mayReject(nowMs: number): boolean {
    return this.#latePolicy === "spare" ||
      this.#rate.measure(nowMs) !== undefined;
  }

  /** Describes the wait of a call that is considered now, so that only its target's work is ahead. */
  #buildForecast(
    { rank }: WaitingCall<P>,
    { backlogMs }: P,
    nowMs: number,
  ): QueueForecast {
    return {
      rank,
      callsAhead: 0,
      rate: this.#rate.measure(nowMs),
      predictedWaitMs: backlogMs,
    };
  }

  /** Removes a request; returns whether it was waiting. */
  #remove(request: WaitingCall<P>): boolean {
    for (const calls of [this.#waiting, this.#late]) {
      const index = calls.indexOf(request);
      if (index < 0) continue;
      calls.splice(index, 1);
      return true;
    }
    return false;
  }
}
