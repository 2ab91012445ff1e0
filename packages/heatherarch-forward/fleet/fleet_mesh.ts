/**
 * What the VMs of a fleet tell each other: work in progress, and newer configurations.
 *
 * @module
 */
import type { Clock } from "heatherarch-core";
import {
  type Heartbeat,
  type Link,
  type LinkIdentity,
  type LoopStall,
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
import { VmListFollower } from "./vm_list_follower.ts";
import type { PrefixIndex } from "../state/prefix_index.ts";
import type { RequestQuarantine } from "heatherarch-quarantine";
import type { WorkTracker } from "../state/work_tracker.ts";

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
  /** Links to each other availability zone where there are no hubs. */
  readonly linksPerZone: number;
  /** Known VMs from which on links run over hubs. */
  readonly hubsFromVms: number;
  readonly hubsPerZone: number;
  readonly vms: WritableTopicPort<VmRecord>;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly workTracker: WorkTracker;
  readonly prefixIndex: PrefixIndex;
  readonly quarantine: RequestQuarantine;
  readonly activeConfig: ActiveConfig;
  readonly configReadTiming: ConfigReadTiming;
  /** Reads the configuration from the store, once. */
  readonly loadConfig: () => Promise<void>;
  /** Called when the number of VMs that share the fleet's limits has changed. */
  readonly onLiveVms: (count: number) => void;
  /** Called with engines that a peer has ordered to change. */
  readonly onChangingRole: (targets: readonly string[]) => void;
  /** Monotonic time at which this VM itself last read the list of targets without fault. */
  readonly getListReadAtMs: () => number;
  /** A peer has read the list of targets at this monotonic time. */
  readonly onPeerListRead: (atMs: number) => void;
  /** This process stood still for so many milliseconds. */
  readonly onLoopStall: (lateMs: number) => void;
  /** Whether this VM could give orders now. */
  readonly mayOrder: () => boolean;
}

const MAX_FRAME_BYTES = 4 * 1024 * 1024;

