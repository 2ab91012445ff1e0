import assert from "node:assert/strict";
import { test } from "node:test";
import { WorkLedger } from "../../mod.ts";

test("prompts given to one engine are read one after another", () => {
  const ledger = new WorkLedger();
  const endFirst = ledger.beginRead("e", 100, 0, 0);
  const endSecond = ledger.beginRead("e", 200, 0, 0);
  assert.equal(ledger.getReadMs("e", 0, 0), 300);
  assert.equal(ledger.getReadMs("e", 0, 60), 240);
  endFirst();
  assert.equal(ledger.getReadMs("e", 0, 150), 150);
  endSecond();
  endSecond();
  assert.equal(ledger.getReadMs("e", 0, 150), 0);
});

test("an urgent prompt waits for its own lane, the lanes before it and one piece", () => {
  const ledger = new WorkLedger();
  ledger.beginRead("e", 300, 2, 0);
  ledger.beginRead("e", 40, 0, 0);
  ledger.notePeer("vm-2", [["e", 0, 0, 10, 20, 500, 900]], 0);
  assert.equal(ledger.getReadMs("e", 0, 0), 50 + 80);
  assert.equal(ledger.getReadMs("e", 1, 0), 70 + 80);
  assert.equal(ledger.getReadMs("e", 2, 0), 870 + 80);
  assert.equal(ledger.getReadMs("e", 3, 0), 1770);
});

test("an engine that does not answer fills up by the time that it is overdue", () => {
  const ledger = new WorkLedger();
  ledger.beginRead("e", 50, 0, 0);
  assert.equal(ledger.getReadMs("e", 0, 50), 0);
  assert.equal(ledger.getReadMs("e", 0, 350), 300);
  assert.equal(ledger.getReadMs("e", 0, 5000), 400);
});

test("work of peers counts and ages; a silent peer is forgotten", () => {
  const ledger = new WorkLedger();
  ledger.notePeer("vm-2", [["e", 2, 1000, 300, 0, 0, 0]], 0);
  ledger.notePeer("vm-3", [["e", 1, 500, 100, 0, 0, 0]], 0);
  assert.deepEqual(ledger.getRuns("e", 0), { runs: 3, kvTokens: 1500 });
  assert.equal(ledger.getReadMs("e", 0, 0), 400);
  assert.equal(ledger.getReadMs("e", 0, 200), 100);
  ledger.notePeer("vm-3", [], 1000);
  assert.deepEqual(ledger.getRuns("e", 1600), { runs: 0, kvTokens: 0 });
});

test("rows for peers name all work in progress and nothing else", () => {
  const ledger = new WorkLedger();
  const endRun = ledger.beginRun("d", 700);
  ledger.beginRead("e", 80, 1, 0);
  assert.deepEqual(ledger.listOwnRows(0), [
    ["d", 1, 700, 0, 0, 0, 0],
    ["e", 0, 0, 0, 80, 0, 0],
  ]);
  endRun();
  endRun();
  assert.deepEqual(ledger.listOwnRows(0), [["e", 0, 0, 0, 80, 0, 0]]);
});
