import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreWatch } from "../../mod.ts";

const MISSING = -Infinity;

/** A VM that has read the list at 0; targets write every 1,000 ms. */
function createWatch(): StoreWatch {
  const watch = new StoreWatch({ targetHeartbeatMs: 1000 });
  watch.noteOwnRead(0);
  return watch;
}

test("entries may have lapsed in an outage of two heartbeats, until two seconds after it", () => {
  const watch = createWatch();
  watch.noteFailure();
  watch.noteOwnRead(2000);
  assert.equal(watch.findGraceEnd(2000), 4000);
  assert.equal(watch.findGraceEnd(3999), 4000);
  assert.equal(watch.findGraceEnd(4000), MISSING);
});

test("no entry lapses in a shorter outage", () => {
  const watch = createWatch();
  watch.noteFailure();
  watch.noteOwnRead(1999);
  assert.equal(watch.findGraceEnd(1999), MISSING);
});

test("a VM that alone can't read learns from its peers that the store is there", () => {
  const watch = createWatch();
  for (let atMs = 700; atMs <= 9000; atMs += 700) {
    watch.noteFailure();
    watch.noteRead(atMs);
  }
  watch.noteOwnRead(9300);
  assert.equal(watch.findGraceEnd(9300), MISSING);
});

test("the grace begins when the first VM reads again, and once", () => {
  const watch = createWatch();
  watch.noteFailure();
  watch.noteRead(5000);
  watch.noteFailure();
  watch.noteOwnRead(5900);
  watch.noteFailure();
  watch.noteOwnRead(6800);
  assert.equal(watch.findGraceEnd(6800), 7000);
  assert.equal(watch.findGraceEnd(7000), MISSING);
});

test("an outage that begins while this VM alone is turned away is one", () => {
  const watch = createWatch();
  watch.noteFailure();
  watch.noteRead(1000);
  watch.noteFailure();
  watch.noteRead(6000);
  assert.equal(watch.findGraceEnd(6000), 8000);
});

test("a VM that was late but met no failure takes the list at its word", () => {
  const watch = createWatch();
  watch.noteOwnRead(8000);
  assert.equal(watch.findGraceEnd(8000), MISSING);
});

test("word that arrives late changes nothing", () => {
  const watch = createWatch();
  watch.noteOwnRead(1000);
  watch.noteFailure();
  watch.noteRead(500);
  watch.noteOwnRead(3500);
  assert.equal(watch.findGraceEnd(3500), 5500);
});
