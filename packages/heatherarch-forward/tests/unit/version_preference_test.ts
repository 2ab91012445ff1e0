import assert from "node:assert/strict";
import { test } from "node:test";
import {
  preferContinuable,
  preferRecorded,
  type TargetCandidate,
} from "../../mod.ts";
import { buildEngine } from "./fixtures.ts";

function buildCandidate(
  id: string,
  softwareVersion: string,
  runs = 0,
): TargetCandidate {
  const target = buildEngine(id, {
    role: "decode",
    softwareVersion,
    slots: 10,
  });
  return { target, runs, kvTokens: 0, maxKvTokens: 0 };
}

function listIds(candidates: readonly TargetCandidate[]): string[] {
  return candidates.map(({ target }) => target.id);
}

test("a stream begins at a software version that two engines have", () => {
  const candidates = [
    buildCandidate("a", "v1"),
    buildCandidate("b", "v2", 5),
    buildCandidate("c", "v2", 5),
  ];
  assert.deepEqual(listIds(preferContinuable(candidates)), ["b", "c"]);
});

test("a stream begins at any engine if the preferred ones are busy or there are none", () => {
  const single = [buildCandidate("a", "v1"), buildCandidate("b", "v2")];
  assert.deepEqual(listIds(preferContinuable(single)), ["a", "b"]);
  const busy = [
    buildCandidate("a", "v1"),
    buildCandidate("b", "v2", 8),
    buildCandidate("c", "v2", 9),
  ];
  assert.deepEqual(listIds(preferContinuable(busy)), ["a", "b", "c"]);
});

test("a stream begins at a software version that is recorded, if one is", () => {
  const candidates = [buildCandidate("a", "v1"), buildCandidate("b", "v2")];
  const prefer = (recorded: string): string[] =>
    listIds(preferRecorded(candidates, (version) => version === recorded));
  assert.deepEqual(prefer("v2"), ["b"]);
  assert.deepEqual(prefer("v3"), ["a", "b"]);
});
