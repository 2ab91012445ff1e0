/**
 * The targets that the platform's list names, and which of them may get new work. Pure: time
 * comes in with each update.
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
  /** Whether word of an earlier life counts; only for proofs, which must notice it. */
  readonly acceptsEarlierIncarnations?: boolean;
  /** Whether word counts that is older than what is known; only for proofs as well. */
  readonly acceptsOlderUpdates?: boolean;
}

/** What changed in a directory since some point. */
export interface DirectoryChanges {
  /** The entries are all targets; otherwise they are what changed, without value what has gone. */
  readonly isFull: boolean;
  readonly entries: readonly KeyedEntry<Target>[];
  /** Where the next changes begin. */
  readonly cursor: number;
}

/**
 * Time after the list has shown an engine's new role in which marks of that change may still be
 * heard, milliseconds: a reading of the list by the VM that gave the order, and the 1.5 s for which
 * its peers keep a mark. Such a mark kept an engine without work for up to 2.2 s after its change.
 */
const LATE_MARK_MS = 2500;
/** Instances whose latest life is remembered, so that late word of an earlier one is none. */
const MAX_LIVES = 10_000;
/** Lives that are remembered to have said that they leave. */
const MAX_SAID_LEAVING = 1000;
/** Changes that are remembered for peers; one that is further behind is given the whole list. */
const MAX_CHANGES = 512;

/** The latest known life of an instance. */
interface Life {
  readonly id: string;
  readonly startedAtMs: number;
}

/** Targets by the id of their life. */
export class TargetDirectory {
  readonly #outages: StoreOutageDetector;
  readonly #takesEarlierLives: boolean;
  readonly #takesOlderWord: boolean;
  readonly #targets = new Map<string, Target>();
  /** Missing entries that are still used while the grace lasts. */
  readonly #missing = new Set<string>();
  #holdsAtMs = -Infinity;
  /** Engines that are changing their role, with the end of the time it may take. */
  readonly #changing = new Map<string, { sinceMs: number; untilMs: number }>();
  /** Lives that said themselves, or to a peer, that they leave: the list can't take that back. */
  readonly #saidLeaving = new Set<string>();
  /** Lives that were forgotten from that set's beginning. */
  #saidForgotten = 0;
  readonly #leavingListeners = new Set<() => void>();
  /** When the list showed an engine in another role than before. */
  readonly #roleShownAtMs = new Map<string, number>();
  readonly #lives = new Map<string, Life>();
  /** Ids of targets that were dropped and not yet taken by {@linkcode takeDropped}. */
  #dropped: string[] = [];
  readonly #changes: KeyedEntry<Target>[] = [];
  #changesStart = 0;
  #byService = new Map<string, readonly Target[]>();

  constructor(options: TargetDirectoryOptions = {}) {
    this.#outages = new StoreOutageDetector(options);
    this.#takesEarlierLives = options.acceptsEarlierIncarnations ?? false;
    this.#takesOlderWord = options.acceptsOlderUpdates ?? false;
  }

  /** Latest monotonic time for which all that is known holds; -Infinity before the first list. */
  get validAtMs(): number {
    return this.#holdsAtMs;
  }

  /** This VM's own reading failed: the store may be away. Returns whether that is news. */
  recordReadFailure(): boolean {
    return this.#outages.recordOwnFailure();
  }

  /** A peer has read the list from the store at `atMs` of this VM's clock. */
  recordPeerRead(atMs: number): void {
    this.#outages.recordPeerRead(atMs);
  }

  /** Replaces the whole list by one just loaded, which was asked for at `askedAtMs`. */
  applyList(
    entries: readonly KeyedEntry<Target>[],
    nowMs: number,
    askedAtMs = nowMs,
  ): void {
    this.#noteOwnRead(nowMs, askedAtMs);
    const listed = new Set<string>();
    for (const { key, value, isUnreadable } of entries) {
      if (isUnreadable) this.#drop(this.#findLife(key));
      if (value === undefined) continue;
      listed.add(value.id);
      this.#set(value, nowMs);
    }
    for (const id of this.#targets.keys()) {
      if (!listed.has(id)) this.#remove(id, nowMs);
    }
    this.#index();
  }

