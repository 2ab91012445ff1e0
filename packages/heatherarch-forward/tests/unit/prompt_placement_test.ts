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

function buildView(
  backlogs: Readonly<Record<string, number>>,
  sources: readonly Target[] = [],
  holders: readonly Target[] = sources,
): PlacementContext {
  return {
    candidates: ENGINES.map((target) => ({
      target,
      backlogMs: backlogs[target.id] ?? 0,
    })),
    prefillEngines: ENGINES,
    prefixHolders: holders,
    prefixSources: sources,
    traits: TRAITS,
  };
}

test("a beginning that nobody holds has one home for all VMs", () => {
  const prompt = buildPrompt("k1");
  const first = createPlacer().pickEngine(prompt, buildView({}));
  const second = createPlacer().pickEngine(prompt, buildView({ x: 5 }));
  assert.equal(first?.isCold, true);
  assert.equal(first?.target.id, second?.target.id);
});

test("homes spread over the engines", () => {
  const placer = createPlacer();
  const homes = new Set<string>();
  for (let i = 0; i < 60; i++) {
    const placement = placer.pickEngine(buildPrompt(`k${i}`), buildView({}));
    homes.add(placement?.target.id ?? "");
  }
  assert.equal(homes.size, ENGINES.length);
});

test("a holder without much backlog reads the rest only", () => {
  const view = buildView({ b: 30 }, [ENGINES[1]]);
  const placement = createPlacer().pickEngine(buildPrompt("k"), view);
  assert.equal(placement?.target.id, "b");
  assert.equal(placement?.fetchFrom, undefined);
  assert.ok((placement?.costMs ?? 0) < 120, `${placement?.costMs} ms`);
});

test("behind a backlog another engine fetches the beginning from the holder", () => {
  const view = buildView({ b: 400 }, [ENGINES[1]]);
  const placement = createPlacer().pickEngine(buildPrompt("k"), view);
  assert.notEqual(placement?.target.id, "b");
  assert.equal(placement?.fetchFrom?.id, "b");
  assert.ok((placement?.readyMs ?? 0) < 140, `${placement?.readyMs} ms`);
});

test("a short prompt goes where it is read soonest", () => {
  const prompt = buildPrompt("k", 350, 1110);
  const view = buildView({ a: 50, b: 20, c: 90, d: 70 });
  assert.equal(createPlacer().pickEngine(prompt, view)?.target.id, "b");
});

test("a slow engine is left to others once it is known to be slow", () => {
  const model = new PrefillTimeModel();
  for (let i = 0; i < 25; i++) {
    const costMs = model.predictMs("a", 1460, 0);
    model.learn("a", { costMs, backlogMs: 0, tookMs: 120 });
  }
  assert.ok(model.getSlowdown("a") > 2);
  const placer = new PromptPlacer({ model });
  const prompt = buildPrompt("k", 350, 1110);
  const view = buildView({ b: 30, c: 30, d: 30 });
  assert.notEqual(placer.pickEngine(prompt, view)?.target.id, "a");
});

test("readings behind others do not make an engine look slow", () => {
  const model = new PrefillTimeModel();
  for (let i = 0; i < 200; i++) {
    const costMs = model.predictMs("a", 1460, 0);
    const backlogMs = i % 3 === 0 ? 0 : 90;
    model.learn("a", { costMs, backlogMs, tookMs: backlogMs + 31 });
  }
  assert.ok(model.getSlowdown("a") < 1.6, `${model.getSlowdown("a")}`);
  assert.ok(model.getSlowdown("a") > 0.8, `${model.getSlowdown("a")}`);
});

test("the fixed time of an answer is learned apart from the engine's speed", () => {
  const model = new PrefillTimeModel();
  // 20 ms of each answer occupy nothing; the engine reads a tenth slower than believed.
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

test("waits of short prompts do not make a long one impossible, the engine's own speed does", () => {
  const model = new PrefillTimeModel();
  const sheetMs = model.predictUnloadedMs("a", 30_000, 0);
  for (let i = 0; i < 200; i++) {
    const costMs = model.predictMs("a", 1460, 0);
    model.learn("a", { costMs, backlogMs: 0, tookMs: 110 });
  }
  assert.ok(model.predictMs("a", 30_000, 0) > sheetMs * 2);
  // A fifth slower than the model's start; a third of them behind work that was not known.
  for (let i = 0; i < 60; i++) {
    const aloneMs = model.predictUnloadedMs("a", 17_000, 0);
    const readMs = sheetMs / 30_000 * 17_000 * 1.2;
    const tookMs = readMs + model.latencyMs + (i % 3 === 0 ? 300 : 0);
    model.learnUnloaded("a", { unloadedMs: aloneMs, backlogMs: 0, tookMs });
  }
  const aloneMs = model.predictUnloadedMs("a", 30_000, 0);
  assert.ok(aloneMs > sheetMs * 1.1, `${aloneMs} of ${sheetMs} ms`);
  assert.ok(aloneMs < sheetMs * 1.9, `${aloneMs} of ${sheetMs} ms`);
});

test("an engine that is not known yet is taken to be like the others", () => {
  const model = new PrefillTimeModel();
  for (let i = 0; i < 300; i++) {
    const costMs = model.predictMs("a", 1460, 0);
    model.learn("a", { costMs, backlogMs: 0, tookMs: 60 });
  }
  assert.ok(model.getSlowdown("b") > 1.4, `${model.getSlowdown("b")}`);
});

test("no engine, no placement", () => {
  const view = { ...buildView({}), candidates: [] };
  assert.equal(createPlacer().pickEngine(buildPrompt("k"), view), undefined);
});

test("a beginning that is being read is waited for, not read twice or fetched", () => {
  const view = buildView({ b: 300 }, [], [ENGINES[1]]);
  const placement = createPlacer().pickEngine(buildPrompt("k"), view);
  assert.equal(placement?.target.id, "b");
  assert.equal(placement?.isCold, false);
});

test("a beginning that was used too long ago is read again where it was", () => {
  const view = { ...buildView({}), lastPrefixHolder: ENGINES[2] };
  const placement = createPlacer().pickEngine(buildPrompt("k"), view);
  assert.equal(placement?.target.id, "c");
  assert.equal(placement?.isCold, true);
});

test("what engines keep shrinks with what is read, and grows again", () => {
  const retention = new CacheRetention();
  const estimate = (nowMs: number) =>
    retention.estimateMs(480_000, 10, 9, nowMs);
  assert.equal(estimate(0), 30_000);
  // 9 VMs with 39 new tokens a millisecond each: 35 a millisecond and engine.
  for (let nowMs = 0; nowMs < 20_000; nowMs += 100) {
    retention.recordPrefill(3900, nowMs);
  }
  const busyMs = estimate(20_000);
  assert.ok(busyMs > 9000 && busyMs < 13_000, `${busyMs}`);
  assert.equal(estimate(60_000), 30_000);
});

test("VMs tell each other where a beginning is read, when it has been, and of later uses", () => {
  const own = new PrefixIndex();
  own.recordHolder("k1", "a", "reading", 0);
  own.recordHolder("k1", "a", "reading", 10);
  own.applyPeerUpdates([["k2", "b", 1]], 10);
  const { updates: notes, cursor } = own.listUpdates(0);
  assert.deepEqual(notes, [["k1", "a", 0]]);
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
