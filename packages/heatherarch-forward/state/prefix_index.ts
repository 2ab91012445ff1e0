/**
 * Which engines hold which shared prompt beginnings, as far as the VMs have had them read.
 * Pure: time comes in with each update.
 *
 * Engines publish their cache events late and with gaps, and each poll is paid for. The VMs
 * know where they had a beginning read, and tell each other once per beginning and engine.
 *
 * @module
 */

/** How an engine holds a beginning: it is being read there, or has been. */
export type HolderState = "reading" | "read";

/** Key of a beginning, id of an engine, and whether it has been read (1) or is being read (0). */
export type PrefixUpdate = readonly [string, string, number];

/**
 * From where a note came: this VM, a VM of its zone, or further away. A hub passes on to VMs of
 * its zone what came from anywhere, to other zones what came from its own.
 */
export type UpdateScope = "own" | "zone" | "fleet";

/** An engine that holds a beginning, or will soon. */
export interface PrefixHolder {
  readonly target: string;
  readonly state: HolderState;
  /** Monotonic time of its last known use. */
  readonly usedAtMs: number;
}

/** Options of {@linkcode PrefixIndex}. */
export interface PrefixIndexOptions {
  /** Beginnings that are remembered; the ones noted longest ago are forgotten first. */
  readonly maxKeys?: number;
}

/** Twenty times the beginnings of the users' sheets, at some 100 bytes each. */
const DEFAULT_MAX_KEYS = 8192;
/** Engines remembered for one beginning; a copy beyond saves no wait. */
const MAX_HOLDERS = 6;
/** A use is told again after this time: engines keep a beginning for ten times as long. */
const TELL_AGAIN_MS = 1000;
/** Key of a note that says that the engine was asked for all that it keeps. */
const SURVEY_KEY = "";
const SCOPES: readonly UpdateScope[] = ["own", "zone", "fleet"];
/**
 * Notes told at once at most: some 75 KB, a tenth of a second on the slowest links of the users'
 * sheets. What is older has mostly been told again since.
 */
const MAX_NOTES_TOLD = 3000;

interface JournalEntry {
  readonly note: PrefixUpdate;
  readonly scope: UpdateScope;
}

/** Holders of prompt beginnings. */
export class PrefixIndex {
  readonly #maxKeys: number;
  readonly #holders = new Map<string, readonly PrefixHolder[]>();
  /** Notes in the order in which they became known, for peers. */
  readonly #journal: JournalEntry[] = [];
  readonly #surveyed = new Set<string>();
  #journalStart = 0;

  constructor(options: PrefixIndexOptions = {}) {
    this.#maxKeys = options.maxKeys ?? DEFAULT_MAX_KEYS;
  }

  /** An engine reads, or has read, the beginning, on this VM's order. */
  recordHolder(
    key: string,
    target: string,
    state: HolderState,
    nowMs: number,
  ): void {
    if (!this.#add(key, target, state, nowMs)) return;
    this.#record([key, target, state === "read" ? 1 : 0], "own");
  }

  /** Takes in what a peer had read; with a scope it is passed on. */
  applyPeerUpdates(
    notes: readonly PrefixUpdate[],
    nowMs: number,
    passOn?: Exclude<UpdateScope, "own">,
  ): void {
    for (const note of notes) {
      if (!this.#takeNote(note, nowMs)) continue;
      if (passOn !== undefined) this.#record(note, passOn);
    }
  }

  /** This VM has asked an engine for all that it keeps. */
  markSurveyed(target: string): void {
    if (this.#surveyed.has(target)) return;
    this.#surveyed.add(target);
    this.#record([SURVEY_KEY, target, 1], "own");
  }

  /** Whether some VM has asked the engine for all that it keeps. */
  isSurveyed(target: string): boolean {
    return this.#surveyed.has(target);
  }

  /** Holders of the beginning, the last used one last; those that have gone may be among them. */
  listHolders(key: string): readonly PrefixHolder[] {
    return this.#holders.get(key) ?? [];
  }

  /** An engine has lost its cache, or has gone. */
  forgetTarget(target: string): void {
    this.#surveyed.delete(target);
    for (const key of [...this.#holders.keys()]) this.forgetHolder(key, target);
  }

  /** An engine turned out not to hold a beginning. */
  forgetHolder(key: string, target: string): void {
    const holders = this.listHolders(key);
    const left = holders.filter((holder) => holder.target !== target);
    if (left.length === 0) this.#holders.delete(key);
    else if (left.length < holders.length) this.#holders.set(key, left);
  }

  /**
   * Notes from `cursor` on of up to `scope`, and the cursor behind them; 0 is the beginning. Of
   * many only the newest are listed.
   */
  listUpdates(
    cursor: number,
    scope: UpdateScope = "own",
  ): { updates: PrefixUpdate[]; cursor: number } {
    const end = this.#journalStart + this.#journal.length;
    const from = Math.max(0, cursor - this.#journalStart);
    const most = SCOPES.indexOf(scope);
    const notes = this.#journal.slice(from)
      .filter((entry) => SCOPES.indexOf(entry.scope) <= most)
      .map((entry) => entry.note);
    const newest = notes.slice(-MAX_NOTES_TOLD);
    const marks = cursor === 0 ? this.#listSurveyed() : [];
    return { updates: [...marks, ...newest], cursor: end };
  }

  #listSurveyed(): PrefixUpdate[] {
    return [...this.#surveyed].map((target) => [SURVEY_KEY, target, 1]);
  }

  /** Returns whether the note is worth passing on. */
  #takeNote([key, target, isRead]: PrefixUpdate, nowMs: number): boolean {
    if (key !== SURVEY_KEY) {
      return this.#add(key, target, isRead === 1 ? "read" : "reading", nowMs);
    }
    if (this.#surveyed.has(target)) return false;
    this.#surveyed.add(target);
    return true;
  }

  #record(note: PrefixUpdate, scope: UpdateScope): void {
    this.#journal.push({ note, scope });
    if (this.#journal.length <= this.#maxKeys) return;
    this.#journal.shift();
    this.#journalStart++;
  }

  /** Returns whether this is worth telling to peers. */
  #add(
    key: string,
    target: string,
    state: HolderState,
    nowMs: number,
  ): boolean {
    const holders = this.listHolders(key);
    const known = holders.find((holder) => holder.target === target);
    const isSame = known !== undefined &&
      (known.state === "read" || known.state === state);
    if (isSame && nowMs - known.usedAtMs < TELL_AGAIN_MS) return false;
    const holder = { target, state: known?.state ?? state, usedAtMs: nowMs };
    if (state === "read") holder.state = "read";
    const others = holders.filter((other) => other.target !== target);
    this.#holders.delete(key);
    this.#holders.set(key, [...others, holder].slice(-MAX_HOLDERS));
    if (this.#holders.size > this.#maxKeys) this.#dropOldest();
    return true;
  }

  #dropOldest(): void {
    const [oldest] = this.#holders.keys();
    this.#holders.delete(oldest);
  }
}
