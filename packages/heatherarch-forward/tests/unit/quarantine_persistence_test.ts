import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { ManualClock } from "heatherarch-core";
import {
  type QuarantineChange,
  type QuarantinedRequest,
  RequestQuarantine,
} from "heatherarch-quarantine";
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

test("requests and parts of prompts share a topic and are told apart", async () => {
  const entries = ["request", "part:bad"].map((key) => ({
    key,
    value: { account: "acme", lives: ["e1", "e2", "e3"], atUnixMs: 0 },
  }));
  for (
    const { isOfParts, key, stored } of [
      { isOfParts: false, key: "request", stored: "own" },
      { isOfParts: true, key: "bad", stored: "part:own" },
    ]
  ) {
    const quarantine = new RequestQuarantine({ maxCrashes: 3 });
    const puts: string[] = [];
    const persistence = new QuarantinePersistence({
      topic: {
        load: () => Promise.resolve({ entries, next: 0 }),
        readChanges: () => Promise.resolve({ entries: [], next: 0 }),
        put: (putKey) => {
          puts.push(putKey);
          return Promise.resolve();
        },
      },
      quarantine,
      isOfParts,
      clock: new ManualClock(),
      log: { write: () => undefined },
    });
    persistence.start();
    await new Promise((resolve) => setImmediate(resolve));
    assert.deepEqual(
      quarantine.listSuspects().map(({ request }) => request),
      [key],
    );
    for (const incarnation of ["e1", "e2", "e3"]) {
      quarantine.recordCrash("own", "acme", incarnation, 0);
    }
    await new Promise((resolve) => setImmediate(resolve));
    persistence.stop();
    assert.deepEqual(puts, [stored]);
  }
});

// Guards against a quarantine that a restart of all VMs ends, as the store lost its record.
test("a restored store gets the latest change of each request again", async () => {
  let notify: (change: QuarantineChange) => void = () => undefined;
  const quarantined = new Set(["a", "b"]);
  const puts: string[] = [];
  const quarantine = {
    registerChangeListener: (listener: typeof notify) => {
      notify = listener;
      return () => undefined;
    },
    findQuarantined: (request: string) =>
      quarantined.has(request)
        ? {
          account: "acme",
          incarnations: [],
          sinceMs: 0,
        } as unknown as QuarantinedRequest
        : undefined,
    mergePeerReports: () => undefined,
  };
  const persistence = new QuarantinePersistence({
    topic: {
      load: () => Promise.resolve({ entries: [], next: 0 }),
      readChanges: () => Promise.resolve({ entries: [], next: 0 }),
      put: (key, value) => {
        puts.push(`${key} ${value === undefined ? "cleared" : "held"}`);
        return Promise.resolve();
      },
    },
    quarantine: quarantine as unknown as RequestQuarantine,
    clock: new ManualClock(),
    log: { write: () => undefined },
  });
  persistence.start();
  for (const request of ["a", "b"]) {
    notify({ kind: "held", request, isOwn: true });
  }
  quarantined.delete("b");
  notify({ kind: "cleared", request: "b", isOwn: true });
  notify({ kind: "held", request: "c", isOwn: false });
  await new Promise((resolve) => setImmediate(resolve));
  puts.length = 0;
  persistence.handleRestoration();
  await new Promise((resolve) => setImmediate(resolve));
  persistence.stop();
  assert.deepEqual(puts.sort(), ["a held", "b cleared"]);
});
