import assert from "node:assert/strict";
import { afterEach, beforeEach, mock, test } from "node:test";
import { ManualClock, Random } from "heatherarch-core";
import {
  type LanePlacement,
  LATE_LANE,
  type PrefillOutcome,
  PrefillQueue,
  type PrefillRequest,
  type PromptPlacement,
  WorkTracker,
} from "../../mod.ts";
import { buildEngine } from "./fixtures.ts";

const ENGINE = buildEngine("e");
/** Length of the steps in which simulated time goes on, milliseconds. */
const STEP_MS = 4;

beforeEach(() => mock.timers.enable({ apis: ["setTimeout"] }));
afterEach(() => mock.timers.reset());

function buildPlacement(costMs: number, backlogMs: number): PromptPlacement {
  const readyMs = backlogMs + costMs;
  const aloneMs = costMs;
  return {
    target: ENGINE,
    isCold: false,
    costMs,
    unloadedMs: aloneMs,
    backlogMs,
    readyMs,
  };
}

/** A queue in front of one engine whose backlog the test sets, and what became of each call. */
function createBench() {
  const clock = new ManualClock();
  const queue = new PrefillQueue({ clock });
  const engine = { backlogMs: 0, hasLate: false };
  const verdicts = new Map<string, PrefillOutcome>();
  const order: string[] = [];
  const enqueue = (
    name: string,
    costMs: number,
    overrides: Partial<PrefillRequest> = {},
  ) =>
    queue.enqueue({
      lane: 0,
      kind: "k",
      tokens: costMs * 50,
      waitStartedAtMs: clock.readMonotonicMs(),
      aimMs: 600,
      timeoutAtMs: clock.readMonotonicMs() + 2150,
      firstTokenDelayMs: 50,
      findPlacement: () => buildPlacement(costMs, engine.backlogMs),
      mayPrefillLate: () => !engine.hasLate,
      onOutcome: (verdict) => {
        verdicts.set(name, verdict);
        order.push(name);
        if (verdict.kind === "placed") engine.backlogMs += costMs;
      },
      ...overrides,
    });
  const advance = (ms: number, backlogMs = engine.backlogMs): void => {
    clock.advance(ms);
    engine.backlogMs = backlogMs;
    queue.dispatch();
  };
  const findLane = (name: string): number | undefined => {
    const verdict = verdicts.get(name);
    return verdict?.kind === "placed" ? verdict.placed.lane : undefined;
  };
  return { queue, engine, verdicts, order, enqueue, advance, findLane };
}

test("an engine gets what keeps it busy for the next moments, and no more", () => {
  const { queue, order, enqueue, advance } = createBench();
  for (const name of ["a", "b", "c", "d"]) enqueue(name, 40);
  assert.deepEqual(order, ["a", "b"]);
  assert.equal(queue.size, 2);
  advance(40, 40);
  assert.deepEqual(order, ["a", "b", "c"]);
});

test("calls go by the time that they have left", () => {
  const { engine, order, enqueue, advance } = createBench();
  engine.backlogMs = 100;
  enqueue("relaxed", 10, { aimMs: 900 });
  enqueue("pressed", 10, { aimMs: 500 });
  advance(10, 0);
  assert.deepEqual(order, ["pressed", "relaxed"]);
});

test("urgent calls go first, but not before those that have waited much longer", () => {
  const { engine, order, enqueue, advance } = createBench();
  engine.backlogMs = 100;
  enqueue("long waiting, rank 1", 10, { lane: 1 });
  advance(350, 100);
  enqueue("rank 1", 10, { lane: 1 });
  enqueue("rank 0", 10);
  advance(10, 0);
  assert.deepEqual(order, ["long waiting, rank 1", "rank 0", "rank 1"]);
});

test("a call that has turned late is read once no other waits and the engine is idle", () => {
  const { enqueue, advance, findLane, verdicts } = createBench();
  enqueue("first", 700);
  assert.equal(findLane("first"), LATE_LANE);
  enqueue("late", 100);
  advance(600, 40);
  assert.equal(verdicts.size, 1);
  enqueue("fresh", 30);
  assert.equal(findLane("fresh"), 0);
  advance(60, 10);
  assert.equal(findLane("late"), LATE_LANE);
});

test("a late call is refused before its caller leaves; a large one waits a little longer", () => {
  const { engine, enqueue, advance, verdicts } = createBench();
  engine.backlogMs = 700;
  enqueue("small", 50);
  enqueue("large", 350);
  advance(1000, 300);
  assert.equal(verdicts.size, 0);
  advance(440, 300);
  assert.deepEqual([...verdicts.keys()], ["small"]);
  assert.equal(verdicts.get("small")?.kind, "tooLate");
  advance(100, 300);
  assert.deepEqual([...verdicts.keys()], ["small", "large"]);
  assert.equal(verdicts.get("large")?.kind, "tooLate");
});

test("late calls wait while the fleet has no engine to spare for them", () => {
  const { engine, enqueue, advance, findLane } = createBench();
  engine.hasLate = true;
  enqueue("large", 700);
  enqueue("fresh", 30);
  assert.equal(findLane("fresh"), 0);
  engine.hasLate = false;
  advance(50, 0);
  assert.equal(findLane("large"), LATE_LANE);
});

test("a wait that is given up leaves nothing behind", () => {
  const { engine, queue, order, enqueue, advance } = createBench();
  engine.backlogMs = 100;
  const undo = enqueue("gone", 10);
  enqueue("stays", 10);
  undo();
  advance(10, 0);
  assert.deepEqual(order, ["stays"]);
  assert.equal(queue.size, 0);
});