/** The mesh of one VM, with what it carries. */
export class FleetMesh {
  readonly #options: FleetMeshOptions;
  readonly #membership: Membership;
  readonly #node: MeshNode;
  readonly #hubs: HubExchange;
  readonly #news: FleetGossip;
  readonly #list: VmListFollower;
  readonly #configs: ConfigExchange;
  /** Prompt notes told on each link so far. */
  readonly #told = new WeakMap<Link, number>();
  /** Time of the reading of the list that was last told on each link. */
  readonly #toldReadAtMs = new WeakMap<Link, number>();
  /** Peers that could give orders when they were last heard. */
  readonly #orderers = new Set<string>();
  #listed = 0;
  #hasList = false;
  #liveVms = 0;
  #leaving = false;
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
    this.#hubs = new HubExchange({
      ...options,
      membership: this.#membership,
      onSourceChange: (source) =>
        options.log.write("info", "hubChosen", {
          source,
          live: this.#membership.listLive(self.availabilityZone).length,
        }),
    });
    this.#news = new FleetGossip(options);
    this.#list = new VmListFollower({
      self,
      vms: options.vms,
      clock: options.clock,
      hasFreshFeed: () => !this.mustReadStore(),
      onList: (listed) => this.#applyList(listed),
      onFault: (error) => this.#noteListFault(error),
    });
    this.#node = new MeshNode({
      self,
      listen: options.listen,
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
      onLoopStall: (standstill) => this.#noteStandstill(standstill),
      onLinkClosed: (fault) =>
        options.log.write("debug", "meshLinkEnded", { fault }),
    });
    this.#configs = new ConfigExchange({
      ...options,
      node: this.#node,
      mustReadStore: () => this.mustReadStore(),
    });
  }

  async start(): Promise<void> {
    this.#node.registerHeartbeatListener((heartbeat, from, waitedMs) =>
      this.#takeHeartbeat(heartbeat, from, waitedMs)
    );
    this.#configs.start();
    await this.#node.start();
    const {
      workTracker,
    } = this.#options;
    this.#undoListeners.push(
      workTracker.registerOwnWorkListener(() => {
        // A hub tells sums of many VMs, which change all the time.
        if (!this.#membership.isHub) this.#node.requestRound();
      }),
      this.#news.registerListener(() => this.#node.requestRound()),
    );
    this.#list.start();
  }

  /** Tells peers that this VM is leaving. */
  async leave(): Promise<void> {
    this.#leaving = true;
    this.#node.sendHeartbeats();
    await this.#list.leave();
  }

  stop(): void {
    for (const undo of this.#undoListeners) undo();
    this.#list.stop();
    this.#node.stop();
  }

  /** Ids of the VMs that answer, this one included. */
  listLive(): string[] {
    return this.#membership.listLive();
  }

  /** Whether the list of VMs has been read: from then on duties are known. */
  get hasVmList(): boolean {
    return this.#hasList;
  }

  /** Whether this VM has to read the store's topics by itself. */
  mustReadStore(): boolean {
    if (!this.#membership.hasHubs) return true;
    return !this.#hubs.hasFreshFeed(this.#options.clock.readMonotonicMs());
  }

  /** Monotonic time for which a hub's word on the list of targets held. */
  get feedValidAtMs(): number {
    return this.#hubs.feedValidAtMs;
  }

  /** Whether this VM is one of those that do what one VM has to do for the fleet. */
  get isCoordinator(): boolean {
    return !this.#membership.hasHubs || this.#membership.isHub;
  }

  /** Ids of the live VMs that share what is done for the whole fleet, this one included. */
  listCoordinators(): string[] {
    const live = this.listLive();
    if (!this.#membership.hasHubs) return live;
    const hubs = new Set(this.#membership.pickLinkPeers().map(({ id }) => id));
    const { id: self } = this.#options.self;
    return live.filter((id) => id === self || hubs.has(id));
  }

  /** Ids of the live VMs that could give orders, this one included. */
  listOrderCandidates(): string[] {
    const { self } = this.#options;
    return this.listLive().filter((id) =>
      id === self.id || this.#orderers.has(id)
    );
  }

  /** To be called some times a second: counts VMs, and looks at their list when it is time. */
  tick(): void {
    this.updateVmCount();
    this.#list.tick();
  }

  #applyList(listed: readonly VmRecord[]): void {
    this.#listed = listed.length;
    this.#membership.recordListing(listed);
    this.#hasList = true;
    this.updateVmCount();
  }

  /** VMs that are listed but do not answer may still spend of what all share. */
  updateVmCount(): void {
    const live = this.#membership.hasHubs
      ? this.#hubs.liveVms
      : this.listLive().length;
    const count = Math.max(this.#listed, live);
    if (count === this.#liveVms) return;
    this.#options.log.write("info", "vmsCounted", {
      listed: this.#listed,
      live,
      before: this.#liveVms,
    });
    this.#liveVms = count;
    this.#options.onLiveVms(count);
  }

  #buildHeartbeat(link: Link, peer: LinkIdentity): Heartbeat | undefined {
    const {
      activeConfig,
      mayOrder,
    } = this.#options;
    const parts = this.#membership.hasHubs
      ? this.#hubs.buildFields(link, peer)
      : this.#buildMeshParts(link);
    const news = this.#news.buildFields(link);
    const isEmpty = parts === undefined && Object.keys(news).length === 0;
    if (isEmpty && !this.#leaving) return undefined;
    return {
      kind: "heartbeat",
      configOffset: activeConfig.version,
      controlOffset: -1,
      intervalMs: Math.round(this.#node.intervalMs),
      leaving: this.#leaving,
      mayOrder: mayOrder(),
      ...this.#buildListAge(link),
      ...news,
      ...parts,
    };
  }

  /** Peers learn from each new reading that the store is there. */
  #buildListAge(link: Link): Pick<Heartbeat, "listAgeMs"> {
    const { clock, getListReadAtMs } = this.#options;
    const readAtMs = getListReadAtMs();
    if (readAtMs <= (this.#toldReadAtMs.get(link) ?? -Infinity)) return {};
    this.#toldReadAtMs.set(link, readAtMs);
    return { listAgeMs: Math.round(clock.readMonotonicMs() - readAtMs) };
  }

  /** What is told on a link of two VMs without hubs: own work, and notes since the last time. */
  #buildMeshParts(link: Link): Partial<Heartbeat> {
    const {
      workTracker,
      prefixIndex,
      clock,
      listChangingRole,
    } = this.#options;
    const changing = listChangingRole();
    const {
      updates,
      cursor,
    } = prefixIndex.listUpdates(
      this.#told.get(link) ?? 0,
    );
    this.#told.set(link, cursor);
    return {
      work: workTracker.listOwnRows(clock.readMonotonicMs())
        .map((row): [string, number, number, ...number[]] => [...row]),
      ...(updates.length === 0 ? {} : {
        prompts: updates.map((note): [string, string, number] => [...note]),
      }),
      ...(changing.length === 0 ? {} : { changing: [0, [...changing]] }),
    };
  }

  #takeHeartbeat(
    heartbeat: Heartbeat,
    from: LinkIdentity,
    waitedMs: number,
  ): void {
    if (this.#membership.hasHubs) this.#hubs.handle(heartbeat, from, waitedMs);
    else this.#takeMeshParts(heartbeat, from);
    this.#news.handle(heartbeat, waitedMs);
    if (heartbeat.mayOrder) this.#orderers.add(from.id);
    else this.#orderers.delete(from.id);
    if (heartbeat.listAgeMs !== undefined) {
      const { clock, onPeerListRead } = this.#options;
      onPeerListRead(clock.readMonotonicMs() - heartbeat.listAgeMs - waitedMs);
    }
    if (heartbeat.changing !== undefined) {
      this.#options.onChangingRole(heartbeat.changing[1]);
    }
    this.#configs.handlePeerVersion(from.id, heartbeat.configOffset);
  }

  #takeMeshParts(heartbeat: Heartbeat, from: LinkIdentity): void {
    const {
      workTracker,
      prefixIndex,
      clock,
    } = this.#options;
    const nowMs = clock.readMonotonicMs();
    if (heartbeat.prompts !== undefined) {
      prefixIndex.applyPeerUpdates(heartbeat.prompts, nowMs);
    }
    if (heartbeat.work !== undefined) {
      workTracker.setPeerWork(from.id, heartbeat.work, nowMs);
    }
  }

  /** What was known before a standstill is older by the time that the clock did not count. */
  #noteStandstill({ lateMs, uncountedMs }: LoopStall): void {
    this.#hubs.addUncountedMs(uncountedMs);
    this.#options.onLoopStall(lateMs);
    this.#options.log.write("warn", "loopLate", {
      lateMs: Math.round(lateMs),
      uncountedMs: Math.round(uncountedMs),
    });
  }

  #noteListFault(error: unknown): void {
    this.#options.log.write("warn", "vmListFault", {
      reason: (error as Error).message,
    });
  }
}
