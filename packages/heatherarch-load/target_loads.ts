/**
 * Stores the load that each incarnation of a target reports, as observed by this VM or a peer, and
 * estimates the target's slowdown now.
 *
 * Addresses targets that take a multiple of their usual time for some hundred milliseconds. The
 * module has no clock: each update carries the time.
 *
 * @module
 */
import { ReportTrust } from "./report_trust.ts";

/** Load that a target reports. */
export interface LoadReport {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Duration of work relative to the usual; undefined if the target doesn't report it. */
  readonly slowdown?: number;
}

/** Load of an incarnation at a time. */
export interface LoadSample extends LoadReport {
  /** Id of the incarnation. */
  readonly target: string;
  /** Monotonic time of the response, milliseconds. */
  readonly atMs: number;
}

/** Who has observed a sample: this VM, a VM of its availability zone, or any VM of the fleet. */
export type LoadScope = "own" | "zone" | "fleet";

/** Options of {@linkcode TargetLoads}. */
export interface TargetLoadsOptions {
  /** Decides whose reports are believed. */
  readonly trust?: ReportTrust;
}

interface TargetLoad {
  sample: LoadSample;
  /** Long-run mean of the slowdown. */
  mean: number;
  /** Periods that the mean covers, including the initial one. */
  periods: number;
  /** Number, sum and count of the slowdowns of the current period. */
  period: number;
  sum: number;
  count: number;
  /** Sample that was last listed as news. */
  listed: LoadSample | undefined;
  /** Who has observed that sample. */
  scope: LoadScope;
  /** Position of that sample among the news of all targets. */
  position: number;
}

/**
 * Time after which a report says nothing about the present, milliseconds: a target on a shared machine
 * stays slow for about that long. Until then, the estimate moves linearly from the report to the mean.
 */
export const SLOWDOWN_PERIOD_MS = 600;
/** A slowdown is news if it differs by this share from what peers expect. */
const MIN_CHANGE_SHARE = 0.25;
/** Bounds of a plausible slowdown. Reports may be wrong. */
const SLOWDOWN_BOUNDS = { min: 0.1, max: 20 };
/** Number of periods after which the mean forgets: 20 s, so that it follows a changed target. */
const MAX_MEAN_PERIODS = 32;
/**
 * News that are kept: several times what a hub with 3,700 targets records between two heartbeats (185
 * each 100 ms). They are searched from the newest, as a hub lists them for each of 200 links.
 */
const MAX_RECENT = 1024;
/** Each scope includes those before it. */
const SCOPES: readonly LoadScope[] = ["own", "zone", "fleet"];
/** Slowdown of a target that reports none. */
const USUAL_SLOWDOWN = 1;

/** Reported loads of the targets that one VM knows. */
export class TargetLoads {
  readonly #trust: ReportTrust;
  readonly #loads = new Map<string, TargetLoad>();
  readonly #listeners = new Set<() => void>();
  /** The last news, in order. An entry is superseded if its load has another position. */
  readonly #recent: { readonly load: TargetLoad; readonly position: number }[] =
    [];
  #position = 0;

  constructor({ trust = new ReportTrust() }: TargetLoadsOptions = {}) {
    this.#trust = trust;
  }

  /** Records what this VM has observed. */
  record(sample: LoadSample): void {
    this.#merge(sample, "own");
  }

  /** Merges what a peer has observed. The newer sample wins. */
  mergePeerSample(sample: LoadSample, scope: LoadScope = "zone"): void {
    this.#merge(sample, scope);
  }

  /** Returns the last report of a target with its age, or undefined if there is none. */
  find(
    target: string,
    nowMs: number,
  ): { report: LoadReport; ageMs: number } | undefined {
    const load = this.#loads.get(target);
    if (load === undefined) return undefined;
    const { running, waiting, slots, slowdown } = load.sample;
    const report = { running, waiting, slots, slowdown };
    return { report, ageMs: Math.max(0, nowMs - load.sample.atMs) };
  }

