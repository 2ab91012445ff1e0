import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "heatherarch-core";
import { TargetListGuard, type TargetListGuardChange } from "../../mod.ts";

const TICK_MS = 250;
const MAX_LIST_AGE_MS = 1400;

interface TestGuard {
  readonly guard: TargetListGuard;
  readonly changes: TargetListGuardChange[];
  /** Advances time in ticks of a running process. */
  run(ms: number): void;
  /** Advances time while the process is stalled. */
  stall(ms: number): void;
  /** Advances the wall clock but not the monotonic clock. */
  suspend(ms: number): void;
  /** Reads the list as it was `ageMs` ago. */
  readList(ageMs?: number): void;
}

function createTestGuard(): TestGuard {
  const clock = new ManualClock();
  let listAtMs = 0;
  const changes: TargetListGuardChange[] = [];
  const guard = new TargetListGuard({
    clock,
    tickIntervalMs: TICK_MS,
    maxListAgeMs: MAX_LIST_AGE_MS,
    getListAgeMs: () => clock.readMonotonicMs() - listAtMs,
    onChange: (change) => changes.push(change),
  });
  guard.recordTick();
  return {
    guard,
    changes,
    run: (ms) => {
      for (let passedMs = 0; passedMs < ms; passedMs += TICK_MS) {
        clock.advance(TICK_MS);
        guard.recordTick();
      }
    },
    stall: (ms) => clock.advance(ms),
    suspend: (ms) => clock.jumpWall(ms),
    readList: (ageMs = 0) => {
      listAtMs = clock.readMonotonicMs() - ageMs;
    },
  };
}

test("calls wait for the list after a stall that made it stale", () => {
  const fixture = createTestGuard();
  fixture.stall(3000);
  assert.equal(fixture.guard.isHoldingCalls(), true);
  fixture.stall(20);
  fixture.readList(2500);
  assert.equal(
    fixture.guard.isHoldingCalls(),
    true,
    "a list from before the stall",
  );
  fixture.readList(5);
  assert.equal(fixture.guard.isHoldingCalls(), false);
  assert.deepEqual(fixture.changes, [
    { kind: "held", lateMs: 3000, ageMs: 3000 },
    { kind: "freed", isFresh: true, heldMs: 20 },
  ]);
});

test("calls continue after a while although the list can't be read", () => {
  const fixture = createTestGuard();
  fixture.stall(3000);
  assert.equal(fixture.guard.isHoldingCalls(), true);
  fixture.run(500);
  assert.equal(fixture.guard.isHoldingCalls(), false);
  assert.equal(fixture.changes.at(-1)?.kind, "freed");
});

test("an outage of the store alone holds no calls", () => {
  const fixture = createTestGuard();
  fixture.run(10_000);
  assert.equal(fixture.guard.isHoldingCalls(), false);
  assert.deepEqual(fixture.changes, []);
});

test("a short stall after which the list is still fresh holds no calls", () => {
  const fixture = createTestGuard();
  fixture.stall(900);
  assert.equal(fixture.guard.isHoldingCalls(), false);
});

test("only running time counts towards the hold of a process starved of CPU time", () => {
  const fixture = createTestGuard();
  fixture.stall(2000);
  assert.equal(fixture.guard.isHoldingCalls(), true);
  for (let round = 0; round < 5; round++) {
    fixture.stall(450);
    assert.equal(fixture.guard.isHoldingCalls(), true, `turn ${round}`);
    fixture.stall(40);
    assert.equal(fixture.guard.isHoldingCalls(), true, `turn ${round}`);
  }
  fixture.readList(490);
  assert.equal(
    fixture.guard.isHoldingCalls(),
    false,
    "the list is within its maximum age",
  );
});

test("after a suspension that the monotonic clock missed, only a later list counts", () => {
  const { guard, readList, stall, suspend } = createTestGuard();
  stall(100);
  suspend(3000);
  assert.equal(guard.isHoldingCalls(), true);
  stall(10);
  readList(100);
  assert.equal(
    guard.isHoldingCalls(),
    true,
    "a list requested before the suspension",
  );
  readList(5);
  assert.equal(guard.isHoldingCalls(), false);
});

test("operations in progress during a stall are distinguished from later ones", () => {
  const { guard, stall, run } = createTestGuard();
  assert.equal(guard.hasStalledSince(0), false);
  stall(1000);
  assert.equal(guard.hasStalledSince(0), true);
  run(500);
  assert.equal(guard.hasStalledSince(900), true);
  assert.equal(guard.hasStalledSince(1000), false);
});
