import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type CallContext,
  PrefillCandidateCache,
  type Target,
  TargetDirectory,
  WorkTracker,
} from "../../mod.ts";
import { TargetLoads } from "heatherarch-load";
import { buildEngine } from "./fixtures.ts";

/** A cache for one service with three prefill engines and one decode engine. */
function createCache() {
  const directory = new TargetDirectory();
  const applyList = (engines: readonly Target[]) =>
    directory.applyList(
      engines.map((value) => ({ key: value.id, value })),
      0,
    );
  applyList([
    ...["a", "b", "c"].map((id) => buildEngine(id)),
    buildEngine("d", { role: "decode" }),
  ]);
  const workTracker = new WorkTracker();
  const checked: string[] = [];
  const delaysMs = new Map<string, number>();
  const context = {
    nowMs: 0,
    service: { name: "s", maxConnections: 10 },
    dependencies: {
      directory,
      workTracker,
      targetLoads: new TargetLoads(),
      health: { isAvoided: () => false, findFailing: () => new Set() },
      backoffs: { isInBackoff: () => false },
      rateLimits: { getDelayMs: (id: string) => delaysMs.get(id) ?? 0 },
      connections: {
        hasCapacity: ({ id }: Target) => {
          checked.push(id);
          return true;
        },
      },
    },
  };
  const cache = new PrefillCandidateCache();
  const listBacklogs = (tried: string[] = []) =>
    cache.listCandidates(context as unknown as CallContext, new Set(tried))
      .map(({ target, backlogMs }) => `${target.id} ${backlogMs}`);
  return {
    cache,
    workTracker,
    applyList,
    context,
    checked,
    delaysMs,
    listBacklogs,
  };
}

test("prompts that are placed together share one snapshot", () => {
  const { listBacklogs, checked } = createCache();
  assert.deepEqual(listBacklogs(), ["a 0", "b 0", "c 0"]);
  const before = checked.length;
  assert.deepEqual(listBacklogs(), ["a 0", "b 0", "c 0"]);
  assert.equal(checked.length, before);
});

test("the time until a rate limit has room counts like a backlog", () => {
  const { listBacklogs, delaysMs } = createCache();
  delaysMs.set("b", 700);
  assert.deepEqual(listBacklogs(), ["a 0", "b 700", "c 0"]);
});

test("own work, work of peers and a new target list take effect at once", () => {
  const { listBacklogs, workTracker, applyList, context, cache } =
    createCache();
  listBacklogs();
  workTracker.beginPrefill("b", { costMs: 40, lane: 0 }, 0);
  assert.deepEqual(listBacklogs(), ["a 0", "b 40", "c 0"]);
  workTracker.setPeerWork("vm-2", [["c", 0, 0, 30, 0, 0, 0]], 0);
  assert.deepEqual(listBacklogs(), ["a 0", "b 40", "c 30"]);
  applyList([buildEngine("b"), buildEngine("c")]);
  assert.deepEqual(listBacklogs(), ["b 40", "c 30"]);
  context.nowMs = 10;
  assert.deepEqual(listBacklogs(), ["b 30", "c 20"]);
  assert.deepEqual(
    cache.listPrefillEngines(context as unknown as CallContext).map(({ id }) =>
      id
    ),
    ["b", "c"],
  );
});

test("an engine that a call has tried is excluded for that call only", () => {
  const { listBacklogs } = createCache();
  assert.deepEqual(listBacklogs(["a"]), ["b 0", "c 0"]);
  assert.deepEqual(listBacklogs(), ["a 0", "b 0", "c 0"]);
});
