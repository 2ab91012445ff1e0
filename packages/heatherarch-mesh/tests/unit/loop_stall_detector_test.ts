import assert from "node:assert/strict";
import { test } from "node:test";
import { type LoopStall, LoopStallDetector } from "../../mod.ts";

function createWatch() {
  const late: LoopStall[] = [];
  const watch = new LoopStallDetector({
    getTickIntervalMs: () => 250,
    onStall: (standstill) => late.push(standstill),
  });
  return { watch, late };
}

const WALL_MS = 1_700_000_000_000;

test("a loop that runs is never late, also where the wall clock is set back", () => {
  const { watch, late } = createWatch();
  for (let nowMs = 0; nowMs < 5000; nowMs += 250) {
    const wallMs = WALL_MS + nowMs - (nowMs > 2000 ? 4000 : 0);
    assert.equal(watch.recordTick(nowMs, wallMs), 0);
  }
  assert.deepEqual(late, []);
});

test("all that is read after a standstill may have waited for all of it", () => {
  const { watch, late } = createWatch();
  watch.recordTick(0, WALL_MS);
  assert.equal(watch.recordTick(2000, WALL_MS + 2000), 2000);
  const next = watch.recordTick(2001, WALL_MS + 2001);
  assert.equal(next, 2000, "another socket that waited as well");
  watch.clear();
  assert.equal(watch.recordTick(2050, WALL_MS + 2050), 0);
  assert.deepEqual(late, [{ lateMs: 2000, uncountedMs: 0 }]);
});

test("a suspended machine is noticed although its monotonic clock stood still", () => {
  const { watch, late } = createWatch();
  watch.recordTick(100, WALL_MS);
  assert.equal(watch.recordTick(150, WALL_MS + 3000), 3000);
  assert.deepEqual(late, [{ lateMs: 3000, uncountedMs: 2950 }]);
});
