/**
 * Holds the targets of the platform's target list and decides which of them may receive new work.
 * The module has no clock: each update carries the time.
 *
 * @module
 */
import type { Target } from "../model.ts";
import type { KeyedEntry } from "../ports.ts";
import {
  StoreOutageDetector,
  type StoreOutageDetectorOptions,
} from "./store_outage_detector.ts";

/** Options of {@linkcode TargetDirectory}. */
export interface TargetDirectoryOptions extends StoreOutageDetectorOptions {
  /** Accepts updates of earlier incarnations. Only for proofs, which must detect the fault. */
  readonly acceptsEarlierIncarnations?: boolean;
  /** Accepts updates that are older than the known state. Only for proofs as well. */
  readonly acceptsOlderUpdates?: boolean;
}

/** The changes of a directory since a cursor. */
export interface DirectoryChanges {
  /**
   * Whether `entries` lists all targets. Otherwise it lists changes, and removed targets have no
   * value.
   */
  readonly isFull: boolean;
  readonly entries: readonly KeyedEntry<Target>[];
  /** Cursor from which the next changes are listed. */
  readonly cursor: number;
}

/**
 * Time after the list has shown an engine's new role during which notices of that change may still
 * arrive. It covers one list read by the VM that ordered the change, and the 1.5 s for which its
 * peers keep the notice. Such a late notice kept an engine without work for up to 2.2 s after its
 * change.
 */
const LATE_ROLE_CHANGE_MS = 2500;
/** Instances whose latest incarnation is kept, so that late updates of earlier ones are ignored. */
const MAX_INCARNATIONS = 10_000;
/** Incarnations that are kept as having announced that they leave. */
const MAX_ANNOUNCED_LEAVING = 1000;
/** Ids of dropped targets that are kept, in case a copy of the list contains them again. */
const MAX_ENDED = 1000;
/** Changes that are kept for peers. A peer that is further behind receives the whole list. */
const MAX_CHANGES = 512;

/** One incarnation of an instance. */
interface Incarnation {
  readonly id: string;
  readonly startedAtMs: number;
}

/** The known targets, by the id of their incarnation. */
export class TargetDirectory {
  readonly #outages: StoreOutageDetector;
  readonly #acceptsEarlierIncarnations: boolean;
  readonly #acceptsOlderUpdates: boolean;
  readonly #targets = new Map<string, Target>();
  /** Targets that are missing from the list and still used during the grace period. */
  readonly #missing = new Set<string>();
  #validAtMs = -Infinity;
  /** Engines that are changing their role, with the time by which the change must be done. */
  readonly #roleChanges = new Map<
    string,
    { sinceMs: number; untilMs: number }
  >();
  /**
   * Incarnations that announced to this VM or a peer that they leave. The list cannot revoke an
   * announcement.
   */
  readonly #announcedLeaving = new Set<string>();
  /** Number of incarnations that were evicted from the start of that set. */
  #announcedLeavingStart = 0;
  readonly #leavingListeners = new Set<() => void>();
  /** Time at which the list last showed an engine in a new role. */
  readonly #roleListedAtMs = new Map<string, number>();
  /** Latest known incarnation of each instance. */
  readonly #latest = new Map<string, Incarnation>();
  /** Dropped targets that were not listed again. */
  readonly #ended = new Set<string>();
  /** Ids of dropped targets that {@linkcode takeDropped} has not returned yet. */
  #dropped: string[] = [];
  readonly #changeLog: KeyedEntry<Target>[] = [];
  #changeLogStart = 0;
  #byService = new Map<string, readonly Target[]>();
  #leavingByService = new Map<string, readonly Target[]>();

  constructor(options: TargetDirectoryOptions = {}) {
    this.#outages = new StoreOutageDetector(options);
    this.#acceptsEarlierIncarnations = options.acceptsEarlierIncarnations ??
      false;
    this.#acceptsOlderUpdates = options.acceptsOlderUpdates ?? false;
  }

  /** Latest monotonic time at which the known state was valid; -Infinity before the first list. */
  get validAtMs(): number {
    return this.#validAtMs;
  }

  /**
   * Records that this VM's own read failed, as the store may be unavailable. Returns whether its
   * previous read had not failed.
   */
  recordReadFailure(): boolean {
    return this.#outages.recordOwnFailure();
  }

