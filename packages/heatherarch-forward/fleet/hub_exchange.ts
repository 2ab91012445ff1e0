/**
 * Exchange between a VM and the hubs of the mesh: work in progress, holders of prompt prefixes,
 * and the target list.
 *
 * A VM sends its own work to each hub of its zone and receives the digest of the fleet's work from
 * one of them, its source. Hubs send each other the digests of their zones. A digest names the
 * receiver's latest heartbeat that it includes, so that the receiver can subtract its own part.
 *
 * @module
 */
import {
  computeElapsedMs,
  DISTANT_PAST,
  type Moment,
  pickRendezvous,
  readMoment,
  subtractFromMoment,
} from "heatherarch-core";
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
import type { SentSums, SumExchange } from "./sum_exchange.ts";
import { ListFallback } from "./list_fallback.ts";
import type {
  PrefixIndex,
  PrefixUpdate,
  UpdateScope,
} from "../state/prefix_index.ts";
import type { ActiveConfig } from "../state/active_config.ts";
import type { FleetDemand } from "../state/fleet_demand.ts";
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
  readonly fleetDemand: FleetDemand;
  /** Shared with the exchange without hubs. */
  readonly sums: SumExchange;
  /** Whether peers need to know how many calls each VM receives. */
  readonly needsCallRates: () => boolean;
  readonly prefixIndex: PrefixIndex;
  /** Lists the engines that are changing their role on an order of this VM. */
  readonly listChangingRole: () => readonly string[];
  /** Called when the source reports that it can't read the target list. */
  readonly onListStale: (source: string) => void;
  /** Called when this VM has selected another hub as its source, or has none. */
  readonly onSourceChange: (source: string | undefined) => void;
  readonly activeConfig: Pick<ActiveConfig, "recordNewest" | "getAgeMs">;
}

/** The heartbeat fields that this module fills. */
export type HubFields = Pick<
  Heartbeat,
  | "work"
  | "callsPerMinute"
  | "accountUse"
  | "dueReturns"
  | "targetFailures"
  | "prompts"
  | "beat"
  | "wants"
  | "listWanted"
  | "digest"
  | "targets"
  | "changing"
  | "configAgeMs"
>;

/** A heartbeat that this VM has sent. */
interface SentHeartbeat {
  readonly work: readonly WorkRow[];
  readonly callsPerMinute: number;
  readonly sums: SentSums;
  readonly sentAt: Moment;
}

interface ZoneSource {
  readonly peer: string;
  readonly vms: number;
  readonly atMs: number;
}

/** Time without a zone's digest after which any of its hubs may replace the source. */
const ZONE_TIMEOUT_MS = 500;
/** Own heartbeats kept until a digest includes them, enough for at least three seconds. */
const MAX_SENT_HEARTBEATS = 64;
const FLEET_WORK_KEY = "hub sum of the fleet";

/** The exchange of one VM with the hubs, or of a hub with its peers. */
export class HubExchange {
  readonly #options: HubExchangeOptions;
  /** Position in the prefix updates up to which each link has been sent them. */
  readonly #prefixCursors = new WeakMap<Link, number>();
  readonly #subscriptions = new PeerSubscriptions();
  readonly #zoneSources = new Map<string, ZoneSource>();
  readonly #fallback: ListFallback;
  readonly #listRelay: TargetListRelay;
  readonly #sentHeartbeats = new Map<number, SentHeartbeat>();
  /** Moment as of which a hub has confirmed the configuration. */
  #configConfirmedAsOf = DISTANT_PAST;
  #beat = 0;
  #wasHub = false;
  #source: FeedSource | undefined;
  #fleetVmCount = 1;
  /** How long the heartbeat that is being handled may have waited here, milliseconds. */
  #waitedMs = 0;
  readonly #digests: DigestCache;

