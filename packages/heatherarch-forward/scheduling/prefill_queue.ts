/**
 * Prompts that wait at this VM until an engine is about to be free for them.
 *
 * Pattern of load: bursts bring two to five times as many prompts as the engines can read, for
 * seconds. An engine reads in the order of arrival: what it was given can't be put in another
 * order, moved, or taken back, so a call that has turned late there keeps its place before calls
 * that could be on time. Engines therefore get only what keeps them busy for the next tens of
 * milliseconds, and the rest waits here. Calls that can still be on time go first, by rank and by
 * the time that they have left. Late ones are read when no other call waits, and are refused when
 * their callers are about to leave. Before all of these go large prompts of which too few have been
 * read (`size_shares.ts`).
 *
 * @module
 */
import type { Clock } from "heatherarch-core";
import { LATE_LANE } from "./priority_lanes.ts";
import type { PromptPlacement } from "./prompt_placement.ts";
import { type SizeClass, SizeFairness } from "./size_fairness.ts";

/** A placement in the lane that it was made for. */
export interface LanePlacement {
  readonly placement: PromptPlacement;
  readonly lane: number;
}

/** What becomes of a waiting prompt. */
export type PrefillOutcome =
  | { readonly kind: "placed"; readonly placed: LanePlacement }
  /** No engine reads prompts apart now. */
  | { readonly kind: "noReader" }
  /** No engine can be done with it in the time for which it is worth waiting. */
  | {
    readonly kind: "tooLate";
    readonly placement: PromptPlacement;
    /** Time by which the reading had to be over, monotonic milliseconds. */
    readonly prefillDeadlineMs: number;
  };

/** A prompt that is to be read. Times are monotonic milliseconds. */
export interface PrefillRequest {
  /** Lane by the rank of its route. */
  readonly lane: number;
  /** Kind of request; the sizes of its prompts are served in like shares. */
  readonly kind: string;
  readonly tokens: number;
  /** When its caller began to wait: the arrival, or the last event of a stream that broke off. */
  readonly waitStartedAtMs: number;
  /** Time from then within which the first token earns full worth. */
  readonly aimMs: number;
  /** Its caller has left by then. */
  readonly timeoutAtMs: number;
  /** From the end of the reading to the first token at the caller. */
  readonly firstTokenDelayMs: number;
  /** The engine that would read it soonest; undefined where none reads. */
  findPlacement(): PromptPlacement | undefined;
  /** Whether the fleet has an engine to spare for the prompt of a late call. */
  mayPrefillLate(): boolean;
  /** Called once, unless the wait is given up. What is placed has to be booked at once. */
  onOutcome(verdict: PrefillOutcome): void;
}

/** Options of {@linkcode PrefillQueue}. */
export interface PrefillQueueOptions {
  readonly clock: Clock;
  /** An engine gets a further prompt while it has less than this to read, milliseconds. */
  readonly maxBacklogMs?: number;
  /** The same for prompts of late calls. */
  readonly maxLateBacklogMs?: number;
  /** Whether the queue looks by itself while prompts wait; models call {@linkcode PrefillQueue.dispatch}. */
  readonly isTimerEnabled?: boolean;
}

/**
 * An answer takes some 20 ms beyond the reading, and peers tell of their work every 60 ms: with
 * less an engine stands idle between two prompts, with more it holds what could have gone
 * elsewhere.
 */
const DEFAULT_WINDOW_MS = 60;
/** Late calls take what is idle: an engine that has next to nothing to read. */
const DEFAULT_LATE_WINDOW_MS = 20;
/** Least pause between looks while prompts wait: a sixth of the window. */
const LOOK_MS = 10;
/**
 * Longest pause between looks: work that peers end sooner than they said, and engines that come,
 * are noticed this much later at most. An engine that is known to have room later than that is not
 * asked for before: in an overload that spares a small VM two thirds of its looks.
 */
const MAX_LOOK_MS = 30;
/**
 * Waiting prompts of one lane that are placed anew in one look: where the first ones find all
 * engines full the next ones do too.
 */
const MAX_LOOKED = 8;
/** Pause between looks at the late calls, which may be many and are in no hurry. */
const LATE_LOOK_MS = 40;
/**
 * A rank further behind counts like this much less waiting, milliseconds. With strict ranks an
 * overload of the first rank leaves nothing to the others.
 */
const RANK_MS = 300;
/**
 * A late call waits for this part of the time for which its caller does: the rest is too short
 * for it to be read and begun. One that is refused sooner comes back into the same burst.
 */
