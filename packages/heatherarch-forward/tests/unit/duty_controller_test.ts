import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { ManualClock } from "heatherarch-core";
import type { LogPort, LogRecord } from "heatherarch-log";
import { type Duty, DutyController, MemoryEventLog } from "../../mod.ts";

const LEASE_MS = 3000;
const ROUND_MS = 250;

/** A log in memory. */
class TestLog implements LogPort {
  readonly #records: LogRecord[] = [];

  append(_stream: string, data: unknown): Promise<number> {
    const offset = this.#records.length;
    this.#records.push({ offset, appendedAtMs: 0, data });
    return Promise.resolve(offset);
  }

  read(_stream: string, from: number) {
    const records = this.#records.slice(from);
    return Promise.resolve({ records, first: 0, next: this.#records.length });
  }
}

/** Lets the tasks of a paused clock run for a time. */
async function run(clock: ManualClock, ms: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += ROUND_MS) {
    clock.advance(ROUND_MS);
    mock.timers.tick(ROUND_MS);
    for (let i = 0; i < 5; i++) await new Promise(setImmediate);
  }
}

// The platform responds to one duty's request only after half a lease.
test("a duty that waits long does not cost those after it the lease", async () => {
  mock.timers.enable({ apis: ["setTimeout"] });
  const clock = new ManualClock();
  const performed: string[] = [];
  const buildDuty = (name: string): Duty => ({
    name,
    handleRecord: () => undefined,
    perform: (session) => {
      assert.ok(session.hasAuthority());
      performed.push(name);
      clock.advance(LEASE_MS / 2);
      return Promise.resolve("done");
    },
  });
  const log = new MemoryEventLog();
  const controller = new DutyController({
    vmId: "a",
    incarnation: "a/1",
    log: new TestLog(),
    leaseMs: LEASE_MS,
    isFencingEnforced: true,
    clock,
    events: log,
    duties: ["usage", "capacity", "other"].map(buildDuty),
    listCandidates: () => ["a"],
    isCandidate: () => true,
  });
  try {
    controller.start();
    await run(clock, 5000);
    assert.ok(performed.length >= 9);
    assert.deepEqual(performed.slice(0, 3), ["usage", "capacity", "other"]);
    for (const [i, name] of performed.entries()) {
      assert.equal(name, performed[i % 3]);
    }
    assert.ok(!log.lines.some(({ event }) => event === "leaseGivenUp"));
    await controller.stop();
  } finally {
    mock.timers.reset();
  }
});
