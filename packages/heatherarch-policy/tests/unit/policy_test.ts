import assert from "node:assert/strict";
import { test } from "node:test";
import type { ServeError } from "heatherarch-core";
import type { Account, Planning } from "heatherarch-settings";
import {
  AccountLimits,
  AdaptiveRouter,
  type Candidate,
  checkAdmission,
  EngineModel,
  estimateServedShare,
  GreedyPlanner,
  HorizonPlanner,
  LoadTracker,
  LookupReserve,
  RetryBudget,
  type RouteRequest,
} from "../../mod.ts";

const PLANNING: Planning = {
  policy: "horizon",
  intervalMs: 1000,
  horizonMs: 60_000,
  changeMs: 4000,
  changeWeight: 1,
  minimumPerRole: 1,
};

const ACCOUNT: Account = {
  name: "desk",
  requestsPerSecond: 10,
  burst: 2,
  maxConcurrent: 100,
  weight: 1,
};

function buildCandidate(
  id: string,
  values: Partial<Candidate> = {},
): Candidate {
  return {
    id,
    sameZone: true,
    role: "mixed",
    load: { running: 0, waiting: 0, pendingPrefillTokens: 0 },
    maxConcurrent: 64,
    roundTripMs: 0,
    ...values,
  };
}

function buildRequest(values: Partial<RouteRequest> = {}): RouteRequest {
  return {
    promptTokens: 100,
    outputTokens: 100,
    prefixKey: "k",
    kvTransferMinTokens: 256,
    reserveShare: 0,
    remainingMs: 20_000,
    tokenGapMs: 37,
    tieBreakKey: "r",
    ...values,
  };
}

test("the router prefers an idle engine to a loaded one", () => {
  const router = new AdaptiveRouter(new EngineModel());
  const busy = buildCandidate("busy", {
    load: { running: 30, waiting: 10, pendingPrefillTokens: 40_000 },
  });
  const plan = router.planRoute(buildRequest(), [busy, buildCandidate("free")]);
  assert.equal(plan?.primary.id, "free");
});

test("requests with the same prefix go to the same engine while it has capacity", () => {
  const router = new AdaptiveRouter(new EngineModel());
  const engines = Array.from({ length: 8 }, (_, i) => buildCandidate(`e${i}`));
  const request = buildRequest({ promptTokens: 2000, kvTransferMinTokens: 0 });
  const first = router.planRoute(request, engines)?.primary.id;
  for (let i = 0; i < 5; i++) {
    assert.equal(router.planRoute(request, engines)?.primary.id, first);
  }
});

test("a long prompt is disaggregated when its prefill would delay other sequences", () => {
  const router = new AdaptiveRouter(new EngineModel());
  const prefiller = buildCandidate("p", {
    role: "prefill",
    load: { running: 1, waiting: 0, pendingPrefillTokens: 3000 },
  });
  const decoder = buildCandidate("d", {
    role: "decode",
    load: { running: 40, waiting: 0, pendingPrefillTokens: 0 },
  });
  const plan = router.planRoute(buildRequest({ promptTokens: 4000 }), [
    prefiller,
    decoder,
  ]);
  assert.equal(plan?.primary.id, "p");
  assert.equal(plan?.decode?.id, "d");
});

test("slots that are reserved for lookups are not available to other requests", () => {
  const router = new AdaptiveRouter(new EngineModel());
  const nearlyFull = buildCandidate("e", {
    load: { running: 60, waiting: 0, pendingPrefillTokens: 0 },
  });
  assert.equal(
    router.planRoute(buildRequest({ reserveShare: 0.1 }), [nearlyFull]),
    undefined,
  );
  assert.ok(router.planRoute(buildRequest({ reserveShare: 0 }), [nearlyFull]));
});

test("the reserve of a service is kept while the service receives lookups", () => {
  const reserve = new LookupReserve({ share: 0.1 });
  assert.equal(reserve.readShare("reader", 0), 0);
  reserve.recordLookup("reader", 1000);
  assert.equal(reserve.readShare("reader", 2000), 0.1);
  assert.equal(reserve.readShare("other", 2000), 0);
  assert.equal(reserve.readShare("reader", 62_000), 0);
});

