import assert from "node:assert/strict";
import { test } from "node:test";
import { computeDecodeEngineCount, planRoles, type Target } from "../../mod.ts";
import { buildEngine } from "./fixtures.ts";

const ZONES = ["zone-a", "zone-b", "zone-c"];

function buildFleet(readers: number, runners: number): Target[] {
  return Array.from(
    { length: readers + runners },
    (_, i) =>
      buildEngine(`e${String(i).padStart(3, "0")}`, {
        role: i < runners ? "decode" : "prefill",
        availabilityZone: ZONES[i % ZONES.length],
      }),
  );
}

function apply(engines: readonly Target[]): Target[] {
  const roles = new Map(
    planRoles(engines).map(({ target, role }) => [target.id, role]),
  );
  return engines.map((engine) => ({
    ...engine,
    role: roles.get(engine.id) ?? engine.role,
  }));
}

test("a fleet reaches its goal in one plan and then rests", () => {
  for (const [readers, runners] of [[5, 8], [13, 0], [0, 13], [40, 58]]) {
    const planned = apply(buildFleet(readers, runners));
    const generating = planned.filter((engine) => engine.role === "decode");
    assert.equal(generating.length, computeDecodeEngineCount(planned.length));
    assert.deepEqual(planRoles(planned), []);
  }
});

test("a small fleet keeps a spare generating engine, a large one a share", () => {
  assert.deepEqual(
    [1, 2, 8, 11, 12, 13, 98].map((count) => computeDecodeEngineCount(count)),
    [1, 1, 2, 2, 3, 3, 15],
  );
});

test("engines with few places generate in greater number", () => {
  assert.equal(computeDecodeEngineCount(42, { slots: 16 }), 13);
  assert.equal(computeDecodeEngineCount(42, { slots: 64 }), 6);
  assert.equal(computeDecodeEngineCount(6, { slots: 64 }), 2);
});

test("the fewest orders are given", () => {
  const fleet = buildFleet(5, 8);
  assert.equal(planRoles(fleet).length, 8 - computeDecodeEngineCount(13));
});

test("generating engines stay in different zones", () => {
  const planned = apply(buildFleet(5, 8));
  const zones = planned.filter((engine) => engine.role === "decode")
    .map((engine) => engine.availabilityZone);
  assert.equal(new Set(zones).size, Math.min(zones.length, ZONES.length));
});

test("a lost generating engine is replaced, never the last reader", () => {
  const planned = apply(buildFleet(5, 8));
  const runners = planned.filter((engine) => engine.role === "decode");
  const left = planned.filter((engine) => engine !== runners[0]);
  const missing = computeDecodeEngineCount(12) - (runners.length - 1);
  assert.equal(planRoles(left).length, missing);
  assert.deepEqual(planRoles([buildEngine("only")]), []);
});

test("generating engines that don't answer are replaced before the list drops them", () => {
  const planned = apply(buildFleet(5, 8));
  const down = new Set(
    planned.filter((engine) => engine.role === "decode").map(({ id }) => id),
  );
  const isReachable = ({ id }: Target) => !down.has(id);
  const changes = planRoles(planned, { isReachable });
  assert.deepEqual(changes.map(({ role }) => role), ["decode", "decode"]);
  assert.ok(changes.every(({ target }) => isReachable(target)));
});

test("leaving engines neither count nor change", () => {
  const fleet = buildFleet(10, 3).map((engine, i) =>
    i < 3 ? { ...engine, leaving: true } : engine
  );
  const changes = planRoles(fleet);
  assert.ok(changes.length > 0);
  assert.ok(changes.every(({ target }) => !target.leaving));
});