const LATE_PART = 0.85;
/**
 * A prompt that takes more than this part of its aim to read is seldom on time: it waits for as
 * long as its caller does, or prompts of its size would not be served at all under load.
 */
const LARGE_PART = 0.5;

/** Prompts that wait at one VM. */
export class PrefillQueue {
  readonly #clock: Clock;
  readonly #windowMs: number;
  readonly #lateWindowMs: number;
  readonly #isTimed: boolean;
  readonly #shares = new SizeFairness();
  /** Calls that can be on time, in the order in which they go. */
  #waiting: WaitingRequest[] = [];
  /** In the order in which they turned late. */
  #late: WaitingRequest[] = [];
  #lateLookedAtMs = -Infinity;
  /** Time until an engine is expected to have room for one of the waiting calls, milliseconds. */
  #roomInMs = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: PrefillQueueOptions) {
    this.#clock = options.clock;
    this.#windowMs = options.maxBacklogMs ?? DEFAULT_WINDOW_MS;
    this.#lateWindowMs = options.maxLateBacklogMs ?? DEFAULT_LATE_WINDOW_MS;
    this.#isTimed = options.isTimerEnabled ?? true;
  }

  /** Prompts that wait now. */
  get size(): number {
    return this.#waiting.length + this.#late.length;
  }

  /** Lets a prompt wait; returns what gives the wait up. */
  enqueue(request: PrefillRequest): () => void {
    const waiting = this.#wrap(request);
    const at = this.#waiting.findIndex((other) => isBefore(waiting, other));
    if (at < 0) this.#waiting.push(waiting);
    else this.#waiting.splice(at, 0, waiting);
    this.dispatch();
    return () => {
      if (!this.#remove(waiting)) return;
      this.#shares.recordEnd(request.kind, waiting.size, false);
    };
  }

  /** Counts a prompt among those of its size, and its verdict. */
  #wrap(request: PrefillRequest): WaitingRequest {
    const { kind, tokens, onOutcome: onVerdict } = request;
    const size = this.#shares.recordArrival(kind, tokens);
    return {
      ...request,
      size,
      onOutcome: (verdict) => {
        this.#shares.recordEnd(kind, size, verdict.kind === "placed");
        onVerdict(verdict);
      },
    };
  }

  /** Places what may be placed now. */
  dispatch(): void {
    const nowMs = this.#clock.readMonotonicMs();
    this.#roomInMs = MAX_LOOK_MS;
    this.#placeBehind(nowMs);
    this.#placeWaiting(nowMs);
    if (nowMs - this.#lateLookedAtMs >= LATE_LOOK_MS) {
      this.#lateLookedAtMs = nowMs;
      this.#placeLate(nowMs);
    }
    if (this.size === 0 || !this.#isTimed) return;
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      this.dispatch();
    }, Math.max(LOOK_MS, this.#roomInMs));
  }

  /**
   * Large prompts of which too few were placed go before all others, also those that can't be on
   * time any more: no other rule here ever gives a large prompt its turn in an overload. The
   * cheapest goes first, since one that is served lets the others wait.
   */
  #placeBehind(nowMs: number): void {
    const looks = [...this.#waiting, ...this.#late]
      .filter((request) => this.#isBehind(request))
      .slice(0, MAX_LOOKED)
      .map((request) => ({ request, placement: request.findPlacement() }))
      .filter((look): look is Look => look.placement !== undefined)
      .sort((a, b) => a.placement.costMs - b.placement.costMs);
    for (const look of looks) {
      if (this.#isBehind(look.request)) this.#placeAhead(look, nowMs);
    }
  }

  #isBehind({ kind, size }: WaitingRequest): boolean {
    return this.#shares.isUnderserved(kind, size);
  }

  #placeAhead({ request, placement }: Look, nowMs: number): void {
    const {
      waitStartedAtMs: sinceMs,
      aimMs,
      timeoutAtMs: leavesAtMs,
      firstTokenDelayMs: tailMs,
    } = request;
    if (nowMs + computeSoonestMs(placement) > leavesAtMs - tailMs) return;
    if (placement.backlogMs > this.#windowMs) {
      this.#noteRoom(placement.backlogMs - this.#windowMs);
      return;
    }
    const isLate = nowMs + placement.readyMs > sinceMs + aimMs - tailMs;
    this.#remove(request);
    const lane = isLate ? LATE_LANE : request.lane;
    request.onOutcome({ kind: "placed", placed: { placement, lane } });
  }

  #placeWaiting(nowMs: number): void {
    const kept: WaitingRequest[] = [];
    const keptInLane = new Map<number, number>();
    for (const request of this.#waiting.splice(0)) {
      const { lane } = request;
      const before = keptInLane.get(lane) ?? 0;
      if (before < MAX_LOOKED && !this.#mayKeep(request, nowMs)) continue;
      kept.push(request);
      keptInLane.set(lane, before + 1);
    }
    this.#waiting = kept;
  }

  /** Whether a call that may be on time has to wait on; otherwise it is placed, or turns late. */
  #mayKeep(request: WaitingRequest, nowMs: number): boolean {
    const { waitStartedAtMs: sinceMs, aimMs, firstTokenDelayMs: tailMs, lane } =
      request;
    const placement = request.findPlacement();
    if (placement === undefined) {
      request.onOutcome({ kind: "noReader" });
      return false;
    }
    const readByMs = sinceMs + aimMs - tailMs;
    if (nowMs + placement.readyMs > readByMs) {
      this.#late.push(request);
      return false;
    }
    if (placement.backlogMs > this.#windowMs) {
      this.#noteRoom(placement.backlogMs - this.#windowMs);
      return true;
    }
    request.onOutcome({ kind: "placed", placed: { placement, lane } });
    return false;
  }

  #noteRoom(inMs: number): void {
    this.#roomInMs = Math.min(this.#roomInMs, inMs);
  }

  /** Large prompts go first, then the calls that turned late last: their callers stay longest. */
  #placeLate(nowMs: number): void {
    const looks = this.#late.splice(0).reverse()
      .map((request) => ({ request, placement: request.findPlacement() }));
    const ordered = [
      ...looks.filter(isLarge),
      ...looks.filter((look) => !isLarge(look)),
    ];
    const kept = new Set<WaitingRequest>();
    for (const look of ordered) {
      if (this.#mayKeepLate(look, nowMs)) kept.add(look.request);
    }
    const left = looks.map(({ request }) => request)
      .filter((request) => kept.has(request));
    this.#late = left.reverse();
  }

  #mayKeepLate({ request, placement }: LateLook, nowMs: number): boolean {
    if (placement === undefined) {
      request.onOutcome({ kind: "noReader" });
      return false;
    }
    const readByMs = findEnd(request, placement) - request.firstTokenDelayMs;
    const readyMs = this.#isBehind(request)
      ? computeSoonestMs(placement)
      : placement.readyMs;
    if (nowMs + readyMs > readByMs) {
      request.onOutcome({
        kind: "tooLate",
        placement,
        prefillDeadlineMs: readByMs,
      });
      return false;
    }
    if (placement.backlogMs > this.#lateWindowMs) {
      this.#noteRoom(placement.backlogMs - this.#lateWindowMs);
      return true;
    }
    if (!request.mayPrefillLate()) return true;
    const placed = { placement, lane: LATE_LANE };
    request.onOutcome({ kind: "placed", placed });
    return false;
  }

  /** Whether it was waiting. */
  #remove(request: WaitingRequest): boolean {
    const sizeBefore = this.size;
    this.#waiting = this.#waiting.filter((other) => other !== request);
    this.#late = this.#late.filter((other) => other !== request);
    return this.size < sizeBefore;
  }
}

