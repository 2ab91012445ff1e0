import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "heatherarch-core";
import { UsageLedger } from "heatherarch-usage";
import {
  type CollectedUsage,
  type DutySession,
  MemoryEventLog,
  UsageReporter,
} from "../../mod.ts";

const WINDOW_MS = 5000;
const START_MS = 100 * WINDOW_MS;
const COMPLETE: CollectedUsage = {
  counts: { acme: 3 },
  isOver: true,
  isComplete: true,
};

/** A reporter after the end of its first window, with the reports that it sent. */
function createReporter(collected: Partial<CollectedUsage> = {}) {
  const clock = new ManualClock(START_MS);
  const log = new MemoryEventLog();
  const reports: unknown[] = [];
  const records: unknown[] = [];
  const state = {
    hasAuthority: true,
    epoch: 0,
    collected: { ...COMPLETE, ...collected },
  };
  const reporter: UsageReporter = new UsageReporter({
    ledger: new UsageLedger({
      windowMs: WINDOW_MS,
      settleMs: 1000,
      lateMs: 10_000,
    }),
    clock,
    log,
    collect: () => Promise.resolve(state.collected),
    send: (_, report) => {
      reports.push(report);
      return Promise.resolve("done");
    },
  });
  const session: DutySession = {
    fencing: 1,
    get epoch() {
      return state.epoch;
    },
    hasAuthority: () => state.hasAuthority,
    confirmAuthority: () => Promise.resolve(state.hasAuthority),
    append: (data) => {
      records.push(data);
      return Promise.resolve(reporter.handleRecord(data));
    },
  };
  const perform = () => reporter.perform(session);
  return { clock, log, reports, records, state, perform };
}

test("a window is reported once, after its counts were written to the log", async () => {
  const { clock, reports, perform } = createReporter();
  await perform();
  assert.deepEqual(reports, []);
  clock.advance(WINDOW_MS + 1000);
  await perform();
  await perform();
  assert.deepEqual(reports, [{ window: 100, counts: { acme: 3 } }]);
});

test("incomplete counts are awaited until the report is urgent", async () => {
  const { clock, log, reports, perform } = createReporter({
    isComplete: false,
  });
  await perform();
  clock.advance(WINDOW_MS + 5999);
  await perform();
  assert.deepEqual(reports, []);
  clock.advance(1);
  await perform();
  assert.equal(reports.length, 1);
  assert.ok(log.lines.some(({ event }) => event === "usageIncomplete"));
});

test("a window that is not over for most VMs is not reported, however urgent", async () => {
  const { clock, reports, perform } = createReporter({ isOver: false });
  await perform();
  clock.advance(WINDOW_MS + 9000);
  await perform();
  assert.deepEqual(reports, []);
});

test("without authority nothing is written or sent", async () => {
  const { clock, reports, records, state, perform } = createReporter();
  await perform();
  clock.advance(WINDOW_MS + 1000);
  state.hasAuthority = false;
  await perform();
  assert.deepEqual([...reports, ...records], []);
  state.hasAuthority = true;
  await perform();
  assert.equal(reports.length, 1);
});

// Guards against two reports of one window with different counts.
test("after a restore of the log, windows that may have been reported are left out", async () => {
  const { clock, reports, records, state, perform } = createReporter();
  await perform();
  clock.advance(WINDOW_MS + 1000);
  await perform();
  // Another holder made the next window final, and the log has lost that.
  clock.advance(WINDOW_MS);
  state.epoch = 1;
  await perform();
  assert.deepEqual(records.at(-1), { type: "usageGap", window: 101, epoch: 1 });
  clock.advance(WINDOW_MS);
  await perform();
  assert.deepEqual(
    reports.map((report) => (report as { window: number }).window),
    [100, 102],
  );
  assert.equal(records.length, 3);
});
