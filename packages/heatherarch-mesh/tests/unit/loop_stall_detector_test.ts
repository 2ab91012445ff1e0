import assert from "node:assert/strict";
import { test } from "node:test";
import { type LoopStall, LoopStallDetector } from "../../mod.ts";

function createDetector() {
  const late: LoopStall[] = [];
  const detector = new LoopStallDetector({
    getTickIntervalMs: () => 250,
    onStall: (stall) => late.push(stall),
  });
  return { detector, late };
}

const WALL_MS = 1_700_000_000_000;

test("a running loop is never late, even if the wall clock is set back", () => {
  const { detector, late } = createDetector();
  for (let nowMs = 0; nowMs < 5000; nowMs += 250) {
    const wallMs = WALL_MS + nowMs - (nowMs > 2000 ? 4000 : 0);
    assert.equal(detector.recordTick(nowMs, wallMs), 0);
  }
  assert.deepEqual(late, []);
});

test("all data that is read after a stall may have waited for the whole stall", () => {
  const { detector, late } = createDetector();
  detector.recordTick(0, WALL_MS);
  assert.equal(detector.recordTick(2000, WALL_MS + 2000), 2000);
  const next = detector.recordTick(2001, WALL_MS + 2001);
  assert.equal(next, 2000, "data of another socket waited too");
  detector.clear();
  assert.equal(detector.recordTick(2050, WALL_MS + 2050), 0);
  assert.deepEqual(late, [{ lateMs: 2000, uncountedMs: 0 }]);
});

test("a suspension is detected although the monotonic clock stopped", () => {
  const { detector, late } = createDetector();
  detector.recordTick(100, WALL_MS);
  assert.equal(detector.recordTick(150, WALL_MS + 3000), 3000);
  assert.deepEqual(late, [{ lateMs: 3000, uncountedMs: 2950 }]);
});
