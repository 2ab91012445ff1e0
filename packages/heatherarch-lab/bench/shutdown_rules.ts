/**
 * Rules for whether a VM that shuts down serves a call.
 *
 * @module
 */

/** What a VM knows of a call that arrives. */
export interface ArrivingCallView {
  readonly timeoutMs: number;
  readonly objectiveMs: number;
  /** Whether the call may be sent again, or goes on elsewhere, if it is cut. */
  readonly mayRepeat: boolean;
  /** Time until the VM ends, milliseconds. */
  readonly remainingMs: number;
  /** Whether the call arrives in the first two seconds. */
  readonly isEarly: boolean;
  /** Calls of its route; undefined if none was served. */
  readonly recent: RecentDurations | undefined;
}

const MAX_DURATIONS = 32;
/** A sound target may fall silent for this long and go on, milliseconds. */
const TARGET_SILENCE_MS = 1500;
const MEAN_FACTOR = 3;
const OBJECTIVE_FACTOR = 4;
const QUANTILE = 0.9;

/** The durations of the last calls of one route. */
export class RecentDurations {
  readonly #durations: number[] = [];

  record(tookMs: number): void {
    this.#durations.push(tookMs);
    if (this.#durations.length > MAX_DURATIONS) this.#durations.shift();
  }

  get longestMs(): number {
    return Math.max(...this.#durations);
  }

  get shortestMs(): number {
    return Math.min(...this.#durations);
  }

  get meanMs(): number {
    const sum = this.#durations.reduce((total, ms) => total + ms, 0);
    return sum / this.#durations.length;
  }

  get quantileMs(): number {
    const sorted = this.#durations.toSorted((a, b) => a - b);
    return sorted[Math.ceil(sorted.length * QUANTILE) - 1];
  }
}

type Admits = (call: ArrivingCallView) => boolean;

/** Rules of the comparison by name. */
export const SHUTDOWN_RULES = {
  /** Serves all calls, as VMs did before. */
  all: () => true,
  timeout: canEndByTimeout,
  longest: buildForecast(({ longestMs }) => longestMs, 0),
  longestAndSilence: buildForecast(
    ({ longestMs }) => longestMs,
    TARGET_SILENCE_MS,
  ),
  twiceLongest: buildForecast(
    ({ longestMs }) => 2 * longestMs,
    TARGET_SILENCE_MS,
  ),
  quantile: buildForecast(({ quantileMs }) => quantileMs, 0),
  quantileAndSilence: buildForecast(
    ({ quantileMs }) => quantileMs,
    TARGET_SILENCE_MS,
  ),
  mean: buildForecast(({ meanMs }) => meanMs * MEAN_FACTOR, 0),
  meanAndSilence: buildForecast(
    ({ meanMs }) => meanMs * MEAN_FACTOR,
    TARGET_SILENCE_MS,
  ),
  /** By an expectation from the latency objective if no call of the route was served. */
  objective: (call) =>
    canEndByForecast(call, call.recent?.longestMs ?? estimateByObjective(call)),
  timeoutOrLongest: (call) =>
    canEndByTimeout(call) || SHUTDOWN_RULES.longest(call),
  timeoutOrLongestAndSilence: (call) =>
    canEndByTimeout(call) || SHUTDOWN_RULES.longestAndSilence(call),
  timeoutOrObjective: (call) =>
    canEndByTimeout(call) || SHUTDOWN_RULES.objective(call),
  /** Calls that may run once need room for a silence and the longest duration, others a quantile. */
  byKind: (call) =>
    canEndByTimeout(call) ||
    (call.mayRepeat
      ? SHUTDOWN_RULES.quantile(call)
      : SHUTDOWN_RULES.longestAndSilence(call)),
  /** As `timeoutOrLongestAndSilence`, with twice the longest duration after the first two seconds. */
  careful: (call) =>
    call.isEarly
      ? SHUTDOWN_RULES.timeoutOrLongestAndSilence(call)
      : canEndByTimeout(call) || SHUTDOWN_RULES.twiceLongest(call),
  /** The forecast decides in the first two seconds only. */
  early: (call) =>
    canEndByTimeout(call) ||
    (call.isEarly && SHUTDOWN_RULES.longestAndSilence(call)),
  /** The same, and new routes are served in that time if a call may be repeated. */
  earlyOrNewRepeated: (call) =>
    SHUTDOWN_RULES.early(call) || (isNew(call) && call.mayRepeat),
  /** The same, and new routes are served in that time. */
  earlyOrNew: (call) => SHUTDOWN_RULES.early(call) || isNew(call),
  /** In that time, only calls are refused none of whose route has lately ended in the time left. */
  earlyAtBest: (call) =>
    canEndByTimeout(call) || (call.isEarly && mayEndInTime(call)),
} satisfies Record<string, Admits> as Readonly<Record<RuleName, Admits>>;

type RuleName =
  | "all"
  | "timeout"
  | "longest"
  | "longestAndSilence"
  | "quantile"
  | "quantileAndSilence"
  | "mean"
  | "meanAndSilence"
  | "objective"
  | "timeoutOrLongest"
  | "timeoutOrLongestAndSilence"
  | "timeoutOrObjective"
  | "byKind"
  | "twiceLongest"
  | "careful"
  | "early"
  | "earlyOrNewRepeated"
  | "earlyOrNew"
  | "earlyAtBest";

/** A rule of the comparison, or what `Shutdown` does. */
export type ShutdownRule = RuleName | "product";

/** Names of all rules. */
export const SHUTDOWN_RULE_NAMES: readonly ShutdownRule[] = [
  ...(Object.keys(SHUTDOWN_RULES) as RuleName[]),
  "product",
];

function canEndByTimeout(
  { timeoutMs, remainingMs }: ArrivingCallView,
): boolean {
  return timeoutMs <= remainingMs;
}

function isNew({ recent, isEarly }: ArrivingCallView): boolean {
  return isEarly && recent === undefined;
}

function mayEndInTime({ recent, remainingMs }: ArrivingCallView): boolean {
  return recent === undefined || recent.shortestMs <= remainingMs;
}

function canEndByForecast(
  { remainingMs }: ArrivingCallView,
  expectedMs: number,
): boolean {
  return expectedMs + TARGET_SILENCE_MS <= remainingMs;
}

function estimateByObjective({ objectiveMs }: ArrivingCallView): number {
  return objectiveMs * OBJECTIVE_FACTOR;
}

/** A forecast alone. A route without calls is refused. */
function buildForecast(
  predict: (recent: RecentDurations) => number,
  allowanceMs: number,
): Admits {
  return ({ recent, remainingMs }) =>
    recent !== undefined && predict(recent) + allowanceMs <= remainingMs;
}
