/**
 * Shows that each proof notices the absence of each guard: first every proof passes with all
 * guards on, then every guard is switched off in turn and some seed must catch it.
 *
 * @module
 */
import { PROOFS, runProof } from "./proofs/mod.ts";

/** One guard and the schedule that caught its absence. */
export interface MutationResult {
  readonly proof: string;
  readonly guard: string;
  readonly caught: boolean;
  readonly seed: number;
  /** Schedules tried until then. */
  readonly runs: number;
  readonly reason: string;
}

/** Runs all mutations; `print` gets a line each. Returns whether all were caught. */
export async function runMutations(
  seed: number,
  print: (line: string) => void,
): Promise<{ results: MutationResult[]; passed: boolean }> {
  let passed = true;
  const results: MutationResult[] = [];
  for (const { proof, testRuns, mutationRuns } of PROOFS) {
    const whole = await runProof(proof, { seed, runs: testRuns * 5 });
    print(
      `${proof.name}: all guards on, ${whole.runs} schedules: ${
        whole.failed ? `RED ${whole.reason}` : "green"
      }`,
    );
    if (whole.failed) passed = false;
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
