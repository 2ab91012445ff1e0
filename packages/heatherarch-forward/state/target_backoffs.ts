/**
 * Tracks targets that responded with `Retry-After`. Avoidance by target health is only a preference,
 * whereas a backoff is binding even if no other target is left. The module has no clock: each call
 * carries the time.
 *
 * @module
 */

/** Upper bound, so that a faulty response does not exclude a target permanently. */
const MAX_BACKOFF_MS = 300_000;

/** Backoffs by target. */
export class TargetBackoffs {
  readonly #endsAtMs = new Map<string, number>();

  /** Records that a target requested a backoff. Returns whether it was not yet in backoff. */
  recordBackoff(target: string, backoffMs: number, nowMs: number): boolean {
    const wasInBackoff = this.isInBackoff(target, nowMs);
    const untilMs = nowMs + Math.min(backoffMs, MAX_BACKOFF_MS);
    const before = this.#endsAtMs.get(target) ?? -Infinity;
    this.#endsAtMs.set(target, Math.max(before, untilMs));
    return !wasInBackoff;
  }

  /** Whether no request may be sent to the target at `nowMs`. */
  isInBackoff(target: string, nowMs: number): boolean {
    return nowMs < this.getEndMs(target);
  }

  /** Monotonic time at which a target's backoff ends, or -Infinity if it requested none. */
  getEndMs(target: string): number {
    return this.#endsAtMs.get(target) ?? -Infinity;
  }

  /** Drops the backoff of an incarnation that has ended. */
  forget(target: string): void {
    this.#endsAtMs.delete(target);
  }
}
