import assert from "node:assert/strict";
import { test } from "node:test";
import { RuntimeClock } from "heatherarch-core";
import { type KeyedEntry, TopicFollower, type TopicSlice } from "../../mod.ts";

/** A topic that gives one slice a read, and what its follower logged. */
async function followSlices(
  slices: readonly (readonly KeyedEntry<number>[])[],
): Promise<{ events: string[]; unreadable: number }> {
  const events: string[] = [];
  let unreadable = 0;
  let at = 0;
  await new Promise<void>((resolve) => {
    const read = (): Promise<TopicSlice<number>> => {
      if (at === slices.length) {
        resolve();
        return new Promise(() => undefined);
      }
      return Promise.resolve({ entries: slices[at++], next: at });
    };
    new TopicFollower<number>({
      name: "numbers",
      clock: new RuntimeClock(),
      port: { load: read, readChanges: read },
      log: {
        write: (_, event, fields) => void events.push(`${event} ${fields.key}`),
      },
      pollMs: 0,
      waitMs: 0,
      onList: () => undefined,
      onChanges: () => undefined,
      onUnreadable: () => unreadable++,
    }).start();
  });
  return { events, unreadable };
}

test("an unreadable entry is logged where it begins and ends, however often it is read", async () => {
  const odd: KeyedEntry<number> = { key: "a", isUnreadable: true };
  const { events, unreadable } = await followSlices([
    [{ key: "a", value: 1 }],
    [odd],
    [odd],
    [{ key: "b", value: 2 }],
    [{ key: "a", value: 3 }],
    [odd],
    [{ key: "a" }],
  ]);
  assert.deepEqual(events, [
    "entryUnreadable a",
    "entryReadable a",
    "entryUnreadable a",
    "entryReadable a",
  ]);
  assert.equal(unreadable, 2);
});
