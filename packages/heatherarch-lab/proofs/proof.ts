/**
 * Proofs of state machines. A proof is a property that is checked under random schedules, which a
 * seed replays. A guard of the state machine can be disabled to show that the proof detects its
 * absence.
 *
 * @module
 */
import fc from "fast-check";

/** A property test of one state machine. */
export interface Proof {
  readonly name: string;
  /** Names of the guards. The property must fail when one of them is disabled. */
  readonly guards: readonly string[];
  /** Builds the property with all guards enabled, or all but one. */
  readonly build: (
    disabledGuard: string | undefined,
  ) => fc.IRawProperty<unknown>;
}

/** Result of a run of a proof. */
export interface ProofResult {
  readonly failed: boolean;
  readonly seed: number;
  readonly path: string;
  readonly runs: number;
  /** First line of the error that the violated property threw. */
  readonly reason: string;
}

/** Options of {@linkcode runProof}. */
export interface RunProofOptions {
  readonly seed: number;
  readonly runs: number;
  readonly disabledGuard?: string;
}

/** Checks the property of a proof under `runs` random schedules. */
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

/** Builds the set of disabled guards: one guard, or none. */
export function buildGuardSet<T extends string>(
  disabledGuard: string | undefined,
): ReadonlySet<T> {
  return new Set(disabledGuard === undefined ? [] : [disabledGuard as T]);
}

/** Throws an error that names the property if a schedule violated it. */
export function assertProperty(
  isSatisfied: boolean,
  property: string,
  detail = "",
): void {
  if (!isSatisfied) throw new Error(`${property}: ${detail}`);
}
