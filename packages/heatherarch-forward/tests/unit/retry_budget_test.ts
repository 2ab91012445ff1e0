import assert from "node:assert/strict";
import { test } from "node:test";
import { Random } from "heatherarch-core";
import { RetryBudget } from "../../mod.ts";

const FLEET = { fixedPerWindow: 58, share: 0.2, windowMs: 10_000 };

/** Tries that VMs which always want one may send in `spanMs`. */
function countTries(vms: number, callsPerSecond: number): number {
  const allowances = Array.from({ length: vms }, () => {
    const allowance = new RetryBudget(FLEET);
    allowance.setLiveVms(vms);
    return allowance;
  });
  const random = new Random(vms);
  let spent = 0;
  for (let nowMs = 0; nowMs < FLEET.windowMs; nowMs += 10) {
    for (const allowance of allowances) {
      if (random.drawUnit() < callsPerSecond / vms / 100) {
        allowance.recordCall("s", nowMs);
      }
      while (allowance.spendRetry("s", nowMs)) spent++;
    }
  }
  return spent;
}

test("a fleet whose every call fails stays within the shared budget", () => {
  for (const vms of [1, 3, 9, 80]) {
    const calls = 100;
    const budget = FLEET.share * calls * FLEET.windowMs / 1000 +
      FLEET.fixedPerWindow;
    const spent = countTries(vms, calls);
    assert.ok(spent <= budget, `${vms} VMs: ${spent} of ${budget}`);
    assert.ok(spent > budget / 3, `${vms} VMs: ${spent} of ${budget}`);
  }
});

test("a large fleet does not burst past the budget when it starts", () => {
  let spent = 0;
  for (let vm = 0; vm < 80; vm++) {
    const allowance = new RetryBudget(FLEET);
    allowance.setLiveVms(80);
    while (allowance.spendRetry("s", 0)) spent++;
  }
  assert.ok(spent <= FLEET.fixedPerWindow, `${spent}`);
});

test("an idle service can still retry a little", () => {
  const allowance = new RetryBudget(FLEET);
  allowance.setLiveVms(9);
  assert.equal(allowance.spendRetry("s", 0), true);
  while (allowance.spendRetry("s", 0));
  assert.equal(allowance.spendRetry("s", 10_000), true);
});

test("services have budgets of their own", () => {
  const allowance = new RetryBudget(FLEET);
  while (allowance.spendRetry("s", 0));
  assert.equal(allowance.spendRetry("t", 0), true);
});
