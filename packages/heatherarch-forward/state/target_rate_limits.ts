/**
 * Rate limits of targets: the requests per second that a target takes from all VMs together, for as
 * long as its responses say so. Each VM spends its share of a limit and tells its peers of limits
 * that begin, change or end. The module has no clock: each update carries the time.
 *
 * @module
 */
import { ExpiringTokenBucket } from "./expiring_token_bucket.ts";
import type { FleetShare } from "./fleet_demand.ts";

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

/** What a VM knows of a target's rate limit, as sent to peers. */
export interface RateLimitNews {
  readonly target: string;
  /** Requests per second from all VMs together; undefined if the limit has ended. */
  readonly maxPerSecond: number | undefined;
  /** Monotonic time as of which this holds. */
  readonly atMs: number;
}

/** Options of {@linkcode TargetRateLimits}. */
export interface TargetRateLimitsOptions {
  readonly share: FleetShare;
  /** Draws a uniformly distributed number in [0, 1). */
  readonly drawUnit: () => number;
}

interface RateLimit {
  /** Undefined if the limit has ended. */
  maxPerSecond: number | undefined;
  /** Monotonic time as of which the above holds. */
  atMs: number;
  /** Position of the last change among those of all targets. */
  position: number;
  readonly bucket: ExpiringTokenBucket;
}

/** Share by which a limit has to differ from the known one to count as changed. */
const MIN_CHANGE_SHARE = 0.1;
/**
 * Used share of a limit. The rest covers requests of many VMs that come close together by chance, and
 * VMs that know other shares or learn of the limit later.
 */
const USED_SHARE = 0.8;
/** Requests per second below which no limit is followed, since only responses show its end. */
const MIN_PER_SECOND = 0.2;
const MS_PER_SECOND = 1000;
/**
 * A target counts what it got before it named its limit, so a VM owes what it sent in this time
 * beyond its share, milliseconds.
 */
const OWED_MS = 1000;
/**
 * Longest time for which a VM sends nothing because of what it owes, milliseconds. A VM that earns
 * less than one request in this time may owe one.
 */
const MAX_REPAYMENT_MS = 2000;

/** The rate limits that targets have named, by target, and this VM's share of them. */
export class TargetRateLimits {
  readonly #options: TargetRateLimitsOptions;
  readonly #limits = new Map<string, RateLimit>();
  /** Monotonic times of the requests of the last second, by target. */
  readonly #recentRequests = new Map<string, number[]>();
  /** Number of waiting calls by group; groups without one have no entry. */
  readonly #waiting = new Map<string, number>();
  readonly #listeners = new Set<() => void>();
  #position = 0;
  /** Number of limits that have not ended. */
  #activeCount = 0;

  constructor(options: TargetRateLimitsOptions) {
    this.#options = options;
  }

  /** Records what a response told. Returns how the limit changed; undefined if it did not. */
  recordObservation(
    target: string,
    { maxPerSecond, sentAtMs, atMs }: RateLimitObservation,
  ): RateLimitChange | undefined {
    // A response that was under way before the limit was named does not end it.
    return maxPerSecond === undefined
      ? this.#endLimit(target, sentAtMs)
      : this.#setLimit(target, maxPerSecond, atMs);
  }

  /** Merges what a peer knows. Returns how the limit changed; undefined if it did not. */
  mergePeerNews(
    { target, maxPerSecond, atMs }: RateLimitNews,
  ): RateLimitChange | undefined {
    if (maxPerSecond === undefined) return this.#endLimit(target, atMs);
    const known = this.#limits.get(target);
    if (known !== undefined && atMs <= known.atMs) return undefined;
    return this.#setLimit(target, maxPerSecond, atMs);
  }

