import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock, Random } from "heatherarch-core";
import {
  type CallPlacement,
  CallQueue,
  type CallQueueOptions,
  computePlainBacklogMs,
  DispatchRateMeter,
  LATE_LANE,
  PlainCallQueues,
  PlainWorkModel,
  predictWaitMs,
  type QueueOutcome,
} from "../../mod.ts";
import { buildTarget } from "./fixtures.ts";

const STEP_MS = 2;
const SLOTS = 8;
const WORK_MS = 40;
/** Calls per millisecond that the slots complete. */
const ROOM_PER_MS = SLOTS / WORK_MS;
const AIM_MS = 150;
const TIMEOUT_MS = 2000;

interface Call {
  readonly arriveMs: number;
  readonly account: string;
}

/** What became of a call; times are milliseconds since its arrival. */
interface Result extends Call {
  readonly outcome: QueueOutcome<CallPlacement>;
  readonly atMs: number;
}

/** Draws calls at `load` times the room for `durationMs`. */
function drawCalls(load: number, durationMs: number): Call[] {
  const random = new Random(7);
  const calls: Call[] = [];
  let arriveMs = 0;
  while (arriveMs < durationMs) {
    arriveMs += random.drawExponential(1 / (ROOM_PER_MS * load));
    const account = random.drawUnit() < 0.5 ? "a" : "b";
    calls.push({ arriveMs, account });
  }
  return calls;
}

/** Serves calls on the slots of one target, in steps of simulated time. */
function serveCalls(
  calls: readonly Call[],
  options: Partial<CallQueueOptions>,
): Result[] {
  const clock = new ManualClock();
  const queue = new CallQueue<CallPlacement>({
    clock,
    maxBacklogMs: 0,
    maxLateBacklogMs: 0,
    isTimerEnabled: false,
    ...options,
  });
  const results: Result[] = [];
  let ends: number[] = [];
  const findPlacement = (): CallPlacement => {
    const nowMs = clock.readMonotonicMs();
    ends = ends.filter((endMs) => endMs > nowMs).sort((a, b) => a - b);
    const backlogMs = ends.length < SLOTS ? 0 : ends[0] - nowMs;
    const readyMs = backlogMs + WORK_MS;
    return { costMs: WORK_MS, unloadedMs: WORK_MS, backlogMs, readyMs };
  };
  const enqueue = (call: Call): void => {
    queue.enqueue({
      lane: 0,
      kind: "k",
      account: call.account,
      waitStartedAtMs: call.arriveMs,
      aimMs: AIM_MS,
      timeoutAtMs: call.arriveMs + TIMEOUT_MS,
      responseDelayMs: 0,
      findPlacement,
      onOutcome: (outcome) => {
        const nowMs = clock.readMonotonicMs();
        if (outcome.kind === "placed") ends.push(nowMs + WORK_MS);
        results.push({ ...call, outcome, atMs: nowMs - call.arriveMs });
      },
    });
  };
  let next = 0;
  while (next < calls.length || queue.size > 0) {
    const nowMs = clock.readMonotonicMs();
    while (next < calls.length && calls[next].arriveMs <= nowMs) {
      enqueue(calls[next++]);
    }
    clock.advance(STEP_MS);
    queue.dispatch();
  }
  return results;
}

function listPlaced(results: readonly Result[]): Result[] {
  return results.filter(({ outcome }) => outcome.kind === "placed");
}

const PLAIN: Partial<CallQueueOptions> = {
  latePolicy: "behind",
  rejectsEarly: true,
};

