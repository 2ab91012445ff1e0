import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreOutageDetector } from "../../mod.ts";

/** Creates the detector of a VM that read the list at 0. Targets write every 1,000 ms. */
function createDetector(): StoreOutageDetector {
  const outages = new StoreOutageDetector({ targetHeartbeatMs: 1000 });
  outages.recordOwnRead(0);
  return outages;
}

function assertGraceEndsAt(
  outages: StoreOutageDetector,
  nowMs: number,
  endMs: number,
): void {
  assert.equal(outages.isInGrace(nowMs), true);
  assert.equal(outages.isInGrace(endMs - 1), true);
  assert.equal(outages.isInGrace(endMs), false);
}

test("entries may have expired in an outage of two heartbeats, until two seconds after its end", () => {
  const outages = createDetector();
  outages.recordOwnFailure();
  outages.recordOwnRead(2000);
  assertGraceEndsAt(outages, 2000, 4000);
  assertGraceEndsAt(outages, 3999, 4000);
  assert.equal(outages.isInGrace(4000), false);
});

test("no entry expires in a shorter outage", () => {
  const outages = createDetector();
  outages.recordOwnFailure();
  outages.recordOwnRead(1999);
  assert.equal(outages.isInGrace(1999), false);
});

test("a VM whose own reads fail learns from its peers that the store is available", () => {
  const outages = createDetector();
  for (let atMs = 700; atMs <= 9000; atMs += 700) {
    outages.recordOwnFailure();
    outages.recordPeerRead(atMs);
  }
  outages.recordOwnRead(9300);
  assert.equal(outages.isInGrace(9300), false);
});

test("the grace period starts once, when the first VM reads again", () => {
  const outages = createDetector();
  outages.recordOwnFailure();
  outages.recordPeerRead(5000);
  for (let atMs = 5300; atMs <= 6800; atMs += 300) {
    outages.recordOwnFailure();
    outages.recordPeerRead(atMs);
  }
  outages.recordOwnRead(6900);
  assertGraceEndsAt(outages, 6900, 7000);
  assert.equal(outages.isInGrace(7000), false);
});

test("an outage that begins while only this VM's reads fail is detected", () => {
  const outages = createDetector();
  outages.recordOwnFailure();
  outages.recordPeerRead(1000);
  outages.recordOwnFailure();
  outages.recordPeerRead(6000);
  outages.recordOwnRead(6100);
  assertGraceEndsAt(outages, 6100, 8000);
});

test("a VM whose reads fail in the grace period keeps missing entries until it reads again", () => {
  const outages = createDetector();
  outages.recordOwnFailure();
  outages.recordOwnRead(5000);
  outages.recordOwnFailure();
  for (let atMs = 5100; atMs <= 9000; atMs += 300) outages.recordPeerRead(atMs);
  assert.equal(outages.isInGrace(9000), true);
  outages.recordOwnRead(9100);
  assert.equal(outages.isInGrace(9100), false);
});

test("a VM that reads late without a failure trusts the list", () => {
  const outages = createDetector();
  outages.recordOwnRead(8000);
  assert.equal(outages.isInGrace(8000), false);
});

test("a late notice of a peer's read changes nothing", () => {
  const outages = createDetector();
  outages.recordOwnRead(1000);
  outages.recordOwnFailure();
  outages.recordPeerRead(500);
  outages.recordOwnRead(3500);
  assertGraceEndsAt(outages, 3500, 5500);
});

// The simulated fleet of `target_list_proof.ts` dropped a running target. The target's entry had
// expired in an outage, and the target could not write again because the store failed for another
// 0.9 s just after its recovery.
test("an outage soon after another one extends the grace period of expired entries", () => {
  const outages = createDetector();
  outages.recordOwnFailure();
  outages.recordOwnRead(5000);
  assertGraceEndsAt(outages, 5000, 7000);
  outages.recordOwnFailure();
  outages.recordOwnRead(6000);
  assertGraceEndsAt(outages, 6000, 8000);
});
