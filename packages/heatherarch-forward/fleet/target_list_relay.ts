/**
 * Relays the target list from hub to VM and from hub to hub: the list's updates in heartbeats, and
 * the age of the list that was received.
 *
 * @module
 */
import type { Clock } from "heatherarch-core";
import type { Link, TargetFeed } from "heatherarch-mesh";
import type { TargetDirectory } from "../state/target_directory.ts";
import type { Target } from "../model.ts";
import type { KeyedEntry } from "../ports.ts";
import type { FeedSource } from "./feed_source.ts";
import { encodeFeed } from "./target_feed.ts";

/** Options of {@linkcode TargetListRelay}. */
export interface TargetListRelayOptions {
  readonly directory: TargetDirectory;
  readonly clock: Clock;
  /** Returns the age of the target list as read by this VM itself, milliseconds. */
  readonly getListAgeMs: () => number;
  /** Age up to which a hub's feed of the target list is used, milliseconds. */
  readonly maxListAgeMs: number;
  /** Applies the source's updates of the target list; with `isFull` they are the full list. */
  readonly applyTargets: (
    entries: readonly KeyedEntry<Target>[],
    isFull: boolean,
  ) => void;
}

/** The relay of one VM. */
export class TargetListRelay {
  readonly #options: TargetListRelayOptions;
  /** Position after the updates sent on each link; none until the full list has been sent. */
  readonly #cursors = new WeakMap<Link, number>();
  #validAtMs = -Infinity;

  constructor(options: TargetListRelayOptions) {
    this.#options = options;
  }

  /** Monotonic time as of which a hub's feed is valid. */
  get validAtMs(): number {
    return this.#validAtMs;
  }

  /** Whether a hub's feed is recent enough to use. */
  isFresh(nowMs: number): boolean {
    return nowMs - this.#validAtMs <= this.#options.maxListAgeMs;
  }

  /** Ages the feed by time that the monotonic clock did not count. */
  addUncountedMs(uncountedMs: number): void {
    this.#validAtMs -= uncountedMs;
  }

  /** Returns the age of the list, as read by this VM or received from a hub, milliseconds. */
  getAgeMs(): number {
    const { clock, getListAgeMs } = this.#options;
    return Math.min(getListAgeMs(), clock.readMonotonicMs() - this.#validAtMs);
  }

  /** Applies a feed from `source` that arrived at the monotonic time `arrivedAtMs` or later. */
  handleFeed(source: FeedSource, feed: TargetFeed, arrivedAtMs: number): void {
    const { directory, applyTargets } = this.#options;
    const update = source.handleFeed(feed, arrivedAtMs, directory.validAtMs);
    if (update === undefined) return;
    this.#validAtMs = update.validAtMs;
    if (update.isFull || update.entries.length > 0) {
      applyTargets(update.entries, update.isFull);
    }
  }

  /** Builds a feed of the full list or its changes; one without rows if the list is too old. */
  buildFeed(link: Link, ageMs: number, isFull: boolean): TargetFeed {
    const { directory, maxListAgeMs } = this.#options;
    if (isFull) this.#cursors.delete(link);
    if (ageMs > maxListAgeMs) return encodeFeed(Infinity, undefined);
    const changes = directory.listChanges(this.#cursors.get(link));
    this.#cursors.set(link, changes.cursor);
    return encodeFeed(ageMs, changes);
  }
}
