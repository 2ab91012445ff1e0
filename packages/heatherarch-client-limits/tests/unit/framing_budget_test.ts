import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { ManualClock } from "heatherarch-core";
import { FramingBudget } from "../../mod.ts";

const OPTIONS = { bytesPerSecond: 1000, maxBodies: 2, freeBytes: 100 };

/** Resolves once all callbacks of promises that have resolved have run. */
function awaitCallbacks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

// Guards against ordinary chunked bodies that wait.
test("a body in ordinary chunks is read on at once", async () => {
  const budget = new FramingBudget({ clock: new ManualClock(), ...OPTIONS });
  const body = budget.open();
  await body.awaitTurn(50);
  await body.awaitTurn(100);
});

// Guards against a bound that a single client meets.
test("a body in very small chunks is read on at once if it is the only one", async () => {
  const budget = new FramingBudget({ clock: new ManualClock(), ...OPTIONS });
  const body = budget.open();
  await body.awaitTurn(10_000);
  await body.awaitTurn(20_000);
});

// Guards against a process that is busy with very small chunks alone.
test("bodies in very small chunks share the work, and further ones are refused", async () => {
  mock.timers.enable({ apis: ["setTimeout"] });
  try {
    let refused = 0;
    const budget = new FramingBudget({
      clock: new ManualClock(),
      ...OPTIONS,
      onRefused: () => refused++,
    });
    const bodies = [budget.open(), budget.open(), budget.open()];
    const ended: string[] = [];
    await bodies[0].awaitTurn(500);
    const second = bodies[1].awaitTurn(500).then(() => ended.push("second"));
    const first = bodies[0].awaitTurn(1000).then(() => ended.push("first"));
    await assert.rejects(bodies[2].awaitTurn(500), { kind: "overloaded" });
    assert.equal(refused, 1);
    mock.timers.tick(500);
    await second;
    assert.deepEqual(ended, ["second"]);
    mock.timers.tick(500);
    await first;
    bodies[0].close();
    bodies[1].close();
    await bodies[2].awaitTurn(600);
  } finally {
    mock.timers.reset();
  }
});

// Guards against a slow process that is busy with very small chunks alone.
test("the pause grows with the time that a body is read", async () => {
  mock.timers.enable({ apis: ["setTimeout"] });
  try {
    const clock = new ManualClock();
    const budget = new FramingBudget({ clock, ...OPTIONS });
    const body = budget.open();
    await body.awaitTurn(200);
    const other = budget.open().awaitTurn(200);
    mock.timers.tick(200);
    await other;
    const first = body.awaitTurn(201);
    mock.timers.tick(1000);
    await first;
    clock.advance(1100);
    const second = body.awaitTurn(202);
    let hasEnded = false;
    second.then(() => hasEnded = true);
    mock.timers.tick(500);
    await Promise.resolve();
    assert.ok(!hasEnded);
    mock.timers.tick(100);
    await second;
  } finally {
    mock.timers.reset();
  }
});

// Guards against a long stream of small events that counts as costly although it comes slowly.
test("framing no longer counts after a while", async () => {
  const clock = new ManualClock();
  const budget = new FramingBudget({
    clock,
    ...OPTIONS,
    forgottenBytesPerSecond: 100,
  });
  const body = budget.open();
  assert.equal(body.record(100), false);
  assert.equal(body.record(101), true);
  clock.advance(1000);
  assert.equal(body.record(200), false);
  assert.equal(body.record(202), true);
});

// Guards against a target whose response in very small chunks takes all of a process's time.
test("the only costly body pauses too, if so configured", async () => {
  mock.timers.enable({ apis: ["setTimeout"] });
  try {
    const clock = new ManualClock();
    const budget = new FramingBudget({
      clock,
      ...OPTIONS,
      isOnlyBodyFree: false,
    });
    const body = budget.open();
    body.beginRead();
    clock.advance(100);
    let hasEnded = false;
    const turn = body.awaitTurn(150).then(() => hasEnded = true);
    mock.timers.tick(299);
    await Promise.resolve();
    assert.equal(hasEnded, false);
    mock.timers.tick(1);
    await turn;
  } finally {
    mock.timers.reset();
  }
});

// Guards against sound bodies that wait for seconds behind the turns of bodies that have ended.
test("the turn of a body that ends passes to those behind it", async () => {
  mock.timers.enable({ apis: ["setTimeout"] });
  try {
    const clock = new ManualClock();
    const budget = new FramingBudget({
      clock,
      ...OPTIONS,
      maxBodies: Infinity,
      isOnlyBodyFree: false,
    });
    const ending = Array.from({ length: 20 }, () => budget.open());
    let endedTurns = 0;
    for (const body of ending) {
      void body.awaitTurn(1000).then(() => endedTurns++);
    }
    const sound = budget.open();
    let isRead = false;
    void sound.awaitTurn(200).then(() => isRead = true);
    mock.timers.tick(500);
    clock.advance(500);
    for (const body of ending) body.close();
    await awaitCallbacks();
    assert.equal(endedTurns, ending.length);
    mock.timers.tick(199);
    await awaitCallbacks();
    assert.equal(isRead, false);
    mock.timers.tick(1);
    await awaitCallbacks();
    assert.equal(isRead, true);
  } finally {
    mock.timers.reset();
  }
});
