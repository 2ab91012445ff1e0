/**
 * Mutation test of the proofs. Each proof must pass with all guards enabled. When any one of its
 * guards is disabled, it must fail for some schedule.
 *
 * @module
 */
import { PROOFS, runProof } from "./proofs/mod.ts";

/** Result of a proof with one disabled guard. */
export interface MutationResult {
  readonly proof: string;
  readonly guard: string;
  readonly caught: boolean;
  readonly seed: number;
  /** Number of schedules that were run. */
  readonly runs: number;
  readonly reason: string;
}

/** Runs all mutations, and prints a line for each. `passed` is whether all were caught. */
export async function runMutations(
  seed: number,
  print: (line: string) => void,
): Promise<{ results: MutationResult[]; passed: boolean }> {
  let passed = true;
  const results: MutationResult[] = [];
  for (const { proof, testRuns, mutationRuns } of PROOFS) {
    const baseline = await runProof(proof, { seed, runs: testRuns * 5 });
    print(
      `${proof.name}: all guards on, ${baseline.runs} schedules: ${
        baseline.failed ? `RED ${baseline.reason}` : "green"
      }`,
    );
    if (baseline.failed) passed = false;
    for (const guard of proof.guards) {
      const result = await runProof(proof, {
        seed,
        runs: mutationRuns,
        disabledGuard: guard,
      });
      const { failed: caught, runs, reason } = result;
      results.push({ proof: proof.name, guard, caught, seed, runs, reason });
      const verdict = caught
        ? `caught by seed ${seed}, schedule ${runs} (${reason})`
        : "NOT CAUGHT";
      print(`${proof.name}: without ${guard}: ${verdict}`);
      if (!caught) passed = false;
    }
  }
  return { results, passed };
}
