import assert from "node:assert/strict";
import { test } from "node:test";
import {
  buildFaultSchedule,
  isUnplanned,
  TARGET_BEHAVIORS,
} from "../../chaos/fault_schedule.ts";

const TOTAL_MS = 60_000;

function isSilence(kind: string): boolean {
  return (TARGET_BEHAVIORS as readonly string[]).includes(kind);
}

// Guards against silences that excuse a request that a planned change cuts off.
test("silences of targets are no unplanned faults and occur beside planned changes", () => {
  const schedule = buildFaultSchedule(1, TOTAL_MS);
  const silences = schedule.filter(({ kind }) => isSilence(kind));
  assert.ok(silences.length >= TOTAL_MS / 7000 - 1, `${silences.length}`);
  assert.ok(silences.every(({ kind }) => !isUnplanned(kind)));
  const besideChange = silences.filter((silence) =>
    schedule.some((entry) =>
      !isSilence(entry.kind) && !isUnplanned(entry.kind) &&
      entry.atMs < silence.atMs + silence.durationMs &&
      silence.atMs < entry.atMs + entry.durationMs
    )
  );
  assert.ok(besideChange.length > 0);
});

// Guards against a schedule that can't be replayed by its seed.
test("the seed determines the schedule, which is in order of time", () => {
  const schedule = buildFaultSchedule(771203, TOTAL_MS);
  assert.deepEqual(buildFaultSchedule(771203, TOTAL_MS), schedule);
  const times = schedule.map(({ atMs }) => atMs);
  assert.deepEqual(times, times.toSorted((a, b) => a - b));
});
