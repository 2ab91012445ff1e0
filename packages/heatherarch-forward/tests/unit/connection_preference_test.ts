import assert from "node:assert/strict";
import { test } from "node:test";
import { Random } from "heatherarch-core";
import {
  ConnectionPreference,
  NEW_CONNECTION_MS,
  pickLeastLoaded,
  PrefillTimeModel,
  PromptPlacer,
} from "../../mod.ts";
import type { Target } from "../../model.ts";
import { buildEngine, buildPrompt, TRAITS } from "./fixtures.ts";

const IDLE_TIMEOUT_MS = 4000;
/** Time of a stream at a decode engine. */
const RUN_MS = 500;
const ENGINES = Array.from({ length: 64 }, (_, i) => buildEngine(`e${i}`));

function buildPreference(
  callsPerSecond: number,
  hasIdle: (target: Target) => boolean,
): ConnectionPreference {
  return new ConnectionPreference({
    connections: { hasIdle, idleTimeoutMs: IDLE_TIMEOUT_MS },
    getCallsPerMinute: () => callsPerSecond * 60,
  });
}

/** Runs streams of one VM, and returns the share of them that opened a connection. */
function runStreams(
  callsPerSecond: number,
  isPreferring: boolean,
): { readonly opened: number; readonly maxRuns: number } {
  const random = new Random(3);
  const calls = 2000;
  /** Times at which the runs at an engine end; an idle connection has such a time in the past. */
  const endsMs = new Map<string, number[]>();
  let nowMs = 0;
  let opened = 0;
  let maxRuns = 0;
  const listOpen = (id: string): number[] =>
    (endsMs.get(id) ?? []).filter((endMs) => nowMs < endMs + IDLE_TIMEOUT_MS);
  const hasIdle = ({ id }: Target): boolean =>
    listOpen(id).some((endMs) => endMs <= nowMs);
  const preference = buildPreference(callsPerSecond, hasIdle);
  for (let i = 0; i < calls; i++) {
    nowMs += random.drawExponential(1000 / callsPerSecond);
    const needsConnection = isPreferring
      ? preference.buildCheck(ENGINES.length, nowMs)
      : () => false;
    const candidates = ENGINES.map((target) => ({
      target,
      runs: listOpen(target.id).filter((endMs) => endMs > nowMs).length,
      kvTokens: 0,
      maxKvTokens: 0,
      needsConnection: needsConnection(target),
    }));
    const picked = pickLeastLoaded(
      candidates,
      undefined,
      () => random.drawUnit(),
    );
    assert.ok(picked !== undefined);
    const { target, runs } = picked;
    if (!hasIdle(target)) opened++;
    maxRuns = Math.max(maxRuns, runs + 1);
    const idleSinceMs = Math.max(
      -Infinity,
      ...listOpen(target.id).filter((endMs) => endMs <= nowMs),
    );
    const others = listOpen(target.id).filter((endMs) => endMs !== idleSinceMs);
    endsMs.set(target.id, [...others, nowMs + RUN_MS]);
  }
  return { opened: opened / calls, maxRuns };
}

// Guards against a VM of a large fleet that opens a connection for most of its requests, and against
// runs that pile up at the engines to which it has connections.
test("few streams to many engines go where connections are open", () => {
  const before = runStreams(5, false);
  const preferring = runStreams(5, true);
  assert.ok(before.opened > 0.5, `${before.opened}`);
  assert.ok(preferring.opened < 0.1, `${preferring.opened}`);
  assert.ok(preferring.maxRuns <= 3, `${preferring.maxRuns} runs`);
});

// Guards against changed decisions in small fleets, whose connections are used again in time.
test("a VM with many calls for each engine has no preference", () => {
  const calls = ENGINES.length / IDLE_TIMEOUT_MS * 1000;
  const needs = (callsPerSecond: number): boolean =>
    buildPreference(callsPerSecond, () => false)
      .buildCheck(ENGINES.length, 0)(ENGINES[0]);
  assert.equal(needs(calls * 1.1), false);
  assert.equal(needs(calls * 0.9), true);
});

// Guards against prompts that wait for a busy engine for the sake of a connection.
test("a prompt goes to an engine with an open connection if that costs it little time", () => {
  const [connected, other] = ENGINES;
  const placer = new PromptPlacer({ model: new PrefillTimeModel() });
  const pick = (backlogMs: number): Target | undefined =>
    placer.pickEngine(buildPrompt("k", 0, 1000), {
      candidates: [
        { target: other, backlogMs: 0 },
        { target: connected, backlogMs },
      ],
      prefillEngines: ENGINES,
      prefixHolders: [],
      prefixSources: [],
      traits: TRAITS,
      needsConnection: ({ id }) => id !== connected.id,
    })?.target;
  assert.equal(pick(NEW_CONNECTION_MS - 1), connected);
  assert.equal(pick(NEW_CONNECTION_MS + 1), other);
});
