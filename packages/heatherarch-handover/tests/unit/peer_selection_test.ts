import assert from "node:assert/strict";
import { test } from "node:test";
import { type HandoverPeer, PeerSelection } from "../../mod.ts";

function buildPeer(id: string, availabilityZone = "zone-a"): HandoverPeer {
  return { id, availabilityZone, mesh: "127.0.0.1:1" };
}

function buildSelection(): PeerSelection {
  return new PeerSelection({ availabilityZone: "zone-a", drawUnit: () => 0.5 });
}

const FAR = buildPeer("far", "zone-b");
const NEAR = buildPeer("near");

test("a peer of the own zone is asked first, and each peer once a call", () => {
  const selection = buildSelection();
  assert.equal(selection.pickPeer([FAR, NEAR], new Set(), 0), NEAR);
  assert.equal(selection.pickPeer([FAR, NEAR], new Set(["near"]), 0), FAR);
  const all = new Set(["near", "far"]);
  assert.equal(selection.pickPeer([FAR, NEAR], all, 0), undefined);
});

test("a peer that has accepted a call is preferred for a while", () => {
  const selection = buildSelection();
  selection.recordAccepted("far", 0);
  assert.equal(selection.pickPeer([NEAR, FAR], new Set(), 1000), FAR);
  assert.equal(selection.pickPeer([NEAR, FAR], new Set(), 3000), NEAR);
});

// Guards against calls that ask peers in vain one after the other while all VMs are cut off.
test("a peer without a path is not asked again at once, but is later", () => {
  const selection = buildSelection();
  selection.recordFailure("near", "noPath", 0);
  selection.recordFailure("far", "unreachable", 0);
  assert.equal(selection.pickPeer([NEAR, FAR], new Set(), 500), undefined);
  assert.equal(selection.pickPeer([NEAR, FAR], new Set(), 1500), NEAR);
});