// Guards against calls that wait for seconds and are rejected when their clients time out, and
// against work for clients that have left.
test("at three times the room, what is placed is in time and the rest is rejected soon", () => {
  const durationMs = 8000;
  const results = serveCalls(drawCalls(3, durationMs), PLAIN);
  const placed = listPlaced(results);
  assert.ok(placed.every(({ atMs }) => atMs + WORK_MS <= TIMEOUT_MS));
  const room = durationMs * ROOM_PER_MS;
  assert.ok(placed.length >= room * 0.95, `${placed.length} of ${room}`);
  const onTime = placed.filter(({ atMs }) => atMs + WORK_MS <= AIM_MS);
  assert.ok(onTime.length >= room * 0.9, `${onTime.length} of ${room}`);
  // Until the overload has lasted for the clients' timeout, it may end in time for late calls.
  const rejected = results.filter(({ outcome, arriveMs }) =>
    outcome.kind === "tooLate" && arriveMs > TIMEOUT_MS
  );
  const soon = rejected.filter(({ atMs }) => atMs <= AIM_MS + STEP_MS * 5);
  assert.ok(
    soon.length >= rejected.length * 0.9,
    `${soon.length} of ${rejected.length}`,
  );
});

// Guards against early rejections of prompts, whose queue has not set the option.
test("without the option, no call is rejected because of the calls ahead", () => {
  const results = serveCalls(drawCalls(3, 3000), {});
  const rejected = results.filter(({ outcome }) => outcome.kind === "tooLate");
  assert.ok(rejected.length > 0);
  for (const { outcome } of rejected) {
    assert.ok(outcome.kind === "tooLate" && outcome.placement !== undefined);
    assert.equal(outcome.forecast.callsAhead, 0);
  }
});

test("a ranker without preferences changes no decision", () => {
  const calls = drawCalls(2, 3000);
  const ranker = { computeRank: () => 0 };
  for (const options of [{}, PLAIN]) {
    assert.deepEqual(
      serveCalls(calls, { ...options, ranker }),
      serveCalls(calls, options),
    );
  }
});

test("calls of a lower rank go first, by the ranks at each dispatch", () => {
  const calls = drawCalls(2, 6000);
  const work = { a: 0, b: 0 };
  let nowMs = 0;
  const ranker = {
    computeRank: ({ account }: { account?: string }, atMs: number) => {
      nowMs = atMs;
      return (account === "a") === (atMs < 3000) ? 0 : 1;
    },
    recordDispatch: ({ account }: { account?: string }, workMs: number) => {
      if (nowMs < 3000) work[account as "a" | "b"] += workMs;
    },
  };
  const results = listPlaced(serveCalls(calls, { ...PLAIN, ranker }));
  const countOnTime = (account: string, fromMs: number): number =>
    results.filter((result) =>
      result.account === account && result.arriveMs >= fromMs &&
      result.arriveMs < fromMs + 2500 && result.atMs + WORK_MS <= AIM_MS
    ).length;
  assert.ok(countOnTime("a", 0) > countOnTime("b", 0) * 3);
  assert.ok(countOnTime("b", 3200) > countOnTime("a", 3200) * 3);
  assert.ok(work.a > work.b * 3, JSON.stringify(work));
});

test("late plain calls wait behind those that can be on time, until they can't be in time", () => {
  // Twice the room for 1 s, and then a quarter of it, which leaves 1.3 s of work for late calls.
  const tail = drawCalls(0.25, 3000)
    .map((call) => ({ ...call, arriveMs: call.arriveMs + 1000 }));
  const results = serveCalls([...drawCalls(2, 1000), ...tail], PLAIN);
  const placed = listPlaced(results);
  assert.ok(placed.length > results.length * 0.98);
  const late = placed.filter(({ outcome }) =>
    outcome.kind === "placed" && outcome.placed.lane === LATE_LANE
  );
  assert.ok(late.length > 100);
  const fresh = results.filter(({ arriveMs }) => arriveMs > 1300);
  const onTime = fresh.filter(({ atMs }) => atMs + WORK_MS <= AIM_MS);
  assert.ok(onTime.length > fresh.length * 0.95);
});

