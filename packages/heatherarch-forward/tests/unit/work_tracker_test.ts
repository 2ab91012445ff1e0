import assert from "node:assert/strict";
import { test } from "node:test";
import { WorkTracker } from "../../mod.ts";

test("an engine prefills its prompts one after another", () => {
  const tracker = new WorkTracker();
  const endFirst = tracker.beginPrefill("e", { costMs: 100, lane: 0 }, 0);
  const endSecond = tracker.beginPrefill("e", { costMs: 200, lane: 0 }, 0);
  assert.equal(tracker.getPrefillBacklogMs("e", 0), 300);
  assert.equal(tracker.getPrefillBacklogMs("e", 60), 240);
  endFirst();
  assert.equal(tracker.getPrefillBacklogMs("e", 150), 150);
  endSecond();
  endSecond();
  assert.equal(tracker.getPrefillBacklogMs("e", 150), 0);
});

test("an engine prefills in the order of arrival, so the backlog includes every lane", () => {
  const tracker = new WorkTracker();
  tracker.beginPrefill("e", { costMs: 300, lane: 2 }, 0);
  tracker.beginPrefill("e", { costMs: 40, lane: 0 }, 0);
  tracker.setPeerWork("vm-2", [["e", 0, 0, 10, 20, 500, 900]], 0);
  assert.equal(tracker.getPrefillBacklogMs("e", 0), 1770);
  assert.equal(tracker.getPrefillBacklogMs("e", 100), 1570);
});

test("a response within its latency is not overdue", () => {
  const tracker = new WorkTracker();
  tracker.beginPrefill("e", { costMs: 50, lane: 0, latencyMs: 30 }, 0);
  assert.equal(tracker.getPrefillBacklogMs("e", 50), 0);
  assert.equal(tracker.getPrefillBacklogMs("e", 80), 0);
  assert.equal(tracker.getPrefillBacklogMs("e", 100), 20);
});

test("engines that prefill late calls are known, regardless of the VM that sent the prompt", () => {
  const tracker = new WorkTracker();
  const endPrefill = tracker.beginPrefill("a", { costMs: 500, lane: 3 }, 0);
  tracker.beginPrefill("b", { costMs: 500, lane: 1 }, 0);
  tracker.setPeerWork("vm-2", [["c", 0, 0, 0, 0, 0, 200]], 0);
  const late = (nowMs: number) =>
    ["a", "b", "c"].filter((id) => tracker.hasLatePrefill(id, nowMs));
  assert.deepEqual(late(0), ["a", "c"]);
  assert.deepEqual(late(250), ["a"]);
  endPrefill();
  assert.deepEqual(late(250), []);
});

test("the backlog of an engine that does not respond grows by the overdue time, up to a bound", () => {
  const tracker = new WorkTracker();
  tracker.beginPrefill("e", { costMs: 50, lane: 0 }, 0);
  assert.equal(tracker.getPrefillBacklogMs("e", 50), 0);
  assert.equal(tracker.getPrefillBacklogMs("e", 350), 300);
  assert.equal(tracker.getPrefillBacklogMs("e", 5000), 400);
});

test("work of peers counts and ages; the work of a silent peer is ignored", () => {
  const tracker = new WorkTracker();
  tracker.setPeerWork("vm-2", [["e", 2, 1000, 300, 0, 0, 0]], 0);
  tracker.setPeerWork("vm-3", [["e", 1, 500, 100, 0, 0, 0]], 0);
  assert.deepEqual(tracker.getRunLoad("e", 0), { runs: 3, kvTokens: 1500 });
  assert.equal(tracker.getPrefillBacklogMs("e", 0), 400);
  assert.equal(tracker.getPrefillBacklogMs("e", 200), 100);
  tracker.setPeerWork("vm-3", [], 1000);
  assert.deepEqual(tracker.getRunLoad("e", 1600), { runs: 0, kvTokens: 0 });
});

test("rows for peers contain all outstanding work and nothing else", () => {
  const tracker = new WorkTracker();
  const endRun = tracker.beginRun("d", 700);
  tracker.beginPrefill("e", { costMs: 80, lane: 1 }, 0);
  assert.deepEqual(tracker.listOwnRows(0), [
    ["d", 1, 700, 0, 0, 0, 0],
    ["e", 0, 0, 0, 80, 0, 0],
  ]);
  endRun();
  endRun();
  assert.deepEqual(tracker.listOwnRows(0), [["e", 0, 0, 0, 80, 0, 0]]);
});

test("listeners are notified of own work only, and the version changes with all known work", () => {
  const tracker = new WorkTracker();
  let notified = 0;
  const removeListener = tracker.registerOwnWorkListener(() => notified++);
  const endPrefill = tracker.beginPrefill("e", { costMs: 10, lane: 0 }, 0);
  const endRun = tracker.beginRun("e", 100);
  assert.equal(notified, 2);
  const before = tracker.version;
  tracker.setPeerWork("vm-2", [["e", 1, 1, 0, 0, 0, 0]], 0);
  assert.equal(notified, 2);
  assert.ok(tracker.version > before);
  endPrefill();
  endPrefill();
  endRun();
  endRun();
  assert.equal(notified, 4);
  removeListener();
  tracker.beginRun("e", 1);
  assert.equal(notified, 4);
});

test("work that a peer no longer reports is removed at each target", () => {
  const tracker = new WorkTracker();
  tracker.setPeerWork(
    "vm-2",
    [["a", 1, 10, 50, 0, 0, 0], ["b", 1, 10, 0, 0, 0, 0]],
    0,
  );
  tracker.setPeerWork("vm-3", [["a", 2, 20, 70, 0, 0, 0]], 0);
  tracker.setPeerWork("vm-2", [["b", 3, 30, 0, 0, 0, 0]], 10);
  assert.deepEqual(tracker.getRunLoad("a", 10), { runs: 2, kvTokens: 20 });
  assert.deepEqual(tracker.getRunLoad("b", 10), { runs: 3, kvTokens: 30 });
  tracker.forgetPeer("vm-3");
  assert.equal(tracker.getPrefillBacklogMs("a", 10), 0);
  tracker.forgetAllPeers();
  assert.deepEqual(tracker.getRunLoad("b", 10), { runs: 0, kvTokens: 0 });
});
