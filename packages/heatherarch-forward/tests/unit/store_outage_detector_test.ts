import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreOutageDetector } from "../../mod.ts";

/** Creates the detector of a VM that read the list at 0. Targets write every 1,000 ms. */
function createDetector(): StoreOutageDetector {
  const detector = new StoreOutageDetector({ targetHeartbeatMs: 1000 });
  detector.recordOwnRead(0);
  return detector;
}

function assertGraceEndsAt(
  detector: StoreOutageDetector,
  nowMs: number,
  endMs: number,
): void {
  assert.equal(detector.isInGrace(nowMs), true);
  assert.equal(detector.isInGrace(endMs - 1), true);
  assert.equal(detector.isInGrace(endMs), false);
}

test("entries may have expired in an outage of two heartbeats, until two seconds after its end", () => {
  const detector = createDetector();
  detector.recordOwnFailure();
  detector.recordOwnRead(2000);
  assertGraceEndsAt(detector, 2000, 4000);
  assertGraceEndsAt(detector, 3999, 4000);
  assert.equal(detector.isInGrace(4000), false);
});

test("no entry expires in a shorter outage", () => {
  const detector = createDetector();
  detector.recordOwnFailure();
  detector.recordOwnRead(1999);
  assert.equal(detector.isInGrace(1999), false);
});

test("a VM whose own reads fail learns from its peers that the store is available", () => {
  const detector = createDetector();
  for (let atMs = 700; atMs <= 9000; atMs += 700) {
    detector.recordOwnFailure();
    detector.recordPeerRead(atMs);
  }
  detector.recordOwnRead(9300);
  assert.equal(detector.isInGrace(9300), false);
});

test("the grace period starts once, when the first VM reads again", () => {
  const detector = createDetector();
  detector.recordOwnFailure();
  detector.recordPeerRead(5000);
  for (let atMs = 5300; atMs <= 6800; atMs += 300) {
    detector.recordOwnFailure();
    detector.recordPeerRead(atMs);
  }
  detector.recordOwnRead(6900);
  assertGraceEndsAt(detector, 6900, 7000);
  assert.equal(detector.isInGrace(7000), false);
});

test("an outage that begins while only this VM's reads fail is detected", () => {
  const detector = createDetector();
  detector.recordOwnFailure();
  detector.recordPeerRead(1000);
  detector.recordOwnFailure();
  detector.recordPeerRead(6000);
  detector.recordOwnRead(6100);
  assertGraceEndsAt(detector, 6100, 8000);
});

test("a VM whose reads fail in the grace period keeps missing entries until it reads again", () => {
  const detector = createDetector();
  detector.recordOwnFailure();
  detector.recordOwnRead(5000);
  detector.recordOwnFailure();
  for (let atMs = 5100; atMs <= 9000; atMs += 300) {
    detector.recordPeerRead(atMs);
  }
  assert.equal(detector.isInGrace(9000), true);
  detector.recordOwnRead(9100);
  assert.equal(detector.isInGrace(9100), false);
});

test("a VM that reads late without a failure trusts the list", () => {
  const detector = createDetector();
  detector.recordOwnRead(8000);
  assert.equal(detector.isInGrace(8000), false);
});

test("a late notice of a peer's read changes nothing", () => {
  const detector = createDetector();
  detector.recordOwnRead(1000);
  detector.recordOwnFailure();
  detector.recordPeerRead(500);
  detector.recordOwnRead(3500);
  assertGraceEndsAt(detector, 3500, 5500);
});

// The model of the target list dropped a running target. Its entry had expired in an outage, and
// the target could not write again because the store failed for another 0.9 s just after its
// recovery.
test("an outage soon after another one extends the grace period of expired entries", () => {
  const detector = createDetector();
  detector.recordOwnFailure();
  detector.recordOwnRead(5000);
  assertGraceEndsAt(detector, 5000, 7000);
  detector.recordOwnFailure();
  detector.recordOwnRead(6000);
  assertGraceEndsAt(detector, 6000, 8000);
});
