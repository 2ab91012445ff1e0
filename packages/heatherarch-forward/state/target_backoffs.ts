/**
 * Targets that answered with `Retry-After`. Unlike avoidance, which is a hint, a rest is binding
 * even when no other target is left. Pure: time is passed in.
 *
 * @module
 */

/** Upper bound, so that a faulty answer does not take a target out for good, milliseconds. */
const MAX_REST_MS = 300_000;

/** Rests by target. */
export class TargetBackoffs {
  readonly #untilMs = new Map<string, number>();

  /** A target asked for rest; returns whether it was not resting yet. */
  recordBackoff(target: string, restMs: number, nowMs: number): boolean {
    const wasResting = this.isInBackoff(target, nowMs);
    const untilMs = nowMs + Math.min(restMs, MAX_REST_MS);
    const before = this.#untilMs.get(target) ?? -Infinity;
    this.#untilMs.set(target, Math.max(before, untilMs));
    return !wasResting;
  }

  isInBackoff(target: string, nowMs: number): boolean {
    return nowMs < this.getEndMs(target);
  }

  /** Monotonic time at which a target's rest ends; -Infinity where it asked for none. */
  getEndMs(target: string): number {
    return this.#untilMs.get(target) ?? -Infinity;
  }

  forget(target: string): void {
    this.#untilMs.delete(target);
  }
}
