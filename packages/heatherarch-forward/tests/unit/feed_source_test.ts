import assert from "node:assert/strict";
import { test } from "node:test";
import type { TargetFeed } from "heatherarch-mesh";
import { encodeFeed, FeedSource, TargetDirectory } from "../../mod.ts";
import { buildTarget } from "./fixtures.ts";

const LEFT = { key: "a" };
const PRESENT = { key: "a", value: buildTarget("a") };

/** A VM that has read the list itself at 1,000 ms, and a hub that it has been relying on. */
function createFed() {
  const directory = new TargetDirectory();
  const source = new FeedSource({ id: "hub", sinceMs: 0 });
  const hear = (feed: TargetFeed, nowMs: number): void => {
    const news = source.handleFeed(feed, nowMs, directory.validAtMs);
    if (news === undefined) return;
    directory.applyFeed(news.entries, news.isFull, news.validAtMs);
  };
  const whole = { isFull: true, entries: [PRESENT], cursor: 0 };
  hear(encodeFeed(0, whole), 500);
  directory.applyChanges([], 1000);
  return { directory, source, hear };
}

// The hub asked at 900 ms, was starved, and read at 1,300 that the target had left at 1,200.
test("what a hub tells under an older date than a VM's own reading is not lost", () => {
  const { directory, source, hear } = createFed();
  const left = { isFull: false, entries: [LEFT], cursor: 1 };
  hear(encodeFeed(400, left), 1300);
  assert.equal(source.wants, "all");
  const nothing = { isFull: false, entries: [], cursor: 1 };
  hear(encodeFeed(0, nothing), 1400);
  assert.equal(directory.validAtMs, 1000, "does not count before the list");
  hear(encodeFeed(100, { isFull: true, entries: [], cursor: 1 }), 1500);
  assert.equal(source.wants, "changes");
  assert.equal(directory.findTarget("a"), undefined);
});

test("a whole list that is older than a VM's own reading is asked for again", () => {
  const { directory, source, hear } = createFed();
  hear(encodeFeed(300, { isFull: true, entries: [], cursor: 0 }), 1200);
  assert.equal(source.wants, "all");
  assert.notEqual(directory.findTarget("a"), undefined);
});

test("a hub without news is relied on whatever its date", () => {
  const { source, hear } = createFed();
  hear(encodeFeed(300, { isFull: false, entries: [], cursor: 0 }), 1200);
  assert.equal(source.wants, "changes");
});
