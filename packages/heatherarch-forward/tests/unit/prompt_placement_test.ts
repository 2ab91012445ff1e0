import assert from "node:assert/strict";
import { test } from "node:test";
import {
  CacheRetention,
  type PlacementContext,
  PrefillTimeModel,
  PrefixIndex,
  PromptPlacer,
  type Target,
} from "../../mod.ts";
import { buildEngine, buildPrompt, TRAITS } from "./fixtures.ts";

const ENGINES = ["a", "b", "c", "d"].map((id) => buildEngine(id));

function createPlacer(): PromptPlacer {
  return new PromptPlacer({ model: new PrefillTimeModel() });
}

function buildContext(
  backlogs: Readonly<Record<string, number>>,
  prefixSources: readonly Target[] = [],
  prefixHolders: readonly Target[] = prefixSources,
): PlacementContext {
  return {
    candidates: ENGINES.map((target) => ({
      target,
      backlogMs: backlogs[target.id] ?? 0,
    })),
    prefillEngines: ENGINES,
    prefixHolders,
    prefixSources,
    traits: TRAITS,
  };
}

test("a prefix that no engine holds has the same owner for all VMs", () => {
  const prompt = buildPrompt("k1");
  const first = createPlacer().pickEngine(prompt, buildContext({}));
  const second = createPlacer().pickEngine(prompt, buildContext({ x: 5 }));
  assert.equal(first?.isCold, true);
  assert.equal(first?.target.id, second?.target.id);
});

test("prefix owners are spread over the engines", () => {
  const placer = createPlacer();
  const owners = new Set<string>();
  for (let i = 0; i < 60; i++) {
    const placement = placer.pickEngine(buildPrompt(`k${i}`), buildContext({}));
    owners.add(placement?.target.id ?? "");
  }
  assert.equal(owners.size, ENGINES.length);
});

test("an engine that holds the prefix and has little backlog prefills only the rest", () => {
  const context = buildContext({ b: 30 }, [ENGINES[1]]);
  const placement = createPlacer().pickEngine(buildPrompt("k"), context);
  assert.equal(placement?.target.id, "b");
  assert.equal(placement?.fetchFrom, undefined);
  assert.ok((placement?.costMs ?? 0) < 120, `${placement?.costMs} ms`);
});

test("another engine fetches the prefix if its holder has a backlog", () => {
  const context = buildContext({ b: 400 }, [ENGINES[1]]);
  const placement = createPlacer().pickEngine(buildPrompt("k"), context);
  assert.notEqual(placement?.target.id, "b");
  assert.equal(placement?.fetchFrom?.id, "b");
  assert.ok((placement?.readyMs ?? 0) < 140, `${placement?.readyMs} ms`);
});

test("a short prompt goes to the engine that completes its prefill first", () => {
  const prompt = buildPrompt("k", 350, 1110);
  const context = buildContext({ a: 50, b: 20, c: 90, d: 70 });
  assert.equal(createPlacer().pickEngine(prompt, context)?.target.id, "b");
});

test("a slow engine is avoided once it is known to be slow", () => {
  const model = new PrefillTimeModel();
  for (let i = 0; i < 25; i++) {
    const costMs = model.predictMs("a", 1460, 0);
    model.learn("a", { costMs, backlogMs: 0, tookMs: 120 });
  }
  assert.ok(model.getSlowdown("a") > 2);
  const placer = new PromptPlacer({ model });
  const prompt = buildPrompt("k", 350, 1110);
  const context = buildContext({ b: 30, c: 30, d: 30 });
  assert.notEqual(placer.pickEngine(prompt, context)?.target.id, "a");
});

test("waiting behind other prompts does not make an engine look slow", () => {
  const model = new PrefillTimeModel();
  for (let i = 0; i < 200; i++) {
    const costMs = model.predictMs("a", 1460, 0);
    const backlogMs = i % 3 === 0 ? 0 : 90;
    model.learn("a", { costMs, backlogMs, tookMs: backlogMs + 31 });
  }
  assert.ok(model.getSlowdown("a") < 1.6, `${model.getSlowdown("a")}`);
  assert.ok(model.getSlowdown("a") > 0.8, `${model.getSlowdown("a")}`);
});

test("the fixed response latency is learned separately from the engine's speed", () => {
  const model = new PrefillTimeModel();
  // 20 ms of each response do not occupy the engine, which is a tenth slower than predicted.
  for (let i = 0; i < 800; i++) {
    const plainMs = model.predictMs("a", 380, 0) / model.getSlowdown("a");
    const waitMs = (i % 4) * 30;
    const tookMs = (waitMs + plainMs) * 1.1 + 20;
    const costMs = plainMs * model.getSlowdown("a");
    const backlogMs = waitMs * model.getSlowdown("a");
    model.learn("a", { costMs, backlogMs, tookMs });
  }
  assert.ok(Math.abs(model.latencyMs - 20) < 3, `${model.latencyMs} ms`);
  assert.ok(model.predictMs("a", 3720, 13_300) < 110);
});

