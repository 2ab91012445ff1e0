/**
 * What a VM and the hubs of the mesh tell each other: work in progress, holders of prompt
 * beginnings, and the list of targets.
 *
 * A VM tells its own work to each hub of its zone and takes the sum over the fleet from one of
 * them, its source. Hubs tell each other the sums of their zones. A sum says which of the
 * receiver's heartbeats is counted in, so that the receiver can take its own part out.
 *
 * @module
 */
import { pickRendezvous } from "heatherarch-core";
import type {
  Heartbeat,
  Link,
  LinkIdentity,
  Membership,
  WorkDigest,
} from "heatherarch-mesh";
import {
  NO_HEARTBEAT,
  PEER_TIMEOUT_MS,
  type PeerSubscription,
  PeerSubscriptions,
} from "./peer_subscriptions.ts";
import {
  TargetListRelay,
  type TargetListRelayOptions,
} from "./target_list_relay.ts";
import { copyRows, DigestCache } from "./digest_cache.ts";
import { ListFallback } from "./list_fallback.ts";
import type {
  PrefixIndex,
  PrefixUpdate,
  UpdateScope,
} from "../state/prefix_index.ts";
import { FeedSource } from "./feed_source.ts";
import {
  subtractRows,
  type WorkRow,
  type WorkTracker,
} from "../state/work_tracker.ts";

/** Options of {@linkcode HubExchange}. */
export interface HubExchangeOptions extends TargetListRelayOptions {
  readonly self: LinkIdentity;
  readonly membership: Membership;
  readonly workTracker: WorkTracker;
  readonly prefixIndex: PrefixIndex;
  /** Engines that change their role by an order of this VM. */
  readonly listChangingRole: () => readonly string[];
  /** The source says that it can't read the list of targets. */
  readonly onListStale: (source: string) => void;
  /** A VM gets its sums from another hub now. */
  readonly onSourceChange: (source: string | undefined) => void;
}

/** The parts of a heartbeat that this module fills. */
export type HubFields = Pick<
  Heartbeat,
  | "work"
  | "prompts"
  | "beat"
  | "wants"
  | "listWanted"
  | "digest"
  | "targets"
  | "changing"
>;

interface ZoneSource {
  readonly peer: string;
  readonly vms: number;
  readonly atMs: number;
}

/** The sum of a zone from a hub that has told none for this long may come from another one. */
const ZONE_SILENCE_MS = 500;
/** Own heartbeats that are remembered until a sum counts them in: some three seconds at least. */
const MAX_SENT = 64;
const FLEET = "hub sum of the fleet";

/** The exchange of one VM with the hubs, or as a hub. */
export class HubExchange {
  readonly #options: HubExchangeOptions;
  /** Notes on prompts told on each link so far. */
  readonly #told = new WeakMap<Link, number>();
  readonly #peers = new PeerSubscriptions();
  readonly #zones = new Map<string, ZoneSource>();
  readonly #relief: ListFallback;
  readonly #list: TargetListRelay;
  readonly #sent = new Map<number, readonly WorkRow[]>();
  #beat = 0;
  #wasHub = false;
  #source: FeedSource | undefined;
  #fleetVms = 1;
  /** Time for which the heartbeat that is being taken in may have waited, milliseconds. */
  #waitedMs = 0;
  readonly #sums: DigestCache;

