import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { ManualClock, RuntimeClock, sleep } from "heatherarch-core";
import {
  type KeyedEntry,
  TopicFollower,
  type TopicFollowerOptions,
  type TopicSlice,
} from "../../mod.ts";

const POLL_MS = 700;
const STALL_MS = 3000;
/** Reads after which a follower no longer loads the topic. */
const MAX_READS = 20;

/** Follows a topic that returns one slice per read; returns what the follower logged. */
async function followSlices(
  slices: readonly (readonly KeyedEntry<number>[])[],
): Promise<{ events: string[]; unreadable: number }> {
  const events: string[] = [];
  let unreadable = 0;
  let index = 0;
  await new Promise<void>((resolve) => {
    const read = (): Promise<TopicSlice<number>> => {
      if (index === slices.length) {
        resolve();
        return new Promise(() => undefined);
      }
      return Promise.resolve({ entries: slices[index++], next: index });
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

test("an entry is logged when it becomes unreadable or readable, however often it is read", async () => {
  const unreadableEntry: KeyedEntry<number> = { key: "a", isUnreadable: true };
  const { events, unreadable } = await followSlices([
    [{ key: "a", value: 1 }],
    [unreadableEntry],
    [unreadableEntry],
    [{ key: "b", value: 2 }],
    [{ key: "a", value: 3 }],
    [unreadableEntry],
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

test("an inactive follower neither reads nor polls, and resumes with a load of the full list", async () => {
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
    await flushTasks();
    follower.setActive(false);
    resolveRead({ entries: [], next: 2 });
    await flushTasks();
    assert.deepEqual(reads, ["load", "changes"]);
    assert.equal(timers.mock.callCount(), 0);
    follower.setActive(true);
    await flushTasks();
    assert.deepEqual(reads, ["load", "changes", "load"]);
    follower.stop();
  } finally {
    timers.mock.restore();
  }
});

/** Creates a follower that reads every {@linkcode POLL_MS}. */
function createPollingFollower(
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

function flushTasks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Simulates one read of duration `tookMs`; returns its age and the pause after it. */
async function followSlowRead(
  tookMs: number,
  unit = 0.5,
): Promise<{ ageMs: number; pauseMs: number }> {
  const clock = new ManualClock();
  const reads: ((slice: TopicSlice<number>) => void)[] = [];
  const read = (): Promise<TopicSlice<number>> =>
    new Promise((resolve) => reads.push(resolve));
  const follower = createPollingFollower(read, { clock, drawUnit: () => unit });
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
    await flushTasks();
    const ageMs = follower.getAgeMs(clock.readMonotonicMs());
    return { ageMs, pauseMs: pauses[0] };
  } finally {
    timers.mock.restore();
    follower.stop();
  }
}

// After a stall a process reads a response that waited in its socket meanwhile.
test("the age of a slow read counts from its request, and the next read follows soon", async () => {
  assert.deepEqual(await followSlowRead(STALL_MS), {
    ageMs: STALL_MS,
    pauseMs: POLL_MS / 4,
  });
});

test("a slow store is read at the usual rate", async () => {
  assert.deepEqual(await followSlowRead(240), {
    ageMs: 240,
    pauseMs: POLL_MS - 240,
  });
});

// A read that was in progress during a process stall ends by its timeout and says nothing about the
// store, so a requested refresh must follow it without the pause after a failure.
test("a refresh reads at once, also after the read in progress has failed", async () => {
  const reads: { resolve: () => void; reject: (error: Error) => void }[] = [];
  const read = (): Promise<TopicSlice<number>> =>
    new Promise((resolve, reject) => {
      reads.push({ resolve: () => resolve({ entries: [], next: 1 }), reject });
    });
  const follower = createPollingFollower(read);
  follower.start();
  follower.refresh();
  reads[0].reject(new Error("timeout"));
  await flushTasks();
  assert.equal(reads.length, 2, "without the pause after a failure");
  reads[1].resolve();
  await flushTasks();
  assert.equal(reads.length, 2, "after the usual pause only");
  follower.refresh();
  await flushTasks();
  assert.equal(reads.length, 3);
  follower.stop();
});

test("pauses are jittered, so that readers don't stay synchronized", async () => {
  const { pauseMs: least } = await followSlowRead(0, 0);
  const { pauseMs: most } = await followSlowRead(0, 1);
  assert.deepEqual([least, most], [POLL_MS * 0.75, POLL_MS * 1.25]);
});

// A store may respond later than the timeout of a long poll, or refuse every read at once.
test("a failed long poll is followed by a plain read, and a failure of that by a pause", async () => {
  const waitsMs: number[] = [];
  const events: string[] = [];
  const read = (_: number, waitMs: number): Promise<TopicSlice<number>> => {
    waitsMs.push(waitMs);
    return Promise.reject(new Error("status 503"));
  };
  const follower = createPollingFollower(
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
  await flushTasks();
  follower.stop();
  assert.deepEqual(waitsMs, [POLL_MS, 0]);
  assert.deepEqual(events, ["longPollFailed", "dependencyLost"]);
  follower.refresh();
});

/** Follows a topic of which each read returns the next result; undefined if its offset is gone. */
async function followReads(
  results: readonly (TopicSlice<number> | undefined)[],
): Promise<{ calls: string[]; lists: boolean[]; changes: number }> {
  const calls: string[] = [];
  const lists: boolean[] = [];
  let changes = 0;
  let index = 0;
  await new Promise<void>((resolve) => {
    const read = (call: string): Promise<TopicSlice<number> | undefined> => {
      if (index === results.length) {
        resolve();
        return new Promise(() => undefined);
      }
      calls.push(call);
      return Promise.resolve(results[index++]);
    };
    const follower = new TopicFollower<number>({
      name: "numbers",
      clock: new RuntimeClock(),
      port: {
        load: () => read("load") as Promise<TopicSlice<number>>,
        readChanges: (from) => read(`from ${from}`),
      },
      log: { write: () => undefined },
      pollMs: 0,
      waitMs: 0,
      retryMs: 1,
      onList: (_entries, _sentAtMs, { isRestored }) =>
        void lists.push(isRestored),
      onChanges: (entries) => changes += entries.length,
    });
    follower.start();
  });
  return { calls, lists, changes };
}

const slice = (next: number, epoch: number): TopicSlice<number> => ({
  entries: [{ key: "a", value: next }],
  next,
  epoch,
});

// Guards against records of another epoch that are taken for the ones after those read before.
test("records of another epoch of the store are not applied; the topic is loaded", async () => {
  const { calls, lists, changes } = await followReads([
    slice(7, 1),
    slice(9, 2),
    slice(3, 2),
    slice(4, 2),
  ]);
  assert.deepEqual(calls, ["load", "from 7", "load", "from 3"]);
  assert.deepEqual(lists, [false, true]);
  assert.equal(changes, 1);
});

// Guards against loads as fast as the store responds.
test("a topic whose offset is gone right after a load is loaded again after a pause", async () => {
  const { calls } = await followReads([
    slice(7, 1),
    undefined,
    slice(3, 1),
    slice(4, 1),
    undefined,
    slice(2, 1),
  ]);
  assert.deepEqual(calls, [
    "load",
    "from 7",
    "load",
    "from 3",
    "from 4",
    "load",
  ]);
});

// Guards against a VM that reads every version of a topic that changes faster than it can be read.
test("a follower that is behind by more than one response loads the newest records", async () => {
  const reads: string[] = [];
  const read = async (name: string, hasMore: boolean) => {
    reads.push(name);
    await sleep(1);
    return { entries: [], next: 5, hasMore };
  };
  const follower = new TopicFollower<number>({
    name: "numbers",
    clock: new RuntimeClock(),
    port: {
      load: () => read("load", false),
      readChanges: (from) => read(`changes from ${from}`, true),
    },
    log: { write: () => undefined },
    pollMs: 0,
    waitMs: 0,
    onList: () => undefined,
    onChanges: () => undefined,
  });
  follower.start();
  while (reads.length < 3) await sleep(1);
  follower.stop();
  assert.deepEqual(reads.slice(0, 3), ["load", "changes from 5", "load"]);
});

// Guards against a change, or a whole list, that is never applied because an error came up the first time.
test("entries that could not be applied are loaded again", async () => {
  const applied: string[] = [];
  const restored: boolean[] = [];
  let failures = 1;
  const failOnce = (): void => {
    if (failures-- > 0) throw new Error("not applied");
  };
  await new Promise<void>((resolve) => {
    let loads = 0;
    let reads = 0;
    new TopicFollower<number>({
      name: "numbers",
      clock: new RuntimeClock(),
      port: {
        load: () => {
          loads++;
          if (loads === 3) failures = 1;
          const entries = [{ key: `list ${loads}`, value: loads }];
          return Promise.resolve({
            entries,
            next: 1,
            epoch: loads < 3 ? 1 : 2,
          });
        },
        readChanges: () => {
          reads++;
          if (loads === 4 || reads > MAX_READS) {
            resolve();
            return new Promise(() => undefined);
          }
          const entries = [{ key: "change", value: 0 }];
          const epoch = applied.length < 2 ? 1 : 2;
          return Promise.resolve({ entries, next: 2, epoch });
        },
      },
      log: { write: () => undefined },
      pollMs: 0,
      waitMs: 0,
      retryMs: 1,
      onList: ([{ key }], _sentAtMs, { isRestored }) => {
        if (key !== "list 1") failOnce();
        applied.push(key);
        restored.push(isRestored);
      },
      onChanges: ([{ key }]) => {
        failOnce();
        applied.push(key);
      },
    }).start();
  });
  assert.deepEqual(applied, ["list 1", "list 2", "list 4"]);
  assert.deepEqual(restored, [false, false, true]);
});
