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
  selection.recordFailure("far", "noPath", 0);
  assert.equal(selection.pickPeer([NEAR, FAR], new Set(), 500), undefined);
  assert.equal(selection.pickPeer([NEAR, FAR], new Set(), 1500), NEAR);
});

// Guards against a VM that asks only peers of its own zone while the whole zone is cut off.
test("peers of other zones are asked after two of the own zone", () => {
  const selection = buildSelection();
  const peers = ["n1", "n2", "n3", "n4"].map((id) => buildPeer(id));
  const asked = new Set<string>();
  const order: string[] = [];
  for (let i = 0; i < 3; i++) {
    const peer = selection.pickPeer([...peers, FAR], asked, 0);
    assert.ok(peer !== undefined);
    asked.add(peer.id);
    order.push(peer.id);
  }
  assert.deepEqual(order, ["n1", "n2", "far"]);
});

// Guards against a VM on a busy machine that gives all peers up for seconds after one slow reply each.
test("a peer that does not reply is asked soon again, and later each time", () => {
  const selection = buildSelection();
  selection.recordFailure("near", "unreachable", 0);
  assert.equal(selection.pickPeer([NEAR], new Set(), 150), undefined);
  assert.equal(selection.pickPeer([NEAR], new Set(), 250), NEAR);
  for (let i = 0; i < 5; i++) selection.recordFailure("near", "unreachable", 0);
  assert.equal(selection.pickPeer([NEAR], new Set(), 3000), undefined);
  assert.equal(selection.pickPeer([NEAR], new Set(), 3300), NEAR);
  selection.recordAccepted("near", 4000);
  selection.recordFailure("near", "unreachable", 4000);
  assert.equal(selection.pickPeer([NEAR], new Set(), 4250), NEAR);
});

test("the replies of a bounded number of peers are remembered", () => {
  const selection = buildSelection();
  selection.recordFailure("near", "noPath", 0);
  for (let i = 0; i < 2048; i++) selection.recordFailure(`p${i}`, "noPath", 0);
  assert.equal(selection.pickPeer([NEAR], new Set(), 0), NEAR);
  assert.equal(selection.pickPeer([buildPeer("p9")], new Set(), 0), undefined);
});