  /** Applies later records in their order, which were asked for at `askedAtMs`. */
  applyChanges(
    entries: readonly KeyedEntry<Target>[],
    nowMs: number,
    askedAtMs = nowMs,
  ): void {
    this.#noteOwnRead(nowMs, askedAtMs);
    let isChanged = false;
    for (const { key, value, isUnreadable } of entries) {
      if (value === undefined) {
        const id = this.#findLife(key);
        const isGone = isUnreadable ? this.#drop(id) : this.#remove(id, nowMs);
        isChanged = isGone || isChanged;
      } else isChanged = this.#set(value, nowMs) || isChanged;
    }
    if (isChanged) this.#index();
  }

  /**
   * Takes in what a peer knows of the list, read at `atMs` of this VM's clock. The peer has judged
   * what lapsed during an outage; nothing is kept beyond its word. Word that is dated before what
   * is known here would undo what a target has said since, so it is refused. It may hold news all
   * the same, since its date is that of a request: whoever took it asks for the whole list.
   */
  applyFeed(
    entries: readonly KeyedEntry<Target>[],
    isFull: boolean,
    atMs: number,
  ): void {
    if (atMs < this.#holdsAtMs && !this.#takesOlderWord) return;
    if (atMs > this.#holdsAtMs) this.#noteOwnRead(atMs, atMs);
    this.#missing.clear();
    const listed = new Set<string>();
    for (const { key, value } of entries) {
      if (value === undefined) this.#drop(this.#findLife(key));
      else this.#set(value, atMs);
      listed.add(value?.id ?? key);
    }
    for (const id of isFull ? [...this.#targets.keys()] : []) {
      if (!listed.has(id)) this.#drop(id);
    }
    this.#index();
  }

  /** Ids of targets that were dropped since the last time: nothing learned of them holds. */
  takeDropped(): string[] {
    const dropped = this.#dropped;
    this.#dropped = [];
    return dropped;
  }

  /** What changed from `cursor` on; all targets without one, or where that is too long ago. */
  listChanges(cursor: number | undefined): DirectoryChanges {
    const end = this.#changesStart + this.#changes.length;
    if (cursor !== undefined && cursor >= this.#changesStart) {
      const entries = this.#changes.slice(cursor - this.#changesStart);
      return { isFull: false, entries, cursor: end };
    }
    const entries = this.listAll().map((value) => ({ key: value.id, value }));
    return { isFull: true, entries, cursor: end };
  }

  /** Drops missing entries whose grace has ended; returns their ids. */
  dropExpired(nowMs: number): string[] {
    if (this.#missing.size === 0 || this.#outages.isInGrace(nowMs)) return [];
    const gone = this.listMissing();
    for (const id of gone) this.#drop(id);
    this.#index();
    return gone;
  }

  /** The address of `id` was found to belong to another incarnation. */
  markReplaced(id: string): void {
    if (this.#drop(id)) this.#index();
  }

  /**
   * A life of a target has said in an answer, to this VM or a peer, that it leaves. Whatever the
   * list says, it gets no more work. Returns whether that is news.
   */
  markLeaving(id: string): boolean {
    if (this.#saidLeaving.has(id)) return false;
    this.#saidLeaving.add(id);
    const [oldest] = this.#saidLeaving;
    if (this.#saidLeaving.size > MAX_SAID_LEAVING) {
      this.#saidLeaving.delete(oldest);
      this.#saidForgotten++;
    }
    const target = this.#targets.get(id);
    if (target !== undefined) {
      this.#put({ ...target, leaving: true });
      this.#index();
    }
    for (const listener of [...this.#leavingListeners]) listener();
    return true;
  }

  /** Lives that have said that they leave, from `cursor` on, and the cursor behind them. */
  listAnnouncedLeaving(
    cursor = 0,
  ): { readonly targetIds: string[]; readonly cursor: number } {
    const end = this.#saidForgotten + this.#saidLeaving.size;
    if (cursor >= end) return { targetIds: [], cursor: end };
    const from = Math.max(0, cursor - this.#saidForgotten);
    return { targetIds: [...this.#saidLeaving].slice(from), cursor: end };
  }

  /** Whether a target leaves, by its own word or the list's. */
  isLeaving(id: string): boolean {
    return this.#saidLeaving.has(id) || this.#targets.get(id)?.leaving === true;
  }

  /** Registers a listener for lives that say that they leave and returns its undo. */
  registerLeavingListener(listener: () => void): () => void {
    this.#leavingListeners.add(listener);
    return () => {
      this.#leavingListeners.delete(listener);
    };
  }

  /**
   * An engine was ordered to change its role: it takes no work for a while. A mark of a change
   * that the list has just shown comes late and changes nothing.
   */
  markChangingRole(id: string, untilMs: number, nowMs: number): void {
    const shownAtMs = this.#roleShownAtMs.get(id) ?? -Infinity;
    if (nowMs - shownAtMs < LATE_MARK_MS) return;
    const sinceMs = this.findRoleChangeStartMs(id, nowMs) ?? nowMs;
    this.#changing.set(id, { sinceMs, untilMs });
  }

  /** Monotonic time at which an engine that is changing its role was first known to do so. */
  findRoleChangeStartMs(id: string, nowMs: number): number | undefined {
    return this.hasRoleChange(id, nowMs)
      ? this.#changing.get(id)?.sinceMs
      : undefined;
  }

  /** Engines that are changing their role. */
  listChangingRole(nowMs: number): string[] {
    return [...this.#changing.keys()]
      .filter((id) => this.hasRoleChange(id, nowMs));
  }

  hasRoleChange(id: string, nowMs: number): boolean {
    const change = this.#changing.get(id);
    if (change === undefined) return false;
    if (nowMs < change.untilMs) return true;
    this.#changing.delete(id);
    return false;
  }

  /** Whether a target is used although the list names it no more; by the key of its entry. */
  isMissing(key: string): boolean {
    return this.#missing.has(this.#findLife(key));
  }

  /** Targets that are used although the list names them no more. */
  listMissing(): string[] {
    return [...this.#missing];
  }

  findTarget(id: string): Target | undefined {
    return this.#targets.get(id);
  }

  /** Targets of a service that may get new work. */
  listServing(service: string): readonly Target[] {
    return this.#byService.get(service) ?? [];
  }

  listAll(): Target[] {
    return [...this.#targets.values()];
  }

  get size(): number {
    return this.#targets.size;
  }

  #noteOwnRead(nowMs: number, askedAtMs: number): void {
    this.#outages.recordOwnRead(nowMs);
    this.#holdsAtMs = Math.max(this.#holdsAtMs, askedAtMs);
  }

  /** Returns whether anything that matters to a caller changed. */
  #set(listed: Target, nowMs: number): boolean {
    const { id } = listed;
    if (!this.#beginLife(listed)) return false;
    const target = this.#saidLeaving.has(id)
      ? { ...listed, leaving: true }
      : listed;
    const before = this.#targets.get(id);
    this.#missing.delete(id);
    if (before !== undefined && isSame(before, target)) return false;
    if (before?.role !== target.role) {
      this.#changing.delete(id);
      if (before !== undefined) this.#roleShownAtMs.set(id, nowMs);
    }
    this.#put(target);
    return true;
  }

  #put(target: Target): void {
    this.#targets.set(target.id, target);
    this.#record({ key: target.id, value: target });
  }

  /** Ends an earlier life of the target's instance; false where the target is the earlier one. */
  #beginLife({ id, instance = id, startedAtMs = -Infinity }: Target): boolean {
    const known = this.#lives.get(instance);
    if (known?.id === id) return true;
    const isEarlier = known !== undefined && startedAtMs < known.startedAtMs;
    if (isEarlier && !this.#takesEarlierLives) return false;
    if (known !== undefined) this.#drop(known.id);
    this.#lives.delete(instance);
    this.#lives.set(instance, { id, startedAtMs });
    const [oldest] = this.#lives.keys();
    if (this.#lives.size > MAX_LIVES) this.#lives.delete(oldest);
    return true;
  }

  /** The life that an entry's key names: its instance's latest, or the life itself. */
  #findLife(key: string): string {
    return this.#targets.has(key) ? key : this.#lives.get(key)?.id ?? key;
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

  /** Returns whether there was such a target. */
  #drop(id: string): boolean {
    this.#missing.delete(id);
    this.#roleShownAtMs.delete(id);
    if (!this.#targets.delete(id)) return false;
    this.#changing.delete(id);
    this.#dropped.push(id);
    this.#record({ key: id });
    return true;
  }

  #record(change: KeyedEntry<Target>): void {
    this.#changes.push(change);
    if (this.#changes.length <= MAX_CHANGES) return;
    this.#changes.shift();
    this.#changesStart++;
  }

  #index(): void {
    const index = new Map<string, Target[]>();
    for (const target of this.#targets.values()) {
      if (target.leaving) continue;
      const list = index.get(target.service) ?? [];
      list.push(target);
      index.set(target.service, list);
    }
    this.#byService = index;
  }
}

function isSame(a: Target, b: Target): boolean {
  return a.address === b.address && a.service === b.service &&
    a.leaving === b.leaving && a.role === b.role && a.slots === b.slots &&
    a.availabilityZone === b.availabilityZone;
}
