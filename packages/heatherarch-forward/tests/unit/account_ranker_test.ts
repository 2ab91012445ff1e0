import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock, Random } from "heatherarch-core";
import { FairShares } from "heatherarch-shares";
import {
  AccountRanker,
  AccountWeights,
  CallQueue,
  type CallRanker,
  computeCapacityInMs,
  type RankedCall,
} from "../../mod.ts";
import { buildEngine } from "./fixtures.ts";

const SERVICE = "s";

function buildCall(account?: string, isReturn = false): RankedCall {
  return { service: SERVICE, account, isReturn };
}

/** Serves waiting calls by rank, then in their order, as a queue does. */
function serve(ranker: AccountRanker, waiting: RankedCall[]): RankedCall[] {
  const served: RankedCall[] = [];
  while (waiting.length > 0) {
    const ranks = waiting.map((call) => ranker.computeRank(call, 0));
    const [call] = waiting.splice(ranks.indexOf(Math.min(...ranks)), 1);
    ranker.recordDispatch(call, 40, 0);
    served.push(call);
  }
  return served;
}

test("an account that sends ten times as much waits for the others, and gets the rest", () => {
  const ranker = new AccountRanker({ shares: new FairShares() });
  const waiting = Array.from({ length: 20 }, () => buildCall("large"));
  for (let i = 0; i < 2; i++) {
    for (const small of ["a", "b", "c"]) waiting.push(buildCall(small));
  }
  const served = serve(ranker, waiting);
  const names = served.slice(0, 9).map(({ account }) => account);
  assert.deepEqual(names.filter((name) => name !== "large").length, 6);
  assert.equal(served.length, 26);
});

// Requirement 1: no decision changes unless client accounts are configured.
test("without accounts, every rank is 0, and calls stay in their order", () => {
  const shares = new FairShares();
  const ranker = new AccountRanker({ shares });
  const waiting = Array.from({ length: 9 }, () => buildCall());
  const before = [...waiting];
  assert.ok(waiting.every((call) => ranker.computeRank(call, 0) === 0));
  assert.deepEqual(serve(ranker, waiting), before);
  assert.deepEqual(shares.listOwnUse(0), []);
});

const ENGINE = buildEngine("e");
const COST_MS = 20;

/** A queue for one engine that works off its backlog as time passes. */
function createQueue(ranker?: CallRanker) {
  const clock = new ManualClock();
  const queue = new CallQueue({ clock, ranker, isTimerEnabled: false });
  const engine = { backlogMs: 0 };
  const outcomes: string[] = [];
  const enqueue = (name: string, account?: string, aimMs = 600): void => {
    const nowMs = clock.readMonotonicMs();
    queue.enqueue({
      service: SERVICE,
      account,
      lane: 0,
      kind: "k",
      waitStartedAtMs: nowMs,
      aimMs,
      timeoutAtMs: nowMs + 2000,
      responseDelayMs: 50,
      findPlacement: () => ({
        target: ENGINE,
        isCold: false,
        costMs: COST_MS,
        unloadedMs: COST_MS,
        backlogMs: engine.backlogMs,
        readyMs: engine.backlogMs + COST_MS,
      }),
      onOutcome: ({ kind }) => {
        outcomes.push(`${name} ${kind} at ${clock.readMonotonicMs()}`);
        if (kind === "placed") engine.backlogMs += COST_MS;
      },
    });
  };
  const advance = (ms: number): void => {
    clock.advance(ms);
    engine.backlogMs = Math.max(0, engine.backlogMs - ms);
    queue.dispatch();
  };
  return { queue, outcomes, enqueue, advance };
}

test("a queue serves accounts within their share before one beyond it", () => {
  const { outcomes, enqueue, advance } = createQueue(new AccountRanker());
  for (let i = 0; i < 20; i++) enqueue(`large ${i}`, "large", 500);
  for (const name of ["a", "b", "c"]) enqueue(name, name);
  for (let i = 0; i < 6; i++) advance(COST_MS);
  const last = outcomes.findIndex((outcome) => outcome.startsWith("c"));
  const before = outcomes.slice(0, last)
    .filter((outcome) => outcome.startsWith("large"));
  // The first four are placed before another account has a call.
  assert.equal(before.length, 4, outcomes.join());
});

// The VM of a large account filled all engines before other VMs heard of free ones.
test("calls of an account beyond its share leave room at the targets", () => {
  const rank = (call: RankedCall): number => call.account === "large" ? 1 : 0;
  const { outcomes, enqueue } = createQueue({ computeRank: rank });
  for (let i = 0; i < 9; i++) enqueue("large", "large");
  assert.equal(outcomes.length, 2);
  for (let i = 0; i < 9; i++) enqueue("small", "small");
  assert.equal(outcomes.length, 4);
  const listCapacity = (runs: number): number[] =>
    [-1, 0, 1, 3].map((rank) =>
      computeCapacityInMs({ slots: 4, workMs: 40, runs }, {
        rank,
        hasAccount: true,
        isContended: true,
        computeTurnInMs: () => 7,
      })
    );
  assert.deepEqual(listCapacity(3), [0, 0, 7, 7]);
  assert.deepEqual(listCapacity(4), [0, 0, 7, 7]);
  assert.deepEqual(listCapacity(5), [0, 0, 7, 7]);
  assert.deepEqual(listCapacity(6), [0, 0, 30, 30]);
  assert.deepEqual(listCapacity(8), [50, 50, 50, 50]);
});

// Requirement 1: no decision changes unless client accounts are configured.
test("without accounts, a queue decides the same with and without a ranker", () => {
  for (let seed = 1; seed <= 20; seed++) {
    const [ranked, plain] = [new AccountRanker(), undefined].map((ranker) => {
      const random = new Random(seed);
      const { outcomes, enqueue, advance } = createQueue(ranker);
      for (let i = 0; i < 300; i++) {
        if (random.drawUnit() < 0.7) {
          enqueue(`c${i}`, undefined, 100 + random.drawUnit() * 800);
        }
        advance(random.drawUnit() * 24);
      }
      return outcomes;
    });
    assert.ok(plain.length > 50);
    assert.deepEqual(ranked, plain);
  }
});

test("a return goes before the new calls of its class", () => {
  const ranker = new AccountRanker({ shares: new FairShares() });
  assert.equal(ranker.computeRank(buildCall(undefined, true), 0), -1);
  ranker.recordDispatch(buildCall("a"), 100, 0);
  ranker.recordDispatch(buildCall("b"), 900, 0);
  assert.equal(ranker.computeRank(buildCall("b"), 0), 1);
  assert.equal(ranker.computeRank(buildCall("b", true), 0), 0);
});

test("weights follow the settings, and those of unknown accounts are kept", () => {
  const weights = new AccountWeights({ later: 5 });
  const shares = new FairShares({
    getWeight: (account) => weights.getWeight(account),
  });
  weights.registerListener(() => shares.refreshWeights());
  assert.equal(weights.getWeight("later"), 5);
  shares.recordWork(SERVICE, "a", 90, 0);
  shares.recordWork(SERVICE, "b", 30, 0);
  assert.equal(shares.computeRank(SERVICE, "a", 0), 1);
  weights.apply({ a: 4 });
  assert.equal(shares.computeRank(SERVICE, "a", 0), 0);
  weights.apply();
  assert.equal(shares.computeRank(SERVICE, "a", 0), 1);
});
