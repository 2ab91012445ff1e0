import assert from "node:assert/strict";
import { test } from "node:test";
import { describe, runAll } from "./call_sequences.ts";

// Guards against requests that exceed the fleet's retry budget because no retry is taken for them.
for (
  const kind of ["once", "idempotent", "stream", "resumableStream"] as const
) {
  test(`${kind}: each request beyond the first is taken from the retry budget`, async () => {
    await runAll(kind, (outcome, script) => {
      const { retries, retriesTaken } = outcome;
      assert.ok(retries <= retriesTaken, describe(outcome, script));
    });
  });
}
