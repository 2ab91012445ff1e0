import assert from "node:assert/strict";
import { test } from "node:test";
import { FleetDemand, type RejectedCall, ReturnTimes } from "../../mod.ts";
import {
  type BurstOptions,
  computeServedShare,
  simulateBurst,
  type SimulatedClient,
} from "./return_simulation.ts";

/** Bound for a burst whose calls can all be served in time. */
const MIN_SERVED_SHARE = 0.95;
const FLEET_SIZES = [1, 9];

const READING = { callsPerMs: 0.1, workPerMs: 4, aheadWorkMs: 800 };

function buildRejected(overrides: Partial<RejectedCall> = {}): RejectedCall {
  return {
    service: "s",
    kind: "new",
    queue: READING,
    remainingMs: 3000,
    unbookedMs: 270,
    ...overrides,
  };
}

function createReturnTimes(): ReturnTimes {
  return new ReturnTimes({ share: new FleetDemand(), drawUnit: () => 0 });
}

function split(clients: readonly SimulatedClient[]) {
  return {
    honest: clients.filter(({ isIgnoring }) => !isIgnoring),
    ignoring: clients.filter(({ isIgnoring }) => isIgnoring),
  };
}

/** Share of the clients that returned when they were told to and were rejected again. */
function computeRejectedShare(clients: readonly SimulatedClient[]): number {
  const returned = clients.filter(({ returnedAtMs }) => returnedAtMs);
  const again = returned.filter(({ rejections }) => rejections > 1);
  return again.length / returned.length;
}

// Requirement 1: without a capacity estimate, every delay and decision is as before.
test("without a known rate, the delay is as before and no call is a return", () => {
  const times = createReturnTimes();
  const { delayMs, detail } = times.computeDelay(
    buildRejected({ queue: undefined }),
    0,
  );
  assert.equal(delayMs, 270);
  assert.equal(detail.returnReason, "rate unknown");
  const call = { service: "s", route: "r" };
  for (const clientTimeoutMs of [3000, 2000, undefined]) {
    const kind = times.classifyArrival({ ...call, clientTimeoutMs }, 200);
    assert.notEqual(kind, "claimed");
  }
});

// Guards against a rejection without Retry-After: no work per millisecond made the delay not a number.
test("calls whose work is not known yet book no return", () => {
  const { delayMs, detail } = createReturnTimes().computeDelay(
    buildRejected({ queue: { callsPerMs: 0.1, workPerMs: 0, aheadWorkMs: 0 } }),
    0,
  );
  assert.equal(delayMs, 270);
  assert.equal(detail.returnReason, "rate unknown");
});

test("a booked return comes after the calls ahead of it, and while its client waits", () => {
  const times = createReturnTimes();
  const compute = (overrides: Partial<RejectedCall>) =>
    times.computeDelay(buildRejected(overrides), 0).delayMs;
  assert.equal(compute({}), 200);
  assert.ok(compute({ blockedMs: 600 }) >= 600);
  assert.ok(compute({ remainingMs: 600 }) <= 200);
  // Neither a second return nor one without time is booked.
  assert.equal(compute({ kind: "unclaimed" }), 270);
  assert.equal(compute({ remainingMs: 300 }), 270);
  assert.deepEqual(times.listStatus(["s", "t"], 0), [
    { service: "s", booked: 3, due: 2 },
  ]);
});

test("a retry after a booked return is claimed", () => {
  const times = createReturnTimes();
  const call = { service: "s", route: "r" };
  const arrive = (clientTimeoutMs: number, nowMs: number) =>
    times.classifyArrival({ ...call, clientTimeoutMs }, nowMs);
  assert.equal(arrive(3000, 0), "new");
  times.computeDelay(buildRejected(), 0);
  assert.equal(arrive(2800, 200), "claimed");
  assert.equal(arrive(3000, 200), "new");
});

for (const vms of FLEET_SIZES) {
  const options: BurstOptions = { vms, isBooked: true };

  // With the delay by the time waited, clients return to a full queue and are rejected again.
  test(`${vms} VMs serve a burst of three times the room with booked returns, and not without`, () => {
    const booked = simulateBurst(options);
    const unbooked = simulateBurst({ ...options, isBooked: false });
    const shares = [computeServedShare(booked), computeServedShare(unbooked)];
    assert.ok(shares[0] >= MIN_SERVED_SHARE, `${shares}`);
    assert.ok(shares[1] < MIN_SERVED_SHARE, `${shares}`);
    const rejected = [booked, unbooked].map(computeRejectedShare);
    assert.ok(rejected[0] < 0.02, `${rejected}`);
    assert.ok(rejected[1] > 0.5, `${rejected}`);
  });

  for (const ignoringShare of [0.1, 0.3]) {
    // Clients that retry often try more queues, and would take the places of those that wait.
    test(`${vms} VMs: ${ignoringShare} of the clients gain nothing by ignoring the delay`, () => {
      const clients = simulateBurst({ ...options, ignoringShare });
      const { honest, ignoring } = split(clients);
      const shares = [honest, ignoring].map(computeServedShare);
      assert.ok(shares[0] >= MIN_SERVED_SHARE, `${shares}`);
      assert.ok(shares[1] - shares[0] < 0.01, `${shares}`);
      assert.ok(computeRejectedShare(honest) < 0.02);
    });
  }

  // The queue of plain calls rejects early in a burst, as the end of the overload is not known. Returns
  // that were rejected again, for calls that go after them, had no place left.
  test(`${vms} VMs with the queue of plain calls serve a burst of 300 calls/s beside 110`, () => {
    const load = {
      burstPerSecond: 300,
      basePerSecond: 110,
      timeoutsMs: [4000],
    };
    const plain = { ...options, ...load, hasCallQueue: true };
    const unbooked = simulateBurst({ ...plain, isBooked: false });
    assert.ok(computeServedShare(unbooked) < MIN_SERVED_SHARE);
    for (const ignoringShare of [0, 0.2]) {
      const clients = simulateBurst({ ...plain, ignoringShare });
      const { honest, ignoring } = split(clients);
      assert.ok(computeServedShare(honest) >= MIN_SERVED_SHARE);
      assert.ok(computeRejectedShare(honest) < 0.02);
      const gained = ignoringShare === 0
        ? 0
        : computeServedShare(ignoring) - computeServedShare(honest);
      assert.ok(gained < 0.01, `${gained}`);
    }
  });
}
