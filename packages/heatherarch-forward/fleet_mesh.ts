/**
 * What the VMs of a fleet tell each other: work in progress, and newer configurations.
 *
 * @module
 */
import { type Clock, sleep } from "heatherarch-core";
import {
  type Heartbeat,
  type Link,
  type LinkIdentity,
  Membership,
  MeshNode,
} from "heatherarch-mesh";
import type { ConfigView } from "./config_view.ts";
import type { EventLog } from "./event_log.ts";
import type { RoutingConfig, VmRecord } from "./model.ts";
import type { WritableTopicPort } from "./ports.ts";
import type { PromptIndex } from "./prompt_index.ts";
import type { WorkLedger } from "./work_ledger.ts";

/** Options of {@linkcode FleetMesh}. */
export interface FleetMeshOptions {
  readonly self: VmRecord;
  readonly sharedKey: string;
  readonly heartbeatMs: number;
  readonly heartbeatPerLinkMs: number;
  readonly silenceMs: number;
  /** Links to each other availability zone. */
  readonly linksPerZone: number;
  readonly vms: WritableTopicPort<VmRecord>;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly ledger: WorkLedger;
  readonly prompts: PromptIndex;
  readonly configs: ConfigView;
  /** Called when the number of VMs that share the fleet's limits has changed. */
  readonly onLiveVms: (count: number) => void;
  /** Called with engines that a peer has ordered to change. */
  readonly onChanging: (targets: readonly string[]) => void;
  readonly listChanging: () => readonly string[];
  /** Whether this VM could give orders now. */
  readonly mayOrder: () => boolean;
}

const CONFIG_CALL = "config";
const CALL_TIMEOUT_MS = 1000;
/** The store brings a configuration sooner as a rule; a peer is asked after this time. */
const ASK_AFTER_MS = 700;
/** All VMs start together: the list is looked at again soon, then rarely. */
const EARLY_LOOKS_MS = [1000, 2500, 4000];
const LOOK_MS = 12_000;
const MAX_FRAME_BYTES = 4 * 1024 * 1024;

/** The mesh of one VM, with what it carries. */
export class FleetMesh {
  readonly #options: FleetMeshOptions;
  readonly #membership: Membership;
  readonly #node: MeshNode;
  readonly #asking = new Set<string>();
  /** Prompt notes told on each link so far. */
  readonly #told = new WeakMap<Link, number>();
  /** Peers that could give orders when they were last heard. */
  readonly #orderers = new Set<string>();
  #listed = 0;
  #liveVms = 0;
  #leaving = false;
  #stopped = false;