test("admission rejects a request that can't meet its deadline, with a retry time", () => {
  const plan = {
    primary: buildCandidate("e"),
    firstTokenMs: 900,
    tokenGapMs: 40,
  };
  const rejected = checkAdmission(
    { remainingMs: 2000, outputTokens: 100 },
    plan,
  );
  const error = rejected.val as ServeError;
  assert.equal(error.kind, "overloaded");
  assert.equal(error.run, "no");
  assert.ok(error.retryAfterMs >= 200);
  assert.ok(checkAdmission({ remainingMs: 6000, outputTokens: 100 }, plan).ok);
});

test("a client account that exceeds its rate is rejected with a retry time", () => {
  const limits = new AccountLimits({ maxInFlight: 100 });
  assert.ok(limits.acquire(ACCOUNT, 1, 0).ok);
  assert.ok(limits.acquire(ACCOUNT, 1, 0).ok);
  const third = limits.acquire(ACCOUNT, 1, 0).val as ServeError;
  assert.equal(third.kind, "accountLimit");
  assert.equal(third.retryAfterMs, 100);
  assert.ok(limits.acquire(ACCOUNT, 1, 100).ok);
});

test("on a full VM a heavy client account can't starve a light one", () => {
  const limits = new AccountLimits({ maxInFlight: 10 });
  const heavy = {
    ...ACCOUNT,
    name: "heavy",
    requestsPerSecond: 1e6,
    burst: 1e6,
  };
  const light = { ...heavy, name: "light" };
  assert.ok(limits.acquire(light, 1, 0).ok);
  let admitted = 0;
  while (limits.acquire(heavy, 1, 0).ok) admitted++;
  assert.ok(admitted < 9, `${admitted}`);
  assert.ok(limits.acquire(light, 1, 0).ok);
});

test("releasing a request twice frees one slot", () => {
  const limits = new AccountLimits({ maxInFlight: 10 });
  const release = limits.acquire(ACCOUNT, 1, 0).val as () => void;
  release();
  release();
  assert.equal(limits.inFlight, 0);
});

test("retries are limited to a share of new requests", () => {
  const budget = new RetryBudget({ share: 0.1, capacity: 1 });
  assert.ok(budget.spendRetry());
  assert.equal(budget.spendRetry(), false);
  for (let i = 0; i < 10; i++) budget.recordRequest();
  assert.ok(budget.spendRetry());
});

test("own work that a delayed report does not include is added to the estimate", () => {
  const tracker = new LoadTracker({ reportLagMs: 200 });
  const report = {
    running: 3,
    waiting: 0,
    pendingPrefillTokens: 100,
    atMs: 1000,
  };
  tracker.begin("e", 50, 500);
  const work = tracker.begin("e", 70, 900);
  assert.equal(tracker.estimate("e", report).running, 4);
  assert.equal(tracker.estimate("e", report).pendingPrefillTokens, 170);
  work.recordFirstToken(950);
  work.end(990);
  work.end(995);
  assert.equal(tracker.estimate("e", report).running, 3);
  assert.equal(tracker.estimate("e", report).pendingPrefillTokens, 100);
});

test("a balanced split of roles serves the whole demand and an unbalanced one does not", () => {
  const required = { prefill: 3, decode: 3 };
  assert.equal(
    estimateServedShare({ prefill: 4, decode: 4, mixed: 0 }, required),
    1,
  );
  assert.ok(
    estimateServedShare({ prefill: 1, decode: 4, mixed: 0 }, required) < 0.9,
  );
  assert.ok(
    estimateServedShare({ prefill: 6, decode: 2, mixed: 0 }, required) < 0.9,
  );
});

test("the horizon planner requires a lasting gain and the greedy one does not", () => {
  const model = new EngineModel();
  const engines = Array.from({ length: 8 }, (_, i) => ({
    id: `e${i}`,
    role: i < 4 ? "prefill" as const : "decode" as const,
    running: i,
  }));
  const slight = {
    engines,
    demand: { prefillTokensPerSecond: 24_000, decodeTokensPerSecond: 6000 },
    changing: false,
    nowMs: 0,
  };
  assert.ok(new GreedyPlanner(PLANNING, model).plan(slight));
  assert.equal(new HorizonPlanner(PLANNING, model).plan(slight), undefined);
  const heavy = {
    ...slight,
    demand: { prefillTokensPerSecond: 2000, decodeTokensPerSecond: 20_000 },
  };
  const planner = new HorizonPlanner(PLANNING, model);
  assert.equal(planner.plan(heavy), undefined, "one round is no confirmation");
  assert.equal(planner.plan(heavy)?.role, "decode");
});
