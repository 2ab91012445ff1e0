import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type HubCandidate,
  isSelectedHub,
  Membership,
  pickHubs,
} from "../../mod.ts";

function buildCandidates(
  overrides: Readonly<Record<string, Partial<HubCandidate>>> = {},
): HubCandidate[] {
  return Array.from({ length: 8 }, (_, i) => `vm-${i}`).map((id) => ({
    id,
    capacity: 7,
    isLive: true,
    ...overrides[id],
  }));
}

test("the strongest VMs are hubs, and every VM chooses the same ones", () => {
  const strong = { "vm-3": { capacity: 140 }, "vm-6": { capacity: 140 } };
  const candidates = buildCandidates(strong);
  const picked = pickHubs("zone-a", candidates, 2);
  assert.deepEqual([...picked].sort(), ["vm-3", "vm-6"]);
  assert.deepEqual(pickHubs("zone-a", candidates.reverse(), 2), picked);
});

test("a dead hub is still dialed, and the next live one takes its place", () => {
  const candidates = buildCandidates({
    "vm-3": { capacity: 140, isLive: false },
    "vm-6": { capacity: 140 },
  });
  const picked = pickHubs("zone-a", candidates, 2);
  assert.equal(picked.length, 3);
  assert.ok(picked.includes("vm-3"));
  assert.ok(picked.includes("vm-6"));
  const [third] = picked.filter((id) => id !== "vm-3" && id !== "vm-6");
  assert.equal(isSelectedHub("zone-a", candidates, 2, third), true);
  assert.equal(isSelectedHub("zone-a", candidates, 2, "vm-3"), false);
});

test("where nobody was heard yet only a few are dialed", () => {
  const silent = Object.fromEntries(
    buildCandidates().map(({ id }) => [id, { isLive: false }]),
  );
  assert.equal(pickHubs("zone-a", buildCandidates(silent), 2).length, 6);
});

function buildFleet(selfId: string): Membership {
  const build = (zone: string, i: number) => ({
    id: `${zone}-${i}`,
    incarnation: `${zone}-${i}/1`,
    availabilityZone: zone,
    mesh: "127.0.0.1:1",
    capacity: i < 2 ? 140 : 7,
  });
  const vms = ["a", "b", "c"].flatMap((zone) =>
    Array.from({ length: 26 }, (_, i) => build(zone, i))
  );
  const self = vms.find((vm) => vm.id === selfId);
  assert.ok(self);
  const membership = new Membership({
    self,
    silenceMs: 1000,
    hubs: { minVms: 20, perZone: 2 },
  });
  membership.recordListing(vms);
  for (const vm of vms) membership.recordContact(vm, 0);
  return membership;
}

test("of 78 VMs one keeps two links, a hub one to its peer and to each zone's hubs", () => {
  const member = buildFleet("a-9");
  assert.equal(member.isHub, false);
  assert.deepEqual(
    member.pickLinkPeers().map(({ id }) => id).sort(),
    ["a-0", "a-1"],
  );
  const hub = buildFleet("a-0");
  assert.equal(hub.isHub, true);
  assert.deepEqual(
    hub.pickLinkPeers().map(({ id }) => id).sort(),
    ["a-1", "b-0", "b-1", "c-0", "c-1"],
  );
});

test("a VM that a peer takes for its hub serves as one", () => {
  const member = buildFleet("a-9");
  member.setServing(true);
  assert.equal(member.isHub, true);
  member.setServing(false);
  assert.equal(member.isHub, false);
});

test("a hub that leaves is none any more, for others too", () => {
  const member = buildFleet("a-9");
  member.recordProgress("a-0", {
    configOffset: 1,
    controlOffset: -1,
    leaving: true,
  });
  const picked = member.pickLinkPeers().map(({ id }) => id);
  assert.equal(picked.includes("a-0"), false);
  assert.equal(picked.length, 2);
});
