/**
 * The list of targets as it passes from hub to VM, and from hub to hub: what a heartbeat tells of
 * it, and how old what was told is.
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
  /** Age of what this VM itself has read of the list of targets, milliseconds. */
  readonly getListAgeMs: () => number;
  /** Age up to which a hub's word on the list of targets is relied on, milliseconds. */
  readonly maxListAgeMs: number;
  /** Takes in what the source told of the list of targets; with `isFull` all of it. */
  readonly applyTargets: (
    entries: readonly KeyedEntry<Target>[],
    isFull: boolean,
  ) => void;
}

/** The list at one VM. */
export class TargetListRelay {
  readonly #options: TargetListRelayOptions;
  /** Cursors behind what was told on each link; none until it was given the whole list. */
  readonly #cursors = new WeakMap<Link, number>();
  #validAtMs = -Infinity;

  constructor(options: TargetListRelayOptions) {
    this.#options = options;
  }

  /** Monotonic time for which a hub's word on the list held. */
  get validAtMs(): number {
    return this.#validAtMs;
  }

  /** Whether a hub's word is young enough to rely on. */
  isFresh(nowMs: number): boolean {
    return nowMs - this.#validAtMs <= this.#options.maxListAgeMs;
  }

  /** The monotonic clock did not count so many milliseconds: a hub's word is as much older. */
  addUncountedMs(uncountedMs: number): void {
    this.#validAtMs -= uncountedMs;
  }

  /** Age of the list, read by this VM itself or told by a hub, milliseconds. */
  getAgeMs(): number {
    const { clock, getListAgeMs } = this.#options;
    return Math.min(getListAgeMs(), clock.readMonotonicMs() - this.#validAtMs);
  }

  /** Takes in the list as `source` told it at `toldAtMs`. */
  handleFeed(source: FeedSource, feed: TargetFeed, sentAtMs: number): void {
    const { directory, applyTargets } = this.#options;
    const update = source.handleFeed(feed, sentAtMs, directory.validAtMs);
    if (update === undefined) return;
    this.#validAtMs = update.validAtMs;
    if (update.isFull || update.entries.length > 0) {
      applyTargets(update.entries, update.isFull);
    }
  }

  /** The list, all of it or what changed since the last time; nothing of one that is too old. */
  buildFeed(link: Link, ageMs: number, isFull: boolean): TargetFeed {
    const { directory, maxListAgeMs } = this.#options;
    if (isFull) this.#cursors.delete(link);
    if (ageMs > maxListAgeMs) return encodeFeed(Infinity, undefined);
    const changes = directory.listChanges(this.#cursors.get(link));
    this.#cursors.set(link, changes.cursor);
    return encodeFeed(ageMs, changes);
  }
}
