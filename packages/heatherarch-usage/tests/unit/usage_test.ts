import assert from "node:assert/strict";
import { test } from "node:test";
import { InvariantError } from "heatherarch-core";
import { UsageCollection, UsageLedger, UsageMeter } from "../../mod.ts";

const WINDOW_MS = 5000;

function createLedger(): UsageLedger {
  return new UsageLedger({
    windowMs: WINDOW_MS,
    settleMs: 1000,
    lateMs: 10_000,
  });
}

test("a meter lists each change once to each reader", () => {
  const meter = new UsageMeter();
  meter.add(7, "a");
  meter.add(7, "a");
  meter.add(7, "b");
  const first = meter.listChanges(0);
  assert.deepEqual(first.rows, [[7, "a", 2], [7, "b", 1]]);
  assert.deepEqual(meter.listChanges(first.cursor).rows, []);
  meter.remove(7, "b");
  meter.add(8, "a");
  const second = meter.listChanges(first.cursor);
  assert.deepEqual(second.rows, [[7, "b", 0], [8, "a", 1]]);
});

// Each VM tells two hubs, and the holder of the duty asks both; a restarted VM is another process.
test("counts that arrive on two ways are summed once, and those of an ended process remain", () => {
  const hubs = [new UsageCollection(), new UsageCollection()];
  for (const hub of hubs) hub.apply("vm-a/1", [[7, "a", 3], [7, "b", 1]]);
  hubs[0].apply("vm-a/1", [[7, "a", 4]]);
  hubs[1].apply("vm-a/2", [[7, "a", 2]]);
  const holder = new UsageCollection();
  for (const hub of [...hubs, ...hubs]) holder.merge(7, hub.listWindow(7));
  assert.deepEqual(holder.sumWindow(7), { a: 6, b: 1 });
  assert.deepEqual(holder.sumWindow(8), {});
});

test("the first record of a window is final, and a later one of another writer is ignored", () => {
  const ledger = createLedger();
  ledger.applyRecord({ type: "usage", window: 7, counts: { a: 1 } });
  ledger.applyRecord({ type: "usage", window: 7, counts: { a: 2 } });
  ledger.applyRecord({ type: "usage", window: 6, counts: { a: 3 } });
  for (const data of [null, 3, { type: "usage" }, { type: "claim" }]) {
    ledger.applyRecord(data);
  }
  assert.deepEqual(ledger.listUnreported(), [{ window: 7, counts: { a: 1 } }]);
  ledger.recordReport(7);
  assert.deepEqual(ledger.listUnreported(), []);
  assert.throws(() => ledger.recordReport(8), InvariantError);
});

test("a window is due once its counts have settled, and windows become final in their order", () => {
  const ledger = createLedger();
  assert.equal(ledger.findNextWindow(100_000), undefined);
  ledger.beginAt(7 * WINDOW_MS + 1);
  assert.equal(ledger.findNextWindow(8 * WINDOW_MS + 999), undefined);
  assert.equal(ledger.findNextWindow(8 * WINDOW_MS + 1000), 7);
  assert.equal(ledger.isUrgent(7, 8 * WINDOW_MS + 1000), false);
  assert.equal(ledger.isUrgent(7, 8 * WINDOW_MS + 6000), true);
  ledger.applyRecord({ type: "usage", window: 7, counts: {} });
  assert.equal(ledger.findNextWindow(9 * WINDOW_MS + 1000), 8);
  // After an outage, windows whose counts are no longer known are left out.
  assert.equal(ledger.findNextWindow(100 * WINDOW_MS + 1000), 95);
});
