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
  readonly build: (
    disabledGuard: string | undefined,
  ) => fc.IRawProperty<unknown>;
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
  readonly disabledGuard?: string;
}

/** Runs a proof. */
export async function runProof(
  proof: Proof,
  options: RunProofOptions,
): Promise<ProofResult> {
  const { seed, runs, disabledGuard } = options;
  const runDetails = await fc.check(
    proof.build(disabledGuard) as fc.IAsyncProperty<unknown>,
    {
      seed,
      numRuns: runs,
      endOnFailure: true,
    },
  );
  const error = runDetails.errorInstance as Error | null;
  return {
    failed: runDetails.failed,
    seed,
    path: runDetails.counterexamplePath ?? "",
    runs: runDetails.numRuns,
    reason: (error?.message ?? "").split("\n")[0],
  };
}

/** The set with one guard, or none. */
export function buildGuardSet<T extends string>(
  disabledGuard: string | undefined,
): ReadonlySet<T> {
  return new Set(disabledGuard === undefined ? [] : [disabledGuard as T]);
}

/** Throws with a message naming the promise that a schedule broke. */
export function assertProperty(
  isSatisfied: boolean,
  property: string,
  detail = "",
): void {
  if (!isSatisfied) throw new Error(`${property}: ${detail}`);
}
