/**
 * Predicts how long a plain call takes at a target: its route's usual time x the target's own speed x
 * the target's momentary slowdown. Targets are compared by this time. The queue paces its calls by the
 * shortest usual time instead (`plain_work_model.ts`). The module has no clock: each call carries the
 * time.
 *
 * @module
 */
import {
  ReportTrust,
  TargetLoads,
  TargetSpeeds,
  UsualTimes,
} from "heatherarch-load";

/** Options of {@linkcode PlainTimeModel}. */
export interface PlainTimeModelOptions {
  readonly targetLoads?: TargetLoads;
  /** Shared with `targetLoads`, so that reports that the calls contradict are not believed there. */
  readonly reportTrust?: ReportTrust;
  /** Called when the reports of a target are ignored from now on. */
  readonly onReportsIgnored?: (target: string) => void;
}

/** A plain call that is sent to a target. */
export interface PlainWork {
  readonly target: string;
  readonly route: string;
  /** Runs that are in progress at the target, without this one. */
  readonly runs: number;
  readonly slots: number;
}

/**
 * Largest change of a target's slowdown during a call whose duration is learned from: the share that
 * counts as a change everywhere. Of a longer call it is not known how much was done at which speed.
 */
const MAX_CHANGE_SHARE = 0.25;

/** Learns the times of plain calls from completed ones, and predicts those of others. */
export class PlainTimeModel {
  readonly #loads: TargetLoads;
  readonly #trust: ReportTrust;
  readonly #speeds = new TargetSpeeds();
  readonly #usualTimes = new UsualTimes();
  readonly #onReportsIgnored: (target: string) => void;

  constructor(options: PlainTimeModelOptions = {}) {
    const { reportTrust = new ReportTrust() } = options;
    this.#trust = reportTrust;
    this.#loads = options.targetLoads ??
      new TargetLoads({ trust: reportTrust });
    this.#onReportsIgnored = options.onReportsIgnored ?? (() => undefined);
  }

  /** Time of work that begins at `atMs` relative to the usual time. */
  predictFactor(target: string, atMs: number): number {
    return this.#speeds.getFactor(target) *
      this.#loads.estimateSlowdown(target, atMs);
  }

  /** Predicts the time of a call that begins at `atMs`; undefined while nothing is learned. */
  predictMs(route: string, target: string, atMs: number): number | undefined {
    const usualMs = this.#usualTimes.find(route);
    if (usualMs === undefined) return undefined;
    return usualMs * this.predictFactor(target, atMs);
  }

  /**
   * Records that a call is sent to a target. Returns a function to be called when its response has
   * arrived and the load in it is recorded.
   */
  beginWork(work: PlainWork, sentAtMs: number): (nowMs: number) => void {
    const { target, runs, slots } = work;
    const slowdownBefore = this.#loads.estimateSlowdown(target, sentAtMs);
    // A call that has to wait for a slot tells nothing about the target's speed.
    if (runs >= slots) return () => undefined;
    return (nowMs) => {
      const slowdown = this.#loads.estimateSlowdown(target, nowMs);
      const tookMs = nowMs - sentAtMs;
      this.#checkReports(
        work,
        tookMs,
        Math.max(slowdown, slowdownBefore),
        nowMs,
      );
      const change = Math.abs(slowdown - slowdownBefore) / slowdownBefore;
      if (change <= MAX_CHANGE_SHARE) this.#learn(work, tookMs, slowdown);
    };
  }

  /** Drops what was learned about a target that has left the fleet. */
  forget(target: string): void {
    this.#speeds.forget(target);
  }

  #checkReports(
    { target, route }: PlainWork,
    tookMs: number,
    slowdown: number,
    nowMs: number,
  ): void {
    const usualMs = this.#usualTimes.find(route);
    if (usualMs === undefined || !this.#loads.reportsSlowdown(target)) return;
    const indicatedMs = usualMs * this.#speeds.getFactor(target) * slowdown;
    if (!this.#trust.recordWork(target, { tookMs, indicatedMs }, nowMs)) return;
    this.#onReportsIgnored(target);
  }

  #learn({ target, route }: PlainWork, tookMs: number, slowdown: number): void {
    this.#usualTimes.learn(route, tookMs / slowdown);
    const expectedMs = this.#usualTimes.find(route);
    if (expectedMs === undefined) return;
    this.#speeds.learn(target, { tookMs, expectedMs, slowdown });
  }
}