  constructor(options: FleetMeshOptions) {
    this.#options = options;
    const { self, silenceMs, linksPerZone } = options;
    this.#membership = new Membership({ self, silenceMs, linksPerZone });
    this.#node = new MeshNode({
      self,
      listen: self.mesh,
      sharedKey: options.sharedKey,
      maxFrameBytes: MAX_FRAME_BYTES,
      heartbeatMs: options.heartbeatMs,
      heartbeatPerLinkMs: options.heartbeatPerLinkMs,
      silenceMs,
      clock: options.clock,
      membership: this.#membership,
      translate: (address) => address,
      buildHeartbeat: (link) => this.#buildHeartbeat(link),
      onFault: (fault) =>
        options.log.write("debug", "meshLinkEnded", { fault }),
    });
  }

  async start(): Promise<void> {
    this.#node.registerHeartbeatListener((heartbeat, from) =>
      this.#takeHeartbeat(heartbeat, from)
    );
    this.#node.registerCall(
      CONFIG_CALL,
      () => Promise.resolve(this.#options.configs.table?.config ?? null),
    );
    await this.#node.start();
    void this.#followVms();
  }

  /** Tells peers that this VM is leaving. */
  async leave(): Promise<void> {
    this.#leaving = true;
    this.#node.sendHeartbeats();
    try {
      await this.#options.vms.put(this.#options.self.id, undefined);
    } catch (error) {
      this.#noteListFault(error);
    }
  }

  stop(): void {
    this.#stopped = true;
    this.#node.stop();
  }

  /** Ids of the VMs that answer, this one included. */
  listLive(): string[] {
    return this.#membership.listLive();
  }

  /** Ids of the live VMs that could give orders, this one included. */
  listOrderers(): string[] {
    const { self } = this.#options;
    return this.listLive().filter((id) =>
      id === self.id || this.#orderers.has(id)
    );
  }

  async #followVms(): Promise<void> {
    const { vms, self } = this.#options;
    let isAnnounced = false;
    for (let look = 0; !this.#stopped; look++) {
      try {
        if (!isAnnounced) await vms.put(self.id, self);
        isAnnounced = true;
        this.#applyList((await vms.load()).entries);
      } catch (error) {
        this.#noteListFault(error);
      }
      await sleep(EARLY_LOOKS_MS[look] ?? LOOK_MS);
    }
  }

  #applyList(entries: readonly { key: string; value?: VmRecord }[]): void {
    const listed: VmRecord[] = [];
    for (const { value } of entries) {
      if (value !== undefined) listed.push(value);
    }
    this.#listed = listed.length;
    this.#membership.noteListed(listed);
    this.#countVms();
  }

  /** VMs that are listed but do not answer may still spend of what all share. */
  #countVms(): void {
    const count = Math.max(this.#listed, this.listLive().length);
    if (count === this.#liveVms) return;
    this.#options.log.write("info", "vmsCounted", {
      listed: this.#listed,
      live: this.listLive().length,
      before: this.#liveVms,
    });
    this.#liveVms = count;
    this.#options.onLiveVms(count);
  }

  #buildHeartbeat(link: Link): Heartbeat {
    const { ledger, prompts, clock, configs, listChanging, mayOrder } =
      this.#options;
    const changing = listChanging();
    const { notes, cursor } = prompts.listNotes(this.#told.get(link) ?? 0);
    this.#told.set(link, cursor);
    return {
      kind: "heartbeat",
      configOffset: configs.version,
      controlOffset: -1,
      intervalMs: Math.round(this.#node.intervalMs),
      leaving: this.#leaving,
      leavingTargets: [],
      mayOrder: mayOrder(),
      work: ledger.listOwnRows(clock.readMonotonicMs())
        .map((row): [string, number, number, ...number[]] => [...row]),
      ...(notes.length === 0 ? {} : {
        prompts: notes.map((note): [string, string, number] => [...note]),
      }),
      ...(changing.length === 0
        ? {}
        : { changing: [0, [...changing]] as [number, string[]] }),
    };
  }

  #takeHeartbeat(heartbeat: Heartbeat, from: LinkIdentity): void {
    const { ledger, prompts, clock, onChanging } = this.#options;
    const nowMs = clock.readMonotonicMs();
    if (heartbeat.prompts !== undefined) {
      prompts.notePeer(heartbeat.prompts, nowMs);
    }
    if (heartbeat.work !== undefined) {
      ledger.notePeer(from.id, heartbeat.work, nowMs);
    }
    if (heartbeat.mayOrder) this.#orderers.add(from.id);
    else this.#orderers.delete(from.id);
    if (heartbeat.changing !== undefined) onChanging(heartbeat.changing[1]);
    this.#countVms();
    if (heartbeat.configOffset > this.#options.configs.version) {
      void this.#askConfig(from.id, heartbeat.configOffset);
    }
  }

  /** Fetches a configuration that the store has not brought in time. */
  async #askConfig(peer: string, version: number): Promise<void> {
    const { configs, log } = this.#options;
    if (this.#asking.size > 0) return;
    this.#asking.add(peer);
    try {
      await sleep(ASK_AFTER_MS);
      if (configs.version >= version) return;
      const config = await this.#node.call(
        peer,
        CONFIG_CALL,
        null,
        CALL_TIMEOUT_MS,
      );
      if (config === null) return;
      if (configs.applyConfig(config as RoutingConfig)) {
        log.write("info", "configApplied", {
          version: configs.version,
          source: `peer ${peer}`,
        });
      }
    } catch (error) {
      log.write("warn", "configNotFetched", {
        peer,
        version,
        reason: (error as Error).message,
      });
    } finally {
      this.#asking.delete(peer);
    }
  }

  #noteListFault(error: unknown): void {
    this.#options.log.write("warn", "vmListFault", {
      reason: (error as Error).message,
    });
  }
}
