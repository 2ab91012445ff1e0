import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "heatherarch-core";
import type { LogPort, LogRecord } from "heatherarch-log";
import {
  DutyCandidacy,
  type LeaseChange,
  LeaseHolder,
  type LeaseHolderOptions,
} from "../../mod.ts";

const LEASE_MS = 3000;

/** A log in memory whose oldest records may have expired. */
class TestLog implements LogPort {
  readonly #records: LogRecord[] = [];
  oldestOffset = 0;

  append(_stream: string, data: unknown): Promise<number> {
    const offset = this.#records.length;
    this.#records.push({ offset, appendedAtMs: 0, data });
    return Promise.resolve(offset);
  }

  read(_stream: string, from: number) {
    return Promise.resolve({
      records: this.#records.slice(Math.max(from, this.oldestOffset)),
      first: this.oldestOffset,
      next: this.#records.length,
    });
  }

  /** Drops all records. */
  forget(): void {
    this.oldestOffset = this.#records.length;
  }
}

function createHolder(
  vmId: string,
  log: LogPort,
  clock: ManualClock,
  options: Pick<LeaseHolderOptions, "waitsForPredecessor"> = {},
) {
  const changes: LeaseChange["kind"][] = [];
  let ids = 0;
  const holder = new LeaseHolder({
    stream: "s",
    vmId,
    incarnation: `${vmId}/1`,
    log,
    leaseMs: LEASE_MS,
    clock,
    createId: () => `${vmId}-${ids++}`,
    onChange: ({ kind }) => changes.push(kind),
    ...options,
  });
  return { holder, changes };
}

/** Lets a holder act for a time, in steps of a third of a lease. */
async function run(
  holders: readonly LeaseHolder[],
  clock: ManualClock,
  ms: number,
): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += LEASE_MS / 3) {
    for (const holder of holders) await holder.step();
    clock.advance(LEASE_MS / 3);
  }
}

test("a lease passes on when its holder falls silent, with a higher fencing token", async () => {
  const log = new TestLog();
  const clock = new ManualClock();
  const a = createHolder("a", log, clock).holder;
  const b = createHolder("b", log, clock).holder;
  a.seek();
  await a.step();
  assert.ok(a.hasAuthority());
  b.seek();
  await run([a, b], clock, 4 * LEASE_MS);
  assert.ok(a.hasAuthority() && !b.hasAuthority());
  await run([b], clock, 3 * LEASE_MS);
  assert.ok(!a.hasAuthority() && b.hasAuthority());
  assert.ok(b.fencing > a.fencing);
});

test("a released lease can be taken at once", async () => {
  const log = new TestLog();
  const clock = new ManualClock();
  const a = createHolder("a", log, clock);
  a.holder.seek();
  await a.holder.step();
  await a.holder.resign("test");
  assert.deepEqual(a.changes, ["sought", "taken", "released"]);
  const b = createHolder("b", log, clock).holder;
  b.seek();
  await b.step();
  assert.ok(b.hasAuthority());
});

// The log keeps records for a limited time, so the claim of a holder that stays expires.
test("a VM that can't read the holder's claim any more waits for a lease without a sign", async () => {
  const log = new TestLog();
  const clock = new ManualClock();
  const a = createHolder("a", log, clock).holder;
  a.seek();
  await run([a], clock, 2 * LEASE_MS);
  log.forget();
  const b = createHolder("b", log, clock).holder;
  b.seek();
  await run([a, b], clock, 4 * LEASE_MS);
  assert.ok(a.hasAuthority());
  assert.ok(!b.hasAuthority());
  await run([b], clock, 3 * LEASE_MS);
  assert.ok(b.hasAuthority());
  assert.ok(b.fencing > a.fencing);
  await a.read();
  assert.ok(!a.hasAuthority());
  assert.equal(a.holder, "b");
});

// Where requests with a lower fencing token are refused, the last holder can do no harm.
test("a holder waits for its predecessor's lease only where fencing tokens are not checked", async () => {
  for (const waitsForPredecessor of [true, false]) {
    const log = new TestLog();
    const clock = new ManualClock();
    const a = createHolder("a", log, clock).holder;
    const options = { waitsForPredecessor };
    const b = createHolder("b", log, clock, options).holder;
    a.seek();
    await a.step();
    b.seek();
    await b.step();
    clock.advance(2 * LEASE_MS);
    await b.step();
    assert.ok(b.isHolder);
    assert.equal(b.hasAuthority(), !waitsForPredecessor);
    assert.ok(!a.hasAuthority());
  }
});

test("a suspension ends the authority, however little the monotonic clock counted", async () => {
  const clock = new ManualClock();
  const { holder, changes } = createHolder("a", new TestLog(), clock);
  holder.seek();
  await holder.step();
  clock.suspend(2 * LEASE_MS);
  assert.ok(!holder.hasAuthority());
  assert.equal(changes.at(-1), "dropped");
});

const VACANT = {
  rank: 0,
  isVacant: true,
  hasHistory: false,
  lastSignOffset: -1,
};

function createCandidacy(): DutyCandidacy {
  return new DutyCandidacy({ leaseMs: LEASE_MS, startedAtMs: 0 });
}

test("candidates seek a duty in their order, and VMs that are none never do", () => {
  for (const [rank, delayMs] of [[0, 0], [1, 1000], [3, 3000]]) {
    const candidacy = createCandidacy();
    const view = { ...VACANT, rank };
    assert.equal(candidacy.shouldSeek(view, 5000), delayMs === 0);
    assert.equal(candidacy.shouldSeek(view, 5000 + delayMs - 1), false);
    assert.equal(candidacy.shouldSeek(view, 5000 + delayMs), true);
  }
  const none = { ...VACANT, rank: undefined };
  assert.equal(createCandidacy().shouldSeek(none, 1e9), false);
});

test("a duty is not sought while its holder gives signs", () => {
  const candidacy = createCandidacy();
  const view = { ...VACANT, isVacant: false, hasHistory: true };
  for (let i = 0; i < 20; i++) {
    const held = { ...view, lastSignOffset: i };
    assert.equal(candidacy.shouldSeek(held, 10_000 + i * 1000), false);
  }
  const silent = { ...view, lastSignOffset: 19 };
  assert.equal(candidacy.shouldSeek(silent, 31_900), false);
  assert.equal(candidacy.shouldSeek(silent, 32_000), true);
});

// Holders that alternate within a lease could have their requests carried out in any order.
test("a VM that gave a duty up, or has just started, stays away for two leases", () => {
  const candidacy = createCandidacy();
  const view = { ...VACANT, hasHistory: true };
  assert.equal(candidacy.shouldSeek(view, 5999), false);
  assert.equal(candidacy.shouldSeek(view, 6000), true);
  candidacy.recordEnd(20_000);
  assert.equal(candidacy.shouldSeek(view, 25_999), false);
  assert.equal(candidacy.shouldSeek(view, 26_000), true);
});
