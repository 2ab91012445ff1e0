import assert from "node:assert/strict";
import { test } from "node:test";
import { CallDurations } from "../../call_durations.ts";

const KEPT_DURATIONS = 32;
const KEPT_ROUTES = 512;

// Guards against a prediction for a route that has served no call.
test("predicts nothing for a route without calls", () => {
  const durations = new CallDurations();
  durations.record("other", 10);
  assert.equal(durations.predictMs("route"), undefined);
});

// Guards against a prediction that most calls exceed, such as a mean.
test("predicts the longest duration, by route", () => {
  const durations = new CallDurations();
  for (const tookMs of [20, 900, 30]) durations.record("route", tookMs);
  durations.record("other", 5000);
  assert.equal(durations.predictMs("route"), 900);
});

// Guards against one long call that decides for the whole life of the VM.
test("forgets a duration after as many calls as are kept", () => {
  const durations = new CallDurations();
  durations.record("route", 5000);
  for (let i = 1; i < KEPT_DURATIONS; i++) durations.record("route", 20);
  assert.equal(durations.predictMs("route"), 5000);
  durations.record("route", 20);
  assert.equal(durations.predictMs("route"), 20);
});

// Guards against memory that grows with each route of each configuration, and against the loss of a route
// that is in use.
test("forgets the routes that have been served least recently", () => {
  const durations = new CallDurations();
  durations.record("old", 10);
  durations.record("used", 10);
  for (let i = 0; i < KEPT_ROUTES - 2; i++) durations.record(`r${i}`, 10);
  durations.record("used", 20);
  durations.record("new", 10);
  assert.equal(durations.predictMs("old"), undefined);
  assert.equal(durations.predictMs("used"), 20);
  assert.equal(durations.predictMs("new"), 10);
});
