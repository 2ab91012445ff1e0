import assert from "node:assert/strict";
import { test } from "node:test";
import { computeDecodeEngineCount, planRoles, type Target } from "../../mod.ts";
import { buildEngine } from "./fixtures.ts";

const ZONES = ["zone-a", "zone-b", "zone-c"];

function buildFleet(prefill: number, decode: number): Target[] {
  return Array.from(
    { length: prefill + decode },
    (_, i) =>
      buildEngine(`e${String(i).padStart(3, "0")}`, {
        role: i < decode ? "decode" : "prefill",
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

test("a fleet reaches the desired roles with one plan and then stays unchanged", () => {
  for (const [prefill, decode] of [[5, 8], [13, 0], [0, 13], [40, 58]]) {
    const planned = apply(buildFleet(prefill, decode));
    const decodeEngines = planned.filter((engine) => engine.role === "decode");
    assert.equal(
      decodeEngines.length,
      computeDecodeEngineCount(planned.length),
    );
    assert.deepEqual(planRoles(planned), []);
  }
});

test("a small fleet has a spare decode engine, and a large one a share of decode engines", () => {
  assert.deepEqual(
    [1, 2, 8, 11, 12, 13, 98].map((count) => computeDecodeEngineCount(count)),
    [1, 1, 2, 2, 3, 3, 15],
  );
});

test("more engines decode when engines have few slots", () => {
  assert.equal(computeDecodeEngineCount(42, { slots: 16 }), 13);
  assert.equal(computeDecodeEngineCount(42, { slots: 64 }), 6);
  assert.equal(computeDecodeEngineCount(6, { slots: 64 }), 2);
});

test("a plan has the fewest possible changes", () => {
  const fleet = buildFleet(5, 8);
  assert.equal(planRoles(fleet).length, 8 - computeDecodeEngineCount(13));
});

test("decode engines stay in different zones", () => {
  const planned = apply(buildFleet(5, 8));
  const zones = planned.filter((engine) => engine.role === "decode")
    .map((engine) => engine.availabilityZone);
  assert.equal(new Set(zones).size, Math.min(zones.length, ZONES.length));
});

test("a lost decode engine is replaced, unless only one prefill engine is left", () => {
  const planned = apply(buildFleet(5, 8));
  const decodeEngines = planned.filter((engine) => engine.role === "decode");
  const remaining = planned.filter((engine) => engine !== decodeEngines[0]);
  const missing = computeDecodeEngineCount(12) - (decodeEngines.length - 1);
  assert.equal(planRoles(remaining).length, missing);
  assert.deepEqual(planRoles([buildEngine("only")]), []);
});

test("decode engines that don't respond are replaced before the target list drops them", () => {
  const planned = apply(buildFleet(5, 8));
  const down = new Set(
    planned.filter((engine) => engine.role === "decode").map(({ id }) => id),
  );
  const isReachable = ({ id }: Target) => !down.has(id);
  const changes = planRoles(planned, { isReachable });
  assert.deepEqual(changes.map(({ role }) => role), ["decode", "decode"]);
  assert.ok(changes.every(({ target }) => isReachable(target)));
});

test("leaving engines are neither counted nor changed", () => {
  const fleet = buildFleet(10, 3).map((engine, i) =>
    i < 3 ? { ...engine, leaving: true } : engine
  );
  const changes = planRoles(fleet);
  assert.ok(changes.length > 0);
  assert.ok(changes.every(({ target }) => !target.leaving));
});

// Calls were refused for seconds after a zone's spot engines, decode engines among them, were
// reclaimed.
test("standard engines decode before spot engines do", () => {
  const engines = ["a", "b", "c"].flatMap((availabilityZone) => [
    ...[1, 2].map((i) =>
      buildEngine(`${availabilityZone}-standard-${i}`, { availabilityZone })
    ),
    ...[1, 2, 3, 4, 5].map((i) =>
      buildEngine(`${availabilityZone}-spot-${i}`, {
        availabilityZone,
        isSpot: true,
      })
    ),
  ]);
  const changes = planRoles(engines);
  assert.equal(changes.length, computeDecodeEngineCount(engines.length));
  assert.ok(changes.every(({ target }) => target.isSpot === undefined));
  const surplus = engines.map((engine) => ({
    ...engine,
    role: "decode" as const,
  }));
  const returned = planRoles(surplus).map(({ target }) => target);
  assert.equal(returned.filter(({ isSpot }) => isSpot).length, 15);
});

// Guards against a service whose streams all wait for decode engines with rate limits.
test("one more engine decodes while rate limits bind all decode engines", () => {
  const engines = buildFleet(10, 3);
  const limited = new Set(["e000", "e001", "e002"]);
  const isRateLimited = ({ id }: Target): boolean => limited.has(id);
  const [change, ...others] = planRoles(engines, { isRateLimited });
  assert.equal(change.role, "decode");
  assert.deepEqual(others, []);
  const changed = engines.map((engine) =>
    engine.id === change.target.id ? { ...engine, role: change.role } : engine
  );
  assert.deepEqual(planRoles(changed, { isRateLimited }), []);
  limited.delete("e000");
  const back = planRoles(changed, { isRateLimited });
  assert.deepEqual(back.map(({ role }) => role), ["prefill"]);
});

test("an engine with a rate limit does not replace decode engines with one", () => {
  const engines = buildFleet(3, 3);
  const isRateLimited = (): boolean => true;
  assert.deepEqual(planRoles(engines, { isRateLimited }), []);
  assert.deepEqual(planRoles(buildFleet(0, 1), { isRateLimited }), []);
});

test("decode engines that become prefill engines leave one software version, if possible", () => {
  const engines = ["v1", "v2", "v1", "v2", "v2"].map((softwareVersion, i) =>
    buildEngine(`d${i}`, {
      role: "decode",
      softwareVersion,
      availabilityZone: `zone-${i % 3}`,
    })
  );
  const prefillEngines = ["r1", "r2"].map((id) => buildEngine(id));
  const changes = planRoles([...engines, ...prefillEngines]);
  assert.deepEqual(
    changes.map(({ target, role }) => [target.softwareVersion, role]),
    [["v1", "prefill"], ["v1", "prefill"], ["v2", "prefill"]],
  );
});

test("the last decode engine of a software version stays while it has runs", () => {
  const engines = ["v1", "v2", "v2"].map((softwareVersion, i) =>
    buildEngine(`d${i}`, { role: "decode", softwareVersion })
  );
  const all = [...engines, buildEngine("r1"), buildEngine("r2")];
  assert.deepEqual(planRoles(all, { hasRuns: () => true }), []);
  assert.deepEqual(
    planRoles(all).map(({ target }) => target.softwareVersion),
    ["v1"],
  );
});

test("a lost decode engine is replaced by one of the software version of the others", () => {
  const engines = [
    buildEngine("d1", { role: "decode", softwareVersion: "v2" }),
    ...["v1", "v1", "v2", "v1"].map((softwareVersion, i) =>
      buildEngine(`r${i}`, { softwareVersion })
    ),
  ];
  assert.deepEqual(
    planRoles(engines).map(({ target, role }) => [target.id, role]),
    [["r2", "decode"]],
  );
});

test("decode engines of which each has its own software version get one more of the same", () => {
  const engines = [
    buildEngine("d1", { role: "decode", softwareVersion: "v1" }),
    buildEngine("d2", { role: "decode", softwareVersion: "v2" }),
    buildEngine("r1", { softwareVersion: "v2" }),
    buildEngine("r2", { softwareVersion: "v2" }),
    buildEngine("r3", { softwareVersion: "v1" }),
  ];
  const changes = planRoles(engines);
  assert.deepEqual(
    changes.map(({ target, role }) => [target.softwareVersion, role]),
    [["v2", "decode"]],
  );
  const changed = engines.map((engine) =>
    engine.id === changes[0].target.id
      ? { ...engine, role: "decode" as const }
      : engine
  );
  assert.deepEqual(
    planRoles(changed).map(({ target, role }) => [target.id, role]),
    [["d1", "prefill"]],
  );
});

/** Two sound engines of each role, beside entries of engines that don't respond. */
function buildPartlyDown(prefill: number, decode: number): Target[] {
  const sound = (["prefill", "decode"] as const).flatMap((role) =>
    [1, 2].map((i) => buildEngine(`m-${role}-${i}`, { role }))
  );
  const down = [
    ...Array.from(
      { length: prefill },
      (_, i) => buildEngine(`z-${i}`, { role: "prefill" }),
    ),
    ...Array.from(
      { length: decode },
      (_, i) => buildEngine(`z-${prefill + i}`, { role: "decode" }),
    ),
  ];
  return [...sound, ...down];
}

function isSound({ id }: Target): boolean {
  return id.startsWith("m-");
}

// Guards against sound decode engines that are ordered to prefill because engines that nobody reaches
// are listed beside them, so that no decode engine is left.
test("sound engines keep their roles beside listed ones that don't respond", () => {
  for (const [prefill, decode] of [[0, 1], [0, 3], [3, 0], [0, 40], [40, 0]]) {
    const engines = buildPartlyDown(prefill, decode);
    const context = `${prefill} and ${decode} down`;
    assert.deepEqual(
      planRoles(engines, { isReachable: isSound }),
      [],
      context,
    );
    assert.deepEqual(
      planRoles(engines, { isConfirmed: isSound }),
      [],
      context,
    );
  }
});

// Guards against orders to engines that can't be reached in place of those that can.
test("only engines that respond are ordered to prefill", () => {
  const engines = [
    ...buildPartlyDown(0, 3).map((engine) => ({
      ...engine,
      id: engine.id.replace("z-", "a-"),
    })),
    ...[3, 4].map((i) => buildEngine(`m-decode-${i}`, { role: "decode" })),
  ];
  const changes = planRoles(engines, { isReachable: isSound });
  assert.equal(changes.length, 2);
  assert.ok(changes.every(({ target }) => isSound(target)));
});

// Guards against a plan that follows the version, or the one version each, of engines that are gone.
test("engines that don't respond have no part in the choice of a software version", () => {
  const engines = [
    ...["v9", "v9", "v8"].map((softwareVersion, i) =>
      buildEngine(`z-${i}`, { role: "decode", softwareVersion })
    ),
    buildEngine("m-d", { role: "decode", softwareVersion: "v1" }),
    ...["v9", "v1", "v1", "v9"].map((softwareVersion, i) =>
      buildEngine(`m-${i}`, { softwareVersion })
    ),
  ];
  const changes = planRoles(engines, { isReachable: isSound });
  assert.deepEqual(
    changes.map(({ target, role }) => [target.softwareVersion, role]),
    [["v1", "decode"]],
  );
});

// Guards against replacements that are awaited from an engine that does not take its order.
test("an engine that did not respond when it was asked is ordered to decode last", () => {
  const engines = buildFleet(4, 1);
  const isConfirmed = ({ id }: Target): boolean => id !== "e001";
  const changes = planRoles(engines, { isConfirmed });
  assert.equal(changes.length, 1);
  assert.notEqual(changes[0].target.id, "e001");
});
