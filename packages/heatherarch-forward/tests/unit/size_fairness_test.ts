import assert from "node:assert/strict";
import { test } from "node:test";
import { SizeFairness } from "../../mod.ts";

/** Shares that know twenty prompts of 1 to 20 thousand tokens, none of which has ended. */
function createShares(): SizeFairness {
  const shares = new SizeFairness();
  for (let i = 20; i > 0; i--) shares.recordArrival("known", i * 1000);
  return shares;
}

test("a prompt is judged among those of its kind", () => {
  const shares = createShares();
  assert.equal(shares.recordArrival("known", 30_000), "largest");
  assert.equal(shares.recordArrival("known", 17_500), "large");
  assert.equal(shares.recordArrival("known", 9000), "usual");
  assert.equal(shares.recordArrival("other", 30_000), "usual");
});

test("large prompts are behind until half as many of them are placed as of all", () => {
  const shares = createShares();
  for (let i = 0; i < 20; i++) shares.recordEnd("known", "usual", i % 5 > 0);
  for (let i = 0; i < 10; i++) shares.recordArrival("known", 40_000 + i);
  let placed = 0;
  for (; shares.isUnderserved("known", "largest"); placed++) {
    shares.recordEnd("known", "largest", true);
  }
  // Ten asked for, and 16 of 20 placed before them: half of 0.8, and a little more as it rises.
  assert.equal(placed, 5);
  assert.equal(shares.isUnderserved("known", "usual"), false);
});

test("old calls are forgotten as new ones come", () => {
  const shares = createShares();
  const serve = (count: number, isPlaced: boolean): void => {
    for (let i = 0; i < count; i++) {
      const size = shares.recordArrival(
        "known",
        i % 10 === 0 ? 90_000 : 5000 + i,
      );
      shares.recordEnd("known", size, isPlaced || size === "usual");
    }
  };
  serve(400, false);
  assert.equal(shares.isUnderserved("known", "largest"), true);
  serve(4000, true);
  assert.equal(shares.isUnderserved("known", "largest"), false);
});

test("kinds that configurations no longer name are forgotten", () => {
  const shares = createShares();
  for (let i = 0; i < 256; i++) shares.recordArrival(`kind ${i}`, 1000);
  assert.equal(shares.recordArrival("known", 90_000), "usual");
});
