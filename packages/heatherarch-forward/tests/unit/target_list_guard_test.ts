import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "heatherarch-core";
import { TargetListGuard, type TargetListGuardChange } from "../../mod.ts";

const TURN_MS = 250;
const MAX_LIST_AGE_MS = 1400;

interface GuardedList {
  readonly guard: TargetListGuard;
  readonly changes: TargetListGuardChange[];
  /** Passes time in turns of a process that runs. */
  run(ms: number): void;
  /** Passes time in which the process stands still. */
  standStill(ms: number): void;
  /** Wall time passes, and none by the monotonic clock. */
  suspend(ms: number): void;
  /** The list is taken in, as it was `ageMs` ago. */
  readList(ageMs?: number): void;
}

function createGuardedList(): GuardedList {
  const clock = new ManualClock();
  let listAtMs = 0;
  const changes: TargetListGuardChange[] = [];
  const guard = new TargetListGuard({
    clock,
    tickIntervalMs: TURN_MS,
    maxListAgeMs: MAX_LIST_AGE_MS,
    getListAgeMs: () => clock.readMonotonicMs() - listAtMs,
    onChange: (change) => changes.push(change),
  });
  guard.recordTick();
  return {
    guard,
    changes,
    run: (ms) => {
      for (let passedMs = 0; passedMs < ms; passedMs += TURN_MS) {
        clock.advance(TURN_MS);
        guard.recordTick();
      }
    },
    standStill: (ms) => clock.advance(ms),
    suspend: (ms) => clock.jumpWall(ms),
    readList: (ageMs = 0) => {
      listAtMs = clock.readMonotonicMs() - ageMs;
    },
  };
}

test("calls wait for the list after a standstill that made it too old", () => {
  const list = createGuardedList();
  list.standStill(3000);
  assert.equal(list.guard.isHoldingCalls(), true);
  list.standStill(20);
  list.readList(2500);
  assert.equal(list.guard.isHoldingCalls(), true, "an answer from before it");
  list.readList(5);
  assert.equal(list.guard.isHoldingCalls(), false);
  assert.deepEqual(list.changes, [
    { kind: "held", lateMs: 3000, ageMs: 3000 },
    { kind: "freed", isFresh: true, heldMs: 20 },
  ]);
});

test("calls go on after a while although the list can't be read", () => {
  const list = createGuardedList();
  list.standStill(3000);
  assert.equal(list.guard.isHoldingCalls(), true);
  list.run(500);
  assert.equal(list.guard.isHoldingCalls(), false);
  assert.equal(list.changes.at(-1)?.kind, "freed");
});

test("an outage of the store alone holds no call back", () => {
  const list = createGuardedList();
  list.run(10_000);
  assert.equal(list.guard.isHoldingCalls(), false);
  assert.deepEqual(list.changes, []);
});

test("a short standstill after which the list is young enough holds no call back", () => {
  const list = createGuardedList();
  list.standStill(900);
  assert.equal(list.guard.isHoldingCalls(), false);
});

test("a starved process holds calls back for as long as it runs, not as it stands", () => {
  const list = createGuardedList();
  list.standStill(2000);
  assert.equal(list.guard.isHoldingCalls(), true);
  for (let turn = 0; turn < 5; turn++) {
    list.standStill(450);
    assert.equal(list.guard.isHoldingCalls(), true, `turn ${turn}`);
    list.standStill(40);
    assert.equal(list.guard.isHoldingCalls(), true, `turn ${turn}`);
  }
  list.readList(490);
  assert.equal(list.guard.isHoldingCalls(), false, "within the bound");
});

test("after a suspension that the clock missed only a later list counts", () => {
  const { guard, readList, standStill, suspend } = createGuardedList();
  standStill(100);
  suspend(3000);
  assert.equal(guard.isHoldingCalls(), true);
  standStill(10);
  readList(100);
  assert.equal(guard.isHoldingCalls(), true, "asked for before");
  readList(5);
  assert.equal(guard.isHoldingCalls(), false);
});

test("what was under way at a standstill is told from what began after it", () => {
  const { guard, standStill, run } = createGuardedList();
  assert.equal(guard.hasStalledSince(0), false);
  standStill(1000);
  assert.equal(guard.hasStalledSince(0), true);
  run(500);
  assert.equal(guard.hasStalledSince(900), true);
  assert.equal(guard.hasStalledSince(1000), false);
});
