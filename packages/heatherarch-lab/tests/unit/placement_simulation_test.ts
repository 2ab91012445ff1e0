import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type PlacementRequestKind,
  simulatePlacement,
} from "../../bench/placement_simulation.ts";

const SHORT: PlacementRequestKind = {
  name: "short",
  rate: 12,
  sharedTokens: 350,
  uniqueTokens: 1110,
  aimMs: 306,
  lane: 0,
  worth: 1,
  lateWorth: 0.3,
};

function simulate(
  vms: number,
  changes: { maxJitterMs?: number; isOracle?: boolean },
) {
  return simulatePlacement({
    seed: 3,
    vms,
    engines: 24,
    seconds: 4,
    kinds: [SHORT],
    burst: 1.5,
    digestAgeMs: 100,
    digestIntervalMs: 100,
    maxJitterMs: 0,
    ...changes,
  });
}

// Guards against VMs that all choose the same engine because they have the same digests, a tenth of
// a second old, while the engines are busy for a third of the time. With 195 VMs, a third of the
// short prompts were late while engines were idle.
test("jitter keeps many VMs with stale digests from queueing short prompts on the same engines", () => {
  const noJitter = simulate(60, {});
  const jitter = simulate(60, { maxJitterMs: 40 });
  const oracle = simulate(60, { isOracle: true });
  assert.ok(oracle.worth > 0.98, `${oracle.worth}`);
  assert.ok(noJitter.worth < 0.8, `${noJitter.worth}`);
  const lost = (oracle.worth - jitter.worth) / (oracle.worth - noJitter.worth);
  assert.ok(lost < 0.25, `${lost} of the worth that is lost without jitter`);
});

test("a simulation depends only on its seed", () => {
  assert.deepEqual(
    simulate(9, { maxJitterMs: 40 }),
    simulate(9, { maxJitterMs: 40 }),
  );
});
