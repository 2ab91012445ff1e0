import assert from "node:assert/strict";
import { test } from "node:test";
import type { CallKind } from "../../mod.ts";
import {
  runScript,
  type ScriptedAttempt,
  type ScriptedResult,
  type ScriptOutcome,
} from "./scripted_call.ts";

const ENDS: readonly ScriptedResult[] = [
  "notSent",
  "lostBefore",
  "lostAfter",
  "refused",
  "failed",
  "cut",
  "ok",
];
const STEPS = ENDS.flatMap((end): ScriptedAttempt[] => [
  { end, restarts: false },
  { end, restarts: true },
]);
/** Tries whose ends are played in all orders; later ones end well. */
const DEPTH = 3;
const MAX_TARGETS = 2;
/** Statuses that promise that the call has not run and will not. */
const NOT_RUN: ReadonlySet<number | undefined> = new Set([408, 421, 429, 503]);

/** All orders of events, each as long as tries were made. */
async function playAll(
  kind: CallKind,
  check: (outcome: ScriptOutcome, script: readonly ScriptedAttempt[]) => void,
): Promise<number> {
  let played = 0;
  const playFrom = async (
    script: readonly ScriptedAttempt[],
  ): Promise<void> => {
    const outcome = await runScript(kind, script);
    played++;
    check(outcome, script);
    // A script that was not used up has no further orders.
    if (outcome.used < script.length || script.length === DEPTH) return;
    for (const step of STEPS) await playFrom([...script, step]);
  };
  for (const step of STEPS) await playFrom([step]);
  return played;
}

function describe(
  outcome: ScriptOutcome,
  script: readonly ScriptedAttempt[],
): string {
  return JSON.stringify({ script, outcome });
}

for (
  const kind of ["once", "idempotent", "stream", "resumableStream"] as const
) {
  test(`${kind}: whatever is lost, refused or restarted, "not run" is true and nothing runs too often`, async () => {
    const played = await playAll(kind, (outcome, script) => {
      const { runs, status, isWhole, body } = outcome;
      const shown = describe(outcome, script);
      if (NOT_RUN.has(status)) assert.equal(runs.length, 0, shown);
      const most = kind === "once" || kind === "stream" ? 1 : MAX_TARGETS;
      assert.ok(runs.length <= most, shown);
      assert.ok(status !== undefined, shown);
      if (status !== 200 || !isWhole) return;
      const events = [...body.matchAll(/id: (\d)/g)].map(([, id]) => id);
      assert.deepEqual(events, ["1", "2", "3"], shown);
    });
    assert.ok(played > STEPS.length, `${played} orders`);
  });
}

test("a call is tried again where it has not run, and never where it may have", async () => {
  const play = async (kind: CallKind, end: ScriptedResult) => {
    const { status, runs } = await runScript(kind, [{ end, restarts: true }]);
    return [status, runs.length];
  };
  for (const kind of ["once", "idempotent", "stream"] as const) {
    assert.deepEqual(await play(kind, "notSent"), [200, 1], kind);
    assert.deepEqual(await play(kind, "refused"), [200, 1], kind);
  }
  assert.deepEqual(await play("once", "lostBefore"), [502, 0]);
  assert.deepEqual(await play("once", "lostAfter"), [502, 1]);
  assert.deepEqual(await play("stream", "lostAfter"), [502, 1]);
  assert.deepEqual(await play("idempotent", "lostAfter"), [200, 2]);
  assert.deepEqual(await play("resumableStream", "cut"), [200, 2]);
});
