/**
 * Who the entry VMs are, judged by what each answers. Pure: time comes in with each update.
 *
 * @module
 */
import { pickRendezvous } from "heatherarch-core";
import { type HubCandidate, isChosenHub, pickHubs } from "./hub_choice.ts";

/** How a member is judged. */
export type MemberStatus = "live" | "suspect" | "leaving";

/** One entry VM as seen from here. */
export interface Member {
  readonly id: string;
  readonly incarnation: string;
  readonly availabilityZone: string;
  readonly mesh: string;
  readonly status: MemberStatus;
  /** Monotonic time of the last answer; -Infinity for a VM that is only listed. */
  readonly lastHeardMs: number;
  readonly configOffset: number;
  readonly controlOffset: number;
  /** Time between the member's heartbeats, as it says; 0 while unknown. */
  readonly intervalMs: number;
  /** What the member can carry as a hub; more is better. */
  readonly capacity: number;
}

/** A VM as a list or a peer names it. */
export interface VmIdentity {
  readonly id: string;
  readonly incarnation: string;
  readonly availabilityZone: string;
  readonly mesh: string;
  readonly capacity?: number;
}

/** When links run over hubs instead of between any two VMs. */
export interface HubOptions {
  /** Known VMs, this one included, from which on there are hubs. */
  readonly fromVms: number;
  readonly perZone: number;
}

/** Guards of the view; the proofs switch them off one at a time. */
export const MEMBERSHIP_GUARDS = [
  "progressNeverLower",
  "newIncarnationStartsAnew",
  "silentIsSuspect",
  "listIsOnlyAHint",
] as const;
/** Name of a guard. */
export type MembershipGuard = typeof MEMBERSHIP_GUARDS[number];

/** Options of {@linkcode Membership}. */
export interface MembershipOptions {
  readonly self: VmIdentity;
  /** A member that has not answered for this long is suspect. */
  readonly silenceMs: number;
  /** A suspect that no list names is forgotten after this long. */
  readonly forgetMs?: number;
  /** Links to each other availability zone. */
  readonly linksPerZone?: number;
  readonly hubs?: HubOptions;
  readonly disabledGuards?: ReadonlySet<MembershipGuard>;
}

const DEFAULT_FORGET_MS = 60_000;
const DEFAULT_LINKS_PER_ZONE = 2;
/** Without the setting there are no hubs, however large the fleet. */
const NO_HUBS: HubOptions = { fromVms: Infinity, perZone: 2 };
const DEFAULT_CAPACITY = 1;
/** Heartbeats that may be missed before a member is suspect. */
const SILENT_HEARTBEATS = 3;

/** The membership view of one entry VM. */
export class Membership {
  readonly #options: Required<MembershipOptions>;
  readonly #members = new Map<string, Member>();
  #listed = new Set<string>();
  #isServing = false;