  constructor(options: HubExchangeOptions) {
    this.#options = options;
    this.#relief = new ListFallback(options);
    this.#list = new TargetListRelay(options);
    this.#sums = new DigestCache({
      workTracker: options.workTracker,
      countZoneVms: () => this.#countZoneVms(),
      countFleetVms: () => this.liveVms,
    });
  }

  /** Live VMs of the fleet as far as this VM can tell. */
  get liveVms(): number {
    if (!this.#options.membership.isHub) return this.#fleetVms;
    let count = this.#countZoneVms();
    for (const { vms } of this.#zones.values()) count += vms;
    return count;
  }

  #countZoneVms(): number {
    const { membership, self } = this.#options;
    return membership.listLive(self.availabilityZone).length;
  }

  /** Whether a hub tells this VM the list of targets, lately enough to rely on it. */
  hasFreshFeed(nowMs: number): boolean {
    const { membership } = this.#options;
    if (membership.isHub || this.#source?.hasFullList !== true) return false;
    return this.#list.isFresh(nowMs);
  }

  /** Monotonic time for which a hub's word on the list of targets held. */
  get feedValidAtMs(): number {
    return this.#list.validAtMs;
  }

  /** The monotonic clock did not count so many milliseconds: a hub's word is as much older. */
  addUncountedMs(uncountedMs: number): void {
    this.#list.addUncountedMs(uncountedMs);
  }

  /** To be called once before each round of heartbeats. */
  beginRound(): void {
    const nowMs = this.#nowMs;
    const { membership } = this.#options;
    this.#sums.invalidate();
    this.#dropSilentPeers(nowMs);
    const { isHub } = membership;
    if (isHub !== this.#wasHub) this.#noteDuty(isHub);
    if (isHub) this.#relief.tick(nowMs);
    else this.#tendSource(nowMs);
    this.#beat++;
    this.#sent.set(this.#beat, this.#options.workTracker.listOwnRows(nowMs));
    this.#sent.delete(this.#beat - MAX_SENT);
  }

  /** What a heartbeat tells one peer; undefined where it tells nothing. */
  buildFields(link: Link, peer: LinkIdentity): HubFields | undefined {
    const parts = this.#buildParts(link, peer);
    if (parts === undefined) return undefined;
    const { directory, listChangingRole } = this.#options;
    // Two hubs that passed on to each other what they hear would never forget it.
    const changing = parts.digest?.scope === "fleet"
      ? directory.listChangingRole(this.#nowMs)
      : listChangingRole();
    return changing.length === 0
      ? parts
      : { ...parts, changing: [0, [...changing]] };
  }

  #buildParts(link: Link, peer: LinkIdentity): HubFields | undefined {
    const { self, membership } = this.#options;
    const isNear = peer.availabilityZone === self.availabilityZone;
    if (!membership.isHub) {
      const wants = this.#source?.id === peer.id
        ? this.#source.wants
        : "nothing";
      return { ...this.#buildOwn(link), wants };
    }
    const state = this.#peers.find(peer.incarnation);
    const isServed = state !== undefined && state.wants !== "nothing";
    if (isNear && isServed) return this.#buildFleet(link, state);
    if (isNear && !this.#isHubPeer(peer)) return undefined;
    const parts = isNear
      ? this.#buildOwn(link)
      : { ...this.#buildZone(link, isServed), wants: "changes" as const };
    return { ...parts, ...this.#buildRelief(link, peer, state) };
  }

  /** What a hub asks of another one for itself, and tells one that asks. */
  #buildRelief(
    link: Link,
    peer: LinkIdentity,
    state: PeerSubscription | undefined,
  ): HubFields {
    const asked = this.#relief.findSource(peer.id);
    const wanted = state?.listWanted;
    return {
      ...(asked === undefined ? {} : { listWanted: asked.wants }),
      ...(wanted === undefined ? {} : {
        targets: this.#list.buildFeed(
          link,
          this.#options.getListAgeMs(),
          wanted === "all",
        ),
      }),
    };
  }

  /** Takes in what a peer told, which may have waited here for so many milliseconds. */
  handle(heartbeat: Heartbeat, from: LinkIdentity, waitedMs = 0): void {
    const nowMs = this.#nowMs;
    this.#waitedMs = waitedMs;
    const { self, membership } = this.#options;
    const isNear = from.availabilityZone === self.availabilityZone;
    this.#sums.invalidate();
    this.#peers.handleHeartbeat(heartbeat, from, isNear, nowMs);
    if (membership.isHub) this.#takeAsHub(heartbeat, from, isNear, nowMs);
    else if (this.#source?.id === from.id) {
      this.#takeFromSource(this.#source, heartbeat, nowMs);
    }
  }

  #takeAsHub(
    heartbeat: Heartbeat,
    from: LinkIdentity,
    isNear: boolean,
    nowMs: number,
  ): void {
    const {
      workTracker,
      prefixIndex,
    } = this.#options;
    const relief = this.#relief.findSource(from.id);
    if (relief !== undefined && heartbeat.targets !== undefined) {
      relief.recordHeartbeat(nowMs);
      // One that asks the hubs in turn would tell of each loss again and again.
      this.#list.handleFeed(relief, heartbeat.targets, nowMs - this.#waitedMs);
    }
    if (heartbeat.prompts !== undefined) {
      prefixIndex.applyPeerUpdates(
        heartbeat.prompts,
        nowMs,
        isNear ? "zone" : "fleet",
      );
    }
    if (!isNear) {
      if (heartbeat.digest !== undefined) {
        this.#takeZone(heartbeat.digest, from, nowMs);
      }
      return;
    }
    if (heartbeat.work === undefined) return;
    workTracker.setPeerWork(from.id, heartbeat.work, nowMs);
    this.#peers.setCounted(from.incarnation, heartbeat.beat);
  }

  /** The sum of another zone; of its hubs the one that covers more VMs is heard. */
  #takeZone(digest: WorkDigest, from: LinkIdentity, nowMs: number): void {
    const zone = from.availabilityZone;
    const known = this.#zones.get(zone);
    const isStale = known === undefined ||
      nowMs - known.atMs > ZONE_SILENCE_MS;
    const isBetter = isStale || known.peer === from.id ||
      digest.vms > known.vms;
    if (!isBetter) return;
    this.#zones.set(zone, { peer: from.id, vms: digest.vms, atMs: nowMs });
    this.#options.workTracker.setPeerWork(
      nameZone(zone),
      digest.work,
      nowMs,
      "gathered",
    );
  }

  #takeFromSource(
    source: FeedSource,
    heartbeat: Heartbeat,
    nowMs: number,
  ): void {
    const {
      workTracker,
      prefixIndex,
    } = this.#options;
    source.recordHeartbeat(nowMs);
    if (heartbeat.prompts !== undefined) {
      prefixIndex.applyPeerUpdates(heartbeat.prompts, nowMs);
    }
    const { digest, targets } = heartbeat;
    if (digest !== undefined) {
      this.#fleetVms = digest.vms;
      const own = this.#sent.get(digest.counted) ?? [];
      const rows = subtractRows(digest.work, own);
      workTracker.setPeerWork(FLEET, rows, nowMs, "gathered");
    }
    if (targets === undefined) return;
    const wasLost = source.isStale;
    this.#list.handleFeed(source, targets, nowMs - this.#waitedMs);
    if (source.isStale && !wasLost) this.#options.onListStale(source.id);
  }

  /** This VM's own work and notes, as every VM tells them. */
  #buildOwn(link: Link): HubFields {
    return {
      beat: this.#beat,
      work: copyRows(this.#sent.get(this.#beat) ?? []),
      ...this.#buildNotes(link, "own"),
    };
  }

  /** The sum of this hub's zone, for a hub of another zone. */
  #buildZone(link: Link, isServed: boolean): HubFields {
    if (!isServed) return {};
    return {
      digest: {
        scope: "zone",
        counted: NO_HEARTBEAT,
        ...this.#sums.getZoneDigest(this.#nowMs),
      },
      ...this.#buildNotes(link, "zone"),
    };
  }

  /** The sum over the fleet and the list of targets, for a VM of this zone. */
  #buildFleet(link: Link, peer: PeerSubscription): HubFields {
    const isWhole = peer.wants === "all";
    if (isWhole) peer.wants = "changes";
    return {
      digest: {
        scope: "fleet",
        counted: peer.counted,
        ...this.#sums.getFleetDigest(this.#nowMs),
      },
      targets: this.#list.buildFeed(link, this.#list.getAgeMs(), isWhole),
      ...this.#buildNotes(link, "fleet"),
    };
  }

  #buildNotes(link: Link, scope: UpdateScope): Pick<HubFields, "prompts"> {
    const {
      updates,
      cursor,
    } = this.#options.prefixIndex
      .listUpdates(this.#told.get(link) ?? 0, scope);
    this.#told.set(link, cursor);
    return updates.length === 0 ? {} : { prompts: updates.map(copyNote) };
  }

  /** Keeps the source while it tells, and takes the next hub when it does not. */
  #tendSource(nowMs: number): void {
    const { membership, self } = this.#options;
    const live = new Set(membership.listLive(self.availabilityZone));
    const hubs = membership.pickLinkPeers()
      .map((member) => member.id)
      .filter((id) => live.has(id));
    const source = this.#source;
    const isKept = source !== undefined && !source.isSilent(nowMs) &&
      hubs.includes(source.id);
    if (isKept) return;
    const others = hubs.filter((id) => id !== source?.id);
    const [next] = pickRendezvous(self.id, others, 1);
    const id = next ??
      (source !== undefined && hubs.includes(source.id)
        ? source.id
        : undefined);
    if (id !== source?.id) this.#options.onSourceChange(id);
    this.#source = id === undefined
      ? undefined
      : new FeedSource({ id, sinceMs: nowMs });
  }

  /** Sums that others keep for this VM are not mixed with those that it keeps itself. */
  #noteDuty(isHub: boolean): void {
    const {
      workTracker,
    } = this.#options;
    this.#wasHub = isHub;
    if (isHub) {
      workTracker.forgetPeer(FLEET);
      this.#source = undefined;
      return;
    }
    workTracker.forgetAllPeers();
    this.#zones.clear();
    this.#relief.clear();
  }

  #dropSilentPeers(nowMs: number): void {
    const { membership } = this.#options;
    membership.setServing(this.#peers.dropSilent(nowMs));
    for (const [zone, { atMs }] of this.#zones) {
      if (nowMs - atMs > PEER_TIMEOUT_MS) this.#zones.delete(zone);
    }
  }

  #isHubPeer(peer: LinkIdentity): boolean {
    return this.#options.membership.pickLinkPeers()
      .some((member) => member.id === peer.id);
  }

  get #nowMs(): number {
    return this.#options.clock.readMonotonicMs();
  }
}

function nameZone(zone: string): string {
  return `hub sum of zone ${zone}`;
}

function copyNote(note: PrefixUpdate): [string, string, number] {
  return [...note];
}