interface WaitingRequest extends PrefillRequest {
  readonly size: SizeClass;
}

interface Look {
  readonly request: WaitingRequest;
  readonly placement: PromptPlacement;
}

interface LateLook {
  readonly request: WaitingRequest;
  readonly placement: PromptPlacement | undefined;
}

function isLarge({ request, placement }: LateLook): boolean {
  if (placement === undefined) return false;
  return placement.costMs > request.aimMs * LARGE_PART;
}

/**
 * Time in which a prompt can be read. What is booked is longer by the waits of others, for a large
 * prompt by seconds: judged by that, one that could be read in time is refused as it comes.
 */
function computeSoonestMs(
  { backlogMs, unloadedMs: aloneMs }: PromptPlacement,
): number {
  return backlogMs + aloneMs;
}

/** Time up to which a late call is worth keeping. */
function findEnd(request: WaitingRequest, placement: PromptPlacement): number {
  const { waitStartedAtMs: sinceMs, timeoutAtMs: leavesAtMs } = request;
  if (isLarge({ request, placement })) return leavesAtMs;
  return sinceMs + (leavesAtMs - sinceMs) * LATE_PART;
}

function isBefore(a: PrefillRequest, b: PrefillRequest): boolean {
  return computeTurn(a) < computeTurn(b);
}

/** Time by which a waiting call is put in order: its aim, later by its rank. */
function computeTurn(
  { waitStartedAtMs: sinceMs, aimMs, lane }: PrefillRequest,
): number {
  return sinceMs + aimMs + lane * RANK_MS;
}
