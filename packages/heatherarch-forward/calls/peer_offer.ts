/**
 * Offers one call to peers, and keeps the hedge of an exchange in progress: the same call at a peer,
 * whose response replaces the exchange if it begins first.
 *
 * @module
 */
import type { HandoverClient, HandoverConnection } from "heatherarch-handover";
import type { HandoverHedge } from "./handover_hedge.ts";

/** Options of {@linkcode PeerOffer}. */
export interface PeerOfferOptions {
  readonly offerCall: HandoverClient["offerCall"];
  /** Name of the service that serves the call. */
  readonly service: string;
  /** Version of the configuration by which the call is routed. */
  readonly configVersion: number;
  /** Whether the call is in progress and has enough time left to be served elsewhere. */
  readonly mayOffer: () => boolean;
}

/** Peers that are asked in one round. */
const MAX_OFFERS = 6;

/** The offers of one call. */
export class PeerOffer {
  readonly #options: PeerOfferOptions;
  #hedge: HandoverHedge | undefined;

  constructor(options: PeerOfferOptions) {
    this.#options = options;
  }

  /** Whether the call may be offered now. */
  get mayOffer(): boolean {
    return this.#options.mayOffer();
  }

  /** The hedge in progress. */
  get hedge(): HandoverHedge | undefined {
    return this.#hedge;
  }

  /** Whether a peer has the call as well, and has not given it back. */
  get hasHedge(): boolean {
    return this.#hedge !== undefined;
  }

  /**
   * Resolves with the connection to a peer that accepts the call now; undefined if none does. Adds each
   * peer to `asked`.
   */
  async find(
    asked: Set<string>,
    { isHedge = false }: { isHedge?: boolean } = {},
  ): Promise<HandoverConnection | undefined> {
    const { offerCall, service, configVersion, mayOffer } = this.#options;
    while (asked.size < MAX_OFFERS && mayOffer()) {
      const offer = { service, configVersion, isHedge };
      const reply = await offerCall(offer, asked);
      if (reply !== "declined") return reply;
    }
    return undefined;
  }

  /** Keeps a hedge until it is taken or released. */
  setHedge(hedge: HandoverHedge): void {
    this.release();
    this.#hedge = hedge;
  }

  /** Takes the hedge, which serves the call from now on; undefined if there is none. */
  takeHedge(): HandoverHedge | undefined {
    const hedge = this.#hedge;
    this.#hedge = undefined;
    return hedge;
  }

  /** Cancels the hedge: the call goes on here, or has ended. */
  release(): void {
    this.takeHedge()?.exchange.abort("the call goes on at another target");
  }
}
