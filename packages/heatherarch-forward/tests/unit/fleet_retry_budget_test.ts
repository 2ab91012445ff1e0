import assert from "node:assert/strict";
import { test } from "node:test";
import { Random } from "heatherarch-core";
import { FleetRetryBudget } from "../../mod.ts";

const FLEET = { fixedPerWindow: 58, share: 0.2, windowMs: 10_000 };

/** Takes and sends one retry. Returns whether one was left. */
function spendRetry(
  retryBudget: FleetRetryBudget,
  nowMs: number,
  service = "s",
): boolean {
  return retryBudget.takeRetries(service, 1, nowMs) !== undefined;
}

/** Time without a retry, milliseconds. */
const CALM_MS = 120_000;

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
      while (spendRetry(retryBudget, nowMs)) spent++;
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
    while (spendRetry(retryBudget, 0)) spent++;
  }
  assert.ok(spent <= FLEET.fixedPerWindow, `${spent}`);
});

test("an idle service can still send a few retries", () => {
  const retryBudget = new FleetRetryBudget(FLEET);
  retryBudget.setLiveVms(9);
  assert.equal(spendRetry(retryBudget, 0), true);
  while (spendRetry(retryBudget, 0));
  assert.equal(spendRetry(retryBudget, 10_000), true);
});

test("each service has its own retry budget", () => {
  const retryBudget = new FleetRetryBudget(FLEET);
  while (spendRetry(retryBudget, 0));
  assert.equal(spendRetry(retryBudget, 0, "t"), true);
});

// Guards against a whole retry for each VM of a large fleet, whatever the fixed number is.
test("a large fleet with few calls stays within the shared retry budget", () => {
  const fleet = { fixedPerWindow: 430, share: 0.2, windowMs: 10_000 };
  const vms = 870;
  let spent = 0;
  for (let vm = 0; vm < vms; vm++) {
    const retryBudget = new FleetRetryBudget(fleet);
    retryBudget.setLiveVms(vms);
    retryBudget.recordCall("s", -CALM_MS);
    for (let nowMs = 0; nowMs < fleet.windowMs; nowMs += 100) {
      while (spendRetry(retryBudget, nowMs)) spent++;
    }
  }
  assert.ok(spent <= fleet.fixedPerWindow, `${spent}`);
  assert.ok(spent > fleet.fixedPerWindow / 3, `${spent}`);
});

// Guards against VMs that spend their part again after a restart, each in the same window.
test("a VM that joins a running fleet has no part of the fixed number for one window", () => {
  const retryBudget = new FleetRetryBudget({ ...FLEET, startsUnlisted: true });
  assert.equal(retryBudget.getAvailable("s", 0), 0);
  retryBudget.setLiveVms(9, 0);
  retryBudget.withholdFixedPart(0);
  assert.equal(retryBudget.getAvailable("s", FLEET.windowMs - 1), 0);
  assert.equal(retryBudget.getAvailable("s", FLEET.windowMs), 5);
});

// Guards against parts that add up to several budgets while the list of VMs is short for a moment.
test("a lower number of VMs applies one window later", () => {
  const retryBudget = new FleetRetryBudget(FLEET);
  retryBudget.setLiveVms(9, 0);
  retryBudget.setLiveVms(3, 1000);
  assert.equal(retryBudget.getAvailable("s", 5000), 5);
  retryBudget.setLiveVms(9, 6000);
  assert.equal(retryBudget.getAvailable("s", 12_000), 5);
  retryBudget.setLiveVms(3, 13_000);
  retryBudget.setLiveVms(4, 15_000);
  assert.equal(retryBudget.getAvailable("s", 22_999), 5);
  assert.equal(retryBudget.getAvailable("s", 23_000), 13);
});

// Guards against a credit that two VMs spend: the one that received a call, and the peer that served it.
test("the credit of a call that a peer counts is taken back after it was spent", () => {
  const retryBudget = new FleetRetryBudget({ ...FLEET, fixedPerWindow: 0 });
  const calls = 8;
  for (let i = 0; i < calls; i++) retryBudget.recordCall("s", 0);
  assert.ok(spendRetry(retryBudget, 0));
  for (let i = 0; i < calls; i++) retryBudget.forgetCall("s", 0);
  for (let i = 0; i < calls; i++) retryBudget.recordCall("s", 0);
  assert.ok(retryBudget.getAvailable("s", 0) < 1);
});

// Guards against retries that are lost for callers, because a request was not sent after all.
test("a retry that is given back can be taken again, and counts from when it is sent", () => {
  const retryBudget = new FleetRetryBudget({ ...FLEET, fixedPerWindow: 3 });
  const [first, second] = retryBudget.takeRetries("s", 2, 0) ?? [];
  assert.equal(retryBudget.getAvailable("s", 0), 0);
  first.refund();
  assert.equal(retryBudget.getAvailable("s", 0), 1);
  second.markSent(4000);
  assert.equal(retryBudget.getAvailable("s", FLEET.windowMs), 1);
  assert.equal(retryBudget.getAvailable("s", FLEET.windowMs + 4000), 2);
});
