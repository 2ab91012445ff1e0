import assert from "node:assert/strict";
import { test } from "node:test";
import { WorkLedger } from "../../mod.ts";

test("prompts given to one engine are read one after another", () => {
  const ledger = new WorkLedger();
  const endFirst = ledger.beginRead("e", 100, 0);
  const endSecond = ledger.beginRead("e", 200, 0);
  assert.equal(ledger.getWork("e", 0).readMs, 300);
  assert.equal(ledger.getWork("e", 60).readMs, 240);
  endFirst();
  assert.equal(ledger.getWork("e", 150).readMs, 150);
  endSecond();
  endSecond();
  assert.equal(ledger.getWork("e", 150).readMs, 0);
});

test("an engine that does not answer fills up by the time that it is overdue", () => {
  const ledger = new WorkLedger();
  ledger.beginRead("e", 50, 0);
  assert.equal(ledger.getWork("e", 50).readMs, 0);
  assert.equal(ledger.getWork("e", 450).readMs, 400);
});

test("work of peers counts and ages; a silent peer is forgotten", () => {
  const ledger = new WorkLedger();
  ledger.notePeer("vm-2", [["e", 300, 2, 1000]], 0);
  ledger.notePeer("vm-3", [["e", 100, 1, 500]], 0);
  assert.deepEqual(ledger.getWork("e", 0), {
    readMs: 400,
    runs: 3,
    kvTokens: 1500,
  });
  assert.equal(ledger.getWork("e", 200).readMs, 100);
  ledger.notePeer("vm-3", [], 1000);
  assert.deepEqual(ledger.getWork("e", 1600), {
    readMs: 0,
    runs: 0,
    kvTokens: 0,
  });
});

test("rows for peers name all work in progress and nothing else", () => {
  const ledger = new WorkLedger();
  const endRun = ledger.beginRun("d", 700);
  ledger.beginRead("e", 80, 0);
  assert.deepEqual(ledger.listOwnRows(0), [["d", 0, 1, 700], ["e", 80, 0, 0]]);
  endRun();
  endRun();
  assert.deepEqual(ledger.listOwnRows(0), [["e", 80, 0, 0]]);
});
