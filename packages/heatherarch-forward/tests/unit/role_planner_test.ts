import assert from "node:assert/strict";
import { test } from "node:test";
import { RolePlanner, type ServiceSpec, type Target } from "../../mod.ts";
import { buildEngine, TRAITS } from "./fixtures.ts";

const SERVICE: ServiceSpec = {
  name: "s",
  maxConnections: 100,
  engine: TRAITS,
};
const LOOK_MS = 300;

/** A fleet of four readers and two generating engines, and how long they are gone. */
interface Loss {
  /** Generating engines that don't answer, from `atMs` on for `forMs`. */
  readonly lost: readonly string[];
  readonly atMs: number;
  readonly forMs: number;
  /** Whether the list drops them meanwhile. */
  readonly isDropped?: boolean;
  /** Runs in progress at each generating engine. */
  readonly runs?: number;
  readonly hasLeaving?: boolean;
}

/** Ids of readers that are ordered to generate, with the first time of it. */
function playLoss(loss: Loss): Map<string, number> {
  const { runs = 20, hasLeaving = false, isDropped = false } = loss;
  let nowMs = 0;
  const isLost = (id: string): boolean =>
    loss.lost.includes(id) && nowMs >= loss.atMs &&
    nowMs < loss.atMs + loss.forMs;
  const planner = new RolePlanner({
    health: { isReachable: (id) => !isLost(id) },
    ledger: { getRuns: () => ({ runs, kvTokens: runs * 1000 }) },
  });
  const ordered = new Map<string, number>();
  for (; nowMs < 20_000; nowMs += LOOK_MS) {
    const engines = listEngines()
      .filter(({ id }) => !isDropped || !isLost(id))
      .map((engine) => ({
        ...engine,
        leaving: hasLeaving && isLost(engine.id),
      }));
    for (const { target, role } of planner.plan(SERVICE, engines, nowMs)) {
      if (role === "decode" && !ordered.has(target.id)) {
        ordered.set(target.id, nowMs);
      }
    }
  }
  return ordered;
}

function listEngines(): Target[] {
  const readers = ["r1", "r2", "r3", "r4"].map((id) => buildEngine(id));
  const runners = ["g1", "g2"]
    .map((id) => buildEngine(id, { role: "decode" }));
  return [...readers, ...runners];
}

// A quarter of the reading was given up for eight seconds, for an engine that was back after four.
for (const isDropped of [false, true]) {
  test(`a generating engine that is soon back is not replaced, dropped from the list: ${isDropped}`, () => {
    const loss = { lost: ["g1"], atMs: 3000, forMs: 4300, isDropped };
    assert.equal(playLoss(loss).size, 0);
  });
}

test("one that stays away is replaced once that has cost as much as a replacement", () => {
  const atMs = 3000;
  const ordered = playLoss({ lost: ["g1"], atMs, forMs: 60_000 });
  const [orderedAtMs] = ordered.values();
  const awayMs = orderedAtMs - atMs;
  assert.ok(awayMs >= 2 * TRAITS.roleChangeMs - LOOK_MS, `${awayMs}`);
  assert.ok(awayMs <= 2 * TRAITS.roleChangeMs + LOOK_MS, `${awayMs}`);
});

const AT_ONCE: readonly (readonly [string, Partial<Loss>])[] = [
  ["no engine that generates is left", { lost: ["g1", "g2"] }],
  ["the one left has no places for the runs of both", { runs: 40 }],
  ["it announced that it leaves", { hasLeaving: true }],
  ["this VM has never seen the fleet complete", { atMs: 0 }],
];
for (const [reason, details] of AT_ONCE) {
  test(`a lost generating engine is replaced at once: ${reason}`, () => {
    const loss = { lost: ["g1"], atMs: 3000, forMs: 4000, ...details };
    const ordered = playLoss(loss);
    assert.ok(ordered.size > 0);
    for (const atMs of ordered.values()) assert.equal(atMs, loss.atMs);
  });
}
