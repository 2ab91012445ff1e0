/**
 * Membership view of one entry VM: the other entry VMs and the status of each, which follows from
 * the messages that it sends. The view is pure: each update receives the time.
 *
 * @module
 */
import { pickRendezvous } from "heatherarch-core";
import { type HubCandidate, isSelectedHub, pickHubs } from "./hub_selection.ts";

/** Status of a member. */
export type MemberStatus = "live" | "suspect" | "leaving";

/** One entry VM as this VM sees it. */
export interface Member {
  readonly id: string;
  readonly incarnation: string;
  readonly availabilityZone: string;
  readonly mesh: string;
  readonly status: MemberStatus;
  /** Monotonic time of the last message; -Infinity for a listed VM that has sent none. */
  readonly lastHeardMs: number;
  readonly configOffset: number;
  readonly controlOffset: number;
  /** Interval between the member's heartbeats that it announces, milliseconds; 0 if unknown. */
  readonly intervalMs: number;
  /** Capacity of the member as a hub. A higher value is preferred. */
  readonly capacity: number;
}

/** Identity of a VM, from a list or from the VM itself. */
export interface VmIdentity {
  readonly id: string;
  readonly incarnation: string;
  readonly availabilityZone: string;
  readonly mesh: string;
  readonly capacity?: number;
}

/** Options for links over hubs instead of a full mesh. */
export interface HubOptions {
  /** Minimum number of known VMs, including this one, for which hubs are used. */
  readonly minVms: number;
  readonly perZone: number;
}

/** Safety rules of the view. The proofs disable them one at a time. */
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
  /** A member that has sent nothing for this long is suspect. */
  readonly silenceMs: number;
  /** A silent member that the list does not name is removed after this long. */
  readonly forgetAfterMs?: number;
  /** Number of links to each other availability zone. */
  readonly linksPerZone?: number;
  readonly hubs?: HubOptions;
  readonly disabledGuards?: ReadonlySet<MembershipGuard>;
}

const DEFAULT_FORGET_AFTER_MS = 60_000;
const DEFAULT_LINKS_PER_ZONE = 2;
/** The default is to use no hubs, whatever the size of the fleet. */
const NO_HUBS: HubOptions = { minVms: Infinity, perZone: 2 };
const DEFAULT_CAPACITY = 1;
/** Number of heartbeats that a member may miss before it is suspect. */
const MAX_MISSED_HEARTBEATS = 3;

/** A stored member. It is updated in place, since messages change it about ten times a second. */
type MutableMember = { -readonly [K in keyof Member]: Member[K] };

/**
 * Cached selection of hubs, which depends on the status, availability zone and capacity of the
 * members. Ranking the VMs of a zone for each message took 5 ms of a hub's processor time per
 * second with 20 VMs (`npm run profile`), and that time grows with the square of their number.
 */
interface HubSelection {
  isSelfSelected?: boolean;
  /** Hubs to keep a link to, by availability zone, in rank order. */
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

  /**
   * Records the platform's list or the configured peers. The list is only a hint: it adds members
   * and never removes live ones.
   */
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

  /** Records that a peer sent a message. */
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

  /** Records what a heartbeat states about its sender. */
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

  /** Marks silent members as suspect. Removes those that are silent for long and not listed. */
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

  /** Time for which a member may be silent: the setting, or a few of its heartbeats if longer. */
  getSilenceTimeoutMs(member: { intervalMs: number }): number {
    return Math.max(
      this.#options.silenceMs,
      member.intervalMs * MAX_MISSED_HEARTBEATS,
    );
  }

  /** Lists all known peers. */
  listMembers(): readonly Member[] {
    return [...this.#members.values()];
  }

  /** Lists the ids of the live VMs, including this one, of one availability zone or of all. */
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

  /** Lists the availability zones of all known VMs, this one's included, in alphabetical order. */
  listZones(): string[] {
    const zones = [...this.#members.values()].map((vm) => vm.availabilityZone);
    return [...new Set([this.#options.self.availabilityZone, ...zones])].sort();
  }

  /** Whether links run over hubs. */
  get hasHubs(): boolean {
    return this.#members.size + 1 >= this.#options.hubs.minVms;
  }

  /** Whether this VM is a hub of its zone, by rank or because a peer uses it as one. */
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

  /** Sets whether any peer uses this VM as its hub. */
  setServing(isServing: boolean): void {
    this.#isServing = isServing;
  }

  /** Selects the peers that this VM keeps a link to. */
  pickLinkPeers(): Member[] {
    return this.hasHubs ? this.#pickHubPeers() : this.#pickFullMeshPeers();
  }

  /** Selects the hubs of the VM's own zone. A hub also keeps links to those of each other zone. */
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

  /** Selects all VMs of the VM's own zone and a few of each other zone. */
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

/**
 * Whether a message from `peer` changes only the time of the member's last contact. It changes more
 * if the member is suspect, as that makes it live.
 */
function isUnchanged(known: Member, peer: VmIdentity): boolean {
  const { capacity = known.capacity } = peer;
  return known.status !== "suspect" && known.incarnation === peer.incarnation &&
    known.mesh === peer.mesh && known.capacity === capacity &&
    known.availabilityZone === peer.availabilityZone;
}
