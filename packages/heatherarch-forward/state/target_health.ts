/**
 * Which targets are avoided for a while, judged by how they answered. Pure: time comes in with
 * each update.
 *
 * Health checks are false at times, either way, and each one is paid for; the answers to calls
 * tell sooner.
 *
 * @module
 */

/** How a try at a target ended, as far as its health goes. */
export type AttemptOutcome = "answered" | "failed" | "unreachable";

interface Belief {
  /** Tries in a row that found it unreachable. */
  streak: number;
  /** Smoothed share of tries that it failed. */
  failShare: number;
  samples: number;
  avoidUntilMs: number;
  /** Monotonic time of its last answer. */
  heardAtMs: number;
}

/** Tries in a row that did not reach a target before it counts as down; one may be a lost packet. */
const UNREACHABLE_STREAK = 2;
const FIRST_AVOID_MS = 500;
/** Longer than the time in which the platform's list drops a dead target. */
const MAX_AVOID_MS = 5000;
/** Weight of a new sample; about the last eight tries count. */
const LEARN_WEIGHT = 0.12;
/** A target that fails more than this share is avoided; errors by design stay well below. */
const MAX_FAIL_SHARE = 0.3;
const MIN_SAMPLES = 6;
const GREY_AVOID_MS = 2000;
/** After a grey target's rest its share starts here, so that one more failure rests it again. */
const SHARE_AFTER_REST = 0.22;

/** Beliefs on targets. */
export class TargetHealth {
  readonly #beliefs = new Map<string, Belief>();

  /** Takes in the end of a try; returns true where the target is avoided from now on. */
  recordOutcome(
    target: string,
    outcome: AttemptOutcome,
    nowMs: number,
  ): boolean {
    const belief = this.#open(target);
    const wasAvoided = belief.avoidUntilMs > nowMs;
    belief.samples++;
    const sample = outcome === "answered" ? 0 : 1;
    belief.failShare += (sample - belief.failShare) * LEARN_WEIGHT;
    if (outcome === "answered") belief.heardAtMs = nowMs;
    if (outcome === "unreachable") this.#avoidUnreachable(belief, nowMs);
    else belief.streak = 0;
    if (outcome === "answered" && wasAvoided && belief.streak === 0) {
      return false;
    }
    this.#avoidGrey(belief, nowMs);
    return !wasAvoided && belief.avoidUntilMs > nowMs;
  }

  /** The target is avoided until then, whatever it answered before. */
  avoidUntil(target: string, untilMs: number): void {
    const belief = this.#open(target);
    belief.avoidUntilMs = Math.max(belief.avoidUntilMs, untilMs);
  }

  isAvoided(target: string, nowMs: number): boolean {
    const belief = this.#beliefs.get(target);
    return belief !== undefined && belief.avoidUntilMs > nowMs;
  }

  /** Whether several tries in a row reached a target. */
  isReachable(target: string): boolean {
    return (this.#beliefs.get(target)?.streak ?? 0) < UNREACHABLE_STREAK;
  }

  /** Monotonic time of a target's last answer; -Infinity where there was none. */
  getLastResponseAtMs(target: string): number {
    return this.#beliefs.get(target)?.heardAtMs ?? -Infinity;
  }

  forget(target: string): void {
    this.#beliefs.delete(target);
  }

  #avoidUnreachable(belief: Belief, nowMs: number): void {
    belief.streak++;
    const waitMs = FIRST_AVOID_MS * 2 ** Math.min(belief.streak - 1, 6);
    const untilMs = nowMs + Math.min(MAX_AVOID_MS, waitMs);
    belief.avoidUntilMs = Math.max(belief.avoidUntilMs, untilMs);
  }

  #avoidGrey(belief: Belief, nowMs: number): void {
    if (belief.samples < MIN_SAMPLES) return;
    if (belief.failShare <= MAX_FAIL_SHARE) return;
    belief.avoidUntilMs = Math.max(
      belief.avoidUntilMs,
      nowMs + GREY_AVOID_MS,
    );
    belief.failShare = SHARE_AFTER_REST;
  }

  #open(target: string): Belief {
    let belief = this.#beliefs.get(target);
    if (belief === undefined) {
      belief = {
        streak: 0,
        failShare: 0,
        samples: 0,
        avoidUntilMs: -Infinity,
        heardAtMs: -Infinity,
      };
      this.#beliefs.set(target, belief);
    }
    return belief;
  }
}
