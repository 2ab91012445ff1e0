/**
 * Who the entry VMs are, judged by what each answers. Pure: time comes in with each update.
 *
 * @module
 */
import { pickRendezvous } from "heatherarch-core";
import { type HubCandidate, isSelectedHub, pickHubs } from "./hub_selection.ts";

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
  readonly minVms: number;
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
  readonly forgetAfterMs?: number;
  /** Links to each other availability zone. */
  readonly linksPerZone?: number;
  readonly hubs?: HubOptions;
  readonly disabledGuards?: ReadonlySet<MembershipGuard>;
}

const DEFAULT_FORGET_AFTER_MS = 60_000;
const DEFAULT_LINKS_PER_ZONE = 2;
/** Without the setting there are no hubs, however large the fleet. */
const NO_HUBS: HubOptions = { minVms: Infinity, perZone: 2 };
const DEFAULT_CAPACITY = 1;
/** Heartbeats that may be missed before a member is suspect. */
const MAX_MISSED_HEARTBEATS = 3;

/** A member as it is kept: what is heard of it changes it in place, some ten times a second. */
type MutableMember = { -readonly [K in keyof Member]: Member[K] };

/**
 * What follows from the members' status, place and strength. Ranking the VMs of a zone anew for
 * each message, this module took 5 ms of a hub's processor a second with 20 VMs (`npm run
 * profile`), and that grows with their square.
 */
interface HubSelection {
  isSelfSelected?: boolean;
  /** Hubs of a zone to keep a link to, best first. */
  readonly byZone: Map<string, readonly Member[]>;
}

/** The membership view of one entry VM. */
export class Membership {
  readonly #options: Required<MembershipOptions>;
  readonly #members = new Map<string, MutableMember>();
  #listedIds = new Set<string>();
  #isServing = false;
  #hubSelection: HubSelection = { byZone: new Map() };

