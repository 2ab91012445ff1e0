import assert from "node:assert/strict";
import { test } from "node:test";
import { WorkTracker } from "../../mod.ts";

test("prompts given to one engine are read one after another", () => {
  const ledger = new WorkTracker();
  const endFirst = ledger.beginPrefill("e", { costMs: 100, lane: 0 }, 0);
  const endSecond = ledger.beginPrefill("e", { costMs: 200, lane: 0 }, 0);
  assert.equal(ledger.getPrefillBacklogMs("e", 0), 300);
  assert.equal(ledger.getPrefillBacklogMs("e", 60), 240);
  endFirst();
  assert.equal(ledger.getPrefillBacklogMs("e", 150), 150);
  endSecond();
  endSecond();
  assert.equal(ledger.getPrefillBacklogMs("e", 150), 0);
});

test("an engine reads in the order of arrival, so every lane counts", () => {
  const ledger = new WorkTracker();
  ledger.beginPrefill("e", { costMs: 300, lane: 2 }, 0);
  ledger.beginPrefill("e", { costMs: 40, lane: 0 }, 0);
  ledger.setPeerWork("vm-2", [["e", 0, 0, 10, 20, 500, 900]], 0);
  assert.equal(ledger.getPrefillBacklogMs("e", 0), 1770);
  assert.equal(ledger.getPrefillBacklogMs("e", 100), 1570);
});

test("an answer that is on its way back is not overdue", () => {
  const ledger = new WorkTracker();
  ledger.beginPrefill("e", { costMs: 50, lane: 0, latencyMs: 30 }, 0);
  assert.equal(ledger.getPrefillBacklogMs("e", 50), 0);
  assert.equal(ledger.getPrefillBacklogMs("e", 80), 0);
  assert.equal(ledger.getPrefillBacklogMs("e", 100), 20);
});

test("engines that read for late calls are known, whichever VM gave the prompt", () => {
  const ledger = new WorkTracker();
  const endRead = ledger.beginPrefill("a", { costMs: 500, lane: 3 }, 0);
  ledger.beginPrefill("b", { costMs: 500, lane: 1 }, 0);
  ledger.setPeerWork("vm-2", [["c", 0, 0, 0, 0, 0, 200]], 0);
  const late = (nowMs: number) =>
    ["a", "b", "c"].filter((id) => ledger.hasLatePrefill(id, nowMs));
  assert.deepEqual(late(0), ["a", "c"]);
  assert.deepEqual(late(250), ["a"]);
  endRead();
  assert.deepEqual(late(250), []);
});

test("an engine that does not answer fills up by the time that it is overdue", () => {
  const ledger = new WorkTracker();
  ledger.beginPrefill("e", { costMs: 50, lane: 0 }, 0);
  assert.equal(ledger.getPrefillBacklogMs("e", 50), 0);
  assert.equal(ledger.getPrefillBacklogMs("e", 350), 300);
  assert.equal(ledger.getPrefillBacklogMs("e", 5000), 400);
});

test("work of peers counts and ages; a silent peer is forgotten", () => {
  const ledger = new WorkTracker();
  ledger.setPeerWork("vm-2", [["e", 2, 1000, 300, 0, 0, 0]], 0);
  ledger.setPeerWork("vm-3", [["e", 1, 500, 100, 0, 0, 0]], 0);
  assert.deepEqual(ledger.getRunLoad("e", 0), { runs: 3, kvTokens: 1500 });
  assert.equal(ledger.getPrefillBacklogMs("e", 0), 400);
  assert.equal(ledger.getPrefillBacklogMs("e", 200), 100);
  ledger.setPeerWork("vm-3", [], 1000);
  assert.deepEqual(ledger.getRunLoad("e", 1600), { runs: 0, kvTokens: 0 });
});

test("rows for peers name all work in progress and nothing else", () => {
  const ledger = new WorkTracker();
  const endRun = ledger.beginRun("d", 700);
  ledger.beginPrefill("e", { costMs: 80, lane: 1 }, 0);
  assert.deepEqual(ledger.listOwnRows(0), [
    ["d", 1, 700, 0, 0, 0, 0],
    ["e", 0, 0, 0, 80, 0, 0],
  ]);
  endRun();
  endRun();
  assert.deepEqual(ledger.listOwnRows(0), [["e", 0, 0, 0, 80, 0, 0]]);
});

test("listeners hear of this VM's own work alone, and versions follow all that is known", () => {
  const ledger = new WorkTracker();
  let heard = 0;
  const undo = ledger.registerOwnWorkListener(() => heard++);
  const endRead = ledger.beginPrefill("e", { costMs: 10, lane: 0 }, 0);
  const endRun = ledger.beginRun("e", 100);
  assert.equal(heard, 2);
  const before = ledger.version;
  ledger.setPeerWork("vm-2", [["e", 1, 1, 0, 0, 0, 0]], 0);
  assert.equal(heard, 2);
  assert.ok(ledger.version > before);
  endRead();
  endRead();
  endRun();
  endRun();
  assert.equal(heard, 4);
  undo();
  ledger.beginRun("e", 1);
  assert.equal(heard, 4);
});

test("what a peer tells no more is forgotten, at each target", () => {
  const ledger = new WorkTracker();
  ledger.setPeerWork(
    "vm-2",
    [["a", 1, 10, 50, 0, 0, 0], ["b", 1, 10, 0, 0, 0, 0]],
    0,
  );
  ledger.setPeerWork("vm-3", [["a", 2, 20, 70, 0, 0, 0]], 0);
  ledger.setPeerWork("vm-2", [["b", 3, 30, 0, 0, 0, 0]], 10);
  assert.deepEqual(ledger.getRunLoad("a", 10), { runs: 2, kvTokens: 20 });
  assert.deepEqual(ledger.getRunLoad("b", 10), { runs: 3, kvTokens: 30 });
  ledger.forgetPeer("vm-3");
  assert.equal(ledger.getPrefillBacklogMs("a", 10), 0);
  ledger.forgetAllPeers();
  assert.deepEqual(ledger.getRunLoad("b", 10), { runs: 0, kvTokens: 0 });
});
