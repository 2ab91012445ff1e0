/**
 * Where a hub takes the list of targets from while the store turns it away: another hub, of its
 * zone if one can read the store. It tells it on with the age that it has.
 *
 * Without it, hubs that were turned away called targets for up to seven seconds after they had
 * left, and 18 VMs of 80 that they told of the list began to read the store themselves (a release
 * of engines while the store refused two hubs).
 *
 * @module
 */
import type { LinkIdentity, Membership } from "heatherarch-mesh";
import { FeedSource } from "./feed_source.ts";

/** Options of {@linkcode ListFallback}. */
export interface ListFallbackOptions {
  readonly self: LinkIdentity;
  readonly membership: Membership;
  /** Age of what this VM itself has read of the list of targets, milliseconds. */
  readonly getListAgeMs: () => number;
  /** Age up to which a list is relied on, milliseconds. */
  readonly maxListAgeMs: number;
}

/** The choice of that hub. */
export class ListFallback {
  readonly #options: ListFallbackOptions;
  #source: FeedSource | undefined;

  constructor(options: ListFallbackOptions) {
    this.#options = options;
  }

  /** The hub that is asked, if it is this one. */
  findSource(peer: string): FeedSource | undefined {
    return this.#source?.id === peer ? this.#source : undefined;
  }

  /** Asks while it is needed, and asks the next hub where one can't tell or is silent. */
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

  /** Asks nobody any more. */
  clear(): void {
    this.#source = undefined;
  }

  /** Live hubs besides this VM, those of its zone first. */
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
