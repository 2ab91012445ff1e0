import assert from "node:assert/strict";
import { test } from "node:test";
import { ReportTrust, TargetLoads } from "heatherarch-load";
import { listLoadStatus, type Target, TargetDirectory } from "../../mod.ts";
import { buildTarget } from "./fixtures.ts";

function buildDirectory(targets: readonly Target[]): TargetDirectory {
  const directory = new TargetDirectory();
  const entries = targets.map((value) => ({ key: value.id, value }));
  directory.applyList(entries, 0);
  return directory;
}

// Guards against a response with thousands of targets, and against one that leaves out the targets
// which explain why calls wait.
test("the 32 most loaded targets of a service are listed, and the others counted", () => {
  const targetLoads = new TargetLoads();
  const serving = Array.from({ length: 42 }, (_, i) => buildTarget(`t${i}`));
  const other = buildTarget("other", { service: "other" });
  const directory = buildDirectory([...serving, other]);
  const base = { waiting: 0, slots: 50, atMs: 100 };
  for (let i = 0; i < 40; i++) {
    targetLoads.record({ ...base, target: `t${i}`, running: i });
  }
  // With two thirds of the requests of t39, but twice as slow.
  targetLoads.record({
    ...base,
    target: "t26",
    running: 26,
    slowdown: 2,
    atMs: 101,
  });
  const [status, ...rest] = listLoadStatus(
    { targetLoads, directory },
    ["s", "other"],
    101,
  );
  // No target of the other service has reported.
  assert.deepEqual(rest, []);
  assert.equal(status.service, "s");
  assert.equal(status.targets.length, 32);
  assert.equal(status.others, 8);
  assert.equal(status.withoutReport, 2);
  const ids = status.targets.map(({ target }) => target);
  assert.deepEqual(ids.slice(0, 3), ["t26", "t39", "t38"]);
  assert.deepEqual(status.targets[0], {
    target: "t26",
    running: 26,
    waiting: 0,
    slots: 50,
    slowdown: 2,
    expectedSlowdown: 2,
    ageMs: 0,
  });
  assert.equal(status.targets[1].slowdown, null);
  assert.equal(status.targets[1].ageMs, 1);
});

// Guards against a status that shows what a target says, but not that this VM decides by another
// slowdown, because the report is old or is not believed.
test("the expected slowdown of an old or contradicted report differs from the reported one", () => {
  const trust = new ReportTrust();
  const targetLoads = new TargetLoads({ trust });
  const directory = buildDirectory([buildTarget("t")]);
  targetLoads.record({
    target: "t",
    running: 1,
    waiting: 2,
    slots: 0,
    slowdown: 2.5,
    atMs: 0,
  });
  const read = (nowMs: number) =>
    listLoadStatus({ targetLoads, directory }, ["s"], nowMs)[0].targets[0];
  assert.equal(read(300).slowdown, 2.5);
  assert.equal(read(300).expectedSlowdown, 1.75);
  assert.equal(read(300).ageMs, 300);
  for (let i = 0; i < 8; i++) {
    trust.recordWork("t", { tookMs: 400, indicatedMs: 100 }, 300);
  }
  assert.equal(read(300).slowdown, 2.5);
  assert.equal(read(300).expectedSlowdown, 1);
});
