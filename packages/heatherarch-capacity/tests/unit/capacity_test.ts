import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type CapacityDemand,
  CapacityOrders,
  SpotSurplus,
  SteadyCapacity,
  type ZoneCounts,
} from "../../mod.ts";

const ZONES = ["a", "b", "c"];
const BOOT_MS = 4000;

function buildZones(standard: number, spot: number): ZoneCounts[] {
  return ZONES.map((availabilityZone) => ({
    availabilityZone,
    standard,
    spot,
  }));
}

function buildDemand(overrides: Partial<CapacityDemand> = {}): CapacityDemand {
  return {
    zones: buildZones(14, 0),
    min: 1,
    max: 28,
    neededByZone: { a: 14, b: 14, c: 14 },
    pricesByZone: { a: 0.85, b: 1.2, c: 1 },
    spotPriceFactor: 0.2,
    ...overrides,
  };
}

function sum(zones: readonly ZoneCounts[]): number {
  return zones.reduce((total, zone) => total + zone.standard + zone.spot, 0);
}

// Targets crash for good or are taken away in the middle of a burst.
test("a steady capacity orders what was lost again, and gives nothing up", () => {
  const plan = (standard: number, spot = 0, max = 28) =>
    new SteadyCapacity()
      .plan(buildDemand({ zones: buildZones(standard, spot), max }))
      .map((zone) => [zone.standard, zone.spot]);
  assert.deepEqual(plan(14)[0], [14, 0]);
  assert.deepEqual(plan(11)[0], [14, 0]);
  assert.deepEqual(plan(9, 3)[0], [11, 3]);
  assert.deepEqual(plan(17)[0], [17, 0]);
  assert.deepEqual(plan(9, 0, 12)[0], [12, 0]);
});

// A zone loses all its spot targets in a burst.
test("what remains when a zone's spot targets are reclaimed carries the load", () => {
  const zones = buildZones(1, 20);
  const plan = new SpotSurplus().plan(buildDemand({ zones }));
  for (const lost of plan) {
    assert.ok(sum(plan) - lost.spot >= 42 * 0.8);
  }
  assert.ok(plan.every(({ standard }) => standard === 1));
});

test("standard targets replace spot targets that are not to be had, cheapest zone first", () => {
  const zones = buildZones(1, 0);
  const plan = new SpotSurplus().plan(buildDemand({ zones }));
  const standard = plan.reduce((total, zone) => total + zone.standard, 0);
  assert.equal(standard, 42);
  assert.ok(plan[0].standard > plan[1].standard);
});

test("standard targets that exist are kept where they are until spot targets replace them", () => {
  const plan = new SpotSurplus().plan(buildDemand());
  const standard = plan.reduce((total, zone) => total + zone.standard, 0);
  assert.equal(standard, 42);
  assert.ok(plan.every((zone) => zone.standard <= 14));
});

test("plans keep the limits of a zone and the number of targets without spot prices", () => {
  const small = buildDemand({ zones: buildZones(1, 5), max: 6, min: 2 });
  for (const { standard, spot } of new SpotSurplus().plan(small)) {
    assert.ok(standard + spot <= 6 && standard + spot >= 2);
  }
  const plain = buildDemand({ spotPriceFactor: undefined });
  assert.deepEqual(new SpotSurplus().plan(plain), plain.zones);
});

test("standard targets are given up once the spot targets are listed", () => {
  const orders = new CapacityOrders({ bootMs: BOOT_MS, max: 28 });
  const wanted = buildZones(1, 16);
  const first = orders.listDue(wanted, buildZones(14, 0), 0);
  assert.deepEqual(first.map(({ kind }) => kind), ["spot", "spot", "spot"]);
  for (const order of first) orders.recordOutcome(order, "accepted", 0);
  assert.deepEqual(orders.listDue(wanted, buildZones(14, 0), 3000), []);
  // Both kinds together may not exceed the zone's limit.
  assert.ok(first.every(({ count }) => count === 28 - 14));
  const second = orders.listDue(wanted, buildZones(14, 14), 5000);
  assert.deepEqual(
    second.map(({ kind, count }) => [kind, count]),
    [["standard", 1], ["standard", 1], ["standard", 1]],
  );
  for (const order of second) orders.recordOutcome(order, "accepted", 5000);
  const third = orders.listDue(wanted, buildZones(1, 14), 6000);
  assert.deepEqual(third.map(({ kind, count }) => [kind, count]), [
    ["spot", 16],
    ["spot", 16],
    ["spot", 16],
  ]);
});

test("an order is repeated while the platform can't carry it out, and not while targets boot", () => {
  const orders = new CapacityOrders({ bootMs: BOOT_MS, max: 28 });
  const wanted = buildZones(1, 16);
  const full = buildZones(1, 16);
  const reclaimed = [...full.slice(0, 2), { ...full[2], spot: 0 }];
  assert.deepEqual(orders.listDue(wanted, full, 0), []);
  const [order] = orders.listDue(wanted, reclaimed, 0);
  const subject = { availabilityZone: "c", kind: "spot", count: 16 };
  assert.deepEqual(order, { ...subject, reason: "planned" });
  orders.recordOutcome(order, "unavailable", 0);
  assert.deepEqual(orders.listDue(wanted, reclaimed, 1000), []);
  assert.deepEqual(orders.listDue(wanted, reclaimed, 2000), [
    { ...subject, reason: "repeated" },
  ]);
  orders.recordOutcome(order, "accepted", 2000);
  assert.deepEqual(orders.listDue(wanted, reclaimed, 9000), []);
  assert.deepEqual(orders.listDue(wanted, full, 9000), []);
  assert.deepEqual(orders.listDue(wanted, reclaimed, 10_001), [
    { ...subject, reason: "lost" },
  ]);
});

// Operators add targets in the middle of the day, after some were lost and ordered again.
test("targets that others have added are not ordered, and not given up", () => {
  const orders = new CapacityOrders({ bootMs: BOOT_MS, max: 28 });
  const plan = (standard: number): ZoneCounts[] =>
    new SteadyCapacity().plan(buildDemand({ zones: buildZones(standard, 0) }));
  const lost = orders.listDue(plan(11), buildZones(11, 0), 0);
  assert.deepEqual(lost.map(({ count }) => count), [14, 14, 14]);
  for (const order of lost) orders.recordOutcome(order, "accepted", 0);
  assert.deepEqual(orders.listDue(plan(17), buildZones(17, 0), 20_000), []);
});
