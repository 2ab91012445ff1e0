/**
 * Offers one call to peers, and keeps what replaces an exchange in progress: a peer that has accepted the
 * call, or the hedge of the exchange, which is the same call at a peer whose response may begin first.
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
  /** Connection to a peer that has accepted the call, which has not been sent to it. */
  #kept: HandoverConnection | undefined;

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
   * Resolves with the connection that was kept, or else to a peer that accepts the call now; undefined
   * if none does. Adds each peer to `asked`.
   */
  async find(
    asked: Set<string>,
    { isHedge = false }: { isHedge?: boolean } = {},
  ): Promise<HandoverConnection | undefined> {
    const kept = this.#kept;
    this.#kept = undefined;
    if (kept !== undefined && !kept.isClosed) {
      asked.add(kept.peer.id);
      return kept;
    }
    const { offerCall, service, configVersion, mayOffer } = this.#options;
    while (asked.size < MAX_OFFERS && mayOffer()) {
      const offer = { service, configVersion, isHedge };
      const reply = await offerCall(offer, asked);
      if (reply !== "declined") return reply;
    }
    return undefined;
  }

  /** Keeps the connection to a peer that has accepted until the call is sent to it, or released. */
  keep(connection: HandoverConnection): void {
    this.release();
    this.#kept = connection;
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

  /** Cancels the hedge and lets a peer that has accepted go: the call goes on here, or has ended. */
  release(): void {
    const kept = this.#kept;
    this.#kept = undefined;
    kept?.close();
    this.takeHedge()?.exchange.abort("the call goes on at another target");
  }
}
