/**
 * Rate limits of targets: the requests per second that a target takes from all VMs together, for as
 * long as its responses say so. The module has no clock: each update carries the time.
 *
 * @module
 */

/** What a response told about a target's rate limit. */
export interface RateLimitObservation {
  /** Requests per second from all VMs together; undefined if the response names no limit. */
  readonly maxPerSecond: number | undefined;
  /** Monotonic time at which the request was sent. */
  readonly sentAtMs: number;
  /** Monotonic time at which the response arrived. */
  readonly atMs: number;
}

/** How a target's rate limit changed. */
export type RateLimitChange = "begun" | "changed" | "ended";

interface RateLimit {
  maxPerSecond: number;
  /** Monotonic time at which a response last named the limit. */
  observedAtMs: number;
}

/** Share by which a limit has to differ from the known one to count as changed. */
const MIN_CHANGE_SHARE = 0.1;

/** The rate limits that targets have named, by target. */
export class TargetRateLimits {
  readonly #limits = new Map<string, RateLimit>();

  /** Records what a response told. Returns how the limit changed; undefined if it did not. */
  recordObservation(
    target: string,
    { maxPerSecond, sentAtMs, atMs }: RateLimitObservation,
  ): RateLimitChange | undefined {
    const known = this.#limits.get(target);
    if (maxPerSecond !== undefined) {
      return this.#setLimit(target, known, maxPerSecond, atMs);
    }
    // A response that was under way before the limit was named does not end it.
    if (known === undefined || sentAtMs <= known.observedAtMs) return undefined;
    this.#limits.delete(target);
    return "ended";
  }

  /** Requests per second that a target takes from all VMs; undefined if it has no limit. */
  getMaxPerSecond(target: string): number | undefined {
    return this.#limits.get(target)?.maxPerSecond;
  }

  /** Drops the limit of an incarnation that has ended. */
  forget(target: string): void {
    this.#limits.delete(target);
  }

  #setLimit(
    target: string,
    known: RateLimit | undefined,
    maxPerSecond: number,
    atMs: number,
  ): RateLimitChange | undefined {
    if (known === undefined) {
      this.#limits.set(target, { maxPerSecond, observedAtMs: atMs });
      return "begun";
    }
    const before = known.maxPerSecond;
    known.maxPerSecond = maxPerSecond;
    known.observedAtMs = Math.max(known.observedAtMs, atMs);
    const isChanged =
      Math.abs(maxPerSecond - before) > before * MIN_CHANGE_SHARE;
    return isChanged ? "changed" : undefined;
  }
}
