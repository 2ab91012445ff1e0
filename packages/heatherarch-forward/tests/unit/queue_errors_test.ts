import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "heatherarch-core";
import {
  type CallPlacement,
  CallQueue,
  type CallQueueOptions,
  type CallRanker,
  type QueuedCall,
} from "../../mod.ts";

type Step = "findPlacement" | "mayPlaceLate" | "onOutcome";

const POLICIES: readonly Partial<CallQueueOptions>[] = [
  { latePolicy: "spare" },
  { latePolicy: "behind", rejectsEarly: true },
];

function fail(): never {
  throw new RangeError("broken step");
}

/** A queue without capacity, until the test grants it, and what became of its calls. */
function createQueue(options: Partial<CallQueueOptions> = {}) {
  const clock = new ManualClock();
  const queue = new CallQueue<CallPlacement>({
    clock,
    maxBacklogMs: 0,
    isTimerEnabled: false,
    ...options,
  });
  const target = { backlogMs: 100, workMs: 10 };
  const ends: string[] = [];
  const enqueue = (name: string, call: Partial<QueuedCall<CallPlacement>>) =>
    queue.enqueue({
      lane: 0,
      kind: "k",
      tokens: 100,
      account: name,
      service: "s",
      waitStartedAtMs: clock.readMonotonicMs(),
      aimMs: 600,
      timeoutAtMs: clock.readMonotonicMs() + 2000,
      responseDelayMs: 0,
      predictMs: () => target.workMs,
      findPlacement: () => ({
        costMs: target.workMs,
        unloadedMs: target.workMs,
        backlogMs: target.backlogMs,
        readyMs: target.backlogMs + target.workMs,
      }),
      onOutcome: ({ kind }) => ends.push(`${name} ${kind}`),
      onError: () => ends.push(`${name} error`),
      ...call,
    });
  const dispatch = (passedMs: number): void => {
    clock.advance(passedMs);
    queue.dispatch();
  };
  return { queue, target, ends, enqueue, dispatch };
}

/** Lets one step of the call throw once the call waits. */
function buildBreakable(step: Step) {
  const state = { isBroken: false };
  const target = { costMs: 10, unloadedMs: 10, backlogMs: 100, readyMs: 110 };
  const findPlacement = () => {
    if (state.isBroken && step === "findPlacement") fail();
    return { ...target, backlogMs: state.isBroken ? 0 : target.backlogMs };
  };
  const call = step === "findPlacement" || step === "onOutcome"
    ? { findPlacement, ...(step === "onOutcome" ? { onOutcome: fail } : {}) }
    : { findPlacement, [step]: () => state.isBroken ? fail() : true };
  return { state, call };
}

// Guards against a dispatch that one call's error ends: the calls behind it are placed late or never, and
// the error ends another call, the one that has just been added.
test("an error of one waiting call ends that call at once, and the others are placed", () => {
  for (const options of POLICIES) {
    for (const step of ["findPlacement", "onOutcome"] as const) {
      const { queue, target, ends, enqueue, dispatch } = createQueue(options);
      const { state, call } = buildBreakable(step);
      enqueue("before", {});
      enqueue("broken", call);
      enqueue("after", {});
      assert.equal(queue.size, 3);
      state.isBroken = true;
      target.backlogMs = 0;
      dispatch(40);
      assert.deepEqual(
        ends,
        ["before placed", "broken error", "after placed"],
        step,
      );
      assert.equal(queue.size, 0);
      assert.equal(queue.isBusy, false);
    }
  }
});

// Guards against late calls that stay in the queue, and are lost to it, because the search for one throws.
test("an error of one late call ends that call only", () => {
  for (const options of POLICIES) {
    for (const step of ["findPlacement", "onOutcome"] as const) {
      const { queue, target, ends, enqueue, dispatch } = createQueue(options);
      const { state, call } = buildBreakable(step);
      for (const name of ["a", "broken", "c"]) {
        enqueue(name, name === "broken" ? call : {});
      }
      dispatch(595);
      assert.equal(queue.size, 3);
      state.isBroken = true;
      target.backlogMs = 0;
      dispatch(50);
      assert.deepEqual(
        ends.toSorted(),
        ["a placed", "broken error", "c placed"],
        step,
      );
      assert.equal(queue.size, 0);
    }
  }
});

// Guards against a late call that keeps its place because it can't be told whether an engine is spare.
test("a late call ends when its check for a spare engine throws", () => {
  const { queue, target, ends, enqueue, dispatch } = createQueue();
  const { state, call } = buildBreakable("mayPlaceLate");
  enqueue("broken", call);
  enqueue("sound", {});
  dispatch(595);
  state.isBroken = true;
  target.backlogMs = 0;
  dispatch(50);
  assert.deepEqual(ends.toSorted(), ["broken error", "sound placed"]);
  assert.equal(queue.size, 0);
});

// Guards against calls that are not dispatched because the account of another one can't be ranked.
test("an error of the ranker ends the call that it ranks", () => {
  let isBroken = false;
  const ranker: CallRanker = {
    computeRank: ({ account }) => isBroken && account === "broken" ? fail() : 0,
    recordDispatch: ({ account }) => {
      if (account === "unrecorded") fail();
    },
  };
  const { queue, target, ends, enqueue, dispatch } = createQueue({ ranker });
  for (const name of ["broken", "unrecorded", "sound"]) enqueue(name, {});
  isBroken = true;
  target.backlogMs = 0;
  dispatch(40);
  assert.deepEqual(
    ends,
    ["broken error", "unrecorded error", "sound placed"],
  );
  assert.equal(queue.size, 0);
});

// Guards against a full queue whose early rejections stop at the first call whose time can't be predicted.
test("an error of a prediction ends the call that it is for", () => {
  const { queue, target, ends, enqueue, dispatch } = createQueue({
    latePolicy: "behind",
    rejectsEarly: true,
  });
  // The queue knows its rate once it has dispatched for some time.
  target.backlogMs = 0;
  const findPlacement = () => ({
    costMs: 10,
    unloadedMs: 10,
    backlogMs: 100,
    readyMs: 110,
  });
  enqueue("waits", { findPlacement });
  for (let i = 0; i < 300; i++) {
    enqueue("fills", {});
    dispatch(5);
  }
  assert.notEqual(queue.measureRate(), undefined);
  ends.length = 0;
  const size = queue.size;
  enqueue("broken", { findPlacement, predictMs: fail });
  enqueue("sound", { findPlacement });
  dispatch(50);
  assert.ok(ends.includes("broken error"), String(ends));
  assert.ok(!ends.includes("sound error"));
  assert.ok(queue.size <= size + 1);
});

// Guards against a call that is not known to its caller but has a place in the queue.
test("a call whose error nobody takes has no place in the queue", () => {
  const { queue, enqueue } = createQueue();
  assert.throws(
    () => enqueue("broken", { findPlacement: fail, onError: undefined }),
    /broken step/,
  );
  assert.equal(queue.size, 0);
});
