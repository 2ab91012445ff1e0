/**
 * Follows a topic of keyed records: loads it once, then reads what changed, and loads it
 * again where the changes have expired.
 *
 * @module
 */
import type { Clock } from "heatherarch-core";
import { type EventLog, formatAge } from "../event_log.ts";
import type { KeyedEntry, KeyedTopicPort, TopicSlice } from "../ports.ts";

/** Options of {@linkcode TopicFollower}. */
export interface TopicFollowerOptions<T> {
  readonly name: string;
  readonly port: KeyedTopicPort<T>;
  readonly log: EventLog;
  /** Pause between reads, milliseconds. */
  readonly pollMs: number;
  /** How long the store may hold a read back until there is a record, milliseconds. */
  readonly waitMs: number;
  /** Longest wait for the answer to a long poll beyond `waitMs`; by default that of the port. */
  readonly answerMs?: number;
  /** Longest wait for the answer to any other read, milliseconds; by default that of the port. */
  readonly timeoutMs?: number;
  /** Called with what a read told, and the monotonic time at which it was asked for. */
  readonly onList: (
    entries: readonly KeyedEntry<T>[],
    sentAtMs: number,
  ) => void;
  readonly onChanges: (
    entries: readonly KeyedEntry<T>[],
    sentAtMs: number,
  ) => void;
  /** Called for each entry that can't be understood from now on. */
  readonly onUnreadable?: () => void;
  /** Called for each read that failed, with the monotonic time at which it was asked for. */
  readonly onFailed?: (sentAtMs: number) => void;
  /** Pause after a failed read, milliseconds. */
  readonly retryMs?: number;
  /** The same on a VM without duty. */
  readonly spareRetryMs?: number;
  readonly clock: Clock;
  /** Uniform in [0, 1). */
  readonly drawUnit?: () => number;
}

/** Pause after a failed read, milliseconds: several tries within the bound of two seconds. */
const RETRY_MS = 250;
/** The same on a VM without duty: many of them try at once. */
const SPARE_RETRY_MS = 1000;
/** Least part of the usual pause: short after a standstill, long enough for a store that is slow. */
const MIN_PAUSE_SHARE = 0.25;
/**
 * Pauses are jittered by this part of them, either way. Readers in step would stay so: a hub whose
 * readings always come right before a VM's own never tells it anything newer.
 */
const JITTER_SHARE = 0.25;
/** Keys come from other writers: longer ones are cut in the log. */
const MAX_LOGGED_KEY_CHARS = 80;

/** A long poll has failed. */
class LongPollError extends Error {
  constructor(message: string, cause: unknown) {
    super(message, { cause });
    this.name = "LongPollError";
  }
}

/** A task that follows one topic. */
export class TopicFollower<T> {
  readonly #options: TopicFollowerOptions<T>;
  #nextOffset: number | undefined;
  /** Monotonic time of the first of the reads that have failed since the last good one. */
  #failingSinceMs: number | undefined;
  #stopped = false;
  #isActive = true;
  /** Ends the rest of a follower that is not needed. */
  #resume: (() => void) | undefined;
  /** Ends the pause between two reads. */
  #endPause: (() => void) | undefined;
  /** The read in progress is to be followed by another one at once. */
  #isRefreshDue = false;
  #isCoordinator = true;
  /** A long poll got no answer: the next read is answered at once, whether there is a change or not. */
  #isLongPollFailed = false;
  #readAtMs = -Infinity;
  /** Keys whose newest record can't be understood. */
  #unreadable = new Set<string>();

  constructor(options: TopicFollowerOptions<T>) {
    this.#options = options;
  }

  /** Whether the last read succeeded and the topic has been loaded. */
  get isCurrent(): boolean {
    return this.#isActive && this.#nextOffset !== undefined &&
      this.#failingSinceMs === undefined;
  }

  /** Whether the topic is being read. */
  get isActive(): boolean {
    return this.#isActive;
  }

  /**
   * Monotonic time at which the last read without fault was asked for; -Infinity before the first.
   * Its answer may have waited in the socket while the process stood still.
   */
  get readAtMs(): number {
    return this.#readAtMs;
  }

  /** Time since the last read without fault; Infinity where the store does not answer. */
  getAgeMs(nowMs: number): number {
    return this.#failingSinceMs === undefined
      ? nowMs - this.#readAtMs
      : Infinity;
  }

  /** Rests while others read the topic, and goes on from a whole list. */
  setActive(isActive: boolean): void {
    if (isActive === this.#isActive) return;
    this.#isActive = isActive;
    this.#nextOffset = undefined;
    if (isActive) this.#resume?.();
  }

  /** A VM without duty is patient after a failed read, as many of them try at once. */
  setCoordinator(isCoordinator: boolean): void {
    this.#isCoordinator = isCoordinator;
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#stopped = true;
    this.#resume?.();
  }

  /** Settles when the topic is to be read again, or never more. */
  #waitUntilActive(): Promise<void> {
    return new Promise((resolve) => {
      this.#resume = resolve;
    });
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      if (!this.#isActive) {
        await this.#waitUntilActive();
        continue;
      }
      const sentAtMs = this.#nowMs;
      try {
        await this.#readOnce(sentAtMs);
        this.#readAtMs = sentAtMs;
        this.#isLongPollFailed = false;
        this.#handleRecovery();
        if (this.#options.pollMs > 0) await this.#pause(this.#computePauseMs());
      } catch (error) {
        if (error instanceof LongPollError) {
          this.#handleLongPollFailure(error, sentAtMs);
          continue;
        }
        this.#handleFailure(error, sentAtMs);
        await this.#pause(this.#pickRetryMs());
      }
    }
  }

