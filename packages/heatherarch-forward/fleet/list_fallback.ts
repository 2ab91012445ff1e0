/**
 * Selects another hub as a hub's source of the target list while the store refuses its reads,
 * preferably one of its own zone. The hub forwards that list with its actual age.
 *
 * Without this fallback, when engines were released while the store refused two hubs, those hubs
 * called targets for up to seven seconds after these had left. Of the 80 VMs, 18 that received the
 * list from them began to read the store themselves.
 *
 * @module
 */
import type { LinkIdentity, Membership } from "heatherarch-mesh";
import { FeedSource } from "./feed_source.ts";

/** Options of {@linkcode ListFallback}. */
export interface ListFallbackOptions {
  readonly self: LinkIdentity;
  readonly membership: Membership;
  /** Returns the age of the target list as read by this VM itself, milliseconds. */
  readonly getListAgeMs: () => number;
  /** Age up to which a list is used, milliseconds. */
  readonly maxListAgeMs: number;
}

/** The fallback source of one hub. */
export class ListFallback {
  readonly #options: ListFallbackOptions;
  #source: FeedSource | undefined;

  constructor(options: ListFallbackOptions) {
    this.#options = options;
  }

  /** Returns the fallback source if it is this peer. */
  findSource(peer: string): FeedSource | undefined {
    return this.#source?.id === peer ? this.#source : undefined;
  }

  /** Keeps a source while one is needed, and switches hubs if it is stale or timed out. */
  tick(nowMs: number): void {
    const { getListAgeMs, maxListAgeMs } = this.#options;
    if (getListAgeMs() <= maxListAgeMs) return this.clear();
    const source = this.#source;
    const isKept = source !== undefined && !source.isStale &&
      !source.isTimedOut(nowMs);
    if (isKept) return;
    const hubs = this.#listOtherHubs();
    const next = hubs.findIndex((id) => id === source?.id) + 1;
    const id = hubs[next % hubs.length];
    this.#source = id === undefined
      ? undefined
      : new FeedSource({ id, sinceMs: nowMs });
  }

  /** Drops the fallback source. */
  clear(): void {
    this.#source = undefined;
  }

  /** Lists the live hubs besides this VM, those of its zone first. */
  #listOtherHubs(): string[] {
    const { membership, self } = this.#options;
    const hubs = membership.pickLinkPeers()
      .filter((member) => member.status === "live");
    const isSameZone = (hub: { availabilityZone: string }): boolean =>
      hub.availabilityZone === self.availabilityZone;
    return [
      ...hubs.filter(isSameZone),
      ...hubs.filter((hub) => !isSameZone(hub)),
    ].map(({ id }) => id);
  }
}