  constructor(options: MembershipOptions) {
    this.#options = {
      forgetMs: DEFAULT_FORGET_MS,
      linksPerZone: DEFAULT_LINKS_PER_ZONE,
      hubs: NO_HUBS,
      disabledGuards: new Set(),
      ...options,
    };
  }

  /** Takes in the platform's list or configured peers: a hint that adds, never removes the live. */
  noteListed(
    vms: readonly Omit<VmIdentity, "incarnation">[],
  ): void {
    this.#listed = new Set(vms.map((vm) => vm.id));
    if (this.#isOff("listIsOnlyAHint")) {
      for (const id of this.#members.keys()) {
        if (!this.#listed.has(id)) this.#members.delete(id);
      }
    }
    for (const vm of vms) {
      if (vm.id === this.#options.self.id) continue;
      const known = this.#members.get(vm.id);
      if (known !== undefined) {
        if (known.status === "suspect" && known.mesh !== vm.mesh) {
          this.#members.set(vm.id, { ...known, mesh: vm.mesh });
        }
        continue;
      }
      this.#members.set(vm.id, {
        ...vm,
        capacity: vm.capacity ?? DEFAULT_CAPACITY,
        incarnation: "",
        status: "suspect",
        lastHeardMs: -Infinity,
        configOffset: -1,
        controlOffset: -1,
        intervalMs: 0,
      });
    }
  }

  /** Takes in an answer from a peer. */
  noteHeard(peer: VmIdentity, nowMs: number): void {
    if (peer.id === this.#options.self.id) return;
    const known = this.#members.get(peer.id);
    const anew = known?.incarnation !== peer.incarnation &&
      !this.#isOff("newIncarnationStartsAnew");
    const same = known !== undefined && !anew;
    this.#members.set(peer.id, {
      ...peer,
      capacity: peer.capacity ?? known?.capacity ?? DEFAULT_CAPACITY,
      status: same && known.status === "leaving" ? "leaving" : "live",
      lastHeardMs: nowMs,
      configOffset: same ? known.configOffset : -1,
      controlOffset: same ? known.controlOffset : -1,
      intervalMs: known?.intervalMs ?? 0,
    });
  }

  /** Takes in what a heartbeat said of its sender. */
  noteProgress(
    id: string,
    progress: {
      configOffset: number;
      controlOffset: number;
      leaving: boolean;
      intervalMs?: number;
    },
  ): void {
    const known = this.#members.get(id);
    if (known === undefined) return;
    this.#members.set(id, {
      ...known,
      configOffset: this.#isOff("progressNeverLower")
        ? progress.configOffset
        : Math.max(known.configOffset, progress.configOffset),
      controlOffset: Math.max(known.controlOffset, progress.controlOffset),
      status: progress.leaving ? "leaving" : known.status,
      intervalMs: progress.intervalMs ?? known.intervalMs,
    });
  }

  /** Judges members by the time of their last answer; forgets those long gone. */
  expire(nowMs: number): void {
    for (const [id, member] of this.#members) {
      const silentMs = nowMs - member.lastHeardMs;
      if (silentMs <= this.getSilenceMs(member)) continue;
      if (silentMs > this.#options.forgetMs && !this.#listed.has(id)) {
        this.#members.delete(id);
      } else if (member.status === "live" && !this.#isOff("silentIsSuspect")) {
        this.#members.set(id, { ...member, status: "suspect" });
      }
    }
  }

  /** How long a member may be silent: a few of its own heartbeats, or the setting. */
  getSilenceMs(member: { intervalMs: number }): number {
    return Math.max(
      this.#options.silenceMs,
      member.intervalMs * SILENT_HEARTBEATS,
    );
  }

  /** All known peers. */
  listMembers(): readonly Member[] {
    return [...this.#members.values()];
  }

  /** Ids of the live VMs of one availability zone, this one included. */
  listLive(availabilityZone?: string): string[] {
    const { self } = this.#options;
    const ids = this.listMembers()
      .filter((member) => member.status === "live")
      .filter((member) =>
        !availabilityZone || member.availabilityZone === availabilityZone
      )
      .map((member) => member.id);
    if (!availabilityZone || self.availabilityZone === availabilityZone) {
      ids.push(self.id);
    }
    return ids.sort();
  }

  getMember(id: string): Member | undefined {
    return this.#members.get(id);
  }

  /** Whether links run over hubs. */
  get hasHubs(): boolean {
    return this.#members.size + 1 >= this.#options.hubs.fromVms;
  }

  /** Whether this VM is a hub of its zone, by rank or because a peer takes it for one. */
  get isHub(): boolean {
    if (!this.hasHubs) return false;
    if (this.#isServing) return true;
    const { self, hubs } = this.#options;
    const zone = self.availabilityZone;
    const candidates = this.#listHubCandidates(zone);
    return isChosenHub(zone, candidates, hubs.perZone, self.id);
  }

  /** A peer has come to take this VM for its hub, or none does any more. */
  noteServing(isServing: boolean): void {
    this.#isServing = isServing;
  }

  /** Peers that this VM keeps a link to. */
  pickLinkPeers(): Member[] {
    return this.hasHubs ? this.#pickHubPeers() : this.#pickMeshPeers();
  }

  /** The hubs of the own zone; a hub also keeps links to those of each other zone. */
  #pickHubPeers(): Member[] {
    const { self, hubs } = this.#options;
    const zones = this.isHub
      ? new Set([...this.#members.values()].map((vm) => vm.availabilityZone))
      : new Set([self.availabilityZone]);
    const picked: Member[] = [];
    for (const zone of zones) {
      const candidates = this.#listHubCandidates(zone);
      for (const id of pickHubs(zone, candidates, hubs.perZone)) {
        const member = this.#members.get(id);
        if (member !== undefined) picked.push(member);
      }
    }
    return picked;
  }

  #listHubCandidates(zone: string): HubCandidate[] {
    const { self } = this.#options;
    const candidates: HubCandidate[] = [];
    for (
      const { id, availabilityZone, status, capacity } of this.#members.values()
    ) {
      if (availabilityZone !== zone || status === "leaving") continue;
      candidates.push({ id, capacity, isLive: status === "live" });
    }
    if (self.availabilityZone === zone) {
      const { id, capacity = DEFAULT_CAPACITY } = self;
      candidates.push({ id, capacity, isLive: true });
    }
    return candidates;
  }

  /** All VMs of the own zone, a few of each other zone. */
  #pickMeshPeers(): Member[] {
    const { self, linksPerZone } = this.#options;
    const byZone = new Map<string, Member[]>();
    for (const member of this.#members.values()) {
      const list = byZone.get(member.availabilityZone) ?? [];
      list.push(member);
      byZone.set(member.availabilityZone, list);
    }
    const picked: Member[] = [];
    for (const [zone, members] of byZone) {
      if (zone === self.availabilityZone) {
        picked.push(...members);
        continue;
      }
      const usable = members.filter((member) => member.status === "live");
      const pool = usable.length >= linksPerZone ? usable : members;
      const ids = pickRendezvous(
        self.id,
        pool.map((member) => member.id),
        linksPerZone,
      );
      picked.push(...pool.filter((member) => ids.includes(member.id)));
    }
    return picked;
  }

  #isOff(guard: MembershipGuard): boolean {
    return this.#options.disabledGuards.has(guard);
  }
}
