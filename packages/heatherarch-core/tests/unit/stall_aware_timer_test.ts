import assert from "node:assert/strict";
import { test } from "node:test";
import { sleep, startStallAwareTimer } from "../../mod.ts";

function stallProcess(ms: number): void {
  const untilMs = performance.now() + ms;
  while (performance.now() < untilMs);
}

test("the timeout is over once the process has run for its length", async () => {
  let isOver = false;
  startStallAwareTimer(() => isOver = true, 60);
  await sleep(20);
  assert.equal(isOver, false);
  await sleep(400);
  assert.equal(isOver, true);
});

// Guards against a process that takes its own stall for the silence of others.
test("a stall of the process does not count", async () => {
  let isOver = false;
  const stop = startStallAwareTimer(() => isOver = true, 150);
  stallProcess(300);
  await sleep(20);
  assert.equal(isOver, false);
  stop();
});

test("a process that stalls all the time ends the timeout all the same", async () => {
  let isOver = false;
  startStallAwareTimer(() => isOver = true, 60);
  for (let i = 0; i < 20 && !isOver; i++) {
    stallProcess(80);
    await sleep(1);
  }
  assert.equal(isOver, true);
});

test("a stopped timer does not call", async () => {
  let isOver = false;
  startStallAwareTimer(() => isOver = true, 30)();
  await sleep(200);
  assert.equal(isOver, false);
});
