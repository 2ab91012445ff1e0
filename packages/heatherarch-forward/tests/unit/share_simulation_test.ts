import assert from "node:assert/strict";
import { afterEach, beforeEach, mock, test } from "node:test";
import { type ShareLoad, ShareSimulation } from "./share_simulation.ts";

beforeEach(() => mock.timers.enable({ apis: ["setTimeout"] }));
afterEach(() => mock.timers.reset());

const SEEDS = [1, 2, 3];
const LOAD: ShareLoad = {
  smallAccounts: 10,
  smallCallsPerSecond: 6,
  largeCallsPerSecond: 400,
  largeVms: 4,
};

for (const largeVms of [4, 1]) {
  test(`small accounts are served beside a large one at ${largeVms} VMs, which gets the rest`, () => {
    for (const seed of SEEDS) {
      const result = new ShareSimulation({ ...LOAD, largeVms }, seed).run();
      const found = `seed ${seed}: ${JSON.stringify(result)}`;
      if (process.env.SHOW) console.log(found);
      assert.ok(result.small >= 0.95, found);
      assert.ok(result.totalPerSecond >= 180, found);
    }
  });
}

test("without ranks, a large account takes the time of the small ones", () => {
  const result = new ShareSimulation({ ...LOAD, isRanked: false }, 1).run();
  if (process.env.SHOW) console.log(result);
  assert.ok(result.small < 0.7, JSON.stringify(result));
});