  constructor(options: HubExchangeOptions) {
    this.#options = options;
    this.#fallback = new ListFallback(options);
    this.#listRelay = new TargetListRelay(options);
    this.#digests = new DigestCache({
      workTracker: options.workTracker,
      fleetDemand: options.fleetDemand,
      sums: options.sums,
      needsCallRates: options.needsCallRates,
      countZoneVms: () => this.#countZoneVms(),
      countFleetVms: () => this.liveVms,
    });
  }

  /** Number of live VMs of the fleet as far as this VM knows. */
  get liveVms(): number {
    if (!this.#options.membership.isHub) return this.#fleetVmCount;
    let count = this.#countZoneVms();
    for (const { vms } of this.#zoneSources.values()) count += vms;
    return count;
  }

  #countZoneVms(): number {
    const { membership, self } = this.#options;
    return membership.listLive(self.availabilityZone).length;
  }

  /** Whether this VM has a feed of the target list from a hub that is recent enough to use. */
  hasFreshFeed(nowMs: number): boolean {
    const { membership } = this.#options;
    if (membership.isHub || this.#source?.hasFullList !== true) return false;
    return this.#listRelay.isFresh(nowMs);
  }

  /** Monotonic time as of which a hub's feed of the target list is valid. */
  get feedValidAtMs(): number {
    return this.#listRelay.validAtMs;
  }

  /** Ages the feed by time that the monotonic clock did not count. */
  addUncountedMs(uncountedMs: number): void {
    this.#listRelay.addUncountedMs(uncountedMs);
  }

  /** Prepares a round of heartbeats. To be called once before each. */
  beginRound(): void {
    const nowMs = this.#nowMs;
    const { membership } = this.#options;
    this.#digests.invalidate();
    this.#dropExpiredPeers(nowMs);
    const { isHub } = membership;
    if (isHub !== this.#wasHub) this.#handleHubChange(isHub);
    if (isHub) this.#fallback.tick(nowMs);
    else this.#updateSource(nowMs);
    this.#beat++;
    const { workTracker, fleetDemand, sums } = this.#options;
    sums.beginRound(nowMs);
    this.#sentHeartbeats.set(this.#beat, {
      work: workTracker.listOwnRows(nowMs),
      callsPerMinute: fleetDemand.getOwnCallsPerMinute(nowMs),
      sums: sums.getSent(),
      sentAt: readMoment(this.#options.clock),
    });
    this.#sentHeartbeats.delete(this.#beat - MAX_SENT_HEARTBEATS);
  }

  /** Builds the fields of a heartbeat to one peer; undefined if there is nothing to send. */
  buildFields(link: Link, peer: LinkIdentity): HubFields | undefined {
    const fields = this.#buildWorkFields(link, peer);
    if (fields === undefined) return undefined;
    const { directory, listChangingRole } = this.#options;
    // Hubs forward received marks to VMs only: between hubs, the marks would never expire.
    const changing = fields.digest?.scope === "fleet"
      ? directory.listChangingRole(this.#nowMs)
      : listChangingRole();
    return changing.length === 0
      ? fields
      : { ...fields, changing: [0, [...changing]] };
  }

  #buildWorkFields(link: Link, peer: LinkIdentity): HubFields | undefined {
    const { self, membership } = this.#options;
    const isSameZone = peer.availabilityZone === self.availabilityZone;
    if (!membership.isHub) {
      const wants = this.#source?.id === peer.id
        ? this.#source.wants
        : "nothing";
      return { ...this.#buildOwnFields(link), wants };
    }
    const state = this.#subscriptions.find(peer.incarnation);
    const isServed = state !== undefined && state.wants !== "nothing";
    if (isSameZone && isServed) return this.#buildFleetFields(link, state);
    if (isSameZone && !this.#isHubPeer(peer)) return undefined;
    const fields = isSameZone
      ? this.#buildOwnFields(link)
      : { ...this.#buildZoneFields(link, isServed), wants: "changes" as const };
    return { ...fields, ...this.#buildFallbackFields(link, peer, state) };
  }

  /** Builds a hub's request for the target list to another hub, and the reply to such a request. */
  #buildFallbackFields(
    link: Link,
    peer: LinkIdentity,
    state: PeerSubscription | undefined,
  ): HubFields {
    const fallback = this.#fallback.findSource(peer.id);
    const wanted = state?.listWanted;
    return {
      ...(fallback === undefined ? {} : { listWanted: fallback.wants }),
      ...(wanted === undefined ? {} : {
        targets: this.#listRelay.buildFeed(
          link,
          this.#options.getListAgeMs(),
          wanted === "all",
        ),
      }),
    };
  }

  /** Handles a peer's heartbeat, which may have waited here for `waitedMs` milliseconds. */
  handle(heartbeat: Heartbeat, from: LinkIdentity, waitedMs = 0): void {
    const nowMs = this.#nowMs;
    this.#waitedMs = waitedMs;
    const { self, membership } = this.#options;
    const isSameZone = from.availabilityZone === self.availabilityZone;
    this.#digests.invalidate();
    this.#subscriptions.handleHeartbeat(heartbeat, from, isSameZone, nowMs);
    if (membership.isHub) this.#handleAsHub(heartbeat, from, isSameZone, nowMs);
    else if (this.#source?.id === from.id) {
      this.#handleFromSource(this.#source, heartbeat, nowMs);
    }
  }

  #handleAsHub(
    heartbeat: Heartbeat,
    from: LinkIdentity,
    isSameZone: boolean,
    nowMs: number,
  ): void {
    const { workTracker, fleetDemand, prefixIndex, sums } = this.#options;
    const fallback = this.#fallback.findSource(from.id);
    if (fallback !== undefined && heartbeat.targets !== undefined) {
      fallback.recordHeartbeat(nowMs);
      // No `onListStale`: the fallback tries hubs in turn, so each would be reported repeatedly.
      this.#listRelay.handleFeed(
        fallback,
        heartbeat.targets,
        nowMs - this.#waitedMs,
      );
    }
    if (heartbeat.prompts !== undefined) {
      prefixIndex.applyPeerUpdates(
        heartbeat.prompts,
        nowMs,
        isSameZone ? "zone" : "fleet",
      );
    }
    if (!isSameZone) {
      if (heartbeat.digest !== undefined) {
        this.#handleZoneDigest(heartbeat.digest, from, nowMs);
      }
      return;
    }
    if (heartbeat.work === undefined) return;
    workTracker.setPeerWork(from.id, heartbeat.work, nowMs);
    const { callsPerMinute } = heartbeat;
    if (callsPerMinute !== undefined) {
      fleetDemand.setPeerRate(from.id, { callsPerMinute, vms: 1 }, nowMs);
    }
    sums.handleFields(from.id, heartbeat, nowMs);
    this.#subscriptions.setCounted(from.incarnation, heartbeat.beat);
  }

  /** Stores another zone's digest. Of its hubs, the one whose digest covers more VMs is used. */
  #handleZoneDigest(
    digest: WorkDigest,
    from: LinkIdentity,
    nowMs: number,
  ): void {
    const zone = from.availabilityZone;
    const known = this.#zoneSources.get(zone);
    const isStale = known === undefined ||
      nowMs - known.atMs > ZONE_TIMEOUT_MS;
    const isPreferred = isStale || known.peer === from.id ||
      digest.vms > known.vms;
    if (!isPreferred) return;
    this.#zoneSources.set(zone, {
      peer: from.id,
      vms: digest.vms,
      atMs: nowMs,
    });
    const { workTracker, fleetDemand, sums } = this.#options;
    const key = buildZoneWorkKey(zone);
    workTracker.setPeerWork(key, digest.work, nowMs, "gathered");
    sums.handleFields(key, digest, nowMs, "gathered");
    const { vms, callsPerMinute } = digest;
    if (callsPerMinute === undefined) return;
    fleetDemand.setPeerRate(key, { vms, callsPerMinute }, nowMs, "gathered");
  }

  #handleFromSource(
    source: FeedSource,
    heartbeat: Heartbeat,
    nowMs: number,
  ): void {
    const { workTracker, prefixIndex, sums } = this.#options;
    source.recordHeartbeat(nowMs);
    if (heartbeat.prompts !== undefined) {
      prefixIndex.applyPeerUpdates(heartbeat.prompts, nowMs);
    }
    const { digest, targets } = heartbeat;
    if (digest !== undefined) {
      this.#fleetVmCount = digest.vms;
      const counted = this.#sentHeartbeats.get(digest.counted);
      if (counted !== undefined) this.#confirmConfig(heartbeat, counted.sentAt);
      const rows = subtractRows(digest.work, counted?.work ?? []);
      workTracker.setPeerWork(FLEET_WORK_KEY, rows, nowMs, "gathered");
      this.#recordFleetDemand(digest, counted, nowMs);
      sums.handleFleetFields(FLEET_WORK_KEY, digest, counted?.sums, nowMs);
    }
    if (targets === undefined) return;
    const wasStale = source.isStale;
    this.#listRelay.handleFeed(source, targets, nowMs - this.#waitedMs);
    if (source.isStale && !wasStale) this.#options.onListStale(source.id);
  }

  /** Records the calls that the other VMs of the fleet receive. */
  #recordFleetDemand(
    { vms, callsPerMinute }: WorkDigest,
    counted: SentHeartbeat | undefined,
    nowMs: number,
  ): void {
    if (callsPerMinute === undefined) return;
    const others = callsPerMinute - (counted?.callsPerMinute ?? 0);
    this.#options.fleetDemand.setPeerRate(
      FLEET_WORK_KEY,
      { vms: Math.max(0, vms - 1), callsPerMinute: Math.max(0, others) },
      nowMs,
      "gathered",
    );
  }

  /**
   * Records that the hub's configuration was the newest one. The hub sent its message after it had
   * received this VM's heartbeat, so its stated age counts from when that heartbeat was sent, however
   * long the message was on its way.
   */
  #confirmConfig(
    { configOffset, configAgeMs }: Heartbeat,
    heardAfter: Moment,
  ): void {
    if (configAgeMs === undefined) return;
    const asOf = subtractFromMoment(heardAfter, configAgeMs);
    this.#configConfirmedAsOf = asOf;
    this.#options.activeConfig.recordNewest(configOffset, asOf);
  }

  /** Time since a hub has confirmed the configuration, milliseconds. */
  getConfigConfirmationAgeMs(): number {
    return computeElapsedMs(this.#options.clock, this.#configConfirmedAsOf);
  }

  /** Builds this VM's own work and prefix updates, which every VM sends. */
  #buildOwnFields(link: Link): HubFields {
    return {
      beat: this.#beat,
      work: copyRows(this.#sentHeartbeats.get(this.#beat)?.work ?? []),
      ...this.#buildCallRate(),
      ...this.#options.sums.buildOwnFields(link),
      ...this.#buildPrefixUpdates(link, "own"),
    };
  }

  /** Builds the rate of this VM's calls, which peers need only while limits or slots are shared by it. */
  #buildCallRate(): Pick<HubFields, "callsPerMinute"> {
    const callsPerMinute = this.#sentHeartbeats.get(this.#beat)?.callsPerMinute;
    const isNeeded = this.#options.needsCallRates();
    return isNeeded && callsPerMinute !== undefined ? { callsPerMinute } : {};
  }

  /** Builds the digest of this hub's zone for a hub of another zone. */
  #buildZoneFields(link: Link, isServed: boolean): HubFields {
    if (!isServed) return {};
    return {
      digest: {
        scope: "zone",
        counted: NO_HEARTBEAT,
        ...this.#digests.getZoneDigest(this.#nowMs),
      },
      ...this.#buildPrefixUpdates(link, "zone"),
    };
  }

  /** Builds the digest of the fleet and the target list for a VM of this zone. */
  #buildFleetFields(link: Link, state: PeerSubscription): HubFields {
    const isFull = state.wants === "all";
    if (isFull) state.wants = "changes";
    const configAgeMs = this.#options.activeConfig.getAgeMs();
    return {
      ...(configAgeMs === Infinity
        ? {}
        : { configAgeMs: Math.ceil(configAgeMs) }),
      digest: {
        scope: "fleet",
        counted: state.counted,
        ...this.#digests.getFleetDigest(this.#nowMs),
        ...(isFull
          ? this.#options.sums.buildFirstDigestFields(this.#nowMs)
          : {}),
      },
      targets: this.#listRelay.buildFeed(
        link,
        this.#listRelay.getAgeMs(),
        isFull,
      ),
      ...this.#buildPrefixUpdates(link, "fleet"),
    };
  }

  #buildPrefixUpdates(
    link: Link,
    scope: UpdateScope,
  ): Pick<HubFields, "prompts"> {
    const { updates, cursor } = this.#options.prefixIndex
      .listUpdates(this.#prefixCursors.get(link) ?? 0, scope);
    this.#prefixCursors.set(link, cursor);
    return updates.length === 0 ? {} : { prompts: updates.map(copyUpdate) };
  }

  /** Keeps the source while it sends heartbeats, and otherwise selects another hub. */
  #updateSource(nowMs: number): void {
    const { membership, self } = this.#options;
    const live = new Set(membership.listLive(self.availabilityZone));
    const hubs = membership.pickLinkPeers()
      .map((member) => member.id)
      .filter((id) => live.has(id));
    const source = this.#source;
    const isKept = source !== undefined && !source.isTimedOut(nowMs) &&
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

  /** Drops the work received in the previous role, so that none of it is counted twice. */
  #handleHubChange(isHub: boolean): void {
    const { workTracker, fleetDemand, sums } = this.#options;
    this.#wasHub = isHub;
    if (isHub) {
      workTracker.forgetPeer(FLEET_WORK_KEY);
      fleetDemand.forgetPeer(FLEET_WORK_KEY);
      sums.forgetPeer(FLEET_WORK_KEY);
      this.#source = undefined;
      return;
    }
    workTracker.forgetAllPeers();
    fleetDemand.forgetAllPeers();
    sums.forgetAllPeers();
    this.#zoneSources.clear();
    this.#fallback.clear();
  }

  #dropExpiredPeers(nowMs: number): void {
    const { membership } = this.#options;
    membership.setServing(this.#subscriptions.dropExpired(nowMs));
    for (const [zone, { atMs }] of this.#zoneSources) {
      if (nowMs - atMs > PEER_TIMEOUT_MS) this.#zoneSources.delete(zone);
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

function buildZoneWorkKey(zone: string): string {
  return `hub sum of zone ${zone}`;
}

function copyUpdate(update: PrefixUpdate): [string, string, number] {
  return [...update];
}
