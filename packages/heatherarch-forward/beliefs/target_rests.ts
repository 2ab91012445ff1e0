/**
 * Targets that have asked this VM for rest. Unlike avoidance, which is a hint, a rest holds also
 * where every target rests. Pure: time comes in with each update.
 *
 * @module
 */

/** A target could shut itself out for good by a mistake in its answer, milliseconds. */
const MAX_REST_MS = 300_000;

/** Rests by the id of a target's life. */
export class TargetRests {
  readonly #untilMs = new Map<string, number>();

  /** A target has asked for rest; returns whether it was not resting. */
  note(target: string, restMs: number, nowMs: number): boolean {
    const wasResting = this.isResting(target, nowMs);
    const untilMs = nowMs + Math.min(restMs, MAX_REST_MS);
    const before = this.#untilMs.get(target) ?? -Infinity;
    this.#untilMs.set(target, Math.max(before, untilMs));
    return !wasResting;
  }

  isResting(target: string, nowMs: number): boolean {
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
