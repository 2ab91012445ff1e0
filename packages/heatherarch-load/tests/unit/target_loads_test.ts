import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type LoadSample,
  type LoadScope,
  ReportTrust,
  SLOWDOWN_PERIOD_MS,
  TargetLoads,
  TargetSpeeds,
  UsualTimes,
} from "../../mod.ts";

function buildSample(
  atMs: number,
  slowdown?: number,
  target = "t",
): LoadSample {
  const report = { target, atMs, running: 1, waiting: 0, slots: 4 };
  return slowdown === undefined ? report : { ...report, slowdown };
}

// Guards against decisions that change although no target reports its slowdown.
test("without a reported slowdown the estimate is the usual one and nothing is news", () => {
  const loads = new TargetLoads();
  assert.equal(loads.estimateSlowdown("t", 0), 1);
  loads.record(buildSample(10));
  assert.equal(loads.estimateSlowdown("t", 10), 1);
  assert.equal(loads.reportsSlowdown("t"), false);
  assert.deepEqual(loads.listNews(0, 24).news, []);
  assert.equal(loads.find("t", 15)?.ageMs, 5);
  assert.equal(loads.find("t", 15)?.report.running, 1);
});

// Guards against a target that is avoided for good, or preferred for good, after its last report.
test("the estimate converges to the long-run mean within one period", () => {
  const loads = new TargetLoads();
  loads.record(buildSample(0, 2.5));
  assert.equal(loads.estimateSlowdown("t", 0), 2.5);
  assert.equal(loads.estimateSlowdown("t", SLOWDOWN_PERIOD_MS / 2), 1.75);
  assert.equal(loads.estimateSlowdown("t", SLOWDOWN_PERIOD_MS), 1);
  for (let period = 1; period <= 400; period++) {
    loads.record(
      buildSample(period * SLOWDOWN_PERIOD_MS, period % 10 < 3 ? 2.5 : 1),
    );
  }
  const mean = loads.estimateSlowdown("t", 500 * SLOWDOWN_PERIOD_MS);
  assert.ok(Math.abs(mean - 1.45) < 0.15, `mean ${mean}`);
});

// Guards against an old sample that arrives late over hubs and replaces a newer one.
test("the newer sample wins, whoever observed it", () => {
  const loads = new TargetLoads();
  loads.record(buildSample(100, 1));
  loads.mergePeerSample(buildSample(50, 2.5));
  assert.equal(loads.estimateSlowdown("t", 100), 1);
  loads.mergePeerSample(buildSample(120, 2.5));
  assert.equal(loads.estimateSlowdown("t", 120), 2.5);
});

// Guards against messages about targets that behave as their peers expect.
test("only slowdowns that differ by a quarter from what peers expect are news", () => {
  const loads = new TargetLoads();
  let notices = 0;
  loads.registerListener(() => notices++);
  loads.record(buildSample(0, 1.2));
  assert.equal(notices, 0);
  loads.record(buildSample(10, 2));
  loads.record(buildSample(20, 2.2));
  assert.equal(notices, 1);
  const { news, position } = loads.listNews(0, 24);
  assert.deepEqual(news.map(({ slowdown }) => slowdown), [2]);
  assert.deepEqual(loads.listNews(position, 24).news, []);
  // Peers that hear nothing more expect that the slowdown ends.
  loads.record(buildSample(550, 2.2));
  assert.equal(loads.listNews(position, 24).news.length, 1);
});

// Guards against heartbeats that grow with the number of targets.
test("news are bounded, newest first, and a listing skips the rest", () => {
  const loads = new TargetLoads();
  for (let i = 0; i < 100; i++) loads.record(buildSample(i, 3, `t${i}`));
  const { news, position } = loads.listNews(0, 24);
  assert.equal(news.length, 24);
  assert.equal(news[0].target, "t99");
  assert.equal(news[23].target, "t76");
  for (let i = 0; i < 5000; i++) loads.record(buildSample(100 + i, 1 + i % 2));
  assert.deepEqual(
    loads.listNews(position, 24).news.map(({ atMs }) => atMs),
    [5099],
  );
  assert.deepEqual(loads.listNews(5100, 24).news, []);
});

// Guards against VMs that send each other back what they have received.
test("samples of peers are listed only for those who don't get them otherwise", () => {
  const loads = new TargetLoads();
  let notices = 0;
  const undo = loads.registerListener(() => notices++);
  loads.mergePeerSample(buildSample(0, 3, "peer"));
  loads.record(buildSample(0, 3, "own"));
  assert.equal(notices, 1);
  loads.mergePeerSample(buildSample(0, 3, "far"), "fleet");
  const list = (scope?: LoadScope) =>
    loads.listNews(0, 24, scope).news.map(({ target }) => target);
  assert.deepEqual(list(), ["far", "own", "peer"]);
  assert.deepEqual(list("zone"), ["own", "peer"]);
  assert.deepEqual(list("own"), ["own"]);
  undo();
  loads.record(buildSample(1, 1, "own"));
  assert.equal(notices, 1);
});

