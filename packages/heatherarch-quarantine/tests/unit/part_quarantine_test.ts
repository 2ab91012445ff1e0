import assert from "node:assert/strict";
import { test } from "node:test";
import {
  hashSharedParts,
  PartQuarantine,
  type PartQuarantineOptions,
  TURN_MS,
} from "../../mod.ts";

const ACCOUNT = "account";

function buildQuarantine(options: PartQuarantineOptions = {}): PartQuarantine {
  return new PartQuarantine({ holdMs: 600_000, ...options });
}

test("the last part of a prompt is never considered, and parts belong to an account, service and model", () => {
  const identity = { account: "a", service: "s", model: "m" };
  const digests = hashSharedParts({ ...identity, parts: ["p", "q", "own"] });
  assert.equal(digests.length, 2);
  assert.deepEqual(hashSharedParts({ ...identity, parts: ["own"] }), []);
  for (
    const other of [
      { ...identity, account: "b" },
      { ...identity, service: "t" },
      { ...identity, model: "n" },
    ]
  ) {
    const [first] = hashSharedParts({ ...other, parts: ["p", "own"] });
    assert.notEqual(first, digests[0]);
  }
});

test("parts that succeeded lately are not suspected, whatever crashes beside them", () => {
  const quarantine = buildQuarantine();
  quarantine.recordSuccess(["system"], 0);
  quarantine.recordCrash(["system", "bad"], ACCOUNT, "e1", 10);
  quarantine.recordCrash(["system", "bad"], ACCOUNT, "e2", 20);
  assert.equal(quarantine.isSuspected(["system"]), false);
  assert.deepEqual(
    quarantine.listQuarantined(30).map(({ part }) => part),
    ["bad"],
  );
});

test("after one crash a part is tried by one run at a time, and its success clears it", () => {
  const quarantine = buildQuarantine();
  quarantine.recordCrash(["rare"], ACCOUNT, "e1", 0);
  const trial = quarantine.admit(["rare", "other"], 10);
  assert.equal(trial.kind, "trial");
  assert.equal(quarantine.admit(["rare"], 11).kind, "onTrial");
  assert.equal(quarantine.admit(["other"], 11).kind, "free");
  quarantine.recordSuccess(["rare"], 20);
  if (trial.kind === "trial") trial.end();
  assert.equal(quarantine.admit(["rare"], 21).kind, "free");
  assert.equal(quarantine.isSuspected(["rare"]), false);
});

test("two crashes quarantine a part for a short time, three for long", () => {
  const quarantine = buildQuarantine();
  quarantine.recordCrash(["bad"], ACCOUNT, "e1", 0);
  quarantine.recordCrash(["bad"], ACCOUNT, "e2", 100);
  assert.equal(quarantine.admit(["bad"], 101).kind, "quarantined");
  assert.equal(quarantine.admit(["bad"], 20_099).kind, "quarantined");
  assert.equal(quarantine.admit(["bad"], 20_100).kind, "trial");
  quarantine.recordCrash(["bad"], ACCOUNT, "e3", 20_200);
  const entry = quarantine.findQuarantined(["bad"], 20_300);
  assert.equal(entry?.untilMs, 620_200);
});

test("VMs take turns: twice as many may try a part with each interval", () => {
  const mayTry = (rank: number, nowMs: number): boolean => {
    const quarantine = buildQuarantine({ rankSelf: () => rank });
    quarantine.recordCrash(["rare"], ACCOUNT, "e1", 0);
    return quarantine.mayRun(["rare"], nowMs);
  };
  const countAt = (nowMs: number): number =>
    Array.from({ length: 870 }, (_, rank) => mayTry(rank, nowMs))
      .filter((may) => may).length;
  assert.deepEqual([0, 1, 2, 3].map((turn) => countAt(turn * TURN_MS)), [
    1,
    2,
    4,
    8,
  ]);
  assert.equal(countAt(10 * TURN_MS), 870);
});

test("a crash that a part with more crashes explains doesn't count against others", () => {
  const quarantine = buildQuarantine();
  quarantine.recordCrash(["bad", "beside"], ACCOUNT, "e1", 0);
  quarantine.recordCrash(["bad"], ACCOUNT, "e2", 10);
  assert.equal(quarantine.isSuspected(["beside"]), false);
  quarantine.recordCrash(["bad"], ACCOUNT, "e3", 20);
  quarantine.recordCrash(["beside"], ACCOUNT, "e4", 25);
  assert.equal(quarantine.isSuspected(["beside"]), true);
  assert.equal(quarantine.findQuarantined(["beside"], 30), undefined);
});

test("several parts that crash engines are told apart", () => {
  const quarantine = buildQuarantine();
  quarantine.recordSuccess(["system"], 0);
  for (const [i, part] of ["a", "b", "a", "b"].entries()) {
    quarantine.recordCrash(["system", part], ACCOUNT, `e${i}`, i);
  }
  assert.deepEqual(
    quarantine.listQuarantined(10).map(({ part }) => part).sort(),
    ["a", "b"],
  );
});

test("VMs that exchange their evidence agree, in whatever order it comes", () => {
  const vms = [buildQuarantine(), buildQuarantine(), buildQuarantine()];
  vms[0].recordCrash(["bad", "rare"], ACCOUNT, "e1", 0);
  vms[1].recordCrash(["bad"], ACCOUNT, "e2", 5);
  vms[2].recordSuccess(["rare"], 5);
  for (const from of vms) {
    for (const to of [...vms].reverse()) {
      if (from === to) continue;
      const { reports } = from.evidence.listReports(undefined, 10);
      to.evidence.mergePeerReports(reports, 10);
    }
  }
  for (const from of vms) {
    for (const to of vms) {
      if (from === to) continue;
      const { reports } = from.evidence.listReports(undefined, 20);
      to.evidence.mergePeerReports(reports, 20);
    }
  }
  for (const vm of vms) {
    assert.deepEqual(
      vm.listQuarantined(30).map(({ part }) => part),
      ["bad"],
    );
    assert.equal(vm.isSuspected(["rare"]), false);
  }
});
