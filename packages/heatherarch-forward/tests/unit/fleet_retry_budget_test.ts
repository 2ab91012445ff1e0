import assert from "node:assert/strict";
import { test } from "node:test";
import { Random } from "heatherarch-core";
import { FleetRetryBudget } from "../../mod.ts";

const FLEET = { fixedPerWindow: 58, share: 0.2, windowMs: 10_000 };

/** Counts the retries that VMs send in one window if they always have one to send. */
function countRetries(vms: number, callsPerSecond: number): number {
  const retryBudgets = Array.from({ length: vms }, () => {
    const retryBudget = new FleetRetryBudget(FLEET);
    retryBudget.setLiveVms(vms);
    return retryBudget;
  });
  const random = new Random(vms);
  let spent = 0;
  for (let nowMs = 0; nowMs < FLEET.windowMs; nowMs += 10) {
    for (const retryBudget of retryBudgets) {
      if (random.drawUnit() < callsPerSecond / vms / 100) {
        retryBudget.recordCall("s", nowMs);
      }
      while (retryBudget.spendRetry("s", nowMs)) spent++;
    }
  }
  return spent;
}

test("a fleet whose every call fails stays within the shared retry budget", () => {
  for (const vms of [1, 3, 9, 80]) {
    const calls = 100;
    const budget = FLEET.share * calls * FLEET.windowMs / 1000 +
      FLEET.fixedPerWindow;
    const spent = countRetries(vms, calls);
    assert.ok(spent <= budget, `${vms} VMs: ${spent} of ${budget}`);
    assert.ok(spent > budget / 3, `${vms} VMs: ${spent} of ${budget}`);
  }
});

test("a large fleet does not exceed the retry budget with its bursts when it starts", () => {
  let spent = 0;
  for (let vm = 0; vm < 80; vm++) {
    const retryBudget = new FleetRetryBudget(FLEET);
    retryBudget.setLiveVms(80);
    while (retryBudget.spendRetry("s", 0)) spent++;
  }
  assert.ok(spent <= FLEET.fixedPerWindow, `${spent}`);
});

test("an idle service can still send a few retries", () => {
  const retryBudget = new FleetRetryBudget(FLEET);
  retryBudget.setLiveVms(9);
  assert.equal(retryBudget.spendRetry("s", 0), true);
  while (retryBudget.spendRetry("s", 0));
  assert.equal(retryBudget.spendRetry("s", 10_000), true);
});

test("each service has its own retry budget", () => {
  const retryBudget = new FleetRetryBudget(FLEET);
  while (retryBudget.spendRetry("s", 0));
  assert.equal(retryBudget.spendRetry("t", 0), true);
});
