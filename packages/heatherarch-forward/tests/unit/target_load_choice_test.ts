import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "heatherarch-core";
import { ReportTrust, TargetLoads } from "heatherarch-load";
import {
  drawFastest,
  LoadProber,
  pickLeastLoaded,
  pickPlainTarget,
  PlainTimeModel,
  PrefillTimeModel,
  PromptPlacer,
  type Target,
  type TargetCandidate,
  TargetDirectory,
  WorkTracker,
} from "../../mod.ts";
import {
  buildEngine,
  buildPrompt,
  buildRateLimits,
  buildTarget,
  TRAITS,
} from "./fixtures.ts";

const SLOTS = 4;

/** Draws the same numbers again for each seed. */
function createDraw(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
}

function buildTargets(count: number): Target[] {
  return Array.from(
    { length: count },
    (_, i) => buildTarget(`t${i}`, { slots: SLOTS }),
  );
}

function buildVm(seed: number) {
  const reportTrust = new ReportTrust();
  const targetLoads = new TargetLoads({ trust: reportTrust });
  return {
    workTracker: new WorkTracker(),
    targetLoads,
    reportTrust,
    plainTimeModel: new PlainTimeModel({ targetLoads, reportTrust }),
    countVms: () => 20,
    drawUnit: createDraw(seed),
  };
}

function report(
  loads: TargetLoads,
  target: string,
  atMs: number,
  slowdown?: number,
) {
  const sample = { target, atMs, running: 1, waiting: 0, slots: SLOTS };
  loads.record(slowdown === undefined ? sample : { ...sample, slowdown });
}

// Guards against choices that change for targets that report no slowdown, although their times and
// three figures of load are known.
test("without a reported slowdown the choice of a plain target is the same as before", () => {
  const targets = buildTargets(4);
  const vm = buildVm(7);
  const drawReference = createDraw(7);
  for (let call = 0; call < 200; call++) {
    const candidates = targets.map((target): TargetCandidate => ({
      target,
      runs: vm.workTracker.getRunLoad(target.id, call).runs,
      kvTokens: 0,
      maxKvTokens: 0,
    }));
    const before = pickLeastLoaded(candidates, undefined, drawReference)
      ?.target;
    const target = pickPlainTarget(vm, targets, call);
    assert.equal(target, before);
    assert.ok(target !== undefined);
    const work = { target: target.id, route: "r", runs: 0, slots: SLOTS };
    const complete = vm.plainTimeModel.beginWork(work, call);
    report(vm.targetLoads, target.id, call + 1);
    complete(call + (target.id === "t0" ? 90 : 30));
    if (call % 3 > 0) vm.workTracker.beginRun(target.id, 0);
  }
  assert.ok(vm.plainTimeModel.predictFactor("t0", 200) > 1.5);
});

// Guards against decode engines and prefill times that change without reports.
test("without a reported slowdown decode engines and prefill times are the same as before", () => {
  const loads = new TargetLoads();
  report(loads, "a", 0);
  const slowdown = loads.estimateSlowdown("a", 0);
  const model = new PrefillTimeModel();
  assert.equal(
    model.predictMs("a", 1460, 0, slowdown),
    model.predictMs("a", 1460, 0),
  );
  const other = new PrefillTimeModel();
  for (let i = 0; i < 50; i++) {
    const sample = { costMs: 40, backlogMs: 10, tookMs: 40 + i };
    model.learn("a", sample);
    other.learn("a", { ...sample, slowdownChange: slowdown });
  }
  assert.equal(other.predictMs("a", 999, 9), model.predictMs("a", 999, 9));
  const candidates = [3, 9, 4].map((runs, i): TargetCandidate => ({
    target: buildEngine(`d${i}`, { role: "decode" }),
    runs,
    kvTokens: 0,
    maxKvTokens: 480_000,
  }));
  for (let seed = 1; seed < 50; seed++) {
    const timed = candidates.map((candidate) => ({
      ...candidate,
      timeFactor: slowdown,
    }));
    assert.equal(
      pickLeastLoaded(timed, "zone-a", createDraw(seed))?.target.id,
      pickLeastLoaded(candidates, "zone-a", createDraw(seed))?.target.id,
    );
  }
});

