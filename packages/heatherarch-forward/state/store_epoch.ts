/**
 * The epoch of the platform's store. It rises each time the store comes back from a copy: what was
 * written after the copy is gone, and offsets are given out again.
 *
 * @module
 */

/** A store that came back from a copy. */
export interface StoreRestoration {
  readonly epoch: number;
  readonly before: number;
  /** Whether this VM's own request has shown it, or a peer has told. */
  readonly source: "store" | "peer";
}

/** Called after the store came back from a copy. */
export type RestorationListener = (restoration: StoreRestoration) => void;

/** The latest epoch that this VM knows. */
export class StoreEpoch {
  #current: number | undefined;
  readonly #listeners = new Set<RestorationListener>();

  /** The latest known epoch; undefined before the first response. */
  get current(): number | undefined {
    return this.#current;
  }

  /** Records an epoch. An earlier one belongs to a response that was under way. */
  record(epoch: number, source: StoreRestoration["source"]): void {
    const before = this.#current;
    if (before !== undefined && epoch <= before) return;
    this.#current = epoch;
    if (before === undefined) return;
    for (const listener of [...this.#listeners]) {
      listener({ epoch, before, source });
    }
  }

  /** Registers a listener and returns a function that removes it. */
  registerListener(listener: RestorationListener): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }
}
