import assert from "node:assert/strict";
import { afterEach, beforeEach, mock, test } from "node:test";
import { ShareSimulation } from "./share_simulation.ts";

beforeEach(() => mock.timers.enable({ apis: ["setTimeout"] }));
afterEach(() => mock.timers.reset());

const SEEDS = [1, 2, 3];
const LOADS = {
  plain: {
    targets: "plain",
    smallAccounts: 10,
    smallCallsPerSecond: 6,
    largeCallsPerSecond: 400,
  },
  engines: {
    targets: "engines",
    smallAccounts: 8,
    smallCallsPerSecond: 4,
    largeCallsPerSecond: 250,
  },
} as const;
/** Calls per second that the targets serve. */
const CAPACITY = { plain: 200, engines: 100 };

for (const kind of ["plain", "engines"] as const) {
  for (const largeVms of [4, 1]) {
    test(`${kind}: small accounts are served beside a large one at ${largeVms} VMs, which gets the rest`, () => {
      for (const seed of SEEDS) {
        const load = { ...LOADS[kind], largeVms };
        const result = new ShareSimulation(load, seed).run();
        const found = `seed ${seed}: ${JSON.stringify(result)}`;
        assert.ok(result.small >= 0.95, found);
        assert.ok(result.totalPerSecond >= CAPACITY[kind] * 0.9, found);
      }
    });
  }
}

test("without ranks, a large account takes the time of the small ones", () => {
  const load = { ...LOADS.plain, largeVms: 4, isRanked: false };
  const result = new ShareSimulation(load, 1).run();
  assert.ok(result.small < 0.7, JSON.stringify(result));
});
