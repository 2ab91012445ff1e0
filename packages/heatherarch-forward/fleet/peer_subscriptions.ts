/**
 * What peers have requested from this VM as a hub.
 *
 * @module
 */
import type { Heartbeat, LinkIdentity } from "heatherarch-mesh";

/** A peer's request, and the number of its latest heartbeat that the digest includes. */
export interface PeerSubscription {
  wants: "nothing" | "changes" | "all";
  /** The part of the target list that a hub which can't read the store requests. */
  readonly listWanted: "changes" | "all" | undefined;
  counted: number;
  readonly heardAtMs: number;
  /** Whether the peer is in this VM's zone. */
  readonly isSameZone: boolean;
}

/** A subscription ends this long after the peer's last heartbeat, milliseconds. */
export const PEER_TIMEOUT_MS = 2000;
/** The digest includes no heartbeat of the peer. */
export const NO_HEARTBEAT = -1;

/** Subscriptions by incarnation of the peer. */
export class PeerSubscriptions {
  readonly #subscriptions = new Map<string, PeerSubscription>();

  /** Returns the subscription of an incarnation; undefined if there is none. */
  find(incarnation: string): PeerSubscription | undefined {
    return this.#subscriptions.get(incarnation);
  }

  /** Stores what a heartbeat requests. */
  handleHeartbeat(
    heartbeat: Heartbeat,
    from: LinkIdentity,
    isSameZone: boolean,
    nowMs: number,
  ): void {
    this.#subscriptions.set(from.incarnation, {
      wants: heartbeat.wants ?? "nothing",
      listWanted: heartbeat.listWanted,
      counted: this.find(from.incarnation)?.counted ?? NO_HEARTBEAT,
      heardAtMs: nowMs,
      isSameZone,
    });
  }

  /** Sets `beat` as the latest heartbeat of a peer whose work the digest includes. */
  setCounted(incarnation: string, beat: number | undefined): void {
    const subscription = this.find(incarnation);
    if (subscription !== undefined) subscription.counted = beat ?? NO_HEARTBEAT;
  }

  /** Drops peers that timed out; returns whether one of this zone still uses this VM as its hub. */
  dropExpired(nowMs: number): boolean {
    let isServing = false;
    for (const [incarnation, peer] of this.#subscriptions) {
      if (nowMs - peer.heardAtMs > PEER_TIMEOUT_MS) {
        this.#subscriptions.delete(incarnation);
      } else if (peer.isSameZone && peer.wants !== "nothing") isServing = true;
    }
    return isServing;
  }
}
