import assert from "node:assert/strict";
import { test } from "node:test";
import type { CallKind } from "../../mod.ts";
import { describe, runAll, STEPS } from "./call_sequences.ts";
import {
  runScript,
  type ScriptedAttempt,
  type ScriptedResult,
} from "./scripted_call.ts";

const MAX_TARGETS = 2;
/** Statuses that promise that the call did not run and will not run. */
const NOT_RUN: ReadonlySet<number | undefined> = new Set([408, 421, 429, 503]);

for (
  const kind of ["once", "idempotent", "stream", "resumableStream"] as const
) {
  test(`${kind}: after any loss, refusal or restart, "not run" is true and the call runs at most as often as allowed`, async () => {
    const sequences = await runAll(kind, (outcome, script) => {
      const { runs, status, isWhole, body } = outcome;
      const description = describe(outcome, script);
      if (NOT_RUN.has(status)) assert.equal(runs.length, 0, description);
      const maxRuns = kind === "once" || kind === "stream" ? 1 : MAX_TARGETS;
      assert.ok(runs.length <= maxRuns, description);
      assert.ok(status !== undefined, description);
      if (status !== 200 || !isWhole) return;
      const events = [...body.matchAll(/id: (\d)/g)].map(([, id]) => id);
      assert.deepEqual(events, ["1", "2", "3"], description);
    });
    assert.ok(sequences > STEPS.length, `${sequences} sequences`);
  });
}

test("a call is retried if it has not run, and only a repeatable one if it may have run", async () => {
  const run = async (kind: CallKind, end: ScriptedResult) => {
    const { status, runs } = await runScript(kind, [{ end, restarts: true }]);
    return [status, runs.length];
  };
  for (const kind of ["once", "idempotent", "stream"] as const) {
    assert.deepEqual(await run(kind, "notSent"), [200, 1], kind);
    assert.deepEqual(await run(kind, "refused"), [200, 1], kind);
  }
  assert.deepEqual(await run("once", "lostBefore"), [502, 0]);
  assert.deepEqual(await run("once", "lostAfter"), [502, 1]);
  // Guards against a target's 503 that is passed on as a promise which the target has not made.
  assert.deepEqual(await run("once", "falsePromise"), [502, 1]);
  assert.deepEqual(await run("stream", "falsePromise"), [502, 1]);
  assert.deepEqual(await run("stream", "lostAfter"), [502, 1]);
  assert.deepEqual(await run("idempotent", "lostAfter"), [200, 2]);
  assert.deepEqual(await run("resumableStream", "cut"), [200, 2]);
});

// Guards against a call that fails without a target left, although nothing was sent to one of them because
// this VM had stalled.
test("a target to which nothing was written for a reason of this VM may be tried again", async () => {
  const { status, runs } = await runScript("idempotent", [
    { end: "withheld", restarts: false },
    { end: "lostBefore", restarts: false },
  ]);
  assert.equal(status, 200);
  assert.equal(runs.length, 1);
});

// Guards against prefills, and retries of the fleet's budget, for each decode engine that is down.
test("a decode engine that is not reached costs no second prefill", async () => {
  const notSent: ScriptedAttempt = { end: "notSent", restarts: false };
  for (const kind of ["stream", "resumableStream"] as const) {
    const outcome = await runScript(kind, [notSent]);
    assert.equal(outcome.status, 200, kind);
    assert.equal(outcome.prefills, 1, kind);
    assert.equal(outcome.runs.length, 1, kind);
  }
});

// Guards against a second prefill after a handover that no peer has accepted.
test("a cache is kept while peers decline a call whose decode engines are not reached", async () => {
  const restarted: ScriptedAttempt = { end: "notSent", restarts: true };
  for (const kind of ["stream", "resumableStream"] as const) {
    const outcome = await runScript(kind, [restarted, restarted]);
    assert.equal(outcome.status, 200, kind);
    assert.equal(outcome.prefills, 1, kind);
    assert.equal(outcome.retriesTaken, 0, kind);
  }
});

// Guards against a KV cache that is given up for a peer that has accepted the call and then refuses it: the
// call needs a retry for its second prefill, and is refused if none is left.
test("a cache is kept while a peer that has accepted the call has not begun its response", async () => {
  const restarted: ScriptedAttempt = { end: "notSent", restarts: true };
  for (const kind of ["stream", "resumableStream"] as const) {
    const outcome = await runScript(kind, [restarted, restarted], {
      peer: "acceptsAndRefuses",
    });
    assert.ok(outcome.events.includes("callHandedOver"), kind);
    assert.equal(outcome.status, 200, kind);
    assert.equal(outcome.prefills, 1, kind);
    assert.equal(outcome.retriesTaken, 0, kind);
  }
});

// Guards against a second prefill, and two retries instead of one, for a KV cache that is still held.
test("a cache that a replaced engine did not take over is used at another engine", async () => {
  const misdirected: ScriptedAttempt = { end: "misdirected", restarts: false };
  for (const kind of ["stream", "resumableStream"] as const) {
    const outcome = await runScript(kind, [misdirected]);
    assert.equal(outcome.status, 200, kind);
    assert.equal(outcome.prefills, 1, kind);
    assert.equal(outcome.runs.length, 1, kind);
    assert.equal(outcome.retriesTaken, 1, kind);
  }
});

// Guards against a target that looks idle, and gets the next call, because its lost run was forgotten.
test("a lost run counts as in flight until its target has probably ended it", async (t) => {
  t.mock.timers.enable({ apis: ["setTimeout"] });
  const lost: ScriptedAttempt = { end: "lostAfter", restarts: false };
  const outcome = await runScript("once", [lost]);
  // While nothing is known of the work, it is assumed to take half of the objective of 300 ms.
  t.mock.timers.tick(149);
  assert.equal(outcome.countInFlight(), 1);
  t.mock.timers.tick(1);
  assert.equal(outcome.countInFlight(), 0);
  const { countInFlight } = await runScript("once", [{ ...lost, end: "ok" }]);
  assert.equal(countInFlight(), 0);
});
