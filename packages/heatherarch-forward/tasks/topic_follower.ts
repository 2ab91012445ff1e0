/**
 * Follows a topic of keyed records: loads it once, then reads changes, and reloads it when the
 * changes have expired or the store has come back from a copy.
 *
 * @module
 */
import { type Clock, type Moment, readMoment } from "heatherarch-core";
import { type EventLog, formatAge } from "../event_log.ts";
import type { KeyedEntry, KeyedTopicPort, TopicSlice } from "../ports.ts";
import {
  UnreadableEntries,
  type UnreadableStatus,
} from "../state/unreadable_entries.ts";

/** Which store a load comes from. */
export interface LoadOrigin {
  /** Epoch of the store; undefined if it names none. */
  readonly epoch: number | undefined;
  /** Whether the entries may be older than what was read before, as the epoch has risen. */
  readonly isRestored: boolean;
}

/** Options of {@linkcode TopicFollower}. */
export interface TopicFollowerOptions<T> {
  readonly name: string;
  readonly port: KeyedTopicPort<T>;
  readonly log: EventLog;
  /** Pause between reads, milliseconds. */
  readonly pollMs: number;
  /** How long the store may hold a read until there is a record, milliseconds. */
  readonly waitMs: number;
  /** Timeout of a long poll beyond `waitMs`, milliseconds; by default that of the port. */
  readonly answerMs?: number;
  /** Timeout of any other read, milliseconds; by default that of the port. */
  readonly timeoutMs?: number;
  /** Called with the entries of a load and the monotonic time at which its request was sent. */
  readonly onList: (
    entries: readonly KeyedEntry<T>[],
    sentAtMs: number,
    origin: LoadOrigin,
  ) => void;
  /** Called with the changed entries of a read and the monotonic time at which it was sent. */
  readonly onChanges: (
    entries: readonly KeyedEntry<T>[],
    sentAtMs: number,
  ) => void;
  /** Called after each successful read with the moment at which it was sent. */
  readonly onRead?: (sentAt: Moment) => void;
  /** Called for each entry that becomes unreadable. */
  readonly onUnreadable?: () => void;
  /** Called for each failed read with the monotonic time at which it was sent. */
  readonly onFailed?: (sentAtMs: number) => void;
  /** Pause after a failed read, milliseconds. */
  readonly retryMs?: number;
  /** Pause after a failed read on a VM that is no coordinator, milliseconds. */
  readonly spareRetryMs?: number;
  readonly clock: Clock;
  /** Uniform in [0, 1). */
  readonly drawUnit?: () => number;
}

/** Pause after a failed read, milliseconds: several attempts within the bound of two seconds. */
const RETRY_MS = 250;
/** The same on a VM that is no coordinator, as many of these retry at once. */
const SPARE_RETRY_MS = 1000;
/** Minimum share of the usual pause: short after a stall, but long enough for a slow store. */
const MIN_PAUSE_SHARE = 0.25;
/**
 * Jitter of pauses in either direction, as a share. Synchronized readers would stay synchronized: a
 * hub that always reads right before a VM does never provides that VM with anything newer.
 */
const JITTER_SHARE = 0.25;

