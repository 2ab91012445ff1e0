import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { ManualClock } from "heatherarch-core";
import { RequestQuarantine } from "heatherarch-quarantine";
import { QuarantinePersistence } from "../../mod.ts";

/** Reads that fail before the store is back. */
const FAILED_READS = 8;
/** Time within which a VM knows what is held back once the store answers, milliseconds. */
const KNOWN_MS = 1000;

// VMs that all started in an outage ran a quarantined request for up to 8 s after it.
test("what is held back is loaded soon after the store is back", async () => {
  const pauses: number[] = [];
  const timers = mock.method(
    globalThis,
    "setTimeout",
    (resolve: () => void, ms: number) => {
      pauses.push(ms);
      queueMicrotask(resolve);
    },
  );
  let reads = 0;
  const keeper = new QuarantinePersistence({
    topic: {
      load: () =>
        reads++ < FAILED_READS
          ? Promise.reject(new Error("status 503"))
          : Promise.resolve({ entries: [], next: 0 }),
      readChanges: () => Promise.resolve({ entries: [], next: 0 }),
      put: () => Promise.resolve(),
    },
    quarantine: new RequestQuarantine(),
    clock: new ManualClock(),
    log: { write: () => undefined },
  });
  try {
    keeper.start();
    await new Promise((resolve) => setImmediate(resolve));
  } finally {
    timers.mock.restore();
    keeper.stop();
  }
  assert.equal(pauses.length, FAILED_READS);
  assert.ok(Math.max(...pauses) <= KNOWN_MS, pauses.join(", "));
});