// Guards against a log of waits that leaves out the calls of the dispatch in progress.
test("while a dispatch places calls, the others still count as waiting", () => {
  const clock = new ManualClock();
  const queue = new CallQueue<CallPlacement>({ clock, isTimerEnabled: false });
  let backlogMs = 1000;
  const sizes: number[] = [];
  const enqueue = (): () => void =>
    queue.enqueue({
      lane: 0,
      kind: "k",
      waitStartedAtMs: 0,
      aimMs: 10_000,
      timeoutAtMs: 20_000,
      responseDelayMs: 0,
      findPlacement: () => ({
        costMs: WORK_MS,
        unloadedMs: WORK_MS,
        backlogMs,
        readyMs: backlogMs + WORK_MS,
      }),
      onOutcome: () => {
        backlogMs = 1000;
        sizes.push(queue.size);
      },
    });
  const cancels = [enqueue(), enqueue(), enqueue(), enqueue()];
  cancels[3]();
  assert.equal(queue.size, 3);
  backlogMs = 0;
  queue.dispatch();
  assert.deepEqual(sizes, [2]);
  for (const cancel of cancels) cancel();
  assert.equal(queue.size, 0);
});

test("the dispatch rate counts only while calls wait, and is unknown at first", () => {
  const meter = new DispatchRateMeter();
  meter.record(40, 0);
  meter.setBusy(true, 10);
  for (let i = 1; i <= 8; i++) meter.record(40, 10 + i * 20);
  assert.equal(meter.measure(170), undefined);
  meter.record(40, 190);
  const rate = meter.measure(190);
  assert.deepEqual(rate, { callsPerMs: 1 / 20, workPerMs: 2 });
  meter.setBusy(false, 190);
  assert.deepEqual(meter.measure(3000), rate);
  assert.equal(meter.measure(9000), undefined);
});

// Guards against single calls, or reads by operators, that keep the rate of an earlier overload.
test("a dispatch rate is forgotten although it is read and calls arrive", () => {
  const meter = new DispatchRateMeter();
  meter.setBusy(true, 0);
  for (let i = 1; i <= 9; i++) meter.record(40, i * 20);
  meter.setBusy(false, 180);
  const rate = { callsPerMs: 1 / 20, workPerMs: 2 };
  for (let nowMs = 1000; nowMs <= 5000; nowMs += 1000) {
    meter.record(40, nowMs);
    meter.setBusy(false, nowMs);
    assert.deepEqual(meter.measure(nowMs), rate);
  }
  assert.equal(meter.measure(6000), undefined);
});

test("a dispatch rate follows a change within a second", () => {
  const meter = new DispatchRateMeter();
  meter.setBusy(true, 0);
  for (let atMs = 0; atMs < 3000; atMs += 5) meter.record(40, atMs);
  for (let atMs = 3000; atMs <= 4000; atMs += 50) meter.record(40, atMs);
  const { callsPerMs = 0 } = meter.measure(4000) ?? {};
  assert.ok(Math.abs(callsPerMs - 1 / 50) < 0.004, `${callsPerMs}`);
});

test("a late call's wait counts that the overload lasts as long as it has lasted", () => {
  const predict = (lastedMs: number, lateCallsPerMs: number): number =>
    predictWaitMs({
      callsAhead: 100,
      callsPerMs: 0.2,
      overload: { lastedMs, lateCallsPerMs },
    });
  assert.equal(predictWaitMs({ callsAhead: 100, callsPerMs: 0.2 }), 500);
  assert.equal(predict(0, 0), 500);
  assert.equal(predict(1000, 0), 1500);
  assert.equal(predict(1000, 0.1), 1000);
  assert.equal(predict(4000, 0.05), 2000);
});

// Guards against rejections after the last of several bursts, whose late calls are one long overload.
test("a late call's wait is shorter once the rate of late calls rises", () => {
  const predict = (recentLateCallsPerMs: number): number =>
    predictWaitMs({
      callsAhead: 40,
      callsPerMs: 0.2,
      overload: { lastedMs: 8000, lateCallsPerMs: 0.004, recentLateCallsPerMs },
    });
  assert.equal(predict(0), 8040);
  assert.equal(predict(0.004), 8040);
  assert.equal(predict(0.1), 400);
});

test("a plain target has a backlog once its slots are taken", () => {
  const load = { slots: 4, workMs: 40 };
  assert.equal(computePlainBacklogMs({ ...load, runs: 3 }), 0);
  assert.equal(computePlainBacklogMs({ ...load, runs: 4 }), 10);
  assert.equal(computePlainBacklogMs({ ...load, runs: 7 }), 40);
});

