/**
 * Offers calls to peers, and keeps the connections to them.
 *
 * @module
 */
import type { Clock } from "heatherarch-core";
import type { LinkIdentity } from "heatherarch-mesh";
import {
  HandoverConnection,
  type HandoverOffer,
  type OfferReply,
} from "./handover_connection.ts";
import {
  type HandoverPeer,
  PeerSelection,
  type PeerSelectionOptions,
} from "./peer_selection.ts";

/** Options of {@linkcode HandoverClient}. */
export interface HandoverClientOptions
  extends Pick<PeerSelectionOptions, "drawUnit"> {
  readonly self: LinkIdentity;
  readonly sharedKey: string;
  readonly clock: Clock;
  /** Lists the VMs that a call may be offered to. */
  readonly listPeers: () => readonly HandoverPeer[];
  /** Called with the result of each offer. */
  readonly onOffer?: (peer: HandoverPeer, reply: OfferReply) => void;
}

/**
 * Time for a reply to an offer, milliseconds: a handshake, and a probe by the peer of its own path.
 */
const OFFER_TIMEOUT_MS = 300;
/** Time after which an unused connection is closed, milliseconds. */
const IDLE_TIMEOUT_MS = 4000;

interface IdleConnection {
  readonly connection: HandoverConnection;
  readonly timer: NodeJS.Timeout;
}

/** The sender's end of all handovers of one VM. */
export class HandoverClient {
  readonly #options: HandoverClientOptions;
  readonly #selection: PeerSelection;
  readonly #open = new Set<HandoverConnection>();
  /** Unused connections by peer. */
  readonly #idle = new Map<string, IdleConnection[]>();
  #isClosed = false;

  constructor(options: HandoverClientOptions) {
    this.#options = options;
    const { self: { availabilityZone }, drawUnit } = options;
    this.#selection = new PeerSelection({ availabilityZone, drawUnit });
  }

  /**
   * Offers a call to the next peer that may take it, and adds the peer to `asked`. Returns the
   * connection if the peer accepts, "declined" if it does not, and undefined if no peer is left.
   */
  async offerCall(
    offer: HandoverOffer,
    asked: Set<string>,
  ): Promise<HandoverConnection | "declined" | undefined> {
    const { listPeers, onOffer } = this.#options;
    const peer = this.#isClosed
      ? undefined
      : this.#selection.pickPeer(listPeers(), asked, this.#nowMs);
    if (peer === undefined) return undefined;
    asked.add(peer.id);
    const connection = this.#acquireConnection(peer);
    const reply = await connection.offer(offer, OFFER_TIMEOUT_MS);
    try {
      onOffer?.(peer, reply);
    } catch (error) {
      // The call goes on elsewhere, and an accepted connection would stay open.
      connection.close();
      throw error;
    }
    if (reply === "accepted") {
      this.#selection.recordAccepted(peer.id, this.#nowMs);
      return connection;
    }
    const failure = reply === "lost" ? "unreachable" : reply;
    this.#selection.recordFailure(peer.id, failure, this.#nowMs);
    return "declined";
  }

  /** Closes all connections; calls in progress are lost. */
  close(): void {
    this.#isClosed = true;
    for (const connection of this.#open) connection.close();
  }

  get #nowMs(): number {
    return this.#options.clock.readMonotonicMs();
  }

  #acquireConnection(peer: HandoverPeer): HandoverConnection {
    const idle = this.#idle.get(peer.id) ?? [];
    for (let entry = idle.pop(); entry !== undefined; entry = idle.pop()) {
      clearTimeout(entry.timer);
      const { connection } = entry;
      if (!connection.isClosed && connection.peer.mesh === peer.mesh) {
        return connection;
      }
      connection.close();
    }
    const connection = new HandoverConnection({
      ...this.#options,
      peer,
      onIdle: (free) => this.#keepIdle(free),
      onClose: (closed) => this.#open.delete(closed),
    });
    this.#open.add(connection);
    return connection;
  }

  #keepIdle(connection: HandoverConnection): void {
    if (this.#isClosed) return connection.close();
    const { id } = connection.peer;
    const timer = setTimeout(() => connection.close(), IDLE_TIMEOUT_MS);
    const idle = this.#idle.get(id) ?? [];
    idle.push({ connection, timer });
    this.#idle.set(id, idle.filter((entry) => !entry.connection.isClosed));
  }
}
