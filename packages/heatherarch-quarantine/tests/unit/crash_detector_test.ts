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

/** An inquiry whose probes all meet `result`, about one target. */
function build(result: ProbeResult, isInService = true) {
  let nowMs = 0;
  const quarantine = new RequestQuarantine();
  const inquiry = new CrashDetector({
    targetProbe: { probe: () => Promise.resolve(result) },
    quarantine,
    clock: { readMonotonicMs: () => nowMs } as unknown as Clock,
    isInService: () => isInService,
    onLoss: () => undefined,
    onCrash: () => undefined,
  });
  const lose = (request: string) =>
    inquiry.investigateLoss({
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
  return { inquiry, quarantine, lose, wait };
}

test("a target that refuses connections after a loss has ended under all its requests", async () => {
  const { quarantine, lose } = build("refused");
  await Promise.all([lose("r"), lose("s")]);
  assert.equal(quarantine.countCrashes("r"), 1);
  assert.equal(quarantine.countCrashes("s"), 1);
});

test("a lost answer or connection of a target that is there counts against nobody", async () => {
  const { quarantine, lose } = build("accepted");
  await lose("r");
  assert.equal(quarantine.isEmpty, true);
});

test("a target that was silent has ended when another life is listed at its address", async () => {
  const { inquiry, quarantine, lose, wait } = build("silent");
  await lose("r");
  wait(4000);
  inquiry.recordListing(TARGET, ADDRESS);
  inquiry.recordListing("u", "127.0.0.1:2");
  assert.equal(quarantine.isEmpty, true);
  inquiry.recordListing("t@2", ADDRESS);
  assert.equal(quarantine.countCrashes("r"), 1);
});

// Seen: requests that were lost to a cut zone counted as crashes, since entries behind it lapse.
test("a target whose entry lapses behind a cut, and that is back with it, has not ended", async () => {
  const { inquiry, quarantine, lose, wait } = build("silent");
  await lose("r");
  wait(5000);
  inquiry.recordListing(TARGET, ADDRESS);
  assert.equal(quarantine.isEmpty, true);
});

test("a loss of long ago has nothing to do with a target's end", async () => {
  const { inquiry, quarantine, lose, wait } = build("accepted");
  await lose("r");
  wait(10_001);
  inquiry.recordListing("t@2", ADDRESS);
  assert.equal(quarantine.isEmpty, true);
});

test("a target that leaves ends by itself", async () => {
  const { quarantine, lose } = build("refused", false);
  await lose("r");
  assert.equal(quarantine.isEmpty, true);
});
