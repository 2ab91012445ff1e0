import assert from "node:assert/strict";
import { test } from "node:test";
import { EventQueue } from "../../bench/hard_load/event_queue.ts";
import { FLEET_SIZES } from "../../bench/hard_load/fleet_size.ts";
import { LaggedWork } from "../../bench/hard_load/lagged_work.ts";
import type { LoadChoice } from "../../bench/hard_load/load_choice.ts";
import {
  type LoadKnowledge,
  simulateLoad,
} from "../../bench/hard_load/load_simulation.ts";
import type { Gate } from "../../bench/hard_load/queue_model.ts";
import {
  type ReturnWay,
  simulateReturns,
} from "../../bench/hard_load/returns_simulation.ts";
import {
  LARGE_SPREADS,
  type LargeSpread,
  type ShareWay,
  simulateShares,
} from "../../bench/hard_load/shares_simulation.ts";

const [SMALL_FLEET, LARGE_FLEET] = FLEET_SIZES;

function runLoad(
  knows: LoadKnowledge,
  choice: LoadChoice,
  size = SMALL_FLEET,
) {
  const { decisionMicros: _, ...result } = simulateLoad({
    seed: 1,
    size,
    knows,
    choice,
    seconds: 6,
  });
  return result;
}

function runShares(
  way: ShareWay,
  spread: LargeSpread,
  { size = SMALL_FLEET, gate, seconds = 5 }: {
    size?: typeof SMALL_FLEET;
    gate?: Gate;
    seconds?: number;
  } = {},
) {
  const { decisionMicros: _, ...result } = simulateShares({
    seed: 1,
    size,
    way,
    spread,
    gate,
    seconds,
  });
  return result;
}

function runReturns(way: ReturnWay) {
  const { decisionMicros: _, ...result } = simulateReturns({
    seed: 1,
    size: SMALL_FLEET,
    way,
  });
  return result;
}

// Guards against an event queue that executes events of the same time in any order, which would make
// results depend on more than the seed.
test("events are executed by time, then in the order in which they were scheduled", () => {
  const events = new EventQueue();
  const seen: string[] = [];
  for (
    const [atMs, name] of [[3, "c"], [1, "a"], [3, "d"], [2, "b"]] as const
  ) {
    events.schedule(atMs, () => seen.push(name));
  }
  events.delay(9, () => seen.push("too late"));
  events.runUntil(5);
  assert.equal(seen.join(""), "abcd");
});

// Guards against VMs that know each other's work at once, so that no design would show what stale
// information costs.
test("a VM knows its own work at once, and that of others after the age of the mesh", () => {
  const events = new EventQueue();
  const work = new LaggedWork({ events, vms: 2, targets: 1, maxAgeMs: 100 });
  events.runUntil(200);
  work.add(0, 0, 5);
  assert.deepEqual(
    [work.copyKnown(0, 100)[0], work.copyKnown(1, 100)[0]],
    [5, 0],
  );
  events.runUntil(320);
  assert.deepEqual(
    [work.copyKnown(0, 100)[0], work.copyKnown(1, 100)[0]],
    [5, 5],
  );
});

// Guards against a choice by which 88 VMs with the same old information send their calls to the same
// target.
test("a choice among a few drawn targets doesn't herd as the best prediction does", () => {
  const best = runLoad("shared", "best", LARGE_FLEET);
  const few = runLoad("shared", "few", LARGE_FLEET);
  assert.ok(few.inTime > best.inTime + 0.1, `${few.inTime} ${best.inTime}`);
});

// Guards against reports that don't reach the decision.
test("shared reports keep calls away from slow targets in a small fleet", () => {
  const ignored = runLoad("ignored", "best").inTimeByKind.uneven;
  const shared = runLoad("shared", "best").inTimeByKind.uneven;
  assert.ok(shared > ignored + 0.05, `${shared} ${ignored}`);
});

// Guards against a model without the fault that shares address.
test("without shares, a large account takes the room of the small ones", () => {
  assert.ok(runShares("none", "all VMs").smallServed < 0.5);
});

// Guards against ranks that order calls at each VM only: a VM that has calls of the large account
// alone refills each slot before the others know of it.
test("small accounts are served wherever the large account connects if rank 0 may exceed the slots", () => {
  for (const spread of LARGE_SPREADS) {
    const { worstAccount } = runShares("fleet's use, depth 1", spread);
    assert.ok(worstAccount > 0.95, `${spread}: ${worstAccount}`);
  }
});

// Guards against VMs that all fill the slots which they saw free a quarter of a second ago, so that
// calls wait for seconds at the targets, where ranks don't count.
test("paced dispatch keeps small accounts in time in a large fleet", () => {
  const options = { size: LARGE_FLEET, seconds: 8 };
  const paced = runShares("fleet's use, depth 1", "all VMs", {
    ...options,
    gate: "paced",
  });
  const turns = runShares("fleet's use, depth 1", "all VMs", {
    ...options,
    gate: "turns",
  });
  assert.ok(paced.smallInTime > 0.9, `${paced.smallInTime}`);
  assert.ok(turns.smallInTime < 0.5, `${turns.smallInTime}`);
});

// Guards against return times that are no better than those of today.
test("booked return times serve more clients of a burst than delays by the waited time", () => {
  const waited = runReturns("waited");
  const booked = runReturns("booked");
  assert.ok(
    booked.served > waited.served + 0.02,
    `${booked.served} ${waited.served}`,
  );
});

// Guards against simulations that read a real clock or share random state, whose results can't be
// repeated.
test("results depend only on the seed", () => {
  assert.deepEqual(runLoad("shared", "draw"), runLoad("shared", "draw"));
  assert.deepEqual(
    runShares("own use", "one VM"),
    runShares("own use", "one VM"),
  );
  assert.deepEqual(runReturns("booked"), runReturns("booked"));
});
