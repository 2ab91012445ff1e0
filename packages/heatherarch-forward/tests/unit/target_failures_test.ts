import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type FailureRow,
  subtractFailureRows,
  TargetFailures,
} from "../../mod.ts";

const TARGETS = Array.from({ length: 12 }, (_, i) => `t${i}`);

/** VMs that tell each other what they observe. */
function buildFleet(vms: number): TargetFailures[] {
  return Array.from({ length: vms }, () => new TargetFailures());
}

function exchangeReports(fleet: TargetFailures[], nowMs: number): void {
  const rows = fleet.map((failures) => failures.listOwnRows(nowMs));
  fleet.forEach((failures, vm) => {
    rows.forEach((report, peer) => {
      if (peer !== vm) failures.setPeerRows(`vm${peer}`, report, nowMs);
    });
  });
}

// Guards against a fleet in which each VM has to be failed several times by each failing target.
test("two VMs that are failed once each make all VMs avoid the target", () => {
  const fleet = buildFleet(88);
  fleet[0].recordAttempt("t3", true, 0);
  fleet[1].recordAttempt("t3", true, 0);
  exchangeReports(fleet, 100);
  for (const failures of fleet) {
    assert.deepEqual([...failures.findFailing(TARGETS, 100)], ["t3"]);
  }
});

// Guards against a target that stops counting as failing when more calls fail there, as in a crash with
// many calls in flight.
test("a target at which all attempts of a VM fail is avoided, however many they are", () => {
  for (const attempts of [2, 12, 100]) {
    const [vm] = buildFleet(1);
    for (let i = 0; i < attempts; i++) vm.recordAttempt("t3", true, 0);
    assert.deepEqual([...vm.findFailing(TARGETS, 10)], ["t3"], `${attempts}`);
  }
});

// Guards against the loss of a target that returns errors by design.
test("a target that fails one seventh of the fleet's attempts is not avoided", () => {
  const fleet = buildFleet(20);
  for (let i = 0; i < 400; i++) {
    const nowMs = i * 20;
    fleet[i % 20].recordAttempt("t0", i % 7 === 0, nowMs);
    if (i % 5 === 0) exchangeReports(fleet, nowMs);
    if (i < 40) continue;
    const [vm] = fleet;
    assert.equal(vm.findFailing(TARGETS, nowMs).size, 0, `attempt ${i}`);
  }
});

// Guards against a VM whose own link fails and that blames all targets.
test("failures that are spread over all targets are not theirs", () => {
  const [vm] = buildFleet(1);
  for (const target of TARGETS) {
    vm.recordAttempt(target, true, 0);
    vm.recordAttempt(target, true, 0);
  }
  assert.equal(vm.findFailing(TARGETS, 10).size, 0);
});

// Guards against one cut VM that outvotes the fleet.
test("what one VM observes does not outweigh the successes of the others", () => {
  const fleet = buildFleet(9);
  for (let i = 0; i < 30; i++) fleet[0].recordAttempt("t0", true, 0);
  for (const other of fleet.slice(1)) {
    for (let i = 0; i < 3; i++) other.recordAttempt("t0", false, 0);
  }
  exchangeReports(fleet, 10);
  exchangeReports(fleet, 20);
  for (const failures of fleet) {
    assert.equal(failures.findFailing(TARGETS, 20).size, 0);
  }
});

// Guards against the fleet's whole load at a few targets while most are failing.
test("the soundest targets stay in use however many fail", () => {
  const [vm] = buildFleet(1);
  for (const [i, target] of TARGETS.entries()) {
    for (let n = 0; n < 4; n++) vm.recordAttempt(target, i > 3, 0);
  }
  const failing = vm.findFailing(TARGETS, 0);
  assert.equal(failing.size, 8);
  for (let i = 0; i <= 3; i++) assert.equal(failing.has(`t${i}`), false);
});

// Guards against a target that is never tried again.
test("an avoided target is tried again after some seconds", () => {
  const [vm] = buildFleet(1);
  for (let i = 0; i < 3; i++) vm.recordAttempt("t0", true, 0);
  assert.equal(vm.findFailing(TARGETS, 500).has("t0"), true);
  assert.equal(vm.findFailing(TARGETS, 3000).has("t0"), false);
  vm.sweep(20_000);
  assert.deepEqual(vm.listOwnRows(20_000), []);
});

// Guards against reports of a VM that is gone, and against reports that count twice.
test("reports of silent peers expire, and a sum does not contain a VM's own part", () => {
  const [vm] = buildFleet(1);
  vm.setPeerRows("peer", [["t0", 30, 30]], 0);
  assert.equal(vm.findFailing(TARGETS, 1000).has("t0"), true);
  assert.equal(vm.findFailing(TARGETS, 1501).has("t0"), false);
  const sum: FailureRow[] = [["t0", 50, 20], ["t1", 10, 10]];
  assert.deepEqual(subtractFailureRows(sum, [["t0", 20, 20]]), [
    ["t0", 30, 0],
    ["t1", 10, 10],
  ]);
});

// Guards against reports that grow with the fleet while hundreds of targets fail.
test("a report names the 32 targets with most failures, whoever reports", () => {
  const [hub] = buildFleet(1);
  const reported: FailureRow[] = [];
  for (let i = 0; i < 200; i++) {
    hub.recordAttempt(`own${i}`, true, 0);
    reported.push([`t${i}`, 40, i < 40 ? 30 : 20]);
  }
  hub.recordAttempt("worst", true, 0);
  hub.recordAttempt("worst", true, 0);
  const own = hub.listOwnRows(0);
  assert.equal(own.length, 32);
  assert.deepEqual(own[0], ["worst", 20, 20]);
  hub.setPeerRows("vm", reported, 0);
  const sum = hub.sumRows(0, true);
  assert.equal(sum.length, 32);
  const isOfPeer = sum.every(([id, , failures]) =>
    id.startsWith("t") && failures === 30
  );
  assert.equal(isOfPeer, true);
});

test("a hub sums its zone with or without the sums of other zones", () => {
  const [hub] = buildFleet(1);
  hub.recordAttempt("t0", true, 0);
  hub.setPeerRows("vm", [["t0", 10, 10]], 0);
  hub.setPeerRows("zone b", [["t1", 20, 10]], 0, "gathered");
  assert.deepEqual(hub.sumRows(0, false), [["t0", 20, 20]]);
  assert.deepEqual(hub.sumRows(0, true), [["t0", 20, 20], ["t1", 20, 10]]);
});
