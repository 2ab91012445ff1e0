/**
 * A hub that sends this VM the target list, and the state of its feed.
 *
 * @module
 */
import type { TargetFeed } from "heatherarch-mesh";
import type { Target } from "../model.ts";
import type { KeyedEntry } from "../ports.ts";
import { decodeFeed, readFeedAge } from "./target_feed.ts";

/** Options of {@linkcode FeedSource}. */
export interface FeedSourceOptions {
  /** Id of the hub. */
  readonly id: string;
  /** Monotonic time at which the hub was selected, milliseconds. */
  readonly sinceMs: number;
}

/** The target list update of one heartbeat. */
export interface FeedUpdate {
  /** Monotonic time as of which the update is valid, milliseconds. */
  readonly validAtMs: number;
  readonly isFull: boolean;
  readonly entries: readonly KeyedEntry<Target>[];
}

/** A hub that sends no heartbeat for this long, four of its intervals, is replaced. */
const HUB_TIMEOUT_MS = 500;

/** One hub as the source of the target list. */
export class FeedSource {
  readonly id: string;
  #lastHeartbeatAtMs: number;
  #hasFullList = false;
  #isStale = false;

  constructor(options: FeedSourceOptions) {
    this.id = options.id;
    this.#lastHeartbeatAtMs = options.sinceMs;
  }

  /** Whether the hub has sent the full list. */
  get hasFullList(): boolean {
    return this.#hasFullList;
  }

  /** Whether the hub's last feed said that it can't read the list. */
  get isStale(): boolean {
    return this.#isStale;
  }

  /** What this VM requests from the hub. */
  get wants(): "changes" | "all" {
    return this.#hasFullList ? "changes" : "all";
  }

  /** Records that the hub sent a heartbeat, with or without a feed. */
  recordHeartbeat(nowMs: number): void {
    this.#lastHeartbeatAtMs = nowMs;
  }

  /** Whether the hub has sent no heartbeat for too long and must be replaced. */
  isTimedOut(nowMs: number): boolean {
    return nowMs - this.#lastHeartbeatAtMs > HUB_TIMEOUT_MS;
  }

  /**
   * Returns the update in a feed; undefined if the feed can't be used. A feed carries the time at
   * which the hub sent its read request, so its content may be newer than that. A feed with changes
   * whose time is before `listValidAtMs`, the time as of which this VM's own list is valid, can
   * therefore be neither applied nor ignored. The full list is requested instead.
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
