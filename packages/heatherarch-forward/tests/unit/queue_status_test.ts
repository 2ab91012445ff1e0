import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "heatherarch-core";
import {
  type CallPlacement,
  CallQueue,
  countWaitingCalls,
  listQueueStatus,
  PlainCallQueues,
  type ServiceSpec,
} from "../../mod.ts";
import { buildEngine, buildTarget, TRAITS } from "./fixtures.ts";

const COST_MS = 20;
/** Backlog at which no call is placed. */
const BACKLOG_MS = 1000;
const ENGINE = buildEngine("e");
const TARGET = buildTarget("p");
const SERVICES: ServiceSpec[] = [
  { name: "chat", maxConnections: 1, engine: TRAITS },
  { name: "tag", maxConnections: 1, engine: TRAITS },
  { name: "plain", maxConnections: 1 },
];

/** Queues of a VM whose targets have capacity for one more call each time `backlogMs` is set to 0. */
function createQueues() {
  const clock = new ManualClock();
  const prefillQueue = new CallQueue({ clock, isTimerEnabled: false });
  const plainCallQueues = new PlainCallQueues({ clock });
  const state = { backlogMs: BACKLOG_MS };
  const cancels: (() => void)[] = [];
  const buildCall = (service: string) => ({
    lane: 0,
    kind: "k",
    service,
    waitStartedAtMs: clock.readMonotonicMs(),
    aimMs: 5000,
    timeoutAtMs: clock.readMonotonicMs() + 10_000,
    responseDelayMs: 0,
    onOutcome: () => {
      state.backlogMs = BACKLOG_MS;
    },
  });
  const buildPlacement = (): CallPlacement => ({
    costMs: COST_MS,
    unloadedMs: COST_MS,
    backlogMs: state.backlogMs,
    readyMs: state.backlogMs + COST_MS,
  });
  const enqueuePrompt = (service: string) =>
    cancels.push(prefillQueue.enqueue({
      ...buildCall(service),
      findPlacement: () => ({
        ...buildPlacement(),
        target: ENGINE,
        isCold: false,
      }),
    }));
  const enqueuePlain = (service: string) =>
    cancels.push(
      plainCallQueues.getQueue(service).enqueue({
        ...buildCall(service),
        findPlacement: () => ({
          ...buildPlacement(),
          target: TARGET,
          occupiedMs: COST_MS,
        }),
      }),
    );
  const cancelAll = (): void => cancels.forEach((cancel) => cancel());
  const options = { prefillQueue, plainCallQueues, services: SERVICES };
  return { clock, state, options, enqueuePrompt, enqueuePlain, cancelAll };
}

// Guards against a queue of prompts that is counted for the wrong service, and against a gauge that
// keeps its last value because a service without waiting calls is left out.
test("waiting prompts and plain calls are counted by service, down to 0", () => {
  const { options, enqueuePrompt, enqueuePlain, cancelAll } = createQueues();
  for (const service of ["chat", "chat", "tag"]) enqueuePrompt(service);
  for (const service of ["plain", "plain", "tag"]) enqueuePlain(service);
  assert.deepEqual(
    countWaitingCalls(options),
    new Map([["chat", 2], ["tag", 2], ["plain", 2]]),
  );
  const unknown = { ratePerS: null };
  assert.deepEqual(listQueueStatus(options), [
    { service: "chat", kind: "prompt", waiting: 2, ...unknown },
    { service: "tag", kind: "prompt", waiting: 1, ...unknown },
    { service: "plain", kind: "plain", waiting: 2, ...unknown },
    { service: "tag", kind: "plain", waiting: 1, ...unknown },
  ]);
  cancelAll();
  assert.deepEqual(
    countWaitingCalls(options),
    new Map([["chat", 0], ["tag", 0], ["plain", 0]]),
  );
  assert.deepEqual(listQueueStatus(options), []);
});

// Guards against prompts that disappear from the status while they still wait.
test("prompts of a service that is no longer configured are counted while they wait", () => {
  const { options, enqueuePrompt } = createQueues();
  enqueuePrompt("chat");
  assert.deepEqual(
    countWaitingCalls({ ...options, services: [] }),
    new Map([["chat", 1]]),
  );
});

// Guards against a rate in another unit than the `ratePerS` of log lines, and against a status that
// changes what the queue knows of its rate.
test("the rate is in calls per second, and reading it does not keep it from being forgotten", () => {
  const { clock, state, options, enqueuePrompt, cancelAll } = createQueues();
  for (let i = 0; i < 22; i++) enqueuePrompt("chat");
  for (let i = 0; i < 12; i++) {
    clock.advance(25);
    state.backlogMs = 0;
    options.prefillQueue.dispatch();
  }
  cancelAll();
  const rates = () => listQueueStatus(options).map(({ ratePerS }) => ratePerS);
  // Chat and tag have the rate of the queue of all prompts.
  assert.deepEqual(rates(), [40, 40]);
  for (let i = 0; i < 4; i++) {
    clock.advance(1300);
    listQueueStatus(options);
  }
  assert.equal(options.prefillQueue.measureRate(), undefined);
  assert.deepEqual(rates(), []);
});
