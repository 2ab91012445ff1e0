/**
 * A hub that tells this VM the list of targets, and what has come from it.
 *
 * @module
 */
import type { TargetFeed } from "heatherarch-mesh";
import type { Target } from "../model.ts";
import type { KeyedEntry } from "../ports.ts";
import { decodeFeed, readFeedAge } from "./target_feed.ts";

/** Options of {@linkcode FeedSource}. */
export interface FeedSourceOptions {
  /** The hub. */
  readonly id: string;
  /** Monotonic time from which on it is asked, milliseconds. */
  readonly sinceMs: number;
}

/** What one heartbeat told of the list. */
export interface FeedUpdate {
  /** Monotonic time for which the word holds. */
  readonly validAtMs: number;
  readonly isFull: boolean;
  readonly entries: readonly KeyedEntry<Target>[];
}

/** A hub that has told nothing for this long is replaced: four of its heartbeats. */
const HUB_TIMEOUT_MS = 500;

/** One hub as the source of the list. */
export class FeedSource {
  readonly id: string;
  #lastHeartbeatAtMs: number;
  #hasFullList = false;
  #isStale = false;

  constructor(options: FeedSourceOptions) {
    this.id = options.id;
    this.#lastHeartbeatAtMs = options.sinceMs;
  }

  /** The whole list has come from it. */
  get hasFullList(): boolean {
    return this.#hasFullList;
  }

  /** It said last that it can't read the list. */
  get isStale(): boolean {
    return this.#isStale;
  }

  /** What this VM wants of the hub. */
  get wants(): "changes" | "all" {
    return this.#hasFullList ? "changes" : "all";
  }

  recordHeartbeat(nowMs: number): void {
    this.#lastHeartbeatAtMs = nowMs;
  }

  isTimedOut(nowMs: number): boolean {
    return nowMs - this.#lastHeartbeatAtMs > HUB_TIMEOUT_MS;
  }

  /**
   * Takes in a feed; undefined where it can't be relied on. What it tells may be newer than its
   * date, which is that of a request. So a feed with news that is dated before the time for which
   * this VM's own list holds can be neither applied nor passed over: the whole list is asked for.
   */
  handleFeed(
    feed: TargetFeed,
    nowMs: number,
    listValidAtMs = -Infinity,
  ): FeedUpdate | undefined {
    const ageMs = readFeedAge(feed);
    this.#isStale = ageMs === Infinity;
    if (this.#isStale) return undefined;
    const atMs = nowMs - ageMs;
    const hasChanges = feed.isFull || feed.rows.length > 0;
    const isOlder = hasChanges && atMs < listValidAtMs;
    if (feed.isFull || isOlder) this.#hasFullList = !isOlder;
    if (!this.#hasFullList) return undefined;
    return { validAtMs: atMs, isFull: feed.isFull, entries: decodeFeed(feed) };
  }
}