/** Thrown when a long poll fails. */
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
  /** Epoch of the store to which `#nextOffset` belongs. */
  #epoch: number | undefined;
  /** Whether the last read loaded the topic. */
  #hasJustLoaded = false;
  /** Monotonic time of the first failed read since the last successful one. */
  #failingSinceMs: number | undefined;
  #stopped = false;
  #isActive = true;
  /** Ends the wait of an inactive follower. */
  #resume: (() => void) | undefined;
  /** Ends the pause between two reads. */
  #endPause: (() => void) | undefined;
  /** Whether another read must follow the one in progress at once. */
  #isRefreshDue = false;
  #isCoordinator = true;
  /** Whether a long poll failed. The next read is then a plain one, which the store never holds. */
  #isLongPollFailed = false;
  #readAtMs = -Infinity;
  readonly #unreadable: UnreadableEntries;

  constructor(options: TopicFollowerOptions<T>) {
    this.#options = options;
    const { name: topic, log, onUnreadable } = options;
    this.#unreadable = new UnreadableEntries({ topic, log, onUnreadable });
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
   * Monotonic time at which the last successful read was sent; -Infinity before the first. The time
   * of its response would not do, as that may have waited in the socket during a process stall.
   */
  get readAtMs(): number {
    return this.#readAtMs;
  }

  /** Lists the unreadable entries, unless others read the topic. */
  listUnreadable(): UnreadableStatus[] {
    return this.#isActive ? this.#unreadable.listStatus() : [];
  }

  /** Returns the time since the last successful read; Infinity while reads fail. */
  getAgeMs(nowMs: number): number {
    return this.#failingSinceMs === undefined
      ? nowMs - this.#readAtMs
      : Infinity;
  }

  /** Pauses reading while others read the topic, or resumes it with a load of the full list. */
  setActive(isActive: boolean): void {
    if (isActive === this.#isActive) return;
    this.#isActive = isActive;
    this.#nextOffset = undefined;
    if (isActive) this.#resume?.();
  }

  /** Sets whether this VM is a coordinator. The many other VMs retry less often after a failure. */
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

  /** Resolves when the topic must be read again or the follower stops. */
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
      const sentAt = readMoment(this.#options.clock);
      const { monotonicMs: sentAtMs } = sentAt;
      try {
        await this.#readOnce(sentAtMs);
        this.#readAtMs = sentAtMs;
        if (this.#isActive) this.#options.onRead?.(sentAt);
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

  /** Reads the topic now, or right after the read in progress. */
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

  /** Counts the pause from the request, so that a slow store does not add to the list's age. */
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
    if (slice === undefined || slice.epoch !== this.#epoch) {
      return await this.#reload(sentAtMs, slice);
    }
    if (this.#stopped || !this.#isActive) return;
    this.#hasJustLoaded = false;
    // Changes that could not be applied are not skipped: the next read loads the topic.
    this.#nextOffset = undefined;
    this.#unreadable.applyChanges(slice.entries);
    this.#options.onChanges(slice.entries, sentAtMs);
    // A load brings the newest record of each key. The records in between may be many and large.
    if (this.#isActive && !slice.hasMore) this.#nextOffset = slice.next;
  }

  /** Loads the topic again, as the position of this follower is gone or belongs to another epoch. */
  async #reload(
    sentAtMs: number,
    slice: TopicSlice<T> | undefined,
  ): Promise<void> {
    // Without a pause, this would repeat as fast as the store responds.
    if (this.#hasJustLoaded) {
      this.#nextOffset = undefined;
      throw new Error("the offset after a load is not stored");
    }
    const { name, log } = this.#options;
    log.write("info", "topicReloaded", {
      topic: name,
      offset: this.#nextOffset,
      epoch: this.#epoch,
      newEpoch: slice?.epoch,
    });
    await this.#load(sentAtMs);
  }

  /** Throws {@linkcode LongPollError} if a long poll fails, which says little about the store. */
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

  /** Draws a jittered wait. A change ends all long polls at once, which synchronizes readers. */
  #drawWaitMs(): number {
    const { waitMs, drawUnit = Math.random } = this.#options;
    return Math.round(waitMs * (1 - JITTER_SHARE * drawUnit()));
  }

  async #load(sentAtMs: number): Promise<void> {
    const { port, timeoutMs } = this.#options;
    const slice = await port.load(timeoutMs);
    if (this.#stopped || !this.#isActive) return;
    const isRestored = this.#epoch !== undefined && slice.epoch !== this.#epoch;
    const { epoch } = slice;
    this.#nextOffset = undefined;
    this.#hasJustLoaded = true;
    this.#unreadable.applyList(slice.entries);
    this.#options.onList(slice.entries, sentAtMs, { epoch, isRestored });
    // A list that could not be applied is loaded again, and counts as restored then as well.
    this.#epoch = epoch;
    if (this.#isActive) this.#nextOffset = slice.next;
  }

  /** Logs a failed long poll. A read follows at once, as perhaps only the connection was lost. */
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
