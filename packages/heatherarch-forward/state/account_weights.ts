/**
 * Weights of client accounts by the settings, which may change while the process runs.
 *
 * @module
 */

/** Weight of an account that the settings don't name. */
const DEFAULT_WEIGHT = 1;

/** The weights in force. */
export class AccountWeights {
  #weights: ReadonlyMap<string, number> = new Map();
  readonly #listeners = new Set<() => void>();

  constructor(weights?: Readonly<Record<string, number>>) {
    this.apply(weights);
  }

  /** Replaces all weights. Accounts that the configuration doesn't have yet may be among them. */
  apply(weights: Readonly<Record<string, number>> = {}): void {
    this.#weights = new Map(Object.entries(weights));
    for (const listener of this.#listeners) listener();
  }

  /** Returns the weight of an account. */
  getWeight(account: string): number {
    return this.#weights.get(account) ?? DEFAULT_WEIGHT;
  }

  /** Registers a listener for changes and returns a function that removes it. */
  registerListener(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }
}