  /**
   * Slowdown that is expected at a time, which may lie in the future: the reported one, converging to
   * the target's long-run mean as the report ages; 1 without a report that is believed.
   */
  estimateSlowdown(target: string, atMs: number): number {
    const load = this.#loads.get(target);
    if (load?.sample.slowdown === undefined) return USUAL_SLOWDOWN;
    if (!this.#trust.isTrusted(target, atMs)) return USUAL_SLOWDOWN;
    return computeExpected(load, load.sample, atMs);
  }

  /** Whether the last report of a target names its slowdown. */
  reportsSlowdown(target: string): boolean {
    return this.#loads.get(target)?.sample.slowdown !== undefined;
  }

  /**
   * Lists samples that have become news after a position, newest first, and the position after all of
   * them. What exceeds the limit is skipped, as it is outdated by the next listing. Samples that
   * were observed beyond the scope are not listed.
   */
  listNews(
    position: number,
    limit: number,
    scope: LoadScope = "fleet",
  ): { news: LoadSample[]; position: number } {
    if (position >= this.#position) return { news: [], position };
    const maxScope = SCOPES.indexOf(scope);
    const news: LoadSample[] = [];
    for (let i = this.#recent.length - 1; i >= 0; i--) {
      const { load, position: recentPosition } = this.#recent[i];
      if (recentPosition <= position || news.length >= limit) break;
      if (load.position !== recentPosition || load.listed === undefined) {
        continue;
      }
      if (this.#loads.get(load.listed.target) !== load) continue;
      if (SCOPES.indexOf(load.scope) <= maxScope) news.push(load.listed);
    }
    return { news, position: this.#position };
  }

  /** Registers a listener for news that this VM has observed and returns a function that removes it. */
  registerListener(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /** Drops what is known of an incarnation that has ended. */
  forget(target: string): void {
    this.#loads.delete(target);
    this.#trust.forget(target);
  }

  #merge(received: LoadSample, scope: LoadScope): void {
    const sample = boundSlowdown(received);
    const known = this.#loads.get(sample.target);
    if (known !== undefined && sample.atMs <= known.sample.atMs) return;
    const load = known ?? createLoad(sample);
    load.sample = sample;
    this.#loads.set(sample.target, load);
    if (sample.slowdown === undefined) return;
    learnMean(load, sample.slowdown, sample.atMs);
    if (!isNews(load, sample.slowdown)) return;
    load.listed = sample;
    load.scope = scope;
    load.position = ++this.#position;
    this.#recent.push({ load, position: load.position });
    if (this.#recent.length > MAX_RECENT) {
      this.#recent.splice(0, MAX_RECENT / 2);
    }
    if (scope !== "own") return;
    for (const listener of [...this.#listeners]) listener();
  }
}

function createLoad(sample: LoadSample): TargetLoad {
  return {
    sample,
    mean: USUAL_SLOWDOWN,
    periods: 1,
    period: NaN,
    sum: 0,
    count: 0,
    listed: undefined,
    scope: "own",
    position: 0,
  };
}

function boundSlowdown(sample: LoadSample): LoadSample {
  const { slowdown } = sample;
  if (slowdown === undefined) return sample;
  const { min, max } = SLOWDOWN_BOUNDS;
  return { ...sample, slowdown: Math.min(max, Math.max(min, slowdown)) };
}

/** Whether a slowdown differs from what peers expect that know the listed sample only. */
function isNews(load: TargetLoad, slowdown: number): boolean {
  const expected = load.listed === undefined
    ? USUAL_SLOWDOWN
    : computeExpected(load, load.listed, load.sample.atMs);
  return Math.abs(slowdown - expected) >= expected * MIN_CHANGE_SHARE;
}

function computeExpected(
  { mean }: TargetLoad,
  { slowdown = USUAL_SLOWDOWN, atMs }: LoadSample,
  nowMs: number,
): number {
  const aged = Math.max(0, nowMs - atMs) / SLOWDOWN_PERIOD_MS;
  return mean + (slowdown - mean) * Math.max(0, 1 - aged);
}

/**
 * Adds a slowdown to the long-run mean. Each period counts once, because a target is sent fewer calls
 * and so reports less often while it is slow.
 */
function learnMean(load: TargetLoad, slowdown: number, atMs: number): void {
  const period = Math.floor(atMs / SLOWDOWN_PERIOD_MS);
  if (period !== load.period) {
    if (load.count > 0) {
      load.periods = Math.min(MAX_MEAN_PERIODS, load.periods + 1);
      load.mean += (load.sum / load.count - load.mean) / load.periods;
    }
    load.period = period;
    load.sum = 0;
    load.count = 0;
  }
  load.sum += slowdown;
  load.count++;
}
