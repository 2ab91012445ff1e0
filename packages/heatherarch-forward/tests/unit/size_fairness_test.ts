import assert from "node:assert/strict";
import { test } from "node:test";
import { SizeFairness } from "../../mod.ts";

/** Counts with twenty arrived prompts of 1 to 20 thousand tokens, none of which has ended. */
function createFairness(): SizeFairness {
  const fairness = new SizeFairness();
  for (let i = 20; i > 0; i--) fairness.recordArrival("known", i * 1000);
  return fairness;
}

test("the size of a prompt is relative to its kind", () => {
  const fairness = createFairness();
  assert.equal(fairness.recordArrival("known", 30_000), "largest");
  assert.equal(fairness.recordArrival("known", 17_500), "large");
  assert.equal(fairness.recordArrival("known", 9000), "usual");
  assert.equal(fairness.recordArrival("other", 30_000), "usual");
});

test("large prompts are underserved until their share of placed prompts is half of the total share", () => {
  const fairness = createFairness();
  for (let i = 0; i < 20; i++) fairness.recordEnd("known", "usual", i % 5 > 0);
  for (let i = 0; i < 10; i++) fairness.recordArrival("known", 40_000 + i);
  let placed = 0;
  for (; fairness.isUnderserved("known", "largest"); placed++) {
    fairness.recordEnd("known", "largest", true);
  }
  // Ten arrived, and 16 of 20 were placed before them: half of 0.8, and a little more as it rises.
  assert.equal(placed, 5);
  assert.equal(fairness.isUnderserved("known", "usual"), false);
});

test("the weight of old calls decreases as new ones arrive", () => {
  const fairness = createFairness();
  const serve = (count: number, isPlaced: boolean): void => {
    for (let i = 0; i < count; i++) {
      const size = fairness.recordArrival(
        "known",
        i % 10 === 0 ? 90_000 : 5000 + i,
      );
      fairness.recordEnd("known", size, isPlaced || size === "usual");
    }
  };
  serve(400, false);
  assert.equal(fairness.isUnderserved("known", "largest"), true);
  serve(4000, true);
  assert.equal(fairness.isUnderserved("known", "largest"), false);
});

test("kinds that configurations no longer contain are dropped", () => {
  const fairness = createFairness();
  for (let i = 0; i < 256; i++) fairness.recordArrival(`kind ${i}`, 1000);
  assert.equal(fairness.recordArrival("known", 90_000), "usual");
});
