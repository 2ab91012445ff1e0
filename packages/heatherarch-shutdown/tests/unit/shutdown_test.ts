import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { ManualClock } from "heatherarch-core";
import {
  Shutdown,
  type ShutdownOptions,
  type ShutdownPhase,
} from "../../shutdown.ts";

const GRACE_MS = 8000;
const NOTICE_MS = 2800;
const EXIT_MARGIN_MS = 300;
const LIFE_MS = GRACE_MS - EXIT_MARGIN_MS;
const TARGET_SILENCE_MS = 1500;
const FORECAST_MS = 2000;
const LATE_MS = 20;
const MAX_READ_MS = 100;
const ROUTE = "route";

/** A shutdown whose clock and timers the test advances. */
class ShutdownFixture {
  readonly clock = new ManualClock();
  readonly phases: ShutdownPhase[] = [];
  readonly errors: unknown[] = [];
  readonly shutdown: Shutdown;
  readonly #context: TestContext;

  constructor(context: TestContext, options: Partial<ShutdownOptions> = {}) {
    this.#context = context;
    context.mock.timers.enable({ apis: ["setTimeout"] });
    this.clock.advance(60_000);
    this.shutdown = new Shutdown({
      clock: this.clock,
      graceMs: GRACE_MS,
      noticeMs: NOTICE_MS,
      exitMarginMs: EXIT_MARGIN_MS,
      onError: (thrown) => this.errors.push(thrown),
      ...options,
    });
    this.shutdown.registerPhaseListener((phase) => this.phases.push(phase));
  }

  /** Advances the clock, and runs the timers that are due. */
  advance(ms: number): void {
    this.clock.advance(ms);
    this.#context.mock.timers.tick(ms);
  }

  /** Advances the clock while no timer runs. */
  suspend(ms: number): void {
    this.clock.advance(ms);
  }

  /** Runs the timers that became due while the process stood still. */
  runTimers(ms: number): void {
    this.#context.mock.timers.tick(ms);
  }

  /** Tracks a call; returns how often it was ended. */
  trackCall(onEnd: () => void = () => {}): { ends: number; remove(): void } {
    const tracked = { ends: 0, remove: (): void => {} };
    tracked.remove = this.shutdown.trackCall({
      endForShutdown: () => {
        tracked.ends++;
        onEnd();
      },
    });
    return tracked;
  }
}

// Guards against a VM that refuses or counts calls although nobody asked it to stop.
test("admits every call and counts none before it begins", (context) => {
  const { shutdown, phases } = new ShutdownFixture(context);
  shutdown.recordEnd("unsafe", "completed");
  assert.equal(shutdown.phase, "running");
  assert.equal(shutdown.isStopping, false);
  assert.equal(shutdown.remainingMs, Infinity);
  assert.equal(shutdown.tookMs, 0);
  assert.equal(shutdown.admits({ route: ROUTE, timeoutMs: Infinity }), true);
  assert.deepEqual(shutdown.summarize(), {});
  assert.deepEqual(phases, []);
});

// Guards against a phase that begins early, late, twice or not at all.
test("advances by its timers, one phase after the other", (context) => {
  const fixture = new ShutdownFixture(context);
  const { shutdown, phases } = fixture;
  shutdown.begin();
  assert.deepEqual(phases, ["notice"]);
  fixture.advance(NOTICE_MS - 1);
  assert.equal(shutdown.phase, "notice");
  fixture.advance(1);
  assert.deepEqual(phases, ["notice", "draining"]);
  fixture.advance(LIFE_MS - NOTICE_MS - 1);
  assert.equal(shutdown.phase, "draining");
  assert.equal(shutdown.remainingMs, 1);
  fixture.advance(1);
  assert.deepEqual(phases, ["notice", "draining", "ending"]);
  fixture.advance(GRACE_MS);
  assert.deepEqual(phases, ["notice", "draining", "ending"]);
  shutdown.conclude();
  assert.deepEqual(phases, ["notice", "draining", "ending", "gone"]);
  assert.equal(shutdown.phase, "gone");
});

