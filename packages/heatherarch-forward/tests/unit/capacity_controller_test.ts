import assert from "node:assert/strict";
import { test } from "node:test";
import { SteadyCapacity } from "heatherarch-capacity";
import { ManualClock } from "heatherarch-core";
import {
  ActiveConfig,
  CapacityController,
  type CapacityRequest,
  type DutySession,
  MemoryEventLog,
  type OrderResponse,
  TargetDirectory,
} from "../../mod.ts";
import { buildConfig, buildTarget } from "./fixtures.ts";

const SCALING = {
  min: 1,
  max: 6,
  bootMs: 4000,
  pricesByZone: { "zone-a": 1 },
};

/** A controller of one zone's targets, with the orders that it sent and the records it wrote. */
function createController() {
  const clock = new ManualClock();
  const activeConfig = new ActiveConfig({ clock });
  const services = [{ name: "s", maxConnections: 1, scaling: SCALING }];
  activeConfig.applyConfig(buildConfig({ services }), "store");
  const directory = new TargetDirectory();
  const orders: CapacityRequest[] = [];
  const records: unknown[] = [];
  const state = { isListCurrent: true, response: "accepted" as OrderResponse };
  const controller: CapacityController = new CapacityController({
    strategy: new SteadyCapacity(),
    activeConfig,
    directory,
    clock,
    log: new MemoryEventLog(),
    isListCurrent: () => state.isListCurrent,
    send: (_, { service, availabilityZone, kind, count }) => {
      orders.push({ service, availabilityZone, kind, count });
      return Promise.resolve(state.response);
    },
  });
  const session: DutySession = {
    epoch: 0,
    fencing: 1,
    hasAuthority: () => true,
    confirmAuthority: () => Promise.resolve(true),
    append: (data) => {
      records.push(data);
      return Promise.resolve(controller.handleRecord(data));
    },
  };
  /** Lists a number of targets and performs the duty some time later. */
  const performWith = async (count: number, laterMs = 2000) => {
    const entries = Array.from({ length: count }, (_, i) => ({
      key: `t${i}`,
      value: buildTarget(`t${i}`),
    }));
    clock.advance(laterMs);
    directory.applyList(entries, clock.readMonotonicMs());
    return await controller.perform(session);
  };
  return { controller, state, orders, records, performWith };
}

function buildOrder(count: number): CapacityRequest {
  return {
    service: "s",
    availabilityZone: "zone-a",
    kind: "standard",
    count,
  };
}

// A target crashes for good on the first holder of the duty, whose list may still grow.
test("the need is taken from a list that has settled, and lost targets are ordered again", async () => {
  const { orders, records, performWith } = createController();
  await performWith(2);
  await performWith(4);
  assert.deepEqual(records, []);
  await performWith(4);
  assert.deepEqual(records, [
    { type: "capacity", service: "s", neededByZone: { "zone-a": 4 } },
  ]);
  assert.deepEqual(orders, []);
  await performWith(3, 500);
  assert.deepEqual(orders, [buildOrder(4)]);
});

// The last holder of the duty crashed together with targets.
test("a new holder orders what the recorded need lacks", async () => {
  const { controller, orders, performWith } = createController();
  controller.handleRecord({
    type: "capacity",
    service: "s",
    neededByZone: { "zone-a": 5 },
  });
  for (const data of [null, 3, { type: "capacity", service: "s" }]) {
    controller.handleRecord(data);
  }
  await performWith(3, 0);
  assert.deepEqual(orders, [buildOrder(5)]);
  assert.deepEqual(controller.listWanted(), [
    { service: "s", availabilityZone: "zone-a", standard: 5, spot: 0 },
  ]);
});

test("nothing is ordered while the list of targets is not current", async () => {
  const { state, orders, records, performWith } = createController();
  state.isListCurrent = false;
  for (const count of [4, 4, 1]) await performWith(count);
  assert.deepEqual([...orders, ...records], []);
});

test("an order that the platform can't carry out is repeated after a pause", async () => {
  const { controller, state, orders, performWith } = createController();
  await performWith(4);
  await performWith(4);
  state.response = "unavailable";
  await performWith(3, 500);
  await performWith(3, 500);
  assert.equal(orders.length, 1);
  state.response = "accepted";
  await performWith(3, 1000);
  assert.deepEqual(
    controller.listOrders().map(({ outcome, reason }) => [outcome, reason]),
    [["unavailable", "planned"], ["accepted", "repeated"]],
  );
});

test("an order with an outdated fencing token ends the duty", async () => {
  const { controller, state, performWith } = createController();
  await performWith(4);
  await performWith(4);
  state.response = "fenced";
  assert.equal(await performWith(3, 500), "fenced");
  assert.deepEqual(controller.listOrders(), []);
});
