/**
 * The mesh between the VMs of a fleet, which shares work in progress, gossip and configurations.
 *
 * @module
 */
import type { Clock } from "heatherarch-core";
import {
  type Heartbeat,
  type Link,
  type LinkIdentity,
  type LinkListener,
  type LoopStall,
  type Member,
  Membership,
  MeshNode,
} from "heatherarch-mesh";
import type { ActiveConfig } from "../state/active_config.ts";
import type { ConfigReadTiming } from "../scheduling/config_reads.ts";
import type { EventLog } from "../event_log.ts";
import type { VmRecord } from "../model.ts";
import type { WritableTopicPort } from "../ports.ts";
import { ConfigExchange } from "./config_exchange.ts";
import { FleetGossip } from "./fleet_gossip.ts";
import { HubExchange, type HubExchangeOptions } from "./hub_exchange.ts";
import { type CollectedUsage, UsageExchange } from "./usage_exchange.ts";
import { StreamVersionExchange } from "./stream_version_exchange.ts";
import type { FleetSums } from "./fleet_sum.ts";
import { SumExchange } from "./sum_exchange.ts";
import { VmListFollower } from "./vm_list_follower.ts";
import type { PrefixIndex } from "../state/prefix_index.ts";
import type { PartQuarantine, RequestQuarantine } from "heatherarch-quarantine";
import type { FleetDemand } from "../state/fleet_demand.ts";
import type { StoreEpoch } from "../state/store_epoch.ts";
import type { StreamVersions } from "../state/stream_versions.ts";
import type { LoadScope, TargetLoads } from "heatherarch-load";
import type { TargetRateLimits } from "../state/target_rate_limits.ts";
import {
  UnreadableEntries,
  type UnreadableStatus,
} from "../state/unreadable_entries.ts";
import type { WorkTracker } from "../state/work_tracker.ts";
import type { UsageMeter } from "heatherarch-usage";

/** Options of {@linkcode FleetMesh}. */
export interface FleetMeshOptions extends
  Pick<
    HubExchangeOptions,
    | "directory"
    | "getListAgeMs"
    | "maxListAgeMs"
    | "applyTargets"
    | "onListStale"
    | "listChangingRole"
    | "needsCallRates"
  > {
  readonly self: VmRecord;
  /** Address to listen on; peers dial the one in `self`. */
  readonly listen: string;
  readonly sharedKey: string;
  readonly heartbeatMs: number;
  readonly heartbeatPerLinkMs: number;
  readonly silenceMs: number;
  readonly hubHeartbeatMs: number;
  readonly idleHeartbeatMs: number;
  /** Links to each other availability zone if there are no hubs. */
  readonly linksPerZone: number;
  /** Number of known VMs from which on links run over hubs. */
  readonly hubsFromVms: number;
  readonly hubsPerZone: number;
  readonly vms: WritableTopicPort<VmRecord>;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly workTracker: WorkTracker;
  readonly fleetDemand: FleetDemand;
  readonly sums: FleetSums;
  readonly rateLimits: TargetRateLimits;
  readonly targetLoads: TargetLoads;
  readonly prefixIndex: PrefixIndex;
  readonly quarantine: RequestQuarantine;
  readonly partQuarantine: PartQuarantine;
  readonly streamVersions: StreamVersions;
  readonly activeConfig: ActiveConfig;
  readonly storeEpoch: StoreEpoch;
  readonly configReadTiming: ConfigReadTiming;
  /** Reads the configuration from the store once. */
  readonly loadConfig: () => Promise<void>;
  /** Called with the VMs of the first list that was read. */
  readonly onFirstVmList: (listed: readonly VmRecord[]) => void;
  /** Called when the number of VMs that share the fleet's limits has changed. */
  readonly onLiveVms: (count: number) => void;
  /** Called with engines that a peer has ordered to change their role. */
  readonly onChangingRole: (targets: readonly string[]) => void;
  /** Returns the monotonic time of this VM's own last successful read of the target list. */
  readonly getListReadAtMs: () => number;
  /** Called with the monotonic time at which a peer has read the target list. */
  readonly onPeerListRead: (atMs: number) => void;
  /** Called with the duration of a stall of this process, milliseconds. */
  readonly onLoopStall: (lateMs: number) => void;
  /** Called for each entry of the VM list that becomes unreadable. */
  readonly onUnreadable: () => void;
  /** Whether this VM could send orders to engines now. */
  readonly mayOrder: () => boolean;
  readonly usageMeter: UsageMeter;
  /** Accepts a connection over which a peer hands calls over. */
  readonly acceptHandover: (link: Link) => LinkListener;
}

