import assert from "node:assert/strict";
import { type Mock, mock, test } from "node:test";
import {
  computeElapsedMs,
  ManualClock,
  readMoment,
  RuntimeClock,
} from "../../mod.ts";

/** The runtime's two clocks, which a test sets. */
class TestClocks {
  readonly #mocks: Mock<() => number>[];
  wallMs = 1_000_000;
  monotonicMs = 0;

  constructor() {
    this.#mocks = [
      mock.method(Date, "now", () => this.wallMs),
      mock.method(performance, "now", () => this.monotonicMs),
    ];
  }

  advance(ms: number): void {
    this.wallMs += ms;
    this.monotonicMs += ms;
  }

  restore(): void {
    for (const { mock } of this.#mocks) mock.restore();
  }
}

function readDuring(change: (clocks: TestClocks) => void): number {
  const clocks = new TestClocks();
  try {
    const clock = new RuntimeClock();
    const startMs = clock.readBootMs();
    change(clocks);
    return clock.readBootMs() - startMs;
  } finally {
    clocks.restore();
  }
}

test("the boot clock counts the time for which the machine was suspended", () => {
  const elapsedMs = readDuring((clocks) => {
    clocks.advance(300);
    clocks.wallMs += 2000;
  });
  assert.equal(elapsedMs, 2300);
});

test("the boot clock ignores a wall clock that is set back, or that drifts", () => {
  for (const jumpMs of [-5000, -1, 0, 49]) {
    const elapsedMs = readDuring((clocks) => {
      clocks.advance(300);
      clocks.wallMs += jumpMs;
    });
    assert.equal(elapsedMs, 300, `jump of ${jumpMs} ms`);
  }
});

test("the time since a moment includes a suspension", () => {
  const clock = new ManualClock();
  const moment = readMoment(clock);
  clock.advance(100);
  clock.suspend(700);
  assert.equal(computeElapsedMs(clock, moment), 800);
  clock.jumpWall(-60_000);
  assert.equal(computeElapsedMs(clock, moment), 800);
});
