import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { ManualClock, RuntimeClock } from "heatherarch-core";
import {
  type KeyedEntry,
  TopicFollower,
  type TopicFollowerOptions,
  type TopicSlice,
} from "../../mod.ts";

const POLL_MS = 700;
const STANDSTILL_MS = 3000;

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

test("a follower that is not needed rests without looking, and goes on from a whole list", async () => {
  const reads: string[] = [];
  let resolveRead: (slice: TopicSlice<number>) => void = () => undefined;
  const read = (kind: string): Promise<TopicSlice<number>> => {
    reads.push(kind);
    return new Promise((resolve) => {
      resolveRead = resolve;
    });
  };
  const timers = mock.method(globalThis, "setTimeout");
  try {
    const follower = new TopicFollower<number>({
      name: "numbers",
      clock: new RuntimeClock(),
      port: { load: () => read("load"), readChanges: () => read("changes") },
      log: { write: () => undefined },
      pollMs: 0,
      waitMs: 0,
      onList: () => undefined,
      onChanges: () => undefined,
    });
    follower.start();
    resolveRead({ entries: [], next: 1 });
    await settle();
    follower.setActive(false);
    resolveRead({ entries: [], next: 2 });
    await settle();
    assert.deepEqual(reads, ["load", "changes"]);
    assert.equal(timers.mock.callCount(), 0);
    follower.setActive(true);
    await settle();
    assert.deepEqual(reads, ["load", "changes", "load"]);
    follower.stop();
  } finally {
    timers.mock.restore();
  }
});

/** A follower that reads every {@linkcode POLL_MS}. */
function createPolling(
  read: () => Promise<TopicSlice<number>>,
  overrides: Partial<TopicFollowerOptions<number>> = {},
): TopicFollower<number> {
  return new TopicFollower<number>({
    name: "numbers",
    clock: new ManualClock(),
    port: { load: read, readChanges: read },
    log: { write: () => undefined },
    pollMs: POLL_MS,
    waitMs: 0,
    onList: () => undefined,
    onChanges: () => undefined,
    ...overrides,
  });
}

function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Plays one read whose answer comes after so long; returns its age, and the pause after it. */
async function readLate(
  tookMs: number,
  unit = 0.5,
): Promise<{ ageMs: number; pauseMs: number }> {
  const clock = new ManualClock();
  const reads: ((slice: TopicSlice<number>) => void)[] = [];
  const read = (): Promise<TopicSlice<number>> =>
    new Promise((resolve) => reads.push(resolve));
  const follower = createPolling(read, { clock, drawUnit: () => unit });
  const pauses: number[] = [];
  const timers = mock.method(
    globalThis,
    "setTimeout",
    (_: unknown, ms: number) => {
      pauses.push(ms);
    },
  );
  try {
    follower.start();
    clock.advance(tookMs);
    reads[0]({ entries: [], next: 1 });
    await settle();
    const ageMs = follower.getAgeMs(clock.readMonotonicMs());
    return { ageMs, pauseMs: pauses[0] };
  } finally {
    timers.mock.restore();
    follower.stop();
  }
}

// A process that stood still reads an answer that waited in its socket meanwhile.
test("a read that took long is as old as its request, and is soon repeated", async () => {
  assert.deepEqual(await readLate(STANDSTILL_MS), {
    ageMs: STANDSTILL_MS,
    pauseMs: POLL_MS / 4,
  });
});

test("a slow store is asked at the usual pace", async () => {
  assert.deepEqual(await readLate(240), { ageMs: 240, pauseMs: POLL_MS - 240 });
});

// A read that was on its way when the process stood still ends by its timeout, and says nothing.
test("a follower that is to refresh reads at once, also after a read in progress has failed", async () => {
  const reads: { resolve: () => void; reject: (error: Error) => void }[] = [];
  const read = (): Promise<TopicSlice<number>> =>
    new Promise((resolve, reject) => {
      reads.push({ resolve: () => resolve({ entries: [], next: 1 }), reject });
    });
  const follower = createPolling(read);
  follower.start();
  follower.refresh();
  reads[0].reject(new Error("timeout"));
  await settle();
  assert.equal(reads.length, 2, "in place of the pause after a failure");
  reads[1].resolve();
  await settle();
  assert.equal(reads.length, 2, "the usual pause");
  follower.refresh();
  await settle();
  assert.equal(reads.length, 3);
  follower.stop();
});

test("pauses are jittered, so that readers don't stay in step", async () => {
  const { pauseMs: least } = await readLate(0, 0);
  const { pauseMs: most } = await readLate(0, 1);
  assert.deepEqual([least, most], [POLL_MS * 0.75, POLL_MS * 1.25]);
});

// A store may be slower than the answer to a long poll may be, or refuse every read at once.
test("a long poll that fails is followed by a plain read, and then by a pause", async () => {
  const asked: number[] = [];
  const events: string[] = [];
  const read = (_: number, waitMs: number): Promise<TopicSlice<number>> => {
    asked.push(waitMs);
    return Promise.reject(new Error("status 503"));
  };
  const follower = createPolling(
    () => Promise.resolve({ entries: [], next: 1 }),
    {
      port: {
        load: () => Promise.resolve({ entries: [], next: 1 }),
        readChanges: read,
      },
      log: { write: (_, event) => void events.push(event) },
      pollMs: 0,
      waitMs: POLL_MS,
      drawUnit: () => 0,
    },
  );
  follower.start();
  await settle();
  follower.stop();
  assert.deepEqual(asked, [POLL_MS, 0]);
  assert.deepEqual(events, ["longPollFailed", "dependencyLost"]);
  follower.refresh();
});
