import assert from "node:assert/strict";
import { test } from "node:test";
import { Random } from "heatherarch-core";
import { EngineJitter, PrefillTimeModel, PromptPlacer } from "../../mod.ts";
import { buildEngine, buildPrompt, TRAITS } from "./fixtures.ts";

const ENGINES = Array.from({ length: 40 }, (_, i) => buildEngine(`e${i}`));

/** Engines that VMs with the same data pick, each for one prompt. */
function pickAll(vms: number, maxMs: number, prefixTokens: number): string[] {
  const random = new Random(7);
  return Array.from({ length: vms }, (_, i) => {
    const jitter = new EngineJitter({
      vmId: `vm-${i}`,
      drawUnit: () => random.drawUnit(),
      maxMs,
    });
    const placement = new PromptPlacer({ model: new PrefillTimeModel() })
      .pickEngine(
        buildPrompt("k", prefixTokens, 1110),
        {
          candidates: ENGINES.map((target, n) => ({
            target,
            backlogMs: n < 20 ? n / 10 : 100,
          })),
          prefillEngines: ENGINES,
          prefixHolders: [],
          prefixSources: [],
          traits: TRAITS,
          drawJitterMs: (target) => jitter.drawMs(target),
        },
      );
    return placement?.target.id ?? "";
  });
}

function countMost(picked: readonly string[]): number {
  const counts = new Map<string, number>();
  for (const id of picked) counts.set(id, (counts.get(id) ?? 0) + 1);
  return Math.max(...counts.values());
}

test("VMs with the same data pick different engines, and none that is busy", () => {
  assert.equal(countMost(pickAll(100, 0, 350)), 100);
  const picked = pickAll(100, 40, 350);
  assert.ok(countMost(picked) <= 15, `${countMost(picked)} of 100`);
  const busy = picked.filter((id) => Number(id.slice(1)) >= 20);
  assert.equal(busy.length, 0);
});

test("jitter does not move a prompt away from the owner of its prefix", () => {
  const picked = pickAll(100, 40, 13_300);
  assert.equal(countMost(picked), 100);
});

test("half of the added delay is constant for each VM", () => {
  let unit = 0;
  const build = (vmId: string) =>
    new EngineJitter({ vmId, drawUnit: () => unit, maxMs: 40 });
  const first = build("vm-1");
  const constantMs = first.drawMs("e1");
  assert.equal(first.drawMs("e1"), constantMs);
  assert.notEqual(build("vm-2").drawMs("e1"), constantMs);
  assert.notEqual(first.drawMs("e2"), constantMs);
  unit = 0.999;
  assert.ok(first.drawMs("e1") - constantMs > 19);
  assert.ok(first.drawMs("e1") < 40);
  first.forget("e1");
  unit = 0;
  assert.equal(first.drawMs("e1"), constantMs);
});