test("predictions for an unloaded engine follow its own speed, not the waits of short prompts", () => {
  const model = new PrefillTimeModel();
  const initialMs = model.predictUnloadedMs("a", 30_000, 0);
  for (let i = 0; i < 200; i++) {
    const costMs = model.predictMs("a", 1460, 0);
    model.learn("a", { costMs, backlogMs: 0, tookMs: 110 });
  }
  assert.ok(model.predictMs("a", 30_000, 0) > initialMs * 2);
  // A fifth slower than the initial model; a third of the prefills wait behind unknown work.
  for (let i = 0; i < 60; i++) {
    const unloadedMs = model.predictUnloadedMs("a", 17_000, 0);
    const prefillMs = initialMs / 30_000 * 17_000 * 1.2;
    const tookMs = prefillMs + model.latencyMs + (i % 3 === 0 ? 300 : 0);
    model.learnUnloaded("a", { unloadedMs, backlogMs: 0, tookMs });
  }
  const unloadedMs = model.predictUnloadedMs("a", 30_000, 0);
  assert.ok(unloadedMs > initialMs * 1.1, `${unloadedMs} of ${initialMs} ms`);
  assert.ok(unloadedMs < initialMs * 1.9, `${unloadedMs} of ${initialMs} ms`);
});

test("an engine without samples is predicted like the others", () => {
  const model = new PrefillTimeModel();
  for (let i = 0; i < 300; i++) {
    const costMs = model.predictMs("a", 1460, 0);
    model.learn("a", { costMs, backlogMs: 0, tookMs: 60 });
  }
  assert.ok(model.getSlowdown("b") > 1.4, `${model.getSlowdown("b")}`);
});

test("there is no placement without engines", () => {
  const context = { ...buildContext({}), candidates: [] };
  assert.equal(createPlacer().pickEngine(buildPrompt("k"), context), undefined);
});

test("a prompt waits for a prefix that is being computed, which is neither computed twice nor fetched", () => {
  const context = buildContext({ b: 300 }, [], [ENGINES[1]]);
  const placement = createPlacer().pickEngine(buildPrompt("k"), context);
  assert.equal(placement?.target.id, "b");
  assert.equal(placement?.isCold, false);
});

test("a prefix that was used too long ago is computed again on its last holder", () => {
  const context = { ...buildContext({}), lastPrefixHolder: ENGINES[2] };
  const placement = createPlacer().pickEngine(buildPrompt("k"), context);
  assert.equal(placement?.target.id, "c");
  assert.equal(placement?.isCold, true);
});

test("the cache retention time decreases with prefill load and recovers", () => {
  const retention = new CacheRetention();
  const estimate = (nowMs: number) =>
    retention.estimateMs(480_000, 10, 9, nowMs);
  assert.equal(estimate(0), 30_000);
  // 9 VMs with 39 new tokens per millisecond each are 35 per millisecond and engine.
  for (let nowMs = 0; nowMs < 20_000; nowMs += 100) {
    retention.recordPrefill(3900, nowMs);
  }
  const busyMs = estimate(20_000);
  assert.ok(busyMs > 9000 && busyMs < 13_000, `${busyMs}`);
  assert.equal(estimate(60_000), 30_000);
});

test("VMs report to each other that a prefix is being computed, that it is held, and later uses", () => {
  const own = new PrefixIndex();
  own.recordHolder("k1", "a", "reading", 0);
  own.recordHolder("k1", "a", "reading", 10);
  own.applyPeerUpdates([["k2", "b", 1]], 10);
  const { updates, cursor } = own.listUpdates(0);
  assert.deepEqual(updates, [["k1", "a", 0]]);
  own.recordHolder("k1", "a", "read", 300);
  own.recordHolder("k1", "a", "reading", 400);
  assert.deepEqual(own.listUpdates(cursor).updates, [["k1", "a", 1]]);
  assert.deepEqual(own.listHolders("k1"), [
    { target: "a", state: "read", usedAtMs: 300 },
  ]);
  own.recordHolder("k1", "a", "reading", 1400);
  assert.equal(own.listUpdates(0).updates.length, 3);
  assert.deepEqual(own.listHolders("k1"), [
    { target: "a", state: "read", usedAtMs: 1400 },
  ]);
  own.forgetTarget("a");
  assert.deepEqual(own.listHolders("k1"), []);
  assert.equal(own.listHolders("k2").at(0)?.target, "b");
});

test("the index stays within its size", () => {
  const index = new PrefixIndex({ maxKeys: 3 });
  for (let i = 0; i < 10; i++) index.recordHolder(`k${i}`, "a", "read", i);
  assert.deepEqual(index.listHolders("k0"), []);
  assert.equal(index.listHolders("k9").length, 1);
  assert.equal(index.listUpdates(0).updates.length, 3);
});