// Guards against a timer that runs early by the fraction of a millisecond and is not set again.
test("waits on when a timer runs before its phase begins", (context) => {
  const fixture = new ShutdownFixture(context);
  const { shutdown, phases } = fixture;
  shutdown.begin();
  fixture.suspend(NOTICE_MS - 0.5);
  fixture.runTimers(NOTICE_MS);
  assert.deepEqual(phases, ["notice"]);
  fixture.advance(1);
  assert.deepEqual(phases, ["notice", "draining"]);
});

// Guards against a second signal that starts the grace anew.
test("ignores a second begin", (context) => {
  const fixture = new ShutdownFixture(context);
  const { shutdown, phases } = fixture;
  shutdown.begin();
  fixture.advance(NOTICE_MS);
  shutdown.begin();
  assert.equal(shutdown.phase, "draining");
  assert.equal(shutdown.remainingMs, LIFE_MS - NOTICE_MS);
  assert.deepEqual(phases, ["notice", "draining"]);
});

// Guards against calls that are taken by a process that stood still, before its timers have run.
test("knows the phase by the clock after a standstill through the notice", (context) => {
  const fixture = new ShutdownFixture(context);
  const { shutdown, phases } = fixture;
  shutdown.begin();
  fixture.suspend(NOTICE_MS + 1000);
  assert.equal(shutdown.phase, "draining");
  assert.equal(shutdown.remainingMs, LIFE_MS - NOTICE_MS - 1000);
  assert.deepEqual(phases, ["notice"]);
  fixture.runTimers(NOTICE_MS);
  assert.deepEqual(phases, ["notice", "draining"]);
  fixture.advance(LIFE_MS - NOTICE_MS - 1000);
  assert.deepEqual(phases, ["notice", "draining", "ending"]);
});

// Guards against listeners that miss a phase, and calls without an end, after a standstill through the
// whole grace.
test("tells each phase in order after a standstill through the grace", (context) => {
  const fixture = new ShutdownFixture(context);
  const { shutdown, phases } = fixture;
  const call = fixture.trackCall();
  shutdown.begin();
  fixture.suspend(GRACE_MS * 2);
  assert.equal(shutdown.phase, "ending");
  assert.equal(shutdown.admits({ route: ROUTE, timeoutMs: 0 }), false);
  assert.equal(call.ends, 0);
  fixture.runTimers(NOTICE_MS);
  assert.deepEqual(phases, ["notice", "draining", "ending"]);
  assert.equal(call.ends, 1);
});

// Guards against a notice beyond the end of the VM, in which new connections would be cut.
test("shortens a notice that is longer than the grace", (context) => {
  const fixture = new ShutdownFixture(context, { noticeMs: GRACE_MS * 2 });
  fixture.shutdown.begin();
  fixture.advance(LIFE_MS - 1);
  assert.equal(fixture.shutdown.phase, "notice");
  fixture.advance(1);
  assert.deepEqual(fixture.phases, ["notice", "draining", "ending"]);
});

// Guards against a negative time left with a grace that is shorter than what the end needs.
test("ends at once without time for calls", (context) => {
  const fixture = new ShutdownFixture(context, { graceMs: 100 });
  const call = fixture.trackCall();
  fixture.shutdown.begin();
  assert.deepEqual(fixture.phases, ["notice", "draining", "ending"]);
  assert.equal(call.ends, 1);
});

// Guards against a VM without calls that waits for its whole grace.
test("ends early", (context) => {
  const fixture = new ShutdownFixture(context);
  const { shutdown, phases } = fixture;
  shutdown.begin();
  fixture.advance(NOTICE_MS + 100);
  shutdown.end();
  assert.equal(shutdown.phase, "ending");
  assert.equal(shutdown.admits({ route: ROUTE, timeoutMs: 0 }), false);
  assert.equal(shutdown.tookMs, NOTICE_MS + 100);
  fixture.advance(GRACE_MS);
  assert.deepEqual(phases, ["notice", "draining", "ending"]);
});

// Guards against an end that nobody asked for.
test("can't end before it begins", (context) => {
  const { shutdown } = new ShutdownFixture(context);
  assert.throws(() => shutdown.end());
  assert.throws(() => shutdown.conclude());
  assert.equal(shutdown.phase, "running");
});

