/**
 * Targets that are leaving, as any source has said. The set only grows, so it may spread
 * between peers in any order; only a later record of the log takes a mark back.
 *
 * @module
 */

/** A statement that a target is leaving. */
export interface LeavingMark {
  readonly target: string;
  /** Configuration offset that the speaker had applied; a restore after it takes the mark back. */
  readonly sinceOffset: number;
}

/** Guards of the set; the proofs switch them off one at a time. */
export const LEAVING_GUARDS = [
  "restoreOutranksOlderMarks",
  "keepHighestMark",
] as const;
/** Name of a guard. */
export type LeavingGuard = typeof LEAVING_GUARDS[number];

/** Options of {@linkcode LeavingSet}. */
export interface LeavingSetOptions {
  readonly disabledGuards?: ReadonlySet<LeavingGuard>;
}

/** A set of marks that merges by taking the higher offset. */
export class LeavingSet {
  readonly #marks = new Map<string, number>();
  readonly #restores = new Map<string, number>();
  readonly #off: ReadonlySet<LeavingGuard>;
  #version = 0;

  constructor(options: LeavingSetOptions = {}) {
    this.#off = options.disabledGuards ?? new Set();
  }

  /** Increases with each change. */
  get version(): number {
    return this.#version;
  }

  /** Adds a mark; returns whether the set changed. */
  mark(target: string, sinceOffset: number): boolean {
    const known = this.#marks.get(target);
    const isLower = known !== undefined && known >= sinceOffset;
    if (isLower && !this.#off.has("keepHighestMark")) return false;
    const restored = (this.#restores.get(target) ?? -1) > sinceOffset;
    if (restored && !this.#off.has("restoreOutranksOlderMarks")) return false;
    this.#marks.set(target, sinceOffset);
    this.#version++;
    return true;
  }

  /** Takes back marks that were made before the log restored the target at `offset`. */
  restore(target: string, offset: number): void {
    if ((this.#restores.get(target) ?? -1) >= offset) return;
    this.#restores.set(target, offset);
    const known = this.#marks.get(target);
    if (known === undefined || known >= offset) return;
    this.#marks.delete(target);
    this.#version++;
  }

  has(target: string): boolean {
    return this.#marks.has(target);
  }

  /** All marks, in no particular order. */
  listMarks(): LeavingMark[] {
    return [...this.#marks].map(([target, sinceOffset]) => ({
      target,
      sinceOffset,
    }));
  }
}
