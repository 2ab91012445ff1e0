import assert from "node:assert/strict";
import { test } from "node:test";
import type { Dispatcher } from "undici";
import { ReadBarrier, sleep } from "heatherarch-core";
import {
  awaitAttempt,
  buildWithheldExchange,
  type CallContext,
  ForwardMetrics,
  MemoryEventLog,
  type ResponseMetadata,
  TargetExchange,
  TargetHealth,
} from "../../mod.ts";
import { buildIdlePathMonitor, buildRoute, buildTarget } from "./fixtures.ts";

// A withheld request is never sent, so its result tells nothing about the target. Counted as a
// failure it would make the VM avoid a healthy target.
test("a withheld request ends as not sent and does not count as a failure of its target", async () => {
  const health = new TargetHealth();
  const context = {
    nowMs: 0,
    hasEnded: false,
    call: { id: "c", arrivedAtMs: 0 },
    route: buildRoute(),
    dependencies: {
      health,
      pathMonitor: buildIdlePathMonitor(),
      log: new MemoryEventLog(),
      metrics: new ForwardMetrics(),
    },
  } as unknown as CallContext;
  for (let i = 0; i < 10; i++) {
    const result = await awaitAttempt({
      context,
      target: buildTarget("t"),
      exchange: buildWithheldExchange("the request is quarantined"),
      stage: "whole",
    });
    assert.equal(result.kind, "notSent");
  }
  assert.equal(health.isAvoided("t", 0), false);
  assert.equal(health.isReachable("t"), true);
});

const REFUSALS: readonly Partial<ResponseMetadata>[] = [
  { notRun: true },
  { misdirected: true },
  { misdirected: true, answeredBy: "t" },
  {},
];

/** Plays an attempt of call "c" whose response has this metadata. */
async function receive(
  metadata: Partial<ResponseMetadata>,
  { status = 503 }: { status?: number } = {},
) {
  const aborted: string[] = [];
  const dispatch: Dispatcher["dispatch"] = (_options, handler) => {
    setImmediate(() => {
      const controller = {
        abort: (error: Error) => aborted.push(error.message),
        resume: () => undefined,
      } as unknown as Dispatcher.DispatchController;
      handler.onRequestStart?.(controller, undefined);
      handler.onResponseStart?.(controller, status, {}, "");
    });
    return true;
  };
  const context = {
    nowMs: 0,
    hasEnded: false,
    call: { id: "c", arrivedAtMs: 0 },
    route: buildRoute(),
    dependencies: {
      health: new TargetHealth(),
      pathMonitor: buildIdlePathMonitor(),
      log: new MemoryEventLog(),
      metrics: new ForwardMetrics(),
      codec: { decodeResponse: () => metadata },
      directory: { markReplaced: () => undefined },
      crashDetector: { recordCrash: () => undefined },
    },
  } as unknown as CallContext;
  const result = await awaitAttempt({
    context,
    target: buildTarget("t"),
    exchange: new TargetExchange(
      { dispatch },
      "http://10.0.0.1:80",
      { path: "/", method: "POST", headers: [], body: null },
      { onRelease: () => undefined },
    ),
    stage: "whole",
  });
  return { result, aborted };
}

// Guards against the refusal of another request that is taken for a promise that this one did not run.
test("a response that names another call or none tells nothing about the attempt", async () => {
  for (const refusal of REFUSALS) {
    for (const callId of [undefined, "other", ""]) {
      const { result, aborted } = await receive({ ...refusal, callId });
      assert.equal(result.kind, "lost");
      assert.equal(aborted.length, 1);
    }
    const { result } = await receive({ ...refusal, callId: "c" });
    const isStated = Object.keys(refusal).length > 0;
    assert.equal(result.kind, isStated ? "notRun" : "lost");
  }
});

// Guards against a target's status that is passed on as a promise that the call has not run, which only
// the statement of the target gives.
test("a status that would promise that the call has not run is not passed on", async () => {
  for (const status of [408, 429, 503]) {
    const { result, aborted } = await receive({ callId: "c" }, { status });
    assert.equal(result.kind, "lost", `status ${status}`);
    assert.equal(aborted.length, 0);
  }
  for (const status of [200, 400, 404, 500, 502, 504]) {
    const { result } = await receive({ callId: "c" }, { status });
    assert.equal(result.kind, "answer", `status ${status}`);
  }
});

/** Awaits a response for 120 ms, with a timeout of 10 ms. Confirming an alternative takes 30 ms. */
async function awaitSilent({ mayReserve = true, headAfterMs = 120 }) {
  const events: string[] = [];
  const dispatch: Dispatcher["dispatch"] = (_options, handler) => {
    const controller = {
      abort: () => events.push("abort"),
      resume: () => undefined,
    } as unknown as Dispatcher.DispatchController;
    handler.onRequestStart?.(controller, undefined);
    setTimeout(
      () => handler.onResponseStart?.(controller, 200, {}, ""),
      headAfterMs,
    );
    return true;
  };
  const context = {
    nowMs: 0,
    hasEnded: false,
    peerOffer: { release: () => undefined },
    call: { id: "c", arrivedAtMs: 0 },
    route: buildRoute(),
    recordLoss: () => undefined,
    mayReserve: () => mayReserve,
    reserve: () => {
      events.push("reserve");
      return mayReserve;
    },
    dependencies: {
      health: new TargetHealth(),
      pathMonitor: buildIdlePathMonitor(),
      readBarrier: new ReadBarrier(),
      log: new MemoryEventLog(),
      metrics: new ForwardMetrics(),
      codec: { decodeResponse: () => ({ callId: "c", signed: true }) },
      directory: { markReplaced: () => undefined },
      crashDetector: { recordCrash: () => undefined },
    },
  } as unknown as CallContext;
  await awaitAttempt({
    context,
    target: buildTarget("t"),
    exchange: new TargetExchange(
      { dispatch },
      "http://10.0.0.1:80",
      { path: "/", method: "POST", headers: [], body: null },
      { onRelease: () => undefined },
    ),
    stage: "whole",
    timeoutMs: 10,
    mayGiveUp: async () => {
      await sleep(30);
      return true;
    },
    replacement: { purpose: "run", requests: 1 },
  });
  await sleep(60);
  return events;
}

// Guards against a retry that is taken for a target whose response arrives while it is asked whether
// another can replace it, and against a denial that is logged at each check.
test("a retry is taken only together with the abort of a silent exchange", async () => {
  assert.deepEqual(await awaitSilent({}), ["reserve", "abort"]);
  assert.deepEqual(await awaitSilent({ headAfterMs: 20 }), []);
  assert.deepEqual(await awaitSilent({ mayReserve: false }), []);
});
