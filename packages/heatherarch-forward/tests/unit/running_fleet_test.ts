import assert from "node:assert/strict";
import { test } from "node:test";
import { isFleetRunning, type VmRecord } from "../../mod.ts";

function buildVm(id: string, startedAtMs?: number): VmRecord {
  return {
    id,
    incarnation: `${id}-1`,
    availabilityZone: "zone-a",
    mesh: "127.0.0.1:1",
    startedAtMs,
  };
}

// Guards against a restarted VM that takes itself for one that starts with its fleet.
test("a fleet is running if another VM started earlier, or does not tell when", () => {
  const isRunning = (...listed: VmRecord[]): boolean =>
    isFleetRunning(listed, "a", 1000);
  assert.equal(isRunning(buildVm("a", 1)), false);
  assert.equal(isRunning(buildVm("a", 1), buildVm("b", 1000)), false);
  assert.equal(isRunning(buildVm("a", 1), buildVm("b", 999)), true);
  assert.equal(isRunning(buildVm("b")), true);
});
