import assert from "node:assert/strict";
import { test } from "node:test";
import { TargetDirectory } from "../../mod.ts";
import { buildTarget } from "./fixtures.ts";

function listIds(directory: TargetDirectory): string[] {
  return directory.listServing("s").map((target) => target.id).sort();
}

function createFilled(): TargetDirectory {
  const directory = new TargetDirectory();
  directory.applyList([
    { key: "a", value: buildTarget("a") },
    { key: "b", value: buildTarget("b") },
  ], 0);
  return directory;
}

test("a leaving or removed target gets no new work", () => {
  const directory = createFilled();
  directory.applyChanges(
    [{ key: "a", value: buildTarget("a", { leaving: true }) }],
    10,
  );
  assert.deepEqual(listIds(directory), ["b"]);
  assert.equal(directory.findTarget("a")?.leaving, true);
  directory.applyChanges([{ key: "b" }], 20);
  assert.deepEqual(listIds(directory), []);
});

test("what lapsed during an outage is used until two seconds after its end", () => {
  const directory = createFilled();
  directory.recordReadFailure();
  directory.applyChanges([{ key: "a" }], 10_000);
  assert.deepEqual(listIds(directory), ["a", "b"]);
  assert.deepEqual(directory.dropExpired(11_999), []);
  directory.applyChanges([{ key: "a", value: buildTarget("a") }], 11_999);
  assert.deepEqual(directory.dropExpired(12_001), []);
  assert.deepEqual(listIds(directory), ["a", "b"]);
});

test("an entry still missing two seconds after the outage is gone", () => {
  const directory = createFilled();
  directory.recordReadFailure();
  directory.applyList([{ key: "b", value: buildTarget("b") }], 5000);
  assert.deepEqual(listIds(directory), ["a", "b"]);
  assert.deepEqual(directory.dropExpired(7000), ["a"]);
  assert.deepEqual(listIds(directory), ["b"]);
});

test("a target that was leaving before the outage is not kept", () => {
  const directory = createFilled();
  directory.applyChanges(
    [{ key: "a", value: buildTarget("a", { leaving: true }) }],
    10,
  );
  directory.recordReadFailure();
  directory.applyChanges([{ key: "a" }], 20);
  assert.equal(directory.findTarget("a"), undefined);
});

test("a removal long after an outage takes effect at once", () => {
  const directory = createFilled();
  directory.recordReadFailure();
  directory.applyChanges([], 1000);
  directory.applyChanges([{ key: "a" }], 9000);
  assert.deepEqual(listIds(directory), ["b"]);
});

test("an engine that changes its role takes no work until the list shows it", () => {
  const directory = createFilled();
  directory.markChangingRole("a", 5000, 0);
  directory.markChangingRole("a", 5000, 1000);
  assert.equal(directory.findRoleChangeStartMs("a", 2000), 0);
  assert.equal(directory.hasRoleChange("a", 4000), true);
  directory.applyChanges(
    [{ key: "a", value: buildTarget("a", { role: "decode" }) }],
    4100,
  );
  assert.equal(directory.hasRoleChange("a", 4200), false);
});

// Seen: targets were used for more than three seconds after they had left, by VMs that read the
// list each second without fault while others, which the store turned away, told of their loss.
test("a target that goes between two good readings is not kept, whatever others have lost", () => {
  const directory = createFilled();
  for (let nowMs = 1000; nowMs <= 3000; nowMs += 1000) {
    directory.recordReadFailure();
    directory.applyChanges([], nowMs);
  }
  directory.recordReadFailure();
  directory.applyChanges([{ key: "a" }], 4000);
  assert.deepEqual(listIds(directory), ["b"]);
});

// Seen: the test of a call that waits for an engine's new role was refused beside load, as "no
// engine generates". The engine was listed in its role, and a mark of its change, told again by
// the VM that had ordered it and had not read the list yet, kept it from work.
test("a mark that is heard after the list has shown the new role holds nothing up", () => {
  const directory = createFilled();
  directory.markChangingRole("a", 5000, 0);
  const shown = [{ key: "a", value: buildTarget("a", { role: "decode" }) }];
  directory.applyChanges(shown, 4000);
  directory.markChangingRole("a", 5600, 4100);
  assert.equal(directory.hasRoleChange("a", 4200), false);
  directory.markChangingRole("a", 9000, 7000);
  assert.equal(directory.hasRoleChange("a", 7100), true);
});

