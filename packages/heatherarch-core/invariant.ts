/**
 * Invariants that are checked in every run. A violation is passed to the listeners, which count it,
 * and thrown. It ends only the operation that caused it.
 *
 * @module
 */

/** An invariant was violated. */
export class InvariantError extends Error {
  readonly invariant: string;

  constructor(invariant: string, detail: string) {
    super(`invariant ${invariant}: ${detail}`);
    this.name = "InvariantError";
    this.invariant = invariant;
  }
}

/** Called with each violation before it is thrown. */
export type ViolationListener = (error: InvariantError) => void;

const listeners = new Set<ViolationListener>();

/** Registers a listener for violations. Returns its removal. */
export function registerViolationListener(
  listener: ViolationListener,
): () => void {
  listeners.add(listener);
  return () => {
    listeners.delete(listener);
  };
}

/** Throws an {@linkcode InvariantError} unless `holds`. */
export function assertInvariant(
  holds: boolean,
  invariant: string,
  detail = "",
): asserts holds {
  if (holds) return;
  const error = new InvariantError(invariant, detail);
  for (const listener of listeners) listener(error);
  throw error;
}