  /** Reads the topic now; where a read is in progress, once more right after it. */
  refresh(): void {
    if (this.#endPause === undefined) this.#isRefreshDue = true;
    else this.#endPause();
  }

  async #pause(ms: number): Promise<void> {
    const isRefreshDue = this.#isRefreshDue;
    this.#isRefreshDue = false;
    if (isRefreshDue) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, ms);
      this.#endPause = () => {
        clearTimeout(timer);
        resolve();
      };
    });
    this.#endPause = undefined;
  }

  #pickRetryMs(): number {
    const { retryMs = RETRY_MS, spareRetryMs = SPARE_RETRY_MS } = this.#options;
    return this.#isCoordinator ? retryMs : spareRetryMs;
  }

  /** Counts from the request, so that a slow store does not make what is known older by as much. */
  #computePauseMs(): number {
    const { pollMs, drawUnit = Math.random } = this.#options;
    const jitter = 1 + JITTER_SHARE * (2 * drawUnit() - 1);
    const leftMs = pollMs * jitter - (this.#nowMs - this.#readAtMs);
    return Math.max(leftMs, pollMs * MIN_PAUSE_SHARE);
  }

  get #nowMs(): number {
    return this.#options.clock.readMonotonicMs();
  }

  async #readOnce(sentAtMs: number): Promise<void> {
    if (this.#nextOffset === undefined) return await this.#load(sentAtMs);
    const slice = await this.#readChanges(this.#nextOffset);
    if (slice === undefined) return await this.#load(sentAtMs);
    if (this.#stopped || !this.#isActive) return;
    this.#nextOffset = slice.next;
    this.#updateUnreadable(slice.entries);
    this.#options.onChanges(slice.entries, sentAtMs);
  }

  /** Throws {@linkcode LongPollError} where a long poll fails, which says little of the store. */
  async #readChanges(from: number): Promise<TopicSlice<T> | undefined> {
    const { port, timeoutMs, answerMs = timeoutMs } = this.#options;
    const waitMs = this.#isLongPollFailed ? 0 : this.#drawWaitMs();
    if (waitMs === 0) return await port.readChanges(from, 0, timeoutMs);
    try {
      return await port.readChanges(from, waitMs, answerMs);
    } catch (error) {
      throw new LongPollError((error as Error).message, error);
    }
  }

  /** A change answers all long polls at once, so readers would stay in step without jitter. */
  #drawWaitMs(): number {
    const { waitMs, drawUnit = Math.random } = this.#options;
    return Math.round(waitMs * (1 - JITTER_SHARE * drawUnit()));
  }

  async #load(sentAtMs: number): Promise<void> {
    const { port, timeoutMs } = this.#options;
    const slice = await port.load(timeoutMs);
    if (this.#stopped || !this.#isActive) return;
    this.#nextOffset = slice.next;
    this.#dropUnlisted(slice.entries);
    this.#updateUnreadable(slice.entries);
    this.#options.onList(slice.entries, sentAtMs);
  }

  /** A line where an entry begins or ends to be unreadable, however often it is read. */
  #updateUnreadable(entries: readonly KeyedEntry<T>[]): void {
    for (const { key, isUnreadable = false } of entries) {
      if (isUnreadable === this.#unreadable.has(key)) continue;
      if (isUnreadable) {
        this.#unreadable.add(key);
        this.#options.onUnreadable?.();
      } else this.#unreadable.delete(key);
      this.#options.log.write(
        isUnreadable ? "warn" : "info",
        isUnreadable ? "entryUnreadable" : "entryReadable",
        { topic: this.#options.name, key: key.slice(0, MAX_LOGGED_KEY_CHARS) },
      );
    }
  }

  /** What a whole list does not name is not unreadable any more. */
  #dropUnlisted(entries: readonly KeyedEntry<T>[]): void {
    const listed = new Set(entries.map(({ key }) => key));
    for (const key of this.#unreadable) {
      if (!listed.has(key)) this.#updateUnreadable([{ key }]);
    }
  }

  /** The topic is read again at once: the store may be back, or only the connection lost. */
  #handleLongPollFailure(error: Error, sentAtMs: number): void {
    this.#isLongPollFailed = true;
    const { name, log } = this.#options;
    log.write("info", "longPollFailed", {
      dependency: `store topic ${name}`,
      reason: error.message,
      tookMs: Math.round(this.#nowMs - sentAtMs),
      ageMs: formatAge(this.#nowMs - this.#readAtMs),
    });
  }

  #handleFailure(error: unknown, sentAtMs: number): void {
    this.#options.onFailed?.(sentAtMs);
    if (this.#failingSinceMs !== undefined) return;
    this.#failingSinceMs = sentAtMs;
    const { name, log } = this.#options;
    log.write("warn", "dependencyLost", {
      dependency: `store topic ${name}`,
      reason: (error as Error).message,
      tookMs: Math.round(this.#nowMs - sentAtMs),
      ageMs: formatAge(this.#nowMs - this.#readAtMs),
    });
  }

  #handleRecovery(): void {
    if (this.#failingSinceMs === undefined) return;
    const { name, log } = this.#options;
    log.write("info", "dependencyRegained", {
      dependency: `store topic ${name}`,
      next: this.#nextOffset,
      lostForMs: Math.round(this.#nowMs - this.#failingSinceMs),
    });
    this.#failingSinceMs = undefined;
  }
}
