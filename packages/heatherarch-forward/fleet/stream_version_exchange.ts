/**
 * Tells other VMs which software version began each stream, and asks them for it.
 *
 * Without hubs, VMs tell each peer that they have a link to. With hubs, VMs tell the hubs of their
 * zone, and those tell the hubs of the next zone. A VM asks the peers that it has links to, and a hub
 * that doesn't know asks the hubs of the other zones. So a record outlives its VM, and its zone.
 *
 * @module
 */
import type {
  Heartbeat,
  Link,
  LinkIdentity,
  Membership,
  MeshNode,
} from "heatherarch-mesh";
import {
  decodeStreamRecords,
  encodeStreamRecords,
} from "../state/stream_record_codec.ts";
import type { RecordScope, StreamVersions } from "../state/stream_versions.ts";

/** Options of {@linkcode StreamVersionExchange}. */
export interface StreamVersionExchangeOptions {
  readonly self: LinkIdentity;
  readonly node: Pick<MeshNode, "call" | "registerCall" | "hasLink">;
  readonly membership: Pick<
    Membership,
    "hasHubs" | "isHub" | "pickLinkPeers" | "listZones"
  >;
  readonly streamVersions: StreamVersions;
}

type StreamFields = Pick<Heartbeat, "streams">;

const LOOKUP_CALL = "streamVersion";
/** Longest wait for a peer's reply, and for those of the hubs that a hub asks, milliseconds. */
const REPLY_TIMEOUT_MS = 150;
const FORWARDED_TIMEOUT_MS = 100;
/** Lookups in progress, so that clients that name unknown streams don't load the peers. */
const MAX_LOOKUPS = 256;

/** The exchange of one VM. */
export class StreamVersionExchange {
  readonly #options: StreamVersionExchangeOptions;
  /** Position in the new records up to which each link has been sent them. */
  readonly #cursors = new WeakMap<Link, number>();
  #lookups = 0;

  constructor(options: StreamVersionExchangeOptions) {
    this.#options = options;
  }

  /** Starts serving the lookups of peers. */
  start(): void {
    this.#options.node.registerCall(
      LOOKUP_CALL,
      (key, from) => this.#handleLookup(key, from),
    );
  }

  /** Builds the records that are new to a peer. */
  buildFields(link: Link, peer: LinkIdentity): StreamFields {
    const scope = this.#pickScope(peer);
    if (scope === undefined) return {};
    const { records, cursor } = this.#options.streamVersions.listNew(
      this.#cursors.get(link) ?? 0,
      scope,
    );
    this.#cursors.set(link, cursor);
    return records.length === 0
      ? {}
      : { streams: encodeStreamRecords(records) };
  }

  /** Records what a peer tells. */
  handle({ streams }: Heartbeat, from: LinkIdentity): void {
    const { streamVersions, self } = this.#options;
    if (streams === undefined) return;
    const isSameZone = from.availabilityZone === self.availabilityZone;
    const origin = isSameZone ? "zone" : "elsewhere";
    for (const record of decodeStreamRecords(streams)) {
      streamVersions.recordStream(record, origin);
    }
  }

  /**
   * Resolves with the software version that began a stream, or undefined if no VM that responds has
   * a record of it. Never rejects.
   */
  async findVersion(key: string): Promise<string | undefined> {
    const known = this.#options.streamVersions.findVersion(key);
    if (known !== undefined || this.#lookups >= MAX_LOOKUPS) return known;
    this.#lookups++;
    try {
      return await this.#askPeers(
        key,
        this.#listLinkedPeers(),
        REPLY_TIMEOUT_MS,
      );
    } finally {
      this.#lookups--;
    }
  }

  async #handleLookup(
    key: unknown,
    from: LinkIdentity,
  ): Promise<string | null> {
    if (typeof key !== "string") return null;
    const { streamVersions, membership, self } = this.#options;
    const known = streamVersions.findVersion(key);
    if (known !== undefined) return known;
    const isOfZone = from.availabilityZone === self.availabilityZone;
    if (!membership.isHub || !isOfZone) return null;
    const hubs = this.#listLinkedPeers().filter(({ availabilityZone }) =>
      availabilityZone !== self.availabilityZone
    );
    return await this.#askPeers(key, hubs, FORWARDED_TIMEOUT_MS) ?? null;
  }

  #listLinkedPeers(): PeerOfZone[] {
    const { membership, node } = this.#options;
    return membership.pickLinkPeers().filter(({ id }) => node.hasLink(id));
  }

  /** Asks peers at the same time; the first one that knows decides. */
  async #askPeers(
    key: string,
    peers: readonly PeerOfZone[],
    timeoutMs: number,
  ): Promise<string | undefined> {
    const replies = peers.map(async ({ id }) => {
      const reply = await this.#options.node.call(
        id,
        LOOKUP_CALL,
        key,
        timeoutMs,
      );
      if (typeof reply !== "string") throw new Error("not known");
      return reply;
    });
    try {
      return await Promise.any(replies);
    } catch {
      // No peer knows the stream.
      return undefined;
    }
  }

  /** Which records a peer is told; undefined for none. */
  #pickScope(peer: LinkIdentity): RecordScope | undefined {
    const { membership, self } = this.#options;
    if (!membership.hasHubs) return "own";
    if (peer.availabilityZone === self.availabilityZone) {
      const isHub = membership.pickLinkPeers().some(({ id }) => id === peer.id);
      return isHub ? "own" : undefined;
    }
    const isNext = peer.availabilityZone === this.#findNextZone();
    return membership.isHub && isNext ? "zone" : undefined;
  }

  /** The zone that is told the records of this one, so that its loss loses none. */
  #findNextZone(): string | undefined {
    const { membership, self } = this.#options;
    const zones = membership.listZones();
    return zones[(zones.indexOf(self.availabilityZone) + 1) % zones.length];
  }
}

interface PeerOfZone {
  readonly id: string;
  readonly availabilityZone: string;
}
