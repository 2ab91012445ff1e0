/**
 * Set of the targets that any source reported as leaving. Peers may exchange marks in any order,
 * since the set only grows. Only a later record of the log removes a mark.
 *
 * @module
 */

/** A report that a target is leaving. */
export interface LeavingMark {
  readonly target: string;
  /**
   * Configuration offset that the reporter had applied. A restore at a later offset removes the
   * mark.
   */
  readonly sinceOffset: number;
}

/** Safety rules of the set. The proofs disable them one at a time. */
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

/** A set of marks that keeps the highest offset of each target when it is merged. */
export class LeavingSet {
  readonly #marks = new Map<string, number>();
  readonly #restores = new Map<string, number>();
  /** Guards that are switched off. */
  readonly #off: ReadonlySet<LeavingGuard>;
  #version = 0;

  constructor(options: LeavingSetOptions = {}) {
    this.#off = options.disabledGuards ?? new Set();
  }

  /** Version of the set. It increases with each change. */
  get version(): number {
    return this.#version;
  }

  /** Adds a mark. Returns whether the set changed. */
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

  /** Removes a mark that is older than the log record at `offset`, which restored the target. */
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