  /** Records that a peer read the list from the store at `atMs` of this VM's clock. */
  recordPeerRead(atMs: number): void {
    this.#outages.recordPeerRead(atMs);
  }

  /** Replaces the whole list with one that was requested at `requestedAtMs`. */
  applyList(
    entries: readonly KeyedEntry<Target>[],
    nowMs: number,
    requestedAtMs = nowMs,
  ): void {
    this.#recordOwnRead(nowMs, requestedAtMs);
    const listed = new Set<string>();
    for (const { key, value, isUnreadable } of entries) {
      if (isUnreadable) this.#drop(this.#resolveId(key));
      if (value === undefined) continue;
      listed.add(value.id);
      this.#applyTarget(value, nowMs);
    }
    for (const id of this.#targets.keys()) {
      if (!listed.has(id)) this.#remove(id, nowMs);
    }
    this.#rebuildIndex();
  }

  /**
   * Replaces the whole list with one of a store that came back from a copy. Targets write their
   * entries again soon. Until then, those that the copy lacks stay in use, and those that have ended
   * since the copy was made don't come back.
   */
  applyRestoredList(
    entries: readonly KeyedEntry<Target>[],
    nowMs: number,
    requestedAtMs = nowMs,
  ): void {
    this.#outages.recordRestoration(nowMs);
    // The copy can't revoke an announcement, and peers may read it first.
    for (const { id, leaving } of this.listAll()) {
      if (leaving) this.markLeaving(id);
    }
    const current = entries.filter(({ key, value }) =>
      !this.#ended.has(value?.id ?? key)
    );
    this.applyList(current, nowMs, requestedAtMs);
  }

  /** Applies later records in their order. They were requested at `requestedAtMs`. */
  applyChanges(
    entries: readonly KeyedEntry<Target>[],
    nowMs: number,
    requestedAtMs = nowMs,
  ): void {
    this.#recordOwnRead(nowMs, requestedAtMs);
    let isChanged = false;
    for (const { key, value, isUnreadable } of entries) {
      if (value === undefined) {
        const id = this.#resolveId(key);
        const isRemoved = isUnreadable
          ? this.#drop(id)
          : this.#remove(id, nowMs);
        isChanged = isRemoved || isChanged;
      } else isChanged = this.#applyTarget(value, nowMs) || isChanged;
    }
    if (isChanged) this.#rebuildIndex();
  }

