/**
 * What a proof of a decision machine is: a property over random schedules that a seed
 * replays, with a guard of the machine switched off on demand.
 *
 * @module
 */
import fc from "fast-check";

/** One machine under random schedules. */
export interface Proof {
  readonly name: string;
  /** Guards whose absence the proof must notice. */
  readonly guards: readonly string[];
  /** Builds the property; `off` names the guard that is switched off, if any. */
  readonly build: (off: string | undefined) => fc.IRawProperty<unknown>;
}

/** Result of a proof. */
export interface ProofResult {
  readonly failed: boolean;
  readonly seed: number;
  readonly path: string;
  readonly runs: number;
  /** First line of the broken property. */
  readonly reason: string;
}

/** Options of {@linkcode runProof}. */
export interface RunProofOptions {
  readonly seed: number;
  readonly runs: number;
  readonly off?: string;
}

/** Runs a proof. */
export async function runProof(
  proof: Proof,
  options: RunProofOptions,
): Promise<ProofResult> {
  const { seed, runs, off } = options;
  const details = await fc.check(
    proof.build(off) as fc.IAsyncProperty<unknown>,
    {
      seed,
      numRuns: runs,
      endOnFailure: true,
    },
  );
  const error = details.errorInstance as Error | null;
  return {
    failed: details.failed,
    seed,
    path: details.counterexamplePath ?? "",
    runs: details.numRuns,
    reason: (error?.message ?? "").split("\n")[0],
  };
}

/** The set with one guard, or none. */
export function buildGuardSet<T extends string>(
  off: string | undefined,
): ReadonlySet<T> {
  return new Set(off === undefined ? [] : [off as T]);
}

/** Throws with a message naming the promise that a schedule broke. */
export function requirePromise(
  holds: boolean,
  promise: string,
  detail = "",
): void {
  if (!holds) throw new Error(`${promise}: ${detail}`);
}
