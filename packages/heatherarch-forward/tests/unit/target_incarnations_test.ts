import assert from "node:assert/strict";
import { test } from "node:test";
import { type KeyedEntry, type Target, TargetDirectory } from "../../mod.ts";
import { buildEngine } from "./fixtures.ts";

/** An engine `e` in the life that began at `startedAtMs`. */
function buildLife(
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
  directory.applyList([buildEntry(buildLife(startedAtMs))], 0);
  return directory;
}

function listIds(directory: TargetDirectory): string[] {
  return directory.listServing("s").map(({ id }) => id);
}

test("an engine that starts again is another target, and the earlier one is gone", () => {
  for (const isWhole of [true, false]) {
    const directory = createListed(100);
    const entries = [buildEntry(buildLife(200))];
    if (isWhole) directory.applyList(entries, 10);
    else directory.applyChanges(entries, 10);
    assert.deepEqual(listIds(directory), ["e@200"]);
    assert.equal(directory.findTarget("e@100"), undefined);
    assert.deepEqual(directory.takeDropped(), ["e@100"]);
    assert.deepEqual(directory.takeDropped(), []);
  }
});

test("late word of an earlier life changes nothing, also once the later one is gone", () => {
  const directory = createListed(200);
  directory.applyFeed([{ key: "e@100", value: buildLife(100) }], false, 10);
  assert.deepEqual(listIds(directory), ["e@200"]);
  directory.applyFeed([{ key: "e@100" }], false, 20);
  assert.deepEqual(listIds(directory), ["e@200"]);
  directory.applyChanges([{ key: "e" }], 30);
  directory.applyFeed([{ key: "e@100", value: buildLife(100) }], true, 40);
  assert.deepEqual(listIds(directory), []);
});

test("a leaving that one life announced does not bind another", () => {
  const directory = createListed(100);
  directory.applyChanges([buildEntry(buildLife(100, { leaving: true }))], 10);
  assert.deepEqual(listIds(directory), []);
  directory.applyChanges([buildEntry(buildLife(200))], 20);
  assert.deepEqual(listIds(directory), ["e@200"]);
  directory.applyFeed(
    [{ key: "e@100", value: buildLife(100, { leaving: true }) }],
    false,
    30,
  );
  assert.deepEqual(listIds(directory), ["e@200"]);
});

test("a change of role that one life was ordered to is not expected of another", () => {
  const directory = createListed(100);
  directory.markChangingRole("e@100", 5000, 0);
  directory.applyChanges([buildEntry(buildLife(200))], 10);
  assert.equal(directory.hasRoleChange("e@200", 20), false);
  assert.deepEqual(directory.listChangingRole(20), []);
});

test("an engine that is missing after an outage and starts again is used in its new life", () => {
  const directory = createListed(100);
  directory.recordReadFailure();
  directory.applyList([], 9000);
  assert.deepEqual(directory.listMissing(), ["e@100"]);
  directory.applyChanges([buildEntry(buildLife(200))], 9500);
  assert.deepEqual(listIds(directory), ["e@200"]);
  assert.deepEqual(directory.dropExpired(11_500), []);
  assert.deepEqual(listIds(directory), ["e@200"]);
});

test("peers are told that a life ended before they are told of the next", () => {
  const directory = createListed(100);
  const { cursor } = directory.listChanges(undefined);
  directory.applyChanges([buildEntry(buildLife(200))], 10);
  const { entries } = directory.listChanges(cursor);
  assert.deepEqual(entries.map(({ key }) => key), ["e@100", "e@200"]);
  const peer = createListed(100);
  peer.applyFeed(entries, false, 20);
  assert.deepEqual(listIds(peer), ["e@200"]);
});