  /**
   * Applies a peer's copy of the list, read at `atMs` of this VM's clock. The peer has already
   * decided which entries expired in an outage, so no missing target is kept here. A copy that is
   * older than the known state is rejected, as it would undo what a target has announced since. It
   * may still contain new entries, because its time is that of a request, so `FeedSource` requests
   * the whole list.
   */
  applyFeed(
    entries: readonly KeyedEntry<Target>[],
    isFull: boolean,
    atMs: number,
  ): void {
    if (atMs < this.#validAtMs && !this.#acceptsOlderUpdates) return;
    if (atMs > this.#validAtMs) this.#recordOwnRead(atMs, atMs);
    this.#missing.clear();
    const listed = new Set<string>();
    for (const { key, value } of entries) {
      if (value === undefined) this.#drop(this.#resolveId(key));
      else this.#applyTarget(value, atMs);
      listed.add(value?.id ?? key);
    }
    for (const id of isFull ? [...this.#targets.keys()] : []) {
      if (!listed.has(id)) this.#drop(id);
    }
    this.#rebuildIndex();
  }

  /** Returns and clears the ids of dropped targets. Everything learned about them is obsolete. */
  takeDropped(): string[] {
    const dropped = this.#dropped;
    this.#dropped = [];
    return dropped;
  }

  /** Lists the changes from `cursor` on, or all targets if it is undefined or too old. */
  listChanges(cursor: number | undefined): DirectoryChanges {
    const end = this.#changeLogStart + this.#changeLog.length;
    if (cursor !== undefined && cursor >= this.#changeLogStart) {
      const entries = this.#changeLog.slice(cursor - this.#changeLogStart);
      return { isFull: false, entries, cursor: end };
    }
    const entries = this.listAll().map((value) => ({ key: value.id, value }));
    return { isFull: true, entries, cursor: end };
  }

  /** Drops missing targets whose grace period has ended and returns their ids. */
  dropExpired(nowMs: number): string[] {
    if (this.#missing.size === 0 || this.#outages.isInGrace(nowMs)) return [];
    const expired = this.listMissing();
    for (const id of expired) this.#drop(id);
    this.#rebuildIndex();
    return expired;
  }

  /** Drops `id`, as its address was found to belong to another incarnation. */
  markReplaced(id: string): void {
    if (this.#drop(id)) this.#rebuildIndex();
  }

  /**
   * Records that an incarnation announced in a response, to this VM or a peer, that it leaves. It
   * receives no more work, regardless of the list. Returns whether the announcement is new.
   */
  markLeaving(id: string): boolean {
    if (this.#announcedLeaving.has(id)) return false;
    this.#announcedLeaving.add(id);
    const [oldest] = this.#announcedLeaving;
    if (this.#announcedLeaving.size > MAX_ANNOUNCED_LEAVING) {
      this.#announcedLeaving.delete(oldest);
      this.#announcedLeavingStart++;
    }
    const target = this.#targets.get(id);
    if (target !== undefined) {
      this.#storeTarget({ ...target, leaving: true });
      this.#rebuildIndex();
    }
    for (const listener of [...this.#leavingListeners]) listener();
    return true;
  }

  /** Lists the incarnations that announced leaving, from `cursor` on, and the next cursor. */
  listAnnouncedLeaving(
    cursor = 0,
  ): { readonly targetIds: string[]; readonly cursor: number } {
    const end = this.#announcedLeavingStart + this.#announcedLeaving.size;
    if (cursor >= end) return { targetIds: [], cursor: end };
    const from = Math.max(0, cursor - this.#announcedLeavingStart);
    return { targetIds: [...this.#announcedLeaving].slice(from), cursor: end };
  }

  /** Whether a target leaves, according to its own announcement or the list. */
  isLeaving(id: string): boolean {
    return this.#announcedLeaving.has(id) ||
      this.#targets.get(id)?.leaving === true;
  }

  /** Registers a listener for leaving announcements and returns a function that removes it. */
  registerLeavingListener(listener: () => void): () => void {
    this.#leavingListeners.add(listener);
    return () => {
      this.#leavingListeners.delete(listener);
    };
  }

  /**
   * Records that an engine was ordered to change its role. It takes no work until the list shows the
   * new role or `untilMs` has passed. A late notice of a change that the list has just shown is
   * ignored.
   */
  markChangingRole(id: string, untilMs: number, nowMs: number): void {
    const listedAtMs = this.#roleListedAtMs.get(id) ?? -Infinity;
    if (nowMs - listedAtMs < LATE_ROLE_CHANGE_MS) return;
    const sinceMs = this.findRoleChangeStartMs(id, nowMs) ?? nowMs;
    this.#roleChanges.set(id, { sinceMs, untilMs });
  }

  /** Monotonic time at which the role change in progress at an engine became known. */
  findRoleChangeStartMs(id: string, nowMs: number): number | undefined {
    return this.hasRoleChange(id, nowMs)
      ? this.#roleChanges.get(id)?.sinceMs
      : undefined;
  }

  /** Lists the engines that are changing their role. */
  listChangingRole(nowMs: number): string[] {
    return [...this.#roleChanges.keys()]
      .filter((id) => this.hasRoleChange(id, nowMs));
  }

  /** Whether an engine is changing its role, so that it may get no work. */
  hasRoleChange(id: string, nowMs: number): boolean {
    const change = this.#roleChanges.get(id);
    if (change === undefined) return false;
    if (nowMs < change.untilMs) return true;
    this.#roleChanges.delete(id);
    return false;
  }

  /** Whether the target of this list key is still used although the list no longer contains it. */
  isMissing(key: string): boolean {
    return this.#missing.has(this.#resolveId(key));
  }

  /** Lists the targets that are still used although the list no longer contains them. */
  listMissing(): string[] {
    return [...this.#missing];
  }

  /** Finds a known target, also one that leaves or is missing from the list. */
  findTarget(id: string): Target | undefined {
    return this.#targets.get(id);
  }

  /** Lists the targets of a service that may receive new work. */
  listServing(service: string): readonly Target[] {
    return this.#byService.get(service) ?? [];
  }

  /** Lists the targets of a service that are leaving and have not left yet. */
  listLeaving(service: string): readonly Target[] {
    return this.#leavingByService.get(service) ?? [];
  }

  /** Lists all known targets, including those that leave or are missing from the list. */
  listAll(): Target[] {
    return [...this.#targets.values()];
  }

  /** Number of all known targets. */
  get size(): number {
    return this.#targets.size;
  }

  #recordOwnRead(nowMs: number, requestedAtMs: number): void {
    this.#outages.recordOwnRead(nowMs);
    this.#validAtMs = Math.max(this.#validAtMs, requestedAtMs);
  }

  /** Returns whether the directory changed. */
  #applyTarget(listed: Target, nowMs: number): boolean {
    const { id } = listed;
    if (!this.#beginIncarnation(listed)) return false;
    const target = this.#announcedLeaving.has(id)
      ? { ...listed, leaving: true }
      : listed;
    const before = this.#targets.get(id);
    this.#missing.delete(id);
    this.#ended.delete(id);
    if (before !== undefined && hasSameListing(before, target)) return false;
    if (before?.role !== target.role) {
      this.#roleChanges.delete(id);
      if (before !== undefined) this.#roleListedAtMs.set(id, nowMs);
    }
    this.#storeTarget(target);
    return true;
  }

  #storeTarget(target: Target): void {
    this.#targets.set(target.id, target);
    this.#logChange({ key: target.id, value: target });
  }

  /** Ends an earlier incarnation of the instance. Returns false if the target itself is earlier. */
  #beginIncarnation(
    { id, instance = id, startedAtMs = -Infinity }: Target,
  ): boolean {
    const known = this.#latest.get(instance);
    if (known?.id === id) return true;
    const isEarlier = known !== undefined && startedAtMs < known.startedAtMs;
    if (isEarlier && !this.#acceptsEarlierIncarnations) return false;
    if (known !== undefined) this.#drop(known.id);
    this.#latest.delete(instance);
    this.#latest.set(instance, { id, startedAtMs });
    const [oldest] = this.#latest.keys();
    if (this.#latest.size > MAX_INCARNATIONS) this.#latest.delete(oldest);
    return true;
  }

  /** Resolves an entry's key to an incarnation: the key itself, or its instance's latest one. */
  #resolveId(key: string): string {
    return this.#targets.has(key) ? key : this.#latest.get(key)?.id ?? key;
  }

  #remove(id: string, nowMs: number): boolean {
    const target = this.#targets.get(id);
    if (target === undefined) return false;
    if (!target.leaving && this.#outages.isInGrace(nowMs)) {
      this.#missing.add(id);
      return false;
    }
    return this.#drop(id);
  }

  /** Returns whether the target existed. */
  #drop(id: string): boolean {
    this.#missing.delete(id);
    this.#roleListedAtMs.delete(id);
    if (!this.#targets.delete(id)) return false;
    this.#roleChanges.delete(id);
    this.#dropped.push(id);
    this.#recordEnd(id);
    this.#logChange({ key: id });
    return true;
  }

  #recordEnd(id: string): void {
    this.#ended.delete(id);
    this.#ended.add(id);
    const [oldest] = this.#ended;
    if (this.#ended.size > MAX_ENDED) this.#ended.delete(oldest);
  }

  #logChange(change: KeyedEntry<Target>): void {
    this.#changeLog.push(change);
    if (this.#changeLog.length <= MAX_CHANGES) return;
    this.#changeLog.shift();
    this.#changeLogStart++;
  }

  #rebuildIndex(): void {
    const targets = [...this.#targets.values()];
    this.#byService = groupByService(targets.filter(({ leaving }) => !leaving));
    this.#leavingByService = groupByService(
      targets.filter(({ leaving }) => leaving),
    );
  }
}

function groupByService(targets: readonly Target[]): Map<string, Target[]> {
  const groups = new Map<string, Target[]>();
  for (const target of targets) {
    const group = groups.get(target.service) ?? [];
    group.push(target);
    groups.set(target.service, group);
  }
  return groups;
}

function hasSameListing(a: Target, b: Target): boolean {
  return a.address === b.address && a.service === b.service &&
    a.leaving === b.leaving && a.role === b.role && a.slots === b.slots &&
    a.availabilityZone === b.availabilityZone &&
    a.softwareVersion === b.softwareVersion;
}
