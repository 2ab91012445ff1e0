import assert from "node:assert/strict";
import { test } from "node:test";
import type { Clock } from "heatherarch-core";
import {
  CrashDetector,
  type ProbeResult,
  RequestQuarantine,
} from "../../mod.ts";

const TARGET = "t@1";
const ADDRESS = "127.0.0.1:1";

/** Builds a detector whose probes all return `result`, and helpers for one target. */
function build(
  result: ProbeResult,
  isInService = true,
  isRefusalCredible = true,
) {
  let nowMs = 0;
  const quarantine = new RequestQuarantine();
  const detector = new CrashDetector({
    targetProbe: { probe: () => Promise.resolve(result) },
    quarantine,
    clock: { readMonotonicMs: () => nowMs } as unknown as Clock,
    isInService: () => isInService,
    isRefusalCredible: () => Promise.resolve(isRefusalCredible),
    onLoss: () => undefined,
    onCrash: () => undefined,
  });
  const lose = (request: string) =>
    detector.investigateLoss({
      call: "c",
      request,
      account: "a",
      target: TARGET,
      address: ADDRESS,
      reason: "other side closed",
    });
  const wait = (ms: number): void => {
    nowMs += ms;
  };
  return { detector, quarantine, lose, wait };
}

test("a target that refuses connections after a loss crashed with all its requests", async () => {
  const { quarantine, lose } = build("refused");
  await Promise.all([lose("r"), lose("s")]);
  assert.equal(quarantine.countCrashes("r"), 1);
  assert.equal(quarantine.countCrashes("s"), 1);
});

// Guards against accusations by a VM whose own path to all targets refuses connections.
test("a refused connection is no crash if this VM reaches no other target", async () => {
  const { detector, quarantine, lose } = build("refused", true, false);
  await lose("r");
  assert.equal(quarantine.isEmpty, true);
  detector.recordCrash(TARGET, "replaced");
  assert.equal(quarantine.countCrashes("r"), 1);
});

test("a lost response or connection of a target that still listens is no crash", async () => {
  const { quarantine, lose } = build("accepted");
  await lose("r");
  assert.equal(quarantine.isEmpty, true);
});

test("a silent target crashed when another incarnation is listed at its address", async () => {
  const { detector, quarantine, lose, wait } = build("silent");
  await lose("r");
  wait(4000);
  detector.recordListing(TARGET, ADDRESS);
  detector.recordListing("u", "127.0.0.1:2");
  assert.equal(quarantine.isEmpty, true);
  detector.recordListing("t@2", ADDRESS);
  assert.equal(quarantine.countCrashes("r"), 1);
});

// The list entries of targets in a partitioned zone expire. Requests that were lost to a partition
// were once counted as crashes for that reason.
test("a target whose list entry expires in a partition and returns has not crashed", async () => {
  const { detector, quarantine, lose, wait } = build("silent");
  await lose("r");
  wait(5000);
  detector.recordListing(TARGET, ADDRESS);
  assert.equal(quarantine.isEmpty, true);
});

test("a loss older than the evidence window is not attributed to a crash", async () => {
  const { detector, quarantine, lose, wait } = build("accepted");
  await lose("r");
  wait(10_001);
  detector.recordListing("t@2", ADDRESS);
  assert.equal(quarantine.isEmpty, true);
});

test("a target that is leaving stops without a crash", async () => {
  const { quarantine, lose } = build("refused", false);
  await lose("r");
  assert.equal(quarantine.isEmpty, true);
});
