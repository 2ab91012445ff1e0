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

test("a leaving or removed target receives no new work", () => {
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

test("entries that expired during an outage are used until two seconds after its end", () => {
  const directory = createFilled();
  directory.recordReadFailure();
  directory.applyChanges([{ key: "a" }], 10_000);
  assert.deepEqual(listIds(directory), ["a", "b"]);
  assert.deepEqual(directory.dropExpired(11_999), []);
  directory.applyChanges([{ key: "a", value: buildTarget("a") }], 11_999);
  assert.deepEqual(directory.dropExpired(12_001), []);
  assert.deepEqual(listIds(directory), ["a", "b"]);
});

test("an entry that is still missing two seconds after the outage is dropped", () => {
  const directory = createFilled();
  directory.recordReadFailure();
  directory.applyList([{ key: "b", value: buildTarget("b") }], 5000);
  assert.deepEqual(listIds(directory), ["a", "b"]);
  assert.deepEqual(directory.dropExpired(7000), ["a"]);
  assert.deepEqual(listIds(directory), ["b"]);
});

test("a target that was leaving before the outage is not kept during it", () => {
  const directory = createFilled();
  directory.applyChanges(
    [{ key: "a", value: buildTarget("a", { leaving: true }) }],
    10,
  );
  directory.recordReadFailure();
  directory.applyChanges([{ key: "a" }], 20);
  assert.equal(directory.findTarget("a"), undefined);
});

test("a removal long after an outage takes effect immediately", () => {
  const directory = createFilled();
  directory.recordReadFailure();
  directory.applyChanges([], 1000);
  directory.applyChanges([{ key: "a" }], 9000);
  assert.deepEqual(listIds(directory), ["b"]);
});

test("an engine that changes its role takes no work until the list shows the new role", () => {
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

// VMs used targets for more than three seconds after these had left. The VMs read the list each
// second without failure, but took the store for unavailable because peers whose reads the store
// refused reported failures.
test("a target that leaves between two successful reads is not kept, despite failures of other VMs", () => {
  const directory = createFilled();
  for (let nowMs = 1000; nowMs <= 3000; nowMs += 1000) {
    directory.recordReadFailure();
    directory.applyChanges([], nowMs);
  }
  directory.recordReadFailure();
  directory.applyChanges([{ key: "a" }], 4000);
  assert.deepEqual(listIds(directory), ["b"]);
});

// Under load, a call that waited for an engine's new role was refused because no engine could decode.
// The list already showed the engine in its new role. The VM that had ordered the change had not
// read the list yet and sent its notice again, which kept the engine without work.
test("a role change notice that arrives after the list has shown the new role is ignored", () => {
  const directory = createFilled();
  directory.markChangingRole("a", 5000, 0);
  const listed = [{ key: "a", value: buildTarget("a", { role: "decode" }) }];
  directory.applyChanges(listed, 4000);
  directory.markChangingRole("a", 5600, 4100);
  assert.equal(directory.hasRoleChange("a", 4200), false);
  directory.markChangingRole("a", 9000, 7000);
  assert.equal(directory.hasRoleChange("a", 7100), true);
});

test("a target that announces that it leaves receives no work, regardless of the list and the feed", () => {
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

test("the next incarnation of a target that announced that it leaves receives work", () => {
  const directory = new TargetDirectory();
  const target = buildTarget("t@1", { instance: "t", startedAtMs: 1 });
  directory.applyList([{ key: "t", value: target }], 0);
  directory.markLeaving("t@1");
  const next = { ...target, id: "t@2", startedAtMs: 2 };
  directory.applyChanges([{ key: "t", value: next }], 1);
  assert.deepEqual(directory.listServing("s"), [next]);
});

test("a target whose leaving a peer reported is not used once it is listed", () => {
  const directory = new TargetDirectory();
  directory.markLeaving("t");
  directory.applyList([{ key: "t", value: buildTarget("t") }], 0);
  assert.deepEqual(directory.listServing("s"), []);
});

test("peers receive each leaving announcement once, and all of them on a new link", () => {
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

// A hub with an older state of the list reverted what a VM had read itself, so calls went to
// targets that had left.
test("a peer's feed that is older than this VM's own read reverts nothing", () => {
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

test("a read is as old as its request", () => {
  const directory = createFilled();
  directory.applyList(
    [{ key: "b", value: buildTarget("b") }],
    4000,
    1000,
  );
  directory.applyFeed([{ key: "b" }], false, 3900);
  assert.deepEqual(listIds(directory), []);
});

test("a copy of the list neither revives nor loses targets until they write again", () => {
  const directory = new TargetDirectory();
  const build = (id: string, leaving = false) => ({
    key: id,
    value: buildTarget(id, { leaving }),
  });
  directory.applyList([build("gone"), build("leaving"), build("kept")], 0);
  directory.applyChanges(
    [{ key: "gone" }, build("leaving", true), build("new")],
    1000,
  );
  const copy = [build("gone"), build("leaving"), build("kept")];
  const listServing = () =>
    directory.listServing("s").map(({ id }) => id).sort();
  directory.applyRestoredList(copy, 2000);
  assert.deepEqual(listServing(), ["kept", "new"]);
  // The store comes back from an older copy still.
  directory.applyRestoredList(copy, 2500);
  assert.deepEqual(listServing(), ["kept", "new"]);
  directory.applyChanges([build("new")], 3000);
  directory.dropExpired(9000);
  assert.deepEqual(listServing(), ["kept", "new"]);
  // A target that writes its entry again runs.
  directory.applyChanges([build("gone")], 9100);
  assert.deepEqual(listServing(), ["gone", "kept", "new"]);
});

test("a target that a copy lacks and that doesn't write again is dropped", () => {
  const directory = new TargetDirectory();
  const entries = ["a", "b"].map((id) => ({ key: id, value: buildTarget(id) }));
  directory.applyList(entries, 0);
  directory.applyRestoredList(entries.slice(0, 1), 1000);
  assert.equal(directory.listServing("s").length, 2);
  directory.dropExpired(4000);
  assert.deepEqual(directory.listServing("s").map(({ id }) => id), ["a"]);
});
