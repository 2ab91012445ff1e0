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
export type HoldState = "reading" | "read";

/** Key of a beginning, id of an engine, and whether it has been read (1) or is being read (0). */
export type PromptNote = readonly [string, string, number];

/** An engine that holds a beginning, or will soon. */
export interface Holder {
  readonly target: string;
  readonly state: HoldState;
  /** Monotonic time of its last known use. */
  readonly usedAtMs: number;
}

/** Options of {@linkcode PromptIndex}. */
export interface PromptIndexOptions {
  /** Beginnings that are remembered; the ones noted longest ago are forgotten first. */
  readonly maxKeys?: number;
}

/** Twenty times the beginnings of the users' sheets, at some 100 bytes each. */
const DEFAULT_MAX_KEYS = 8192;
/** Engines remembered for one beginning; a copy beyond saves no wait. */
const MAX_HOLDERS = 6;
/** A use is told again after this time: engines keep a beginning for ten times as long. */
const TELL_AGAIN_MS = 1000;

/** Holders of prompt beginnings. */
export class PromptIndex {
  readonly #maxKeys: number;
  readonly #holders = new Map<string, readonly Holder[]>();
  /** Notes in the order in which they became known, for peers. */
  readonly #journal: PromptNote[] = [];
  #journalStart = 0;

  constructor(options: PromptIndexOptions = {}) {
    this.#maxKeys = options.maxKeys ?? DEFAULT_MAX_KEYS;
  }

  /** An engine reads, or has read, the beginning, on this VM's order. */
  noteHolder(
    key: string,
    target: string,
    state: HoldState,
    nowMs: number,
  ): void {
    if (!this.#add(key, target, state, nowMs)) return;
    this.#journal.push([key, target, state === "read" ? 1 : 0]);
    if (this.#journal.length > this.#maxKeys) {
      this.#journal.shift();
      this.#journalStart++;
    }
  }

  /** Takes in what a peer had read. */
  notePeer(notes: readonly PromptNote[], nowMs: number): void {
    for (const [key, target, isRead] of notes) {
      this.#add(key, target, isRead === 1 ? "read" : "reading", nowMs);
    }
  }

  /** Whether any beginning is known to be held by an engine. */
  hasNotesOf(target: string): boolean {
    for (const holders of this.#holders.values()) {
      if (holders.some((holder) => holder.target === target)) return true;
    }
    return false;
  }

  /** Holders of the beginning, the last used one last; those that have gone may be among them. */
  listHolders(key: string): readonly Holder[] {
    return this.#holders.get(key) ?? [];
  }

  /** An engine has lost its cache, or has gone. */
  forgetTarget(target: string): void {
    for (const key of [...this.#holders.keys()]) this.forgetHolder(key, target);
  }

  /** An engine turned out not to hold a beginning. */
  forgetHolder(key: string, target: string): void {
    const holders = this.listHolders(key);
    const left = holders.filter((holder) => holder.target !== target);
    if (left.length === 0) this.#holders.delete(key);
    else if (left.length < holders.length) this.#holders.set(key, left);
  }

  /** Own notes from `cursor` on, and the cursor behind them; 0 is the beginning. */
  listNotes(cursor: number): { notes: PromptNote[]; cursor: number } {
    const from = Math.max(0, cursor - this.#journalStart);
    return {
      notes: this.#journal.slice(from),
      cursor: this.#journalStart + this.#journal.length,
    };
  }

  /** Returns whether this is worth telling to peers. */
  #add(
    key: string,
    target: string,
    state: HoldState,
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
