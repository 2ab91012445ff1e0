/**
 * Which engines hold which shared prompt beginnings, as far as the VMs have had them read.
 * Pure: time comes in with each update.
 *
 * Engines publish their cache events late and with gaps, and each poll is paid for. The VMs
 * know where they had a beginning read, and tell each other once per beginning and engine.
 *
 * @module
 */

/** A beginning was read by an engine: key of the beginning, id of the engine. */
export type PromptNote = readonly [string, string];

/** Options of {@linkcode PromptIndex}. */
export interface PromptIndexOptions {
  /** Beginnings that are remembered; the ones noted longest ago are forgotten first. */
  readonly maxKeys?: number;
}

/** Twenty times the beginnings of the users' sheets, at some 100 bytes each. */
const DEFAULT_MAX_KEYS = 8192;
/** Engines remembered for one beginning; a copy beyond saves no wait. */
const MAX_HOLDERS = 4;

/** Holders of prompt beginnings. */
export class PromptIndex {
  readonly #maxKeys: number;
  readonly #holders = new Map<string, string[]>();
  /** Notes in the order in which they became known, for peers. */
  readonly #journal: PromptNote[] = [];
  #journalStart = 0;

  constructor(options: PromptIndexOptions = {}) {
    this.#maxKeys = options.maxKeys ?? DEFAULT_MAX_KEYS;
  }

  /** An engine has read the beginning, on this VM's order. */
  noteRead(key: string, target: string): void {
    if (!this.#add(key, target)) return;
    this.#journal.push([key, target]);
    if (this.#journal.length > this.#maxKeys) {
      this.#journal.shift();
      this.#journalStart++;
    }
  }

  /** Takes in what a peer had read. */
  notePeer(notes: readonly PromptNote[]): void {
    for (const [key, target] of notes) this.#add(key, target);
  }

  /** Engines that hold the beginning; those that have gone may be among them. */
  listHolders(key: string): readonly string[] {
    return this.#holders.get(key) ?? [];
  }

  /** An engine has lost its cache, or has gone. */
  forgetTarget(target: string): void {
    for (const [key, holders] of this.#holders) {
      const left = holders.filter((id) => id !== target);
      if (left.length === holders.length) continue;
      if (left.length === 0) this.#holders.delete(key);
      else this.#holders.set(key, left);
    }
  }

  /** An engine turned out not to hold a beginning. */
  forgetHolder(key: string, target: string): void {
    const holders = this.#holders.get(key);
    if (holders === undefined) return;
    this.#holders.set(key, holders.filter((id) => id !== target));
  }

  /** Own notes from `cursor` on, and the cursor behind them; 0 is the beginning. */
  listNotes(cursor: number): { notes: PromptNote[]; cursor: number } {
    const from = Math.max(0, cursor - this.#journalStart);
    return {
      notes: this.#journal.slice(from),
      cursor: this.#journalStart + this.#journal.length,
    };
  }

  #add(key: string, target: string): boolean {
    const holders = this.#holders.get(key);
    if (holders?.includes(target)) return false;
    const kept = [...holders ?? [], target].slice(-MAX_HOLDERS);
    this.#holders.delete(key);
    this.#holders.set(key, kept);
    if (this.#holders.size > this.#maxKeys) this.#dropOldest();
    return true;
  }

  #dropOldest(): void {
    const [oldest] = this.#holders.keys();
    this.#holders.delete(oldest);
  }
}
