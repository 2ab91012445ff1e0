import assert from "node:assert/strict";
import { test } from "node:test";
import type { TargetFeed } from "heatherarch-mesh";
import { encodeFeed, FeedSource, TargetDirectory } from "../../mod.ts";
import { buildTarget } from "./fixtures.ts";

const REMOVED = { key: "a" };
const LISTED = { key: "a", value: buildTarget("a") };

/** A VM that has read the list itself at 1,000 ms, and a hub that has been sending it a feed. */
function createVmWithFeed() {
  const directory = new TargetDirectory();
  const source = new FeedSource({ id: "hub", sinceMs: 0 });
  const receive = (feed: TargetFeed, nowMs: number): void => {
    const update = source.handleFeed(feed, nowMs, directory.validAtMs);
    if (update === undefined) return;
    directory.applyFeed(update.entries, update.isFull, update.validAtMs);
  };
  const full = { isFull: true, entries: [LISTED], cursor: 0 };
  receive(encodeFeed(0, full), 500);
  directory.applyChanges([], 1000);
  return { directory, source, receive };
}

// The hub sent its read at 900 ms, was starved of CPU time, and read at 1,300 ms that the target had
// left at 1,200 ms. Its update is therefore dated before the VM's own read, but newer in content.
test("a change in a feed dated before the VM's own read is not lost", () => {
  const { directory, source, receive } = createVmWithFeed();
  const removal = { isFull: false, entries: [REMOVED], cursor: 1 };
  receive(encodeFeed(400, removal), 1300);
  assert.equal(source.wants, "all");
  const noChanges = { isFull: false, entries: [], cursor: 1 };
  receive(encodeFeed(0, noChanges), 1400);
  assert.equal(
    directory.validAtMs,
    1000,
    "no update is applied before the full list",
  );
  receive(encodeFeed(100, { isFull: true, entries: [], cursor: 1 }), 1500);
  assert.equal(source.wants, "changes");
  assert.equal(directory.findTarget("a"), undefined);
});

test("a full list that is older than the VM's own read is requested again", () => {
  const { directory, source, receive } = createVmWithFeed();
  receive(encodeFeed(300, { isFull: true, entries: [], cursor: 0 }), 1200);
  assert.equal(source.wants, "all");
  assert.notEqual(directory.findTarget("a"), undefined);
});

test("a feed without changes is accepted whatever its date", () => {
  const { source, receive } = createVmWithFeed();
  receive(encodeFeed(300, { isFull: false, entries: [], cursor: 0 }), 1200);
  assert.equal(source.wants, "changes");
});
