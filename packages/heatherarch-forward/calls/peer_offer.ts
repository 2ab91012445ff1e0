/**
 * Offers one call to peers. A peer that has accepted is kept in reserve, so that this VM gives up an
 * exchange in progress only when the call has somewhere to go.
 *
 * @module
 */
import type {
  HandoverClient,
  HandoverConnection,
  HandoverOffer,
} from "heatherarch-handover";

/** Options of {@linkcode PeerOffer}. */
export interface PeerOfferOptions {
  readonly offerCall: HandoverClient["offerCall"];
  readonly offer: HandoverOffer;
  /** Whether the call is in progress and has enough time left to be served elsewhere. */
  readonly mayOffer: () => boolean;
}

/** Peers that are asked in one round. */
const MAX_OFFERS = 6;

/** The offers of one call. */
export class PeerOffer {
  readonly #options: PeerOfferOptions;
  /** Connection to a peer that has accepted the call, which has not been sent to it. */
  #accepted: HandoverConnection | undefined;

  constructor(options: PeerOfferOptions) {
    this.#options = options;
  }

  /** Whether the call may be offered now. */
  get mayOffer(): boolean {
    return this.#options.mayOffer();
  }

  /** Whether a peer is in reserve. */
  get hasAccepted(): boolean {
    return this.#accepted !== undefined && !this.#accepted.isClosed;
  }

  /** Keeps a peer in reserve. Resolves with whether one has accepted the call. */
  async reserve(): Promise<boolean> {
    const accepted = await this.find(new Set());
    if (!this.#options.mayOffer()) {
      accepted?.close();
      return false;
    }
    this.#accepted = accepted;
    return accepted !== undefined;
  }

  /**
   * Resolves with the connection to the peer in reserve, or else to one that accepts the call now;
   * undefined if none does. Adds each peer to `asked`.
   */
  async find(asked: Set<string>): Promise<HandoverConnection | undefined> {
    const accepted = this.#accepted;
    this.#accepted = undefined;
    if (accepted !== undefined && !accepted.isClosed) {
      asked.add(accepted.peer.id);
      return accepted;
    }
    const { offerCall, offer, mayOffer } = this.#options;
    while (asked.size < MAX_OFFERS && mayOffer()) {
      const reply = await offerCall(offer, asked);
      if (reply !== "declined") return reply;
    }
    return undefined;
  }

  /** Releases the peer in reserve: the call goes on here, or has ended. */
  release(): void {
    this.#accepted?.close();
    this.#accepted = undefined;
  }
}
