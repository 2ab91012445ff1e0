import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "heatherarch-core";
import { VmListFollower, type VmRecord } from "../../mod.ts";

const SELF: VmRecord = {
  id: "vm-0",
  incarnation: "vm-0-1",
  availabilityZone: "zone-a",
  mesh: "127.0.0.1:1",
};
const OUTAGE_MS = 9000;
const TICK_MS = 250;
/** Time within which a VM is listed after the store recovers, milliseconds. */
const MAX_LISTING_DELAY_MS = 1500;

// A VM that started during a store outage was not listed for up to 12 s after its end, as it retried
// its announcement only with the usual polls of the list.
test("a VM that starts during a store outage is listed soon after the store recovers", async () => {
  const clock = new ManualClock();
  const startMs = clock.readMonotonicMs();
  let listedAtMs: number | undefined;
  const follower = new VmListFollower({
    self: SELF,
    clock,
    hasFreshFeed: () => false,
    vms: {
      put: () => {
        const nowMs = clock.readMonotonicMs();
        if (nowMs - startMs < OUTAGE_MS) {
          return Promise.reject(new Error("status 503"));
        }
        listedAtMs ??= nowMs;
        return Promise.resolve();
      },
      load: () => Promise.resolve({ entries: [], next: 0 }),
      readChanges: () => Promise.resolve({ entries: [], next: 0 }),
    },
    onList: () => undefined,
    onError: () => undefined,
  });
  follower.start();
  while (clock.readMonotonicMs() - startMs < OUTAGE_MS + MAX_LISTING_DELAY_MS) {
    await new Promise((resolve) => setImmediate(resolve));
    clock.advance(TICK_MS);
    follower.tick();
  }
  await new Promise((resolve) => setImmediate(resolve));
  follower.stop();
  assert.notEqual(listedAtMs, undefined);
});

/** Follows a list that the store holds under this VM's id; polls run on request. */
function followOwnEntry() {
  const stored: { entry?: VmRecord; puts: number } = { puts: 0 };
  const follower = new VmListFollower({
    self: SELF,
    clock: new ManualClock(),
    hasFreshFeed: () => false,
    vms: {
      put: (_id, entry) => {
        stored.entry = entry;
        stored.puts++;
        return Promise.resolve();
      },
      load: () => {
        const { entry } = stored;
        const entries = entry === undefined
          ? []
          : [{ key: SELF.id, value: entry }];
        return Promise.resolve({ entries, next: 0 });
      },
      readChanges: () => Promise.resolve({ entries: [], next: 0 }),
    },
    onList: () => undefined,
    onError: () => undefined,
  });
  const flush = () => new Promise((resolve) => setImmediate(resolve));
  const poll = async (): Promise<void> => {
    follower.handleRestoration();
    await flush();
  };
  return { follower, stored, flush, poll };
}

// Guards against a VM that a restored store doesn't list until it restarts.
test("a VM that the list lacks is announced again, and only then", async () => {
  const { follower, stored, flush, poll } = followOwnEntry();
  follower.start();
  await flush();
  await poll();
  assert.equal(stored.puts, 1);
  stored.entry = undefined;
  await poll();
  await poll();
  assert.deepEqual(stored.entry, SELF);
  assert.equal(stored.puts, 2);
  follower.stop();
});

test("a VM that leaves is not announced again", async () => {
  const { follower, stored, flush, poll } = followOwnEntry();
  follower.start();
  await flush();
  await follower.leave();
  await poll();
  await poll();
  assert.equal(stored.entry, undefined);
  follower.stop();
});
