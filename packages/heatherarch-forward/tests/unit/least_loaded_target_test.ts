import assert from "node:assert/strict";
import { test } from "node:test";
import {
  computeUtilization,
  pickLeastLoaded,
  type TargetCandidate,
} from "../../mod.ts";
import { buildEngine } from "./fixtures.ts";

function buildCandidate(
  id: string,
  zone: string,
  runs: number,
  kvTokens = 0,
): TargetCandidate {
  const target = buildEngine(id, { availabilityZone: zone, role: "decode" });
  return { target, runs, kvTokens, kvCapacityTokens: 480_000 };
}

const drawNone = (): number => 0;

test("a near engine is taken unless a far one has much more room", () => {
  const near = buildCandidate("n", "zone-a", 10);
  const far = buildCandidate("f", "zone-b", 6);
  assert.equal(pickLeastLoaded([far, near], "zone-a", drawNone), near);
  const full = buildCandidate("n", "zone-a", 30);
  assert.equal(pickLeastLoaded([far, full], "zone-a", drawNone), far);
});

test("KV memory counts where it is scarcer than places", () => {
  const long = buildCandidate("l", "zone-a", 4, 400_000);
  const short = buildCandidate("s", "zone-a", 9, 30_000);
  assert.ok(computeUtilization(long) > computeUtilization(short));
  assert.equal(pickLeastLoaded([long, short], "zone-a", drawNone), short);
  assert.equal(pickLeastLoaded([], "zone-a", drawNone), undefined);
});