  /** Lists the changes after a position, and the position after them. */
  listNews(
    after: number,
  ): { readonly news: readonly RateLimitNews[]; readonly position: number } {
    if (after >= this.#position) return { news: [], position: after };
    const news = [...this.#limits]
      .filter(([, { position }]) => position > after)
      .map(([target, { maxPerSecond, atMs }]) => ({
        target,
        maxPerSecond,
        atMs,
      }));
    return { news, position: this.#position };
  }

  /** Registers a listener for changes and returns a function that removes it. */
  registerListener(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /** Whether a target has a limit, so that VMs have to know each other's calls. */
  get hasLimits(): boolean {
    return this.#activeCount > 0;
  }

  /** Requests per second that a target takes from all VMs; undefined if it has no limit. */
  getMaxPerSecond(target: string): number | undefined {
    return this.#limits.get(target)?.maxPerSecond;
  }

  /** Time until this VM may send the target a request, milliseconds; 0 without a limit. */
  getDelayMs(target: string, nowMs: number): number {
    // Targets are checked several times for each call, and seldom have a limit.
    if (!this.hasLimits) return 0;
    return this.predictDelayMs([target], 1, nowMs);
  }

  /**
   * Time until this VM may have sent `requests` requests to some of the targets, milliseconds; 0 if
   * one of them has no limit.
   */
  predictDelayMs(
    targets: readonly string[],
    requests: number,
    nowMs: number,
  ): number {
    let tokens = 0;
    let tokensPerMs = 0;
    for (const target of targets) {
      const limit = this.#limits.get(target);
      if (limit?.maxPerSecond === undefined) return 0;
      tokensPerMs += this.#refill(limit, limit.maxPerSecond, nowMs);
      tokens += limit.bucket.tokens;
    }
    return Math.max(0, requests - tokens) / tokensPerMs;
  }

  /** Records a request that is sent to a target. */
  recordRequest(target: string, nowMs: number): void {
    this.#trackRecentRequest(target, nowMs);
    const limit = this.#limits.get(target);
    if (limit?.maxPerSecond === undefined) return;
    this.#refill(limit, limit.maxPerSecond, nowMs);
    limit.bucket.take();
  }

  /** Counts a call that waits for the targets of a group. Returns a function that ends the wait. */
  beginWait(group: string): () => void {
    this.#waiting.set(group, this.countWaiting(group) + 1);
    let isOpen = true;
    return () => {
      if (!isOpen) return;
      isOpen = false;
      const count = this.countWaiting(group) - 1;
      if (count > 0) this.#waiting.set(group, count);
      else this.#waiting.delete(group);
    };
  }

  /** Number of calls that wait for the targets of a group. */
  countWaiting(group: string): number {
    return this.#waiting.get(group) ?? 0;
  }

  /** Drops the limit of an incarnation that has ended. */
  forget(target: string): void {
    if (this.getMaxPerSecond(target) !== undefined) this.#activeCount--;
    this.#limits.delete(target);
    this.#recentRequests.delete(target);
  }

  #setLimit(
    target: string,
    maxPerSecond: number,
    atMs: number,
  ): RateLimitChange | undefined {
    const known = this.#limits.get(target);
    if (known?.maxPerSecond === undefined) {
      const bucket = this.#createBucket(target, maxPerSecond, atMs);
      const position = ++this.#position;
      this.#limits.set(target, { maxPerSecond, atMs, position, bucket });
      this.#activeCount++;
      this.#notifyChange();
      return "begun";
    }
    const before = known.maxPerSecond;
    known.atMs = Math.max(known.atMs, atMs);
    if (Math.abs(maxPerSecond - before) <= before * MIN_CHANGE_SHARE) {
      return undefined;
    }
    known.maxPerSecond = maxPerSecond;
    known.position = ++this.#position;
    this.#notifyChange();
    return "changed";
  }

  /** Ends a limit if no response has named it since `atMs`. */
  #endLimit(target: string, atMs: number): RateLimitChange | undefined {
    const known = this.#limits.get(target);
    if (known?.maxPerSecond === undefined || atMs <= known.atMs) {
      return undefined;
    }
    known.maxPerSecond = undefined;
    this.#activeCount--;
    known.atMs = atMs;
    known.position = ++this.#position;
    this.#notifyChange();
    return "ended";
  }

  /** Creates a bucket; the random part keeps the buckets of all VMs from filling together. */
  #createBucket(
    target: string,
    maxPerSecond: number,
    nowMs: number,
  ): ExpiringTokenBucket {
    const tokensPerMs = this.#computeTokensPerMs(maxPerSecond, nowMs);
    const sent = (this.#recentRequests.get(target) ?? [])
      .filter((atMs) => nowMs - atMs < OWED_MS).length;
    const maxOwed = Math.max(1, MAX_REPAYMENT_MS * tokensPerMs);
    const owed = Math.min(maxOwed, Math.max(0, sent - OWED_MS * tokensPerMs));
    const initialTokens = this.#options.drawUnit() - owed;
    return new ExpiringTokenBucket({ initialTokens, nowMs });
  }

  #trackRecentRequest(target: string, nowMs: number): void {
    let times = this.#recentRequests.get(target);
    if (times === undefined) {
      times = [];
      this.#recentRequests.set(target, times);
    }
    times.push(nowMs);
    while (nowMs - times[0] >= OWED_MS) times.shift();
  }

  #notifyChange(): void {
    for (const listener of [...this.#listeners]) listener();
  }

  /** Refills this VM's bucket and returns the rate at which it fills, tokens per millisecond. */
  #refill({ bucket }: RateLimit, maxPerSecond: number, nowMs: number): number {
    const tokensPerMs = this.#computeTokensPerMs(maxPerSecond, nowMs);
    bucket.refill(tokensPerMs, nowMs);
    return tokensPerMs;
  }

  #computeTokensPerMs(maxPerSecond: number, nowMs: number): number {
    const perSecond = Math.max(MIN_PER_SECOND, maxPerSecond * USED_SHARE);
    return perSecond * this.#options.share.computeShare(nowMs) / MS_PER_SECOND;
  }
}
