import assert from "node:assert/strict";
import { test } from "node:test";
import { Random } from "heatherarch-core";
import { computeEnginePriority, computeLane, LATE_LANE } from "../../mod.ts";

test("lanes keep the order of route priorities, and late calls come last", () => {
  const priorities = [0, 1, 2, 7].map((priority) =>
    computeEnginePriority(computeLane(priority))
  );
  assert.deepEqual(priorities, [2, 3, 4, 4]);
  assert.ok(computeEnginePriority(LATE_LANE) > Math.max(...priorities));
});

interface Job {
  readonly arriveMs: number;
  readonly costMs: number;
  readonly aimMs: number;
  readonly priority: number;
}

/** Simulates one engine that prefills one prompt at a time, the lowest of `computeOrder` first. */
function countOnTime(
  jobs: readonly Job[],
  computeOrder: (job: Job, backlogMs: number) => number,
): number {
  const waiting: { job: Job; order: number }[] = [];
  let nowMs = 0;
  let next = 0;
  let onTime = 0;
  while (next < jobs.length || waiting.length > 0) {
    if (waiting.length === 0) nowMs = Math.max(nowMs, jobs[next].arriveMs);
    while (next < jobs.length && jobs[next].arriveMs <= nowMs) {
      const job = jobs[next++];
      const backlogMs = waiting
        .filter((entry) => entry.order <= job.priority)
        .reduce((sum, entry) => sum + entry.job.costMs, 0);
      waiting.push({ job, order: computeOrder(job, backlogMs) });
    }
    waiting.sort((a, b) => a.order - b.order);
    const { job } = waiting.shift() as { job: Job };
    nowMs += job.costMs;
    if (nowMs - job.arriveMs <= job.aimMs) onTime++;
  }
  return onTime;
}

test("when an engine is overloaded with prompts, lanes keep more of them on time", () => {
  const random = new Random(7);
  const kinds = [
    { costMs: 25, aimMs: 300, priority: 0, share: 0.5 },
    { costMs: 60, aimMs: 500, priority: 1, share: 0.25 },
    { costMs: 110, aimMs: 600, priority: 2, share: 0.25 },
  ];
  const jobs: Job[] = [];
  let arriveMs = 0;
  while (arriveMs < 20_000) {
    arriveMs += random.drawExponential(48);
    let sample = random.drawUnit();
    const kind = kinds.find((entry) => (sample -= entry.share) < 0) ?? kinds[2];
    jobs.push({ ...kind, arriveMs });
  }
  const inOrder = countOnTime(jobs, () => 0);
  const inLanes = countOnTime(
    jobs,
    (job, backlogMs) =>
      backlogMs + job.costMs <= job.aimMs
        ? computeLane(job.priority)
        : LATE_LANE,
  );
  assert.ok(inLanes > inOrder * 1.5, `${inLanes} against ${inOrder}`);
});
