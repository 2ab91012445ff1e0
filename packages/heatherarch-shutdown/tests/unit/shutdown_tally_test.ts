import assert from "node:assert/strict";
import { test } from "node:test";
import { ShutdownTally } from "../../shutdown_tally.ts";

// Guards against calls of one kind or outcome that are counted as another's.
test("counts calls by outcome and kind", () => {
  const tally = new ShutdownTally();
  tally.record("unsafe", "completed");
  tally.record("unsafe", "completed");
  tally.record("stream", "completed");
  tally.record("stream", "cut");
  assert.deepEqual(tally.summarize(), {
    completed: { unsafe: 2, stream: 1 },
    cut: { stream: 1 },
  });
});

// Guards against outcomes in the report that no call had.
test("reports no outcome without a call", () => {
  assert.deepEqual(new ShutdownTally().summarize(), {});
});