// Guards against late timers that add up, so that targets are idle while calls wait.
test("a VM sends at the rate of its share, also if its turns are used late", () => {
  const clock = new ManualClock();
  const queues = new PlainCallQueues({ clock });
  // 8 slots and 40 ms make 200 calls per second; a quarter of that is one each 20 ms.
  const turn = { service: "s", workMs: 40, slots: 8, share: 0.25 };
  const computeTurn = (rateFactor = 1): number =>
    queues.computeTurnInMs(
      { ...turn, rateFactor },
      clock.readMonotonicMs(),
    );
  assert.equal(computeTurn(), 0);
  queues.recordSend(turn, clock.readMonotonicMs());
  assert.equal(computeTurn(), 0, "one turn may have been used late");
  queues.recordSend(turn, clock.readMonotonicMs());
  assert.equal(computeTurn(), 20);
  assert.equal(computeTurn(2), 10);
  clock.advance(27);
  queues.recordSend(turn, clock.readMonotonicMs());
  assert.equal(computeTurn(), 13);
  clock.advance(1000);
  queues.recordSend(turn, clock.readMonotonicMs());
  queues.recordSend(turn, clock.readMonotonicMs());
  assert.equal(computeTurn(), 20);
});

// Guards against an estimate that is too long, so that no call is sent and none corrects it.
test("an estimate of plain work is forgotten without samples", () => {
  const model = new PlainWorkModel();
  assert.equal(model.predictMs("r", "t", 0), 0);
  model.learn({ route: "r", target: "t", tookMs: 100 }, 0);
  assert.equal(model.predictMs("r", "t", 4000), 100);
  assert.equal(model.predictMs("r", "other", 4000), 100);
  assert.equal(model.predictMs("r", "t", 6000), 0);
  model.learn({ route: "r", target: "t", tookMs: 40 }, 6000);
  assert.equal(model.predictMs("r", "t", 6000), 40);
});

// Guards against estimates of routes of earlier configurations that are kept for good.
test("plain work is learned for 256 routes at most, the first one goes", () => {
  const model = new PlainWorkModel();
  for (let i = 0; i <= 256; i++) {
    model.learn({ route: `r${i}`, target: "t", tookMs: 100 }, 0);
  }
  assert.equal(model.predictRouteMs("r0", 0), 0);
  assert.equal(model.predictRouteMs("r1", 0), 100);
});

// Guards against queues of services of earlier configurations that are kept for good.
test("idle queues are dropped above 256 services, and queues with calls are not", (context) => {
  const queues = new PlainCallQueues({ clock: new ManualClock() });
  const placement = { costMs: 1, unloadedMs: 1, backlogMs: 999, readyMs: 1000 };
  const cancel = queues.getQueue("busy").enqueue({
    lane: 0,
    kind: "k",
    waitStartedAtMs: 0,
    aimMs: 10_000,
    timeoutAtMs: 20_000,
    responseDelayMs: 0,
    findPlacement: () => ({
      ...placement,
      target: buildTarget("t"),
      occupiedMs: 1,
    }),
    onOutcome: () => undefined,
  });
  context.after(cancel);
  for (let i = 0; i < 1000; i++) {
    queues.getQueue(`s${i}`);
    assert.ok(queues.listQueues().length <= 256);
  }
  assert.equal(queues.getQueue("busy").size, 1);
});

// Guards against a meter that keeps all dispatches of a queue with thousands a second.
test("a rate is measured by the last 512 dispatches at most", () => {
  const meter = new DispatchRateMeter();
  meter.setBusy(true, 0);
  for (let i = 0; i < 3000; i++) meter.record(1, 100 + i / 100);
  for (let i = 1; i <= 512; i++) meter.record(1, 130 + i);
  const { callsPerMs = 0 } = meter.measure(130 + 512) ?? {};
  assert.ok(Math.abs(callsPerMs - 1) < 0.01, `${callsPerMs}`);
});
