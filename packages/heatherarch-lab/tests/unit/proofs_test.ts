import assert from "node:assert/strict";
import { test } from "node:test";
import { PROOFS, runProof } from "../../proofs/mod.ts";

const SEEDS = [11, 12];

for (const { proof, testRuns } of PROOFS) {
  test(`the properties of ${proof.name} hold under random schedules`, async () => {
    for (const seed of SEEDS) {
      const result = await runProof(proof, { seed, runs: testRuns });
      assert.equal(result.failed, false, `seed ${seed}: ${result.reason}`);
    }
  });
}
