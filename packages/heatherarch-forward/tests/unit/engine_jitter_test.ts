import assert from "node:assert/strict";
import { test } from "node:test";
import { Random } from "heatherarch-core";
import { EngineJitter, PrefillTimeModel, PromptPlacer } from "../../mod.ts";
import { buildEngine, buildPrompt, TRAITS } from "./fixtures.ts";

const ENGINES = Array.from({ length: 40 }, (_, i) => buildEngine(`e${i}`));

/** The engines that VMs with the same knowledge pick for a prompt each. */
function pickAll(vms: number, mostMs: number, shared: number): string[] {
  const random = new Random(7);
  return Array.from({ length: vms }, (_, i) => {
    const spread = new EngineJitter({
      vmId: `vm-${i}`,
      drawUnit: () => random.drawUnit(),
      maxMs: mostMs,
    });
    const placement = new PromptPlacer({ model: new PrefillTimeModel() })
      .pickEngine(
        buildPrompt("k", shared, 1110),
        {
          candidates: ENGINES.map((target, n) => ({
            target,
            backlogMs: n < 20 ? n / 10 : 100,
          })),
          prefillEngines: ENGINES,
          prefixHolders: [],
          prefixSources: [],
          traits: TRAITS,
          drawJitterMs: (target) => spread.drawMs(target),
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

test("VMs that know the same take different engines, and none that is busy", () => {
  assert.equal(countMost(pickAll(100, 0, 350)), 100);
  const picked = pickAll(100, 40, 350);
  assert.ok(countMost(picked) <= 15, `${countMost(picked)} of 100`);
  const busy = picked.filter((id) => Number(id.slice(1)) >= 20);
  assert.equal(busy.length, 0);
});

test("a prompt whose beginning has a home goes there all the same", () => {
  const picked = pickAll(100, 40, 13_300);
  assert.equal(countMost(picked), 100);
});

test("half of the added wait is the VM's own and stays", () => {
  let unit = 0;
  const build = (vmId: string) =>
    new EngineJitter({ vmId, drawUnit: () => unit, maxMs: 40 });
  const first = build("vm-1");
  const least = first.drawMs("e1");
  assert.equal(first.drawMs("e1"), least);
  assert.notEqual(build("vm-2").drawMs("e1"), least);
  assert.notEqual(first.drawMs("e2"), least);
  unit = 0.999;
  assert.ok(first.drawMs("e1") - least > 19);
  assert.ok(first.drawMs("e1") < 40);
  first.forget("e1");
  unit = 0;
  assert.equal(first.drawMs("e1"), least);
});
