/**
 * What the peers of a VM, as a hub, have asked for.
 *
 * @module
 */
import type { Heartbeat, LinkIdentity } from "heatherarch-mesh";

/** What a peer has asked for, and which of its heartbeats is counted in. */
export interface PeerSubscription {
  wants: "nothing" | "changes" | "all";
  /** What a hub that can't read the store wants of the list. */
  readonly listWanted: "changes" | "all" | undefined;
  counted: number;
  readonly heardAtMs: number;
  /** The peer is of this VM's zone. */
  readonly isSameZone: boolean;
}

/** A peer that has asked for nothing for this long is served no more, milliseconds. */
export const PEER_TIMEOUT_MS = 2000;
/** No heartbeat of a peer is counted in. */
export const NO_HEARTBEAT = -1;

/** Peers by incarnation. */
export class PeerSubscriptions {
  readonly #subscriptions = new Map<string, PeerSubscription>();

  find(incarnation: string): PeerSubscription | undefined {
    return this.#subscriptions.get(incarnation);
  }

  /** Takes in what a heartbeat asks for. */
  handleHeartbeat(
    heartbeat: Heartbeat,
    from: LinkIdentity,
    isNear: boolean,
    nowMs: number,
  ): void {
    this.#subscriptions.set(from.incarnation, {
      wants: heartbeat.wants ?? "nothing",
      listWanted: heartbeat.listWanted,
      counted: this.find(from.incarnation)?.counted ?? NO_HEARTBEAT,
      heardAtMs: nowMs,
      isSameZone: isNear,
    });
  }

  /** The work that a peer told with its heartbeat `beat` is counted in. */
  setCounted(incarnation: string, beat: number | undefined): void {
    const subscription = this.find(incarnation);
    if (subscription !== undefined) subscription.counted = beat ?? NO_HEARTBEAT;
  }

  /** Drops peers that are silent; returns whether one of this zone takes this VM for its hub. */
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