const MAX_FRAME_BYTES = 4 * 1024 * 1024;

/** The mesh of one VM and the protocols that run over it. */
export class FleetMesh {
  readonly #options: FleetMeshOptions;
  readonly #membership: Membership;
  readonly #node: MeshNode;
  readonly #hubs: HubExchange;
  readonly #sums: SumExchange;
  readonly #gossip: FleetGossip;
  readonly #vmList: VmListFollower;
  readonly #unreadable: UnreadableEntries;
  readonly #configExchange: ConfigExchange;
  readonly #usage: UsageExchange;
  readonly #streams: StreamVersionExchange;
  /** Position in the prefix updates up to which each link has been sent them. */
  readonly #prefixCursors = new WeakMap<Link, number>();
  /** Time of the target list read that was last announced on each link. */
  readonly #sentReadAtMs = new WeakMap<Link, number>();
  /** Epoch of the store that was last announced on each link. */
  readonly #sentEpochs = new WeakMap<Link, number>();
  /** Peers that could send orders to engines according to their last heartbeat. */
  readonly #orderCandidates = new Set<string>();
  #listedCount = 0;
  #hasVmList = false;
  #vmCount = 0;
  #isLeaving = false;
  readonly #undoListeners: (() => void)[] = [];

  constructor(options: FleetMeshOptions) {
    this.#options = options;
    const { self, silenceMs, linksPerZone } = options;
    this.#membership = new Membership({
      self,
      silenceMs,
      linksPerZone,
      hubs: { minVms: options.hubsFromVms, perZone: options.hubsPerZone },
    });
    this.#sums = new SumExchange(options.sums);
    this.#hubs = new HubExchange({
      ...options,
      sums: this.#sums,
      membership: this.#membership,
      onSourceChange: (source) =>
        options.log.write("info", "hubChosen", {
          source,
          live: this.#membership.listLive(self.availabilityZone).length,
        }),
    });
    this.#gossip = new FleetGossip(options);
    this.#unreadable = new UnreadableEntries({
      topic: "vms",
      log: options.log,
      onUnreadable: options.onUnreadable,
    });
    this.#vmList = new VmListFollower({
      self,
      vms: options.vms,
      clock: options.clock,
      hasFreshFeed: () => !this.mustReadStore(),
      onEntries: (entries) => this.#unreadable.applyList(entries),
      onList: (listed) => this.#applyVmList(listed),
      onError: (error) => this.#logVmListError(error),
    });
    this.#node = new MeshNode({
      self,
      listen: options.listen,
      onListenRetry: (reason) =>
        options.log.write("warn", "listenRetried", { reason }),
      sharedKey: options.sharedKey,
      maxFrameBytes: MAX_FRAME_BYTES,
      heartbeatMs: options.heartbeatMs,
      heartbeatPerLinkMs: options.heartbeatPerLinkMs,
      hubHeartbeatMs: options.hubHeartbeatMs,
      idleHeartbeatMs: options.idleHeartbeatMs,
      silenceMs,
      clock: options.clock,
      membership: this.#membership,
      translate: (address) => address,
      onRound: () => this.#hubs.beginRound(),
      buildHeartbeat: (link, peer) => this.#buildHeartbeat(link, peer),
      onLoopStall: (stall) => this.#handleStall(stall),
      acceptHandover: options.acceptHandover,
      onLinkClosed: (reason) =>
        options.log.write("debug", "meshLinkEnded", { fault: reason }),
    });
    this.#configExchange = new ConfigExchange({
      ...options,
      node: this.#node,
      mustReadStore: () => this.mustReadStore(),
    });
    this.#streams = new StreamVersionExchange({
      ...options,
      node: this.#node,
      membership: this.#membership,
    });
    this.#usage = new UsageExchange({
      ...options,
      node: this.#node,
      membership: this.#membership,
      meter: options.usageMeter,
    });
  }

  async start(): Promise<void> {
    this.#node.registerHeartbeatListener((heartbeat, from, waitedMs) =>
      this.#handleHeartbeat(heartbeat, from, waitedMs)
    );
    this.#configExchange.start();
    this.#usage.start();
    this.#streams.start();
    await this.#node.start();
    const { workTracker, streamVersions } = this.#options;
    this.#undoListeners.push(
      workTracker.registerOwnWorkListener(() => {
        // A hub's digests cover many VMs and change all the time.
        if (!this.#membership.isHub) this.#node.requestRound();
      }),
      this.#gossip.registerListener(() => this.#node.requestRound()),
      streamVersions.registerListener(() => this.#node.requestRound()),
    );
    this.#vmList.start();
  }

  /** Handles that the store came back from a copy, which may lack what this VM wrote. */
  handleRestoration(): void {
    this.#vmList.handleRestoration();
    this.#node.requestRound();
  }

  /** Announces to peers that this VM is leaving and removes it from the VM list. */
  async leave(): Promise<void> {
    this.#isLeaving = true;
    this.#node.sendHeartbeats();
    await this.#vmList.leave();
  }

  stop(): void {
    for (const undo of this.#undoListeners) undo();
    this.#vmList.stop();
    this.#node.stop();
  }

  /** Lists the known VMs that are not leaving, without this one; they may not be live. */
  listPeers(): readonly Member[] {
    return this.#membership.listMembers().filter(({ status }) =>
      status !== "leaving"
    );
  }

  /** Lists the ids of the live VMs, this one included. */
  listLive(): string[] {
    return this.#membership.listLive();
  }

  /** Whether the VM list has been read, from which the coordinators are known. */
  get hasVmList(): boolean {
    return this.#hasVmList;
  }

  /** Whether this VM must read the store's topics itself. */
  mustReadStore(): boolean {
    if (!this.#membership.hasHubs) return true;
    return !this.#hubs.hasFreshFeed(this.#options.clock.readMonotonicMs());
  }

  /**
   * Time since a hub has confirmed the configuration, milliseconds; 0 on a VM without hubs above it,
   * which reads the configuration itself.
   */
  getConfigConfirmationAgeMs(): number {
    return this.isCoordinator ? 0 : this.#hubs.getConfigConfirmationAgeMs();
  }

  /** Monotonic time as of which a hub's feed of the target list is valid. */
  get feedValidAtMs(): number {
    return this.#hubs.feedValidAtMs;
  }

  /** Whether this VM takes part in fleet-wide tasks that a single VM performs at a time. */
  get isCoordinator(): boolean {
    return !this.#membership.hasHubs || this.#membership.isHub;
  }

  /** Whether links run over hubs. */
  get hasHubs(): boolean {
    return this.#membership.hasHubs;
  }

  /** Lists the ids of the live VMs that share fleet-wide tasks, this one included. */
  listCoordinators(): string[] {
    const live = this.listLive();
    if (!this.#membership.hasHubs) return live;
    const hubs = new Set(this.#membership.pickLinkPeers().map(({ id }) => id));
    const { id: self } = this.#options.self;
    return live.filter((id) => id === self || hubs.has(id));
  }

  /** Lists the ids of the live VMs that could send orders to engines, this one included. */
  listOrderCandidates(): string[] {
    const { self } = this.#options;
    return this.listLive().filter((id) =>
      id === self.id || this.#orderCandidates.has(id)
    );
  }

  /**
   * Resolves with the software version that began the stream with this key; undefined if no VM that
   * responds knows it.
   */
  findStreamVersion(key: string): Promise<string | undefined> {
    return this.#streams.findVersion(key);
  }

  /** Collects the usage of a window that ended at `endMs` from the VMs of the fleet. */
  collectUsage(window: number, endMs: number): Promise<CollectedUsage> {
    return this.#usage.collect(window, endMs, this.listCoordinators());
  }

  /** Lists the entries of the VM list that this VM can't read. */
  listUnreadable(): UnreadableStatus[] {
    return this.#unreadable.listStatus();
  }

  /** Updates the VM count and polls the VM list when due. To be called several times a second. */
  tick(): void {
    this.updateVmCount();
    this.#vmList.tick();
  }

  #applyVmList(listed: readonly VmRecord[]): void {
    this.#listedCount = listed.length;
    this.#membership.recordListing(listed);
    if (!this.#hasVmList) this.#options.onFirstVmList(listed);
    this.#hasVmList = true;
    this.updateVmCount();
  }

  /** Counts also VMs that are listed but not live, as they may still use the shared limits. */
  updateVmCount(): void {
    const live = this.#membership.hasHubs
      ? this.#hubs.liveVms
      : this.listLive().length;
    const count = Math.max(this.#listedCount, live);
    if (count === this.#vmCount) return;
    this.#options.log.write("info", "vmsCounted", {
      listed: this.#listedCount,
      live,
      before: this.#vmCount,
    });
    this.#vmCount = count;
    this.#options.onLiveVms(count);
  }

  #buildHeartbeat(link: Link, peer: LinkIdentity): Heartbeat | undefined {
    const { activeConfig, mayOrder } = this.#options;
    const fields = this.#membership.hasHubs
      ? this.#hubs.buildFields(link, peer)
      : this.#buildMeshFields(link);
    const gossipFields = {
      ...this.#gossip.buildFields(link, this.#getLoadScope(fields)),
      ...this.#usage.buildFields(link, peer),
      ...this.#streams.buildFields(link, peer),
    };
    const isEmpty = fields === undefined &&
      Object.keys(gossipFields).length === 0;
    if (isEmpty && !this.#isLeaving) return undefined;
    return {
      kind: "heartbeat",
      configOffset: activeConfig.version,
      controlOffset: -1,
      intervalMs: Math.round(this.#node.intervalMs),
      leaving: this.#isLeaving,
      mayOrder: mayOrder(),
      ...this.#buildListAge(link),
      ...this.#buildStoreEpoch(link),
      ...gossipFields,
      ...fields,
    };
  }

  /**
   * Returns whose loads a peer gets. A hub sends them as far as its digests: those of the fleet to VMs
   * that use it, and those of its zone to hubs of other zones.
   */
  #getLoadScope(
    fields: Partial<Heartbeat> | undefined,
  ): LoadScope | "none" {
    if (!this.#membership.isHub) return "own";
    return fields === undefined ? "none" : fields.digest?.scope ?? "own";
  }

  /** Announces each epoch of the store once. */
  #buildStoreEpoch(link: Link): Pick<Heartbeat, "storeEpoch"> {
    const { current } = this.#options.storeEpoch;
    if (current === undefined || current === this.#sentEpochs.get(link)) {
      return {};
    }
    this.#sentEpochs.set(link, current);
    return { storeEpoch: current };
  }

  /** Announces each new read of the target list once, so that peers know the store is reachable. */
  #buildListAge(link: Link): Pick<Heartbeat, "listAgeMs"> {
    const { clock, getListReadAtMs } = this.#options;
    const readAtMs = getListReadAtMs();
    if (readAtMs <= (this.#sentReadAtMs.get(link) ?? -Infinity)) return {};
    this.#sentReadAtMs.set(link, readAtMs);
    return { listAgeMs: Math.round(clock.readMonotonicMs() - readAtMs) };
  }

  /** Builds the fields for a link without hubs: own work, and the prefix updates not yet sent. */
  #buildMeshFields(link: Link): Partial<Heartbeat> {
    const { workTracker, prefixIndex, clock, listChangingRole } = this.#options;
    const nowMs = clock.readMonotonicMs();
    const changing = listChangingRole();
    const { updates, cursor } = prefixIndex.listUpdates(
      this.#prefixCursors.get(link) ?? 0,
    );
    this.#prefixCursors.set(link, cursor);
    return {
      ...(this.#options.needsCallRates()
        ? {
          callsPerMinute: this.#options.fleetDemand.getOwnCallsPerMinute(nowMs),
        }
        : {}),
      ...this.#sums.buildOwnFields(link),
      work: workTracker.listOwnRows(nowMs)
        .map((row): [string, number, number, ...number[]] => [...row]),
      ...(updates.length === 0 ? {} : {
        prompts: updates.map((update): [string, string, number] => [...update]),
      }),
      ...(changing.length === 0 ? {} : { changing: [0, [...changing]] }),
    };
  }

  #handleHeartbeat(
    heartbeat: Heartbeat,
    from: LinkIdentity,
    waitedMs: number,
  ): void {
    if (this.#membership.hasHubs) this.#hubs.handle(heartbeat, from, waitedMs);
    else this.#handleMeshFields(heartbeat, from);
    const isSameZone =
      from.availabilityZone === this.#options.self.availabilityZone;
    this.#gossip.handle(heartbeat, waitedMs, isSameZone ? "zone" : "fleet");
    this.#usage.handle(heartbeat, from);
    this.#streams.handle(heartbeat, from);
    if (heartbeat.mayOrder) this.#orderCandidates.add(from.id);
    else this.#orderCandidates.delete(from.id);
    if (heartbeat.listAgeMs !== undefined) {
      const { clock, onPeerListRead } = this.#options;
      onPeerListRead(clock.readMonotonicMs() - heartbeat.listAgeMs - waitedMs);
    }
    if (heartbeat.storeEpoch !== undefined) {
      this.#options.storeEpoch.record(heartbeat.storeEpoch, "peer");
    }
    if (heartbeat.changing !== undefined) {
      this.#options.onChangingRole(heartbeat.changing[1]);
    }
    this.#configExchange.handlePeerVersion(from.id, heartbeat.configOffset);
  }

  #handleMeshFields(heartbeat: Heartbeat, from: LinkIdentity): void {
    const { workTracker, prefixIndex, fleetDemand, clock } = this.#options;
    const nowMs = clock.readMonotonicMs();
    const { callsPerMinute } = heartbeat;
    if (callsPerMinute !== undefined) {
      fleetDemand.setPeerRate(from.id, { callsPerMinute, vms: 1 }, nowMs);
    }
    this.#sums.handleFields(from.id, heartbeat, nowMs);
    if (heartbeat.prompts !== undefined) {
      prefixIndex.applyPeerUpdates(heartbeat.prompts, nowMs);
    }
    if (heartbeat.work !== undefined) {
      workTracker.setPeerWork(from.id, heartbeat.work, nowMs);
    }
  }

  /** Ages the feed by the part of a stall that the monotonic clock did not count. */
  #handleStall({ lateMs, uncountedMs }: LoopStall): void {
    this.#hubs.addUncountedMs(uncountedMs);
    this.#options.onLoopStall(lateMs);
    this.#options.log.write("warn", "loopLate", {
      lateMs: Math.round(lateMs),
      uncountedMs: Math.round(uncountedMs),
    });
  }

  #logVmListError(error: unknown): void {
    this.#options.log.write("warn", "vmListFault", {
      reason: (error as Error).message,
    });
  }
}