// Guards against calls that are sent to targets that are known to be slow. With 20 VMs the draw lets
// one in some hundred calls go there.
test("targets that report a slowdown get hardly any plain calls while others have room", () => {
  const targets = buildTargets(4);
  const vm = buildVm(3);
  for (const [i, { id }] of targets.entries()) {
    report(vm.targetLoads, id, 0, i === 0 ? 2.5 : 1);
  }
  const ids = Array.from(
    { length: 1000 },
    () => pickPlainTarget(vm, targets, 10)?.id,
  );
  assert.ok(ids.filter((id) => id === "t0").length <= 10);
});

// Guards against VMs that know the same and all send to the target that looked best: 20 calls that
// are chosen before any of them is known must not fill one target.
test("calls that are chosen with the same knowledge spread over the fast targets", () => {
  const targets = buildTargets(6);
  const counts = new Map<string, number>();
  for (let seed = 1; seed <= 20; seed++) {
    const vm = buildVm(seed * 7919);
    for (const [i, { id }] of targets.entries()) {
      report(vm.targetLoads, id, i, i < 2 ? 2.5 : 1);
    }
    const id = pickPlainTarget(vm, targets, 30)?.id ?? "";
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  assert.equal(counts.get("t0"), undefined);
  assert.ok(Math.max(...counts.values()) <= 10, JSON.stringify([...counts]));
  assert.ok(counts.size >= 4);
});

// Guards against a target that is never tried again after its slowdown, and against calls that wait
// at fast targets although a slower one would finish them sooner.
test("a full fast target loses to a free one that is not much slower", () => {
  const [fast, slow] = buildTargets(2);
  const build = (target: Target, runs: number, timeFactor: number) => ({
    target,
    runs,
    kvTokens: 0,
    maxKvTokens: 0,
    timeFactor,
  });
  const pick = (runs: number, timeFactor: number) =>
    drawFastest(
      [build(fast, runs, 1), build(slow, 0, timeFactor)],
      1,
      () => 0.5,
    )?.target;
  assert.equal(pick(0, 1.5), fast);
  assert.equal(pick(SLOTS, 1.3), slow);
  assert.equal(pick(SLOTS, 2.5), fast);
  assert.equal(drawFastest([], 1, () => 0), undefined);
});

// Guards against a slow decode engine that delays first tokens, or that is avoided at any price.
test("a slowdown counts like a transfer between zones for each usual time it adds", () => {
  const build = (id: string, runs: number, timeFactor: number) => ({
    target: buildEngine(id, { role: "decode" }),
    runs,
    kvTokens: 0,
    maxKvTokens: 480_000,
    timeFactor,
  });
  const pick = (runs: number) =>
    pickLeastLoaded(
      [build("slow", 0, 2), build("usual", runs, 1)],
      "zone-a",
      () => 0,
    )
      ?.target.id;
  assert.equal(pick(7), "usual");
  assert.equal(pick(8), "slow");
});

// Guards against own speed, slowdown and usual time that are mixed up: each is learned by itself.
test("the time of a plain call is its usual time x own speed x current slowdown", () => {
  const { targetLoads, plainTimeModel } = buildVm(1);
  let nowMs = 0;
  for (let call = 0; call < 3000; call++) {
    const target = `t${call % 2}`;
    const slowdown = Math.floor(call / 10) % 3 === 0 ? 2.5 : 1;
    const work = { target, route: "r", runs: 0, slots: SLOTS };
    report(targetLoads, target, nowMs, slowdown);
    const complete = plainTimeModel.beginWork(work, nowMs);
    nowMs += (target === "t0" ? 100 : 50) * slowdown;
    report(targetLoads, target, nowMs, slowdown);
    complete(nowMs);
  }
  report(targetLoads, "t0", nowMs + 1, 2);
  report(targetLoads, "t1", nowMs + 1, 1);
  const predict = (target: string) =>
    plainTimeModel.predictMs("r", target, nowMs + 1) ?? NaN;
  assert.ok(Math.abs(predict("t0") - 200) < 20, `${predict("t0")}`);
  assert.ok(Math.abs(predict("t1") - 50) < 5, `${predict("t1")}`);
  assert.equal(plainTimeModel.predictMs("other", "t0", 0), undefined);
});

// Guards against a target that lies about its slowdown and so attracts calls.
test("a plain target whose calls contradict its reports is not believed", () => {
  const { targetLoads, plainTimeModel } = buildVm(1);
  const run = (
    target: string,
    tookMs: number,
    slowdown: number,
    count: number,
  ) => {
    for (let call = 0; call < count; call++) {
      const work = { target, route: "r", runs: 0, slots: SLOTS };
      const complete = plainTimeModel.beginWork(work, nowMs);
      nowMs += tookMs;
      report(targetLoads, target, nowMs, slowdown);
      complete(nowMs);
    }
  };
  let nowMs = 0;
  run("honest", 80, 1, 50);
  run("false", 200, 0.3, 20);
  assert.equal(targetLoads.estimateSlowdown("honest", nowMs), 1);
  assert.equal(targetLoads.estimateSlowdown("false", nowMs), 1);
  assert.equal(targetLoads.find("false", nowMs)?.report.slowdown, 0.3);
});

// Guards against prompts that go to an engine that is slow at the moment, and against a momentary
// slowdown that is learned as the engine's own.
test("prefill times include the current slowdown, and what is learned does not", () => {
  const model = new PrefillTimeModel();
  for (let i = 0; i < 200; i++) {
    const slowdown = i % 2 === 0 ? 2.5 : 1;
    const costMs = model.predictMs("a", 3000, 0, slowdown);
    const ownMs = model.predictMs("new", 3000, 0) / model.getSlowdown("new");
    const tookMs = ownMs * slowdown + model.latencyMs;
    model.learn("a", { costMs, backlogMs: 0, tookMs });
    // Sent while the engine was at its usual speed, and slow before the prefill began.
    const lateMs = ownMs * 2.5 + model.latencyMs;
    const usualMs = model.predictMs("a", 3000, 0);
    model.learn("a", {
      costMs: usualMs,
      backlogMs: 0,
      tookMs: lateMs,
      slowdownChange: 2.5,
    });
  }
  assert.ok(
    Math.abs(model.getSlowdown("a") - 1) < 0.1,
    `${model.getSlowdown("a")}`,
  );
  const placer = new PromptPlacer({ model });
  const [a, b] = ["a", "b"].map((id) => buildEngine(id));
  const pick = (slowdown: number) =>
    placer.pickEngine(buildPrompt("k", 350, 100), {
      candidates: [
        { target: a, backlogMs: 0, slowdown },
        { target: b, backlogMs: 4 },
      ],
      prefillEngines: [a, b],
      prefixHolders: [],
      prefixSources: [],
      traits: TRAITS,
    });
  assert.equal(pick(1)?.target.id, "a");
  assert.equal(pick(2.5)?.target.id, "b");
  assert.equal(pick(1)?.slowdown, 1);
});

// Guards against probes of targets that need none, and of all VMs at once: only the VM with the newest
// report of a slow plain target without calls asks, and does so until the slowdown has ended.
test("a slow plain target without calls is asked whether it still is slow", async (t) => {
  t.mock.timers.enable({ apis: ["setTimeout"] });
  const clock = new ManualClock();
  const { targetLoads, workTracker } = buildVm(1);
  const directory = new TargetDirectory();
  const targets = [
    ...buildTargets(5),
    buildEngine("engine"),
  ];
  directory.applyList(targets.map((value) => ({ key: value.id, value })), 0);
  const [slow, usual, called, peers, gone, engine] = targets;
  const probed: string[] = [];
  const prober = new LoadProber({
    clock,
    targetLoads,
    workTracker,
    ...buildRateLimits(),
    directory,
    probe: ({ id }) => Promise.resolve(void probed.push(id)),
  });
  const observe = (target: Target, slowdown: number) => {
    report(targetLoads, target.id, clock.readMonotonicMs(), slowdown);
    prober.handleReport(target, slowdown);
  };
  const advance = (ms: number) => {
    clock.advance(ms);
    t.mock.timers.tick(ms);
  };
  clock.advance(1000);
  for (const target of [slow, called, peers, gone, engine]) {
    observe(target, 2.5);
  }
  observe(usual, 1);
  workTracker.beginRun(called.id, 0);
  directory.applyChanges([{ key: gone.id }], 1000);
  advance(100);
  targetLoads.mergePeerSample({
    target: peers.id,
    atMs: clock.readMonotonicMs(),
    running: 0,
    waiting: 0,
    slots: SLOTS,
    slowdown: 2.5,
  });
  advance(50);
  assert.deepEqual(probed, [slow.id]);
  observe(slow, 2.5);
  advance(150);
  observe(slow, 1);
  advance(1000);
  assert.deepEqual(probed, [slow.id, slow.id]);
  observe(slow, 2.5);
  prober.stop();
  advance(1000);
  assert.equal(probed.length, 2);
});
