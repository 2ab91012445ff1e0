import assert from "node:assert/strict";
import { test } from "node:test";
import { type KeyedEntry, type Target, TargetDirectory } from "../../mod.ts";
import { buildEngine } from "./fixtures.ts";

/** Builds the incarnation of engine `e` that started at `startedAtMs`. */
function buildIncarnation(
  startedAtMs: number,
  overrides: Partial<Target> = {},
): Target {
  return buildEngine(`e@${startedAtMs}`, {
    instance: "e",
    startedAtMs,
    ...overrides,
  });
}

function buildEntry(target: Target): KeyedEntry<Target> {
  return { key: "e", value: target };
}

function createListed(startedAtMs: number): TargetDirectory {
  const directory = new TargetDirectory();
  directory.applyList([buildEntry(buildIncarnation(startedAtMs))], 0);
  return directory;
}

function listIds(directory: TargetDirectory): string[] {
  return directory.listServing("s").map(({ id }) => id);
}

test("an engine that restarts is another target, and the earlier one is dropped", () => {
  for (const isWhole of [true, false]) {
    const directory = createListed(100);
    const entries = [buildEntry(buildIncarnation(200))];
    if (isWhole) directory.applyList(entries, 10);
    else directory.applyChanges(entries, 10);
    assert.deepEqual(listIds(directory), ["e@200"]);
    assert.equal(directory.findTarget("e@100"), undefined);
    assert.deepEqual(directory.takeDropped(), ["e@100"]);
    assert.deepEqual(directory.takeDropped(), []);
  }
});

test("a late update of an earlier incarnation changes nothing, also after the later one is removed", () => {
  const directory = createListed(200);
  directory.applyFeed(
    [{ key: "e@100", value: buildIncarnation(100) }],
    false,
    10,
  );
  assert.deepEqual(listIds(directory), ["e@200"]);
  directory.applyFeed([{ key: "e@100" }], false, 20);
  assert.deepEqual(listIds(directory), ["e@200"]);
  directory.applyChanges([{ key: "e" }], 30);
  directory.applyFeed(
    [{ key: "e@100", value: buildIncarnation(100) }],
    true,
    40,
  );
  assert.deepEqual(listIds(directory), []);
});

test("an incarnation is not affected by the leaving of another one", () => {
  const directory = createListed(100);
  directory.applyChanges(
    [buildEntry(buildIncarnation(100, { leaving: true }))],
    10,
  );
  assert.deepEqual(listIds(directory), []);
  directory.applyChanges([buildEntry(buildIncarnation(200))], 20);
  assert.deepEqual(listIds(directory), ["e@200"]);
  directory.applyFeed(
    [{ key: "e@100", value: buildIncarnation(100, { leaving: true }) }],
    false,
    30,
  );
  assert.deepEqual(listIds(directory), ["e@200"]);
});

test("a role change that was ordered of one incarnation is not expected of another one", () => {
  const directory = createListed(100);
  directory.markChangingRole("e@100", 5000, 0);
  directory.applyChanges([buildEntry(buildIncarnation(200))], 10);
  assert.equal(directory.hasRoleChange("e@200", 20), false);
  assert.deepEqual(directory.listChangingRole(20), []);
});

test("an engine that is missing after an outage and restarts is used in its new incarnation", () => {
  const directory = createListed(100);
  directory.recordReadFailure();
  directory.applyList([], 9000);
  assert.deepEqual(directory.listMissing(), ["e@100"]);
  directory.applyChanges([buildEntry(buildIncarnation(200))], 9500);
  assert.deepEqual(listIds(directory), ["e@200"]);
  assert.deepEqual(directory.dropExpired(11_500), []);
  assert.deepEqual(listIds(directory), ["e@200"]);
});

test("peers learn that an incarnation ended before they learn of the next one", () => {
  const directory = createListed(100);
  const { cursor } = directory.listChanges(undefined);
  directory.applyChanges([buildEntry(buildIncarnation(200))], 10);
  const { entries } = directory.listChanges(cursor);
  assert.deepEqual(entries.map(({ key }) => key), ["e@100", "e@200"]);
  const peer = createListed(100);
  peer.applyFeed(entries, false, 20);
  assert.deepEqual(listIds(peer), ["e@200"]);
});
