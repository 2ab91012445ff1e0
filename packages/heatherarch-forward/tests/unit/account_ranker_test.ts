import assert from "node:assert/strict";
import { test } from "node:test";
import { FairShares } from "heatherarch-shares";
import { AccountRanker, AccountWeights, type RankedCall } from "../../mod.ts";

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
