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
  return { target, runs, kvTokens, maxKvTokens: 480_000 };
}

const drawZero = (): number => 0;

test("an engine in the same zone is picked unless one in another zone has much lower utilization", () => {
  const sameZone = buildCandidate("n", "zone-a", 10);
  const otherZone = buildCandidate("f", "zone-b", 6);
  assert.equal(
    pickLeastLoaded([otherZone, sameZone], "zone-a", drawZero),
    sameZone,
  );
  const full = buildCandidate("n", "zone-a", 30);
  assert.equal(
    pickLeastLoaded([otherZone, full], "zone-a", drawZero),
    otherZone,
  );
});

test("KV cache utilization counts where it is higher than slot utilization", () => {
  const long = buildCandidate("l", "zone-a", 4, 400_000);
  const short = buildCandidate("s", "zone-a", 9, 30_000);
  assert.ok(computeUtilization(long) > computeUtilization(short));
  assert.equal(pickLeastLoaded([long, short], "zone-a", drawZero), short);
  assert.equal(pickLeastLoaded([], "zone-a", drawZero), undefined);
});