test("a target that says that it leaves gets no work, whatever the list and its feed say", () => {
  const directory = new TargetDirectory();
  const target = buildTarget("t@1", { instance: "t", startedAtMs: 1 });
  directory.applyList([{ key: "t", value: target }], 0);
  assert.equal(directory.markLeaving("t@1"), true);
  assert.equal(directory.markLeaving("t@1"), false);
  assert.deepEqual(directory.listServing("s"), []);
  directory.applyChanges([{ key: "t", value: target }], 1);
  directory.applyFeed([{ key: "t@1", value: target }], true, 2);
  assert.deepEqual(directory.listServing("s"), []);
  assert.equal(directory.isLeaving("t@1"), true);
  const { entries } = directory.listChanges(undefined);
  assert.deepEqual(entries.map(({ value }) => value?.leaving), [true]);
});

test("the next life of a target that said that it leaves gets work", () => {
  const directory = new TargetDirectory();
  const target = buildTarget("t@1", { instance: "t", startedAtMs: 1 });
  directory.applyList([{ key: "t", value: target }], 0);
  directory.markLeaving("t@1");
  const next = { ...target, id: "t@2", startedAtMs: 2 };
  directory.applyChanges([{ key: "t", value: next }], 1);
  assert.deepEqual(directory.listServing("s"), [next]);
});

test("a target that a peer was told is leaving is not used once it is listed", () => {
  const directory = new TargetDirectory();
  directory.markLeaving("t");
  directory.applyList([{ key: "t", value: buildTarget("t") }], 0);
  assert.deepEqual(directory.listServing("s"), []);
});

test("peers are told of lives that say that they leave once, and of all on a new link", () => {
  const directory = new TargetDirectory();
  directory.markLeaving("a");
  const first = directory.listAnnouncedLeaving();
  assert.deepEqual(first.targetIds, ["a"]);
  assert.deepEqual(directory.listAnnouncedLeaving(first.cursor).targetIds, []);
  directory.markLeaving("b");
  assert.deepEqual(directory.listAnnouncedLeaving(first.cursor).targetIds, [
    "b",
  ]);
  for (let i = 0; i < 2000; i++) directory.markLeaving(`t${i}`);
  const all = directory.listAnnouncedLeaving();
  assert.equal(all.targetIds.length, 1000);
  assert.deepEqual(
    directory.listAnnouncedLeaving(first.cursor).targetIds,
    all.targetIds,
  );
  assert.deepEqual(directory.listAnnouncedLeaving(all.cursor).targetIds, []);
});

// A hub that was late to learn undid what its VM had read itself: calls went to targets that had left.
test("word of a peer that is older than one's own reading takes nothing back", () => {
  const directory = createFilled();
  directory.applyChanges([
    { key: "a", value: buildTarget("a", { leaving: true }) },
    { key: "b" },
    { key: "c", value: buildTarget("c") },
  ], 1000);
  const before = [
    { key: "a", value: buildTarget("a") },
    { key: "b", value: buildTarget("b") },
  ];
  directory.applyFeed(before, true, 600);
  assert.deepEqual(listIds(directory), ["c"]);
  directory.applyFeed([{ key: "c" }], false, 600);
  assert.deepEqual(listIds(directory), ["c"]);
  directory.applyFeed(before, true, 1300);
  assert.deepEqual(listIds(directory), ["a", "b"]);
});

test("a reading counts as old as its request", () => {
  const directory = createFilled();
  directory.applyList(
    [{ key: "b", value: buildTarget("b") }],
    4000,
    1000,
  );
  directory.applyFeed([{ key: "b" }], false, 3900);
  assert.deepEqual(listIds(directory), []);
});
