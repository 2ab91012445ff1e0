import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { ManualClock } from "heatherarch-core";
import { RequestQuarantine } from "heatherarch-quarantine";
import { QuarantinePersistence } from "../../mod.ts";

/** Number of reads that fail before the store recovers. */
const FAILED_READS = 8;
/** Time within which a VM loads the quarantined requests after the store recovers, milliseconds. */
const MAX_LOAD_DELAY_MS = 1000;

// VMs that all started during a store outage ran a quarantined request for up to 8 s after its end,
// as their exponential backoff between loads had grown to that pause.
test("quarantined requests are loaded soon after the store recovers", async () => {
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
  const persistence = new QuarantinePersistence({
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
    persistence.start();
    await new Promise((resolve) => setImmediate(resolve));
  } finally {
    timers.mock.restore();
    persistence.stop();
  }
  assert.equal(pauses.length, FAILED_READS);
  assert.ok(Math.max(...pauses) <= MAX_LOAD_DELAY_MS, pauses.join(", "));
});
