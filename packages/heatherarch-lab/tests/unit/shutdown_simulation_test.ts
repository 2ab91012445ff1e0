import assert from "node:assert/strict";
import { test } from "node:test";
import { Random } from "heatherarch-core";
import { buildKinds, type Timeouts } from "../../bench/shutdown_kinds.ts";
import type { ShutdownRule } from "../../bench/shutdown_rules.ts";
import {
  type ShutdownCounts,
  type ShutdownSimulationOptions,
  SILENCES,
  simulateShutdowns,
} from "../../bench/shutdown_simulation.ts";

// The pattern: a VM that stops serves calls that come late on kept connections, as it doesn't ask whether
// they can end before it does, and cuts them at its end. Its targets are sound, or silent for a moment.

const SEEDS = [1, 2, 3];

interface PatternOptions extends Partial<ShutdownSimulationOptions> {
  readonly timeouts?: Timeouts;
  readonly slowdown?: number;
}

/** Returns the counts of each seed and case of silent targets. */
function simulatePattern(
  rule: ShutdownRule,
  { timeouts = "short", slowdown = 1, ...options }: PatternOptions = {},
): ShutdownCounts[] {
  return SEEDS.flatMap((seed) =>
    SILENCES.map((silences) =>
      simulateShutdowns({
        rule,
        kinds: buildKinds(timeouts, slowdown),
        silences,
        servedBefore: 100,
        shutdowns: 40,
        random: new Random(seed),
        ...options,
      })
    )
  );
}

// Guards against a simulation without the failure: a VM that serves all calls cuts some in each case, of
// those that may run once too.
test("a VM that serves all calls cuts late ones", () => {
  for (const counts of simulatePattern("all")) {
    assert.ok(counts.cut > 0);
    assert.ok(counts.cutOnce > 0);
    assert.equal(counts.refused, 0);
  }
});

// Guards against a call that is served, cut off and lost, beside silent targets too, and against one that
// is refused although it would have ended, in the first two seconds.
for (const slowdown of [1, 5]) {
  test(`the product cuts none and refuses none early, work x${slowdown}`, () => {
    for (const counts of simulatePattern("product", { slowdown })) {
      assert.ok(counts.calls > 1000);
      assert.equal(counts.cut, 0);
      assert.equal(counts.handedOn, 0);
      assert.equal(counts.needlessEarly, 0);
    }
  });
}

// Guards against routes that nobody has called before, whose calls a VM refused needlessly until its end,
// as their timeouts were longer than its grace.
test("the product refuses no call of a new route early that would have ended", () => {
  const options = { timeouts: "30 s", servedBefore: 0 } as const;
  const strict = simulatePattern("timeoutOrLongestAndSilence", options);
  assert.ok(strict.every(({ needlessEarly }) => needlessEarly > 0));
  for (const { cut, needlessEarly } of simulatePattern("product", options)) {
    assert.equal(needlessEarly, 0);
    assert.equal(cut, 0);
  }
});

// Guards against a rule of the comparison that is not what the product does.
test("the product follows the rule that was chosen", () => {
  for (const timeouts of ["short", "10 s", "30 s"] as const) {
    for (const servedBefore of [0, 100]) {
      const options = { timeouts, servedBefore, slowdown: 5 };
      assert.deepEqual(
        simulatePattern("product", options),
        simulatePattern("earlyOrNew", options),
      );
    }
  }
});