  constructor(options: MembershipOptions) {
    this.#options = {
      forgetAfterMs: DEFAULT_FORGET_AFTER_MS,
      linksPerZone: DEFAULT_LINKS_PER_ZONE,
      hubs: NO_HUBS,
      disabledGuards: new Set(),
      ...options,
    };
  }

  /** Takes in the platform's list or configured peers: a hint that adds, never removes the live. */
  recordListing(
    vms: readonly Omit<VmIdentity, "incarnation">[],
  ): void {
    this.#listedIds = new Set(vms.map((vm) => vm.id));
    if (this.#isDisabled("listIsOnlyAHint")) {
      for (const id of this.#members.keys()) {
        if (!this.#listedIds.has(id)) this.#deleteMember(id);
      }
    }
    for (const vm of vms) {
      if (vm.id === this.#options.self.id) continue;
      const known = this.#members.get(vm.id);
      if (known !== undefined) {
        if (known.status === "suspect") known.mesh = vm.mesh;
        continue;
      }
      this.#setMember({
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
  recordContact(peer: VmIdentity, nowMs: number): void {
    if (peer.id === this.#options.self.id) return;
    const known = this.#members.get(peer.id);
    if (known !== undefined && isUnchanged(known, peer)) {
      known.lastHeardMs = nowMs;
      return;
    }
    const isRestarted = known?.incarnation !== peer.incarnation &&
      !this.#isDisabled("newIncarnationStartsAnew");
    const isSame = known !== undefined && !isRestarted;
    this.#setMember({
      ...peer,
      capacity: peer.capacity ?? known?.capacity ?? DEFAULT_CAPACITY,
      status: isSame && known.status === "leaving" ? "leaving" : "live",
      lastHeardMs: nowMs,
      configOffset: isSame ? known.configOffset : -1,
      controlOffset: isSame ? known.controlOffset : -1,
      intervalMs: known?.intervalMs ?? 0,
    });
  }

  /** Takes in what a heartbeat said of its sender. */
  recordProgress(
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
    known.configOffset = this.#isDisabled("progressNeverLower")
      ? progress.configOffset
      : Math.max(known.configOffset, progress.configOffset);
    known.controlOffset = Math.max(known.controlOffset, progress.controlOffset);
    known.intervalMs = progress.intervalMs ?? known.intervalMs;
    if (progress.leaving) this.#setStatus(known, "leaving");
  }

  /** Judges members by the time of their last answer; forgets those long gone. */
  expire(nowMs: number): void {
    for (const [id, member] of this.#members) {
      const silentMs = nowMs - member.lastHeardMs;
      if (silentMs <= this.getSilenceTimeoutMs(member)) continue;
      if (silentMs > this.#options.forgetAfterMs && !this.#listedIds.has(id)) {
        this.#deleteMember(id);
      } else if (
        member.status === "live" && !this.#isDisabled("silentIsSuspect")
      ) {
        this.#setStatus(member, "suspect");
      }
    }
  }

  /** How long a member may be silent: a few of its own heartbeats, or the setting. */
  getSilenceTimeoutMs(member: { intervalMs: number }): number {
    return Math.max(
      this.#options.silenceMs,
      member.intervalMs * MAX_MISSED_HEARTBEATS,
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
    return this.#members.size + 1 >= this.#options.hubs.minVms;
  }

  /** Whether this VM is a hub of its zone, by rank or because a peer takes it for one. */
  get isHub(): boolean {
    if (!this.hasHubs) return false;
    if (this.#isServing) return true;
    const { self, hubs } = this.#options;
    const zone = self.availabilityZone;
    this.#hubSelection.isSelfSelected ??= isSelectedHub(
      zone,
      this.#listHubCandidates(zone),
      hubs.perZone,
      self.id,
    );
    return this.#hubSelection.isSelfSelected;
  }

  /** A peer has come to take this VM for its hub, or none does any more. */
  setServing(isServing: boolean): void {
    this.#isServing = isServing;
  }

  /** Peers that this VM keeps a link to. */
  pickLinkPeers(): Member[] {
    return this.hasHubs ? this.#pickHubPeers() : this.#pickFullMeshPeers();
  }

  /** The hubs of the own zone; a hub also keeps links to those of each other zone. */
  #pickHubPeers(): Member[] {
    const { self } = this.#options;
    if (!this.isHub) return [...this.#pickZoneHubs(self.availabilityZone)];
    const zones = new Set(
      [...this.#members.values()].map((vm) => vm.availabilityZone),
    );
    return [...zones].flatMap((zone) => this.#pickZoneHubs(zone));
  }

  #pickZoneHubs(zone: string): readonly Member[] {
    const known = this.#hubSelection.byZone.get(zone);
    if (known !== undefined) return known;
    const { perZone } = this.#options.hubs;
    const picked = pickHubs(zone, this.#listHubCandidates(zone), perZone)
      .map((id) => this.#members.get(id))
      .filter((member) => member !== undefined);
    this.#hubSelection.byZone.set(zone, picked);
    return picked;
  }

  #setMember(member: MutableMember): void {
    this.#members.set(member.id, member);
    this.#hubSelection = { byZone: new Map() };
  }

  #deleteMember(id: string): void {
    this.#members.delete(id);
    this.#hubSelection = { byZone: new Map() };
  }

  #setStatus(member: MutableMember, status: MemberStatus): void {
    if (member.status === status) return;
    member.status = status;
    this.#hubSelection = { byZone: new Map() };
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
  #pickFullMeshPeers(): Member[] {
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
      const live = members.filter((member) => member.status === "live");
      const pool = live.length >= linksPerZone ? live : members;
      const ids = pickRendezvous(
        self.id,
        pool.map((member) => member.id),
        linksPerZone,
      );
      picked.push(...pool.filter((member) => ids.includes(member.id)));
    }
    return picked;
  }

  #isDisabled(guard: MembershipGuard): boolean {
    return this.#options.disabledGuards.has(guard);
  }
}

/** Whether all that is known of a live member holds on, but for the time of its last answer. */
function isUnchanged(known: Member, peer: VmIdentity): boolean {
  const { capacity = known.capacity } = peer;
  return known.status !== "suspect" && known.incarnation === peer.incarnation &&
    known.mesh === peer.mesh && known.capacity === capacity &&
    known.availabilityZone === peer.availabilityZone;
}