// Guards against state of targets that are gone, and against reports of an earlier incarnation.
test("a forgotten target has no report", () => {
  const loads = new TargetLoads();
  loads.record(buildSample(0, 3));
  loads.forget("t");
  assert.equal(loads.reportsSlowdown("t"), false);
  assert.deepEqual(loads.listNews(0, 24).news, []);
  assert.equal(loads.find("t", 0), undefined);
  assert.equal(loads.estimateSlowdown("t", 0), 1);
});

// Guards against a target that reports the usual speed while it is slow, and so attracts all calls.
test("reports that eight calls contradict are ignored for ten seconds", () => {
  const trust = new ReportTrust();
  const loads = new TargetLoads({ trust });
  loads.record(buildSample(0, 0.5));
  const work = { tookMs: 310, indicatedMs: 100 };
  for (let i = 1; i < 8; i++) {
    assert.equal(trust.recordWork("t", work, i), false);
  }
  assert.equal(loads.estimateSlowdown("t", 0), 0.5);
  assert.equal(trust.recordWork("t", work, 8), true);
  assert.equal(loads.estimateSlowdown("t", 8), 1);
  loads.record(buildSample(10_007, 0.5));
  assert.equal(loads.estimateSlowdown("t", 10_007), 1);
  loads.record(buildSample(10_008, 0.5));
  assert.equal(loads.estimateSlowdown("t", 10_008), 0.5);
});

// Guards against distrust of a target because of calls that were on their way when it got slow.
test("one slow call in eight, or calls 2.5 times as long, don't contradict reports", () => {
  const trust = new ReportTrust();
  for (let i = 0; i < 40; i++) {
    const tookMs = i % 8 === 0 ? 1000 : 100;
    trust.recordWork("one", { tookMs, indicatedMs: 100 }, i);
    trust.recordWork("all", { tookMs: 250, indicatedMs: 100 }, i);
  }
  assert.equal(trust.isTrusted("one", 40), true);
  assert.equal(trust.isTrusted("all", 40), true);
});

// Guards against a momentary slowdown that is learned as the target's own speed.
test("a target's own speed is learned with the slowdown removed, within bounds", () => {
  const speeds = new TargetSpeeds();
  assert.equal(speeds.getFactor("t"), 1);
  for (let i = 0; i < 200; i++) {
    const slowdown = i % 3 === 0 ? 2.5 : 1;
    const tookMs = 80 * 1.6 * slowdown;
    speeds.learn("t", { tookMs, expectedMs: 80, slowdown });
    speeds.learn("stuck", { tookMs: 1e6, expectedMs: 80, slowdown: 1 });
    speeds.learn("wrong", { tookMs: 80, expectedMs: 0, slowdown: 1 });
  }
  assert.ok(Math.abs(speeds.getFactor("t") - 1.6) < 0.01);
  assert.ok(speeds.getFactor("stuck") <= 4);
  assert.equal(speeds.getFactor("wrong"), 1);
  speeds.forget("t");
  assert.equal(speeds.getFactor("t"), 1);
});

// Guards against usual times that grow without bound with the number of kinds.
test("usual times are learned by kind, for a bounded number of kinds", () => {
  const times = new UsualTimes();
  times.learn("old", 10);
  for (let i = 0; i < 1000; i++) times.learn(`kind ${i}`, 80);
  assert.equal(times.find("old"), undefined);
  assert.equal(times.find("kind 5"), 80);
});

// Guards against speeds of targets that have left, which calls that end later would add for good.
test("own speeds are learned for a bounded number of targets", () => {
  const speeds = new TargetSpeeds();
  const slow = { tookMs: 160, expectedMs: 80, slowdown: 1 };
  speeds.learn("old", slow);
  for (let i = 0; i < 8192; i++) speeds.learn(`target ${i}`, slow);
  assert.equal(speeds.getFactor("old"), 1);
  assert.ok(speeds.getFactor("target 0") > 1);
});

// Guards against news that are kept for links that never ask for them.
test("the last 1,024 news are kept at most, the newest among them", () => {
  const loads = new TargetLoads();
  for (let i = 0; i < 5000; i++) loads.record(buildSample(i, 2.5, `t${i}`));
  const { news } = loads.listNews(0, Infinity);
  assert.ok(news.length >= 512 && news.length <= 1024, `${news.length}`);
  assert.equal(news[0].target, "t4999");
});
