/**
 * Picks the peer that a call is offered to next, from what the peers have replied to earlier offers.
 * The module has no clock: each update carries the time.
 *
 * @module
 */
import type { DeclineReason } from "heatherarch-mesh";

/** A VM that a call may be offered to. */
export interface HandoverPeer {
  readonly id: string;
  readonly availabilityZone: string;
  /** Address of its mesh port. */
  readonly mesh: string;
}

/** Why a peer did not take a call. */
export type OfferFailure = DeclineReason | "unreachable";

/** Options of {@linkcode PeerSelection}. */
export interface PeerSelectionOptions {
  /** Peers of this zone are asked first. */
  readonly availabilityZone: string;
  /** Draws a uniformly distributed number in [0, 1). */
  readonly drawUnit: () => number;
}

/** Time for which a peer is not asked again, milliseconds. */
const AVOIDANCE_MS: Readonly<Record<OfferFailure, number>> = {
  noPath: 1000,
  busy: 150,
  olderConfig: 300,
  stopping: 5000,
  unreachable: 200,
};
/** Each further offer that a peer did not reply to doubles its avoidance, up to this factor. */
const MAX_BACKOFF_FACTOR = 16;
/**
 * Peers of the own zone that are asked for one call before those of other zones. A whole zone may be
 * cut off.
 */
const MAX_NEAR_OFFERS = 2;
/** Time for which a peer that has accepted a call is preferred, milliseconds. */
const PREFERENCE_MS = 2000;

/** Peers whose replies are remembered; the one that replied longest ago is forgotten first. */
const MAX_REMEMBERED_PEERS = 2048;

interface PeerState {
  preferUntilMs: number;
  avoidUntilMs: number;
  /** Consecutive offers that the peer did not reply to. */
  readonly unanswered: number;
}

/** What one VM knows of its peers' readiness to take calls. */
export class PeerSelection {
  readonly #options: PeerSelectionOptions;
  readonly #states = new Map<string, PeerState>();

  constructor(options: PeerSelectionOptions) {
    this.#options = options;
  }

  /**
   * Picks a peer that was not asked for this call: those that accepted one lately first, and those
   * of the same zone before others, unless some of them have been asked in vain.
   */
  pickPeer(
    peers: readonly HandoverPeer[],
    asked: ReadonlySet<string>,
    nowMs: number,
  ): HandoverPeer | undefined {
    const nearAsked = peers.filter((peer) =>
      asked.has(peer.id) && this.#isNear(peer)
    );
    const prefersNear = nearAsked.length < MAX_NEAR_OFFERS;
    let best: HandoverPeer | undefined;
    let bestScore = Infinity;
    for (const peer of peers) {
      if (asked.has(peer.id) || this.#isAvoided(peer.id, nowMs)) continue;
      const rank = this.#computeRank(peer, prefersNear, nowMs);
      const score = rank + this.#options.drawUnit();
      if (score >= bestScore) continue;
      best = peer;
      bestScore = score;
    }
    return best;
  }

  /** Records that a peer accepted a call. */
  recordAccepted(id: string, nowMs: number): void {
    this.#remember(id, {
      preferUntilMs: nowMs + PREFERENCE_MS,
      avoidUntilMs: -Infinity,
      unanswered: 0,
    });
  }

  /** Records that a peer did not take a call. */
  recordFailure(id: string, failure: OfferFailure, nowMs: number): void {
    const before = this.#states.get(id)?.unanswered ?? 0;
    const factor = Math.min(2 ** before, MAX_BACKOFF_FACTOR);
    const isUnanswered = failure === "unreachable";
    const avoidMs = AVOIDANCE_MS[failure] * (isUnanswered ? factor : 1);
    this.#remember(id, {
      preferUntilMs: -Infinity,
      avoidUntilMs: nowMs + avoidMs,
      unanswered: isUnanswered ? before + 1 : 0,
    });
  }

  #remember(id: string, state: PeerState): void {
    this.#states.delete(id);
    this.#states.set(id, state);
    const [oldest] = this.#states.keys();
    if (this.#states.size > MAX_REMEMBERED_PEERS) this.#states.delete(oldest);
  }

  #isAvoided(id: string, nowMs: number): boolean {
    return (this.#states.get(id)?.avoidUntilMs ?? -Infinity) > nowMs;
  }

  #isNear({ availabilityZone }: HandoverPeer): boolean {
    return availabilityZone === this.#options.availabilityZone;
  }

  #computeRank(
    peer: HandoverPeer,
    prefersNear: boolean,
    nowMs: number,
  ): number {
    const { preferUntilMs = -Infinity } = this.#states.get(peer.id) ?? {};
    const isPreferred = preferUntilMs > nowMs;
    return (isPreferred ? 0 : 2) + (this.#isNear(peer) === prefersNear ? 0 : 1);
  }
}