// Guards against phases that are told twice, out of order or without end, as a listener of one phase ends
// the shutdown that has nothing left to do.
test("tells all listeners each phase once, in order, if one of them ends the shutdown", (context) => {
  const fixture = new ShutdownFixture(context);
  const { shutdown } = fixture;
  shutdown.registerPhaseListener((phase) => {
    if (phase === "draining") shutdown.end();
  });
  const later: ShutdownPhase[] = [];
  shutdown.registerPhaseListener((phase) => later.push(phase));
  shutdown.begin();
  fixture.advance(NOTICE_MS);
  assert.deepEqual(fixture.phases, ["notice", "draining", "ending"]);
  assert.deepEqual(later, ["notice", "draining", "ending"]);
  assert.equal(shutdown.phase, "ending");
});

// Guards against a listener that is told phases after it was removed.
test("tells no phase to a listener that was removed", (context) => {
  const fixture = new ShutdownFixture(context);
  const told: ShutdownPhase[] = [];
  const remove = fixture.shutdown.registerPhaseListener((p) => told.push(p));
  fixture.shutdown.begin();
  remove();
  fixture.advance(GRACE_MS);
  assert.deepEqual(told, ["notice"]);
});

// Guards against a wait without end for a phase that has begun already or that was passed over.
test("resolves waits for phases that have begun or were passed", async (context) => {
  const fixture = new ShutdownFixture(context);
  const { shutdown } = fixture;
  shutdown.begin();
  await shutdown.awaitPhase("running");
  await shutdown.awaitPhase("notice");
  const draining = shutdown.awaitPhase("draining");
  const gone = shutdown.awaitPhase("gone");
  shutdown.conclude();
  await Promise.all([draining, gone, shutdown.awaitPhase("ending")]);
});

// Guards against one listener or call whose error keeps the others from their end.
test("ends all calls if a listener and a call throw", (context) => {
  const fixture = new ShutdownFixture(context);
  const { shutdown } = fixture;
  const later: ShutdownPhase[] = [];
  shutdown.registerPhaseListener((phase) => {
    throw new Error(phase);
  });
  shutdown.registerPhaseListener((phase) => later.push(phase));
  const failing = fixture.trackCall(() => {
    throw new Error("call");
  });
  const call = fixture.trackCall();
  shutdown.begin();
  fixture.advance(GRACE_MS);
  assert.deepEqual(later, ["notice", "draining", "ending"]);
  assert.deepEqual([failing.ends, call.ends], [1, 1]);
  assert.deepEqual(
    fixture.errors.map((error) => (error as Error).message),
    ["notice", "draining", "ending", "call"],
  );
});

// Guards against an error that ends the process, as nothing is given that takes it.
test("continues after an error without a handler", (context) => {
  const fixture = new ShutdownFixture(context, { onError: undefined });
  fixture.trackCall(() => {
    throw new Error("call");
  });
  const call = fixture.trackCall();
  fixture.shutdown.begin();
  fixture.advance(GRACE_MS);
  assert.equal(call.ends, 1);
});

// Guards against a call without an end that arrives while the last ones are ended, or later.
test("ends a call at once that is tracked in the ending phase", (context) => {
  const fixture = new ShutdownFixture(context);
  let inner: { ends: number } | undefined;
  const outer = fixture.trackCall(() => {
    inner = fixture.trackCall();
  });
  fixture.shutdown.begin();
  fixture.advance(GRACE_MS);
  const late = fixture.trackCall();
  fixture.shutdown.conclude();
  const last = fixture.trackCall();
  assert.deepEqual(
    [outer.ends, inner?.ends, late.ends, last.ends],
    [1, 1, 1, 1],
  );
});