test("where no engine reads, calls are told at once", () => {
  const { verdicts, enqueue } = createBench();
  enqueue("a", 10, { findPlacement: () => undefined });
  assert.equal(verdicts.get("a")?.kind, "noReader");
});

// What was seen: in an overload engines always had more than 20 ms to read, which is what a late call
// needs to get its turn, and a large prompt is late as it comes. So it was refused, each time.
test("a large prompt of which too few were placed goes before calls that can be on time", () => {
  const { engine, enqueue, advance, findLane, verdicts } = createBench();
  for (let i = 0; i < 20; i++) enqueue(`usual ${i}`, 1);
  engine.backlogMs = 100;
  enqueue("large", 700);
  enqueue("first", 20, { tokens: 50 });
  advance(40, 50);
  assert.equal(findLane("large"), LATE_LANE);
  assert.equal(verdicts.has("first"), false);
});

test("what a large prompt takes by itself decides whether it can still be read", () => {
  const { engine, enqueue, advance, findLane } = createBench();
  for (let i = 0; i < 20; i++) enqueue(`usual ${i}`, 1);
  engine.backlogMs = 100;
  // Booked at 2.5 s by an engine behind which others wait, read in 1 s by itself.
  const place = (): PromptPlacement => ({
    ...buildPlacement(2500, engine.backlogMs),
    unloadedMs: 1000,
  });
  enqueue("large", 2500, { findPlacement: place });
  advance(300, 60);
  assert.equal(findLane("large"), LATE_LANE);
});

interface Job {
  readonly arriveMs: number;
  readonly costMs: number;
}

/** Bursts of three times what one engine can read, three seconds of six. */
function drawBursts(seed: number): Job[] {
  const random = new Random(seed);
  const jobs: Job[] = [];
  let arriveMs = 0;
  while (arriveMs < 24_000) {
    const isBurst = arriveMs % 6000 < 3000;
    arriveMs += random.drawExponential(isBurst ? 13 : 80);
    jobs.push({ arriveMs, costMs: random.drawUnit() < 0.1 ? 220 : 20 });
  }
  return jobs;
}

/** Calls on time at one engine that reads in the order of arrival; the window bounds what it holds. */
function countOnTime(jobs: readonly Job[], windowMs: number): number {
  const clock = new ManualClock();
  const queue = new PrefillQueue({ clock, maxBacklogMs: windowMs });
  const ledger = new WorkTracker();
  let onTime = 0;
  let next = 0;
  let running: { doneAtMs: number; end: () => void }[] = [];
  const begin = (job: Job, { lane }: LanePlacement): void => {
    const nowMs = clock.readMonotonicMs();
    const doneAtMs = nowMs + ledger.getPrefillBacklogMs("e", nowMs) +
      job.costMs;
    const end = ledger.beginPrefill("e", { costMs: job.costMs, lane }, nowMs);
    running.push({ doneAtMs, end });
    if (doneAtMs + 50 <= job.arriveMs + 600) onTime++;
  };
  while (next < jobs.length || queue.size > 0) {
    const nowMs = clock.readMonotonicMs();
    while (next < jobs.length && jobs[next].arriveMs <= nowMs) {
      const job = jobs[next++];
      queue.enqueue({
        lane: 0,
        kind: "k",
        tokens: job.costMs * 50,
        waitStartedAtMs: job.arriveMs,
        aimMs: windowMs === Infinity ? Infinity : 600,
        timeoutAtMs: windowMs === Infinity ? Infinity : job.arriveMs + 2150,
        firstTokenDelayMs: 50,
        findPlacement: () =>
          buildPlacement(
            job.costMs,
            ledger.getPrefillBacklogMs("e", clock.readMonotonicMs()),
          ),
        mayPrefillLate: () =>
          !ledger.hasLatePrefill("e", clock.readMonotonicMs()),
        onOutcome: (verdict) => {
          if (verdict.kind === "placed") begin(job, verdict.placed);
        },
      });
    }
    clock.advance(STEP_MS);
    running = running.filter(({ doneAtMs, end }) => {
      const isDone = doneAtMs <= clock.readMonotonicMs();
      if (isDone) end();
      return !isDone;
    });
    queue.dispatch();
  }
  return onTime;
}

test("under bursts more calls are on time than when engines get all at once", () => {
  for (const seed of [1, 2, 3]) {
    const jobs = drawBursts(seed);
    const atOnce = countOnTime(jobs, Infinity);
    const bounded = countOnTime(jobs, 60);
    assert.ok(bounded > atOnce * 1.5, `seed ${seed}: ${bounded}, ${atOnce}`);
  }
});

test("no engine is asked for before it is known to have room, nor long after", () => {
  const { queue, engine, order, enqueue } = createBench();
  let asked = 0;
  const build = (backlogMs: () => number): Partial<PrefillRequest> => ({
    findPlacement: () => {
      asked++;
      return buildPlacement(10, backlogMs());
    },
  });
  engine.backlogMs = 400;
  enqueue("waits", 10, build(() => engine.backlogMs));
  asked = 0;
  for (let i = 0; i < 30; i++) mock.timers.tick(10);
  assert.equal(asked, 10, "300 ms in steps of 30");
  engine.backlogMs = 75;
  mock.timers.tick(30);
  asked = 0;
  mock.timers.tick(14);
  assert.equal(asked, 0);
  engine.backlogMs = 60;
  mock.timers.tick(1);
  assert.deepEqual(order, ["waits"]);
  assert.equal(queue.size, 0);
});
