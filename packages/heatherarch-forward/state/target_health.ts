/**
 * Decides which targets to avoid temporarily, based on the outcomes of calls. The module has no
 * clock: each update carries the time.
 *
 * Health checks can be wrong in both directions and each one has a cost. The outcomes of calls show
 * a failure sooner.
 *
 * @module
 */

import { TargetFailures } from "./target_failures.ts";

/**
 * Outcome of an attempt, as far as it concerns the target's health. A target that declines a request is
 * busy or leaving; other VMs must not avoid it for that, or its load moves to the next one.
 */
export type AttemptOutcome = "answered" | "failed" | "declined" | "unreachable";

/** Options of {@linkcode TargetHealth}. */
export interface TargetHealthOptions {
  /** Failures that the whole fleet observes. */
  readonly failures?: TargetFailures;
}

interface HealthState {
  /** Number of consecutive attempts that found the target unreachable. */
  unreachableStreak: number;
  /** Moving average of the share of failed attempts. */
  failShare: number;
  samples: number;
  avoidUntilMs: number;
  /** Monotonic time of the target's last response. */
  lastResponseAtMs: number;
}

/**
 * Consecutive unreachable attempts after which a target counts as down. A single one may be due to a
 * lost packet.
 */
const MIN_UNREACHABLE_STREAK = 2;
const INITIAL_AVOID_MS = 500;
/** Upper bound; longer than the time after which the platform's list drops a dead target. */
const MAX_AVOID_MS = 5000;
/** Weight of a new sample in the moving average, which covers about the last eight attempts. */
const SAMPLE_WEIGHT = 0.12;
/** A target with a higher share of failures is avoided; errors by design stay well below it. */
const MAX_FAIL_SHARE = 0.3;
const MIN_SAMPLES = 6;
const FAILING_AVOID_MS = 2000;
/**
 * Failure share with which a failing target starts after its avoidance, so that one more failure
 * makes it avoided again.
 */
const FAIL_SHARE_AFTER_AVOIDANCE = 0.22;

/** Health of targets, as this VM observes it. */
export class TargetHealth {
  readonly #states = new Map<string, HealthState>();
  readonly #failures: TargetFailures;

  constructor(options: TargetHealthOptions = {}) {
    this.#failures = options.failures ?? new TargetFailures();
  }

  /** Records the outcome of an attempt. Returns whether the target is avoided from now on. */
  recordOutcome(
    target: string,
    outcome: AttemptOutcome,
    nowMs: number,
  ): boolean {
    if (outcome !== "declined") {
      this.#failures.recordAttempt(target, outcome !== "answered", nowMs);
    }
    const state = this.#getOrCreate(target);
    const wasAvoided = state.avoidUntilMs > nowMs;
    state.samples++;
    const sample = outcome === "answered" ? 0 : 1;
    state.failShare += (sample - state.failShare) * SAMPLE_WEIGHT;
    if (outcome === "answered") state.lastResponseAtMs = nowMs;
    if (outcome === "unreachable") this.#avoidUnreachable(state, nowMs);
    else state.unreachableStreak = 0;
    if (
      outcome === "answered" && wasAvoided && state.unreachableStreak === 0
    ) {
      return false;
    }
    this.#avoidIfFailing(state, nowMs);
    return !wasAvoided && state.avoidUntilMs > nowMs;
  }

  /** Avoids the target until `untilMs`, regardless of its earlier outcomes. */
  avoidUntil(target: string, untilMs: number): void {
    const state = this.#getOrCreate(target);
    state.avoidUntilMs = Math.max(state.avoidUntilMs, untilMs);
  }

  /** Whether the target is avoided at `nowMs`. Avoidance is only a preference. */
  isAvoided(target: string, nowMs: number): boolean {
    const state = this.#states.get(target);
    return state !== undefined && state.avoidUntilMs > nowMs;
  }

  /** Lists those of the targets that fail according to the attempts of the whole fleet. */
  findFailing(
    targets: readonly string[],
    nowMs: number,
  ): ReadonlySet<string> {
    return this.#failures.findFailing(targets, nowMs);
  }

  /** Whether fewer consecutive attempts than the threshold found the target unreachable. */
  isReachable(target: string): boolean {
    return (this.#states.get(target)?.unreachableStreak ?? 0) <
      MIN_UNREACHABLE_STREAK;
  }

  /** Whether the target has responded to this VM, and has been reached by each attempt since. */
  hasResponded(target: string): boolean {
    const state = this.#states.get(target);
    return state !== undefined && state.lastResponseAtMs > -Infinity &&
      state.unreachableStreak === 0;
  }

  /** Monotonic time of a target's last response, or -Infinity if there was none. */
  getLastResponseAtMs(target: string): number {
    return this.#states.get(target)?.lastResponseAtMs ?? -Infinity;
  }

  /** Ends the avoidance of targets and forgets that they could not be reached. */
  clearAvoidance(targets: readonly string[]): void {
    for (const target of targets) {
      const state = this.#states.get(target);
      if (state === undefined) continue;
      state.avoidUntilMs = -Infinity;
      state.unreachableStreak = 0;
      state.failShare = 0;
    }
  }

  /** Drops what was learned about an incarnation that has ended. */
  forget(target: string): void {
    this.#failures.forget(target);
    this.#states.delete(target);
  }

  #avoidUnreachable(state: HealthState, nowMs: number): void {
    state.unreachableStreak++;
    const waitMs = INITIAL_AVOID_MS *
      2 ** Math.min(state.unreachableStreak - 1, 6);
    const untilMs = nowMs + Math.min(MAX_AVOID_MS, waitMs);
    state.avoidUntilMs = Math.max(state.avoidUntilMs, untilMs);
  }

  #avoidIfFailing(state: HealthState, nowMs: number): void {
    if (state.samples < MIN_SAMPLES) return;
    if (state.failShare <= MAX_FAIL_SHARE) return;
    state.avoidUntilMs = Math.max(
      state.avoidUntilMs,
      nowMs + FAILING_AVOID_MS,
    );
    state.failShare = FAIL_SHARE_AFTER_AVOIDANCE;
  }

  #getOrCreate(target: string): HealthState {
    let state = this.#states.get(target);
    if (state === undefined) {
      state = {
        unreachableStreak: 0,
        failShare: 0,
        samples: 0,
        avoidUntilMs: -Infinity,
        lastResponseAtMs: -Infinity,
      };
      this.#states.set(target, state);
    }
    return state;
  }
}