/** Lets the microtasks run that wait for a read. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 10; turn++) await Promise.resolve();
}

// Guards against a failure in place of a response that waits in a socket, as the process stood still over the
// begin of the ending phase.
test("ends calls once what has arrived is read", async (context) => {
  let finishRead = (): void => {};
  const read = new Promise<void>((resolve) => finishRead = resolve);
  const fixture = new ShutdownFixture(context, { awaitRead: () => read });
  const answered = fixture.trackCall();
  const open = fixture.trackCall();
  fixture.shutdown.begin();
  fixture.advance(GRACE_MS);
  await settle();
  assert.deepEqual([answered.ends, open.ends], [0, 0]);
  // A call that arrives meanwhile has not been sent.
  assert.equal(fixture.trackCall().ends, 1);
  answered.remove();
  finishRead();
  await fixture.shutdown.awaitCallEnd();
  assert.deepEqual([answered.ends, open.ends], [0, 1]);
});

// Guards against calls without an end, and a process that is killed, as a read takes too long or fails.
test("ends calls although what has arrived is not read", async (context) => {
  const reads = [new Promise<void>(() => {}), Promise.reject(new Error("r"))];
  for (const read of reads) {
    const fixture = new ShutdownFixture(context, { awaitRead: () => read });
    const call = fixture.trackCall();
    fixture.shutdown.begin();
    fixture.suspend(LATE_MS);
    fixture.advance(LIFE_MS);
    fixture.advance(MAX_READ_MS);
    await fixture.shutdown.awaitCallEnd();
    assert.equal(call.ends, 1);
    context.mock.timers.reset();
  }
});

// Guards against a process that is killed, as each stop takes a part of its exit margin to read.
test("ends calls at once if the process is not late", (context) => {
  const awaitRead = (): Promise<void> => new Promise(() => {});
  const fixture = new ShutdownFixture(context, { awaitRead });
  const call = fixture.trackCall();
  fixture.shutdown.begin();
  fixture.advance(NOTICE_MS);
  fixture.suspend(LATE_MS - 1);
  fixture.advance(LIFE_MS - NOTICE_MS);
  assert.equal(call.ends, 1);
});

// Guards against a call that is ended twice, as a listener of the ending phase tracked it.
test("ends a call once that a listener of the ending phase tracks", (context) => {
  const fixture = new ShutdownFixture(context);
  const calls: { ends: number }[] = [];
  fixture.shutdown.registerPhaseListener((phase) => {
    if (phase === "ending") calls.push(fixture.trackCall());
  });
  fixture.shutdown.begin();
  fixture.advance(GRACE_MS);
  assert.deepEqual(calls.map(({ ends }) => ends), [1]);
});

// Guards against the end of a call that has its end already, also by that of another call.
test("ends no call that has ended", (context) => {
  const fixture = new ShutdownFixture(context);
  const early = fixture.trackCall();
  fixture.trackCall(() => other.remove());
  const other = fixture.trackCall();
  fixture.shutdown.begin();
  early.remove();
  fixture.advance(GRACE_MS);
  assert.deepEqual([early.ends, other.ends], [0, 0]);
});

// Guards against a call that is refused although its timeout expires in time, and one that is cut.
test("admits a call whose timeout expires before the VM ends", (context) => {
  const fixture = new ShutdownFixture(context);
  const { shutdown } = fixture;
  shutdown.recordServed(ROUTE, LIFE_MS);
  shutdown.begin();
  for (const elapsedMs of [0, FORECAST_MS, NOTICE_MS, 5000, LIFE_MS - 1]) {
    fixture.advance(elapsedMs - shutdown.tookMs);
    const remainingMs = LIFE_MS - elapsedMs;
    const admits = (timeoutMs: number): boolean =>
      shutdown.admits({ route: ROUTE, timeoutMs });
    assert.equal(admits(0), true);
    assert.equal(admits(remainingMs), true);
    assert.equal(admits(remainingMs + 1), false);
    assert.equal(admits(Infinity), false);
  }
});

// Guards against a call of a fast route that is refused early for its long timeout alone, and against one
// that is cut, as a forecast was trusted when little time was left.
test("admits a call by a forecast in the first seconds only", (context) => {
  const fixture = new ShutdownFixture(context);
  const { shutdown } = fixture;
  const admits = (): boolean =>
    shutdown.admits({ route: ROUTE, timeoutMs: 30_000 });
  shutdown.recordServed(ROUTE, 500);
  shutdown.begin();
  assert.equal(admits(), true);
  fixture.advance(FORECAST_MS - 1);
  assert.equal(admits(), true);
  fixture.advance(1);
  assert.equal(admits(), false);
});

// Guards against a call that is cut as its target was silent for a moment.
test("leaves time for a silence in a forecast", (context) => {
  const fixture = new ShutdownFixture(context);
  const { shutdown } = fixture;
  const elapsedMs = 1000;
  const tookMs = LIFE_MS - elapsedMs - TARGET_SILENCE_MS;
  const admits = (route: string): boolean =>
    shutdown.admits({ route, timeoutMs: 30_000 });
  shutdown.recordServed("in time", tookMs);
  shutdown.recordServed("late", tookMs + 1);
  shutdown.begin();
  fixture.advance(elapsedMs);
  assert.equal(admits("in time"), true);
  assert.equal(admits("late"), false);
});

// Guards against a call that is refused after it has waited, although it is expected to end, and against
// one that is sent and cut.
test("lets a call that has waited go on as long as it is expected to end", (context) => {
  const fixture = new ShutdownFixture(context);
  const { shutdown } = fixture;
  const tookMs = 500;
  const canStillEnd = (): boolean =>
    shutdown.canStillEnd({ route: ROUTE, timeoutMs: 30_000 });
  shutdown.recordServed(ROUTE, tookMs);
  assert.equal(canStillEnd(), true);
  shutdown.begin();
  fixture.advance(LIFE_MS - tookMs - TARGET_SILENCE_MS);
  assert.equal(canStillEnd(), true);
  fixture.advance(1);
  assert.equal(canStillEnd(), false);
  const inTime = { route: ROUTE, timeoutMs: shutdown.remainingMs };
  assert.equal(shutdown.canStillEnd(inTime), true);
  shutdown.end();
  assert.equal(shutdown.canStillEnd(inTime), false);
});

// Guards against calls of a route that no call was served on, which are refused until the VM has ended
// although they would end in time.
test("admits calls of new routes in the first seconds only", (context) => {
  const fixture = new ShutdownFixture(context);
  const { shutdown } = fixture;
  const admits = (): boolean =>
    shutdown.admits({ route: "new", timeoutMs: 30_000 });
  shutdown.begin();
  fixture.advance(FORECAST_MS - 1);
  assert.equal(admits(), true);
  fixture.advance(1);
  assert.equal(admits(), false);
});

// Guards against forecasts until the end of a short grace.
test("shortens the time of forecasts with the grace", (context) => {
  const graceMs = EXIT_MARGIN_MS + 3000;
  const fixture = new ShutdownFixture(context, { graceMs });
  const { shutdown } = fixture;
  const admits = (): boolean =>
    shutdown.admits({ route: "new", timeoutMs: 30_000 });
  shutdown.begin();
  fixture.advance(899);
  assert.equal(admits(), true);
  fixture.advance(1);
  assert.equal(admits(), false);
});

// Guards against a call that is accepted at the moment of the end.
test("admits no call from the end on", (context) => {
  const fixture = new ShutdownFixture(context);
  const { shutdown } = fixture;
  shutdown.recordServed(ROUTE, 1);
  shutdown.begin();
  fixture.suspend(LIFE_MS);
  assert.equal(shutdown.remainingMs, 0);
  assert.equal(shutdown.admits({ route: ROUTE, timeoutMs: 0 }), false);
  shutdown.conclude();
  assert.equal(shutdown.admits({ route: ROUTE, timeoutMs: 0 }), false);
});

// Guards against ends of calls that are missing in the report or the counter.
test("counts the calls that have ended since it began", (context) => {
  const told: string[] = [];
  const { shutdown } = new ShutdownFixture(context, {
    onCallEnd: (kind, outcome) => told.push(`${kind} ${outcome}`),
  });
  shutdown.recordEnd("unsafe", "completed");
  shutdown.begin();
  shutdown.recordEnd("unsafe", "completed");
  shutdown.conclude();
  shutdown.recordEnd("stream", "cut");
  assert.deepEqual(shutdown.summarize(), {
    completed: { unsafe: 1 },
    cut: { stream: 1 },
  });
  assert.deepEqual(told, ["unsafe completed", "stream cut"]);
});
