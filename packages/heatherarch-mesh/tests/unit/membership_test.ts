import assert from "node:assert/strict";
import { test } from "node:test";
import { Membership } from "../../mod.ts";

const SELF = {
  id: "a1",
  incarnation: "r",
  availabilityZone: "a",
  mesh: "127.0.0.1:1",
};
const PEER = {
  id: "a2",
  incarnation: "r1",
  availabilityZone: "a",
  mesh: "127.0.0.1:2",
};

function createMembership(): Membership {
  return new Membership({ self: SELF, silenceMs: 1000, forgetAfterMs: 5000 });
}

test("a listed VM is only a hint until it answers", () => {
  const membership = createMembership();
  membership.recordListing([PEER]);
  assert.deepEqual(membership.listLive(), ["a1"]);
  membership.recordContact(PEER, 0);
  assert.deepEqual(membership.listLive(), ["a1", "a2"]);
});

test("a silent member is suspect, and comes back with its next answer", () => {
  const membership = createMembership();
  membership.recordContact(PEER, 0);
  membership.expire(1001);
  assert.equal(membership.getMember("a2")?.status, "suspect");
  membership.recordContact(PEER, 1500);
  assert.equal(membership.getMember("a2")?.status, "live");
});

test("the list's lag never removes a member that answers", () => {
  const membership = createMembership();
  membership.recordContact(PEER, 0);
  membership.recordListing([]);
  membership.expire(500);
  assert.deepEqual(membership.listLive("a"), ["a1", "a2"]);
});

test("a member that nobody lists is forgotten after a time", () => {
  const membership = createMembership();
  membership.recordContact(PEER, 0);
  membership.expire(2000);
  membership.expire(5001);
  assert.equal(membership.getMember("a2"), undefined);
});

test("progress never goes back within one incarnation, and starts anew with the next", () => {
  const membership = createMembership();
  membership.recordContact(PEER, 0);
  membership.recordProgress("a2", {
    configOffset: 5,
    controlOffset: 1,
    leaving: false,
  });
  membership.recordProgress("a2", {
    configOffset: 4,
    controlOffset: 0,
    leaving: false,
  });
  assert.equal(membership.getMember("a2")?.configOffset, 5);
  membership.recordContact({ ...PEER, incarnation: "r2" }, 10);
  assert.equal(membership.getMember("a2")?.configOffset, -1);
});

test("links go to all of the own zone and to a few of each other one", () => {
  const membership = createMembership();
  for (let i = 2; i < 12; i++) {
    membership.recordContact({ ...PEER, id: `a${i}` }, 0);
    membership.recordContact(
      { ...PEER, id: `b${i}`, availabilityZone: "b" },
      0,
    );
  }
  const zones = membership.pickLinkPeers().map((member) =>
    member.availabilityZone
  );
  assert.equal(zones.filter((zone) => zone === "a").length, 10);
  assert.equal(zones.filter((zone) => zone === "b").length, 2);
});

test("the choice of hubs follows what is heard, without being worked out for each answer", () => {
  const membership = new Membership({
    self: { ...SELF, capacity: 1 },
    silenceMs: 1000,
    hubs: { minVms: 3, perZone: 1 },
  });
  const strong = { ...PEER, capacity: 9 };
  membership.recordListing([strong, { ...PEER, id: "a3", capacity: 5 }]);
  const listHubs = () => membership.pickLinkPeers().map(({ id }) => id);
  assert.equal(membership.isHub, true, "no other VM has answered");
  membership.recordContact(strong, 0);
  assert.equal(membership.isHub, false);
  assert.deepEqual(listHubs(), ["a2"]);
  membership.recordContact(strong, 900);
  assert.equal(membership.getMember("a2")?.lastHeardMs, 900);
  membership.recordContact({ ...PEER, id: "a3", capacity: 5 }, 1800);
  membership.expire(2000);
  assert.deepEqual(listHubs(), ["a2", "a3"], "the silent one is tried on");
  membership.recordProgress("a3", {
    configOffset: 0,
    controlOffset: 0,
    leaving: true,
  });
  assert.equal(membership.isHub, true);
});
