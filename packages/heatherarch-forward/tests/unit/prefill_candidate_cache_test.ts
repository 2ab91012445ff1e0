import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type CallContext,
  PrefillCandidateCache,
  type Target,
  TargetDirectory,
  WorkTracker,
} from "../../mod.ts";
import { buildEngine } from "./fixtures.ts";

/** Calls of one service before three engines that read and one that generates. */
function createBoard() {
  const directory = new TargetDirectory();
  const list = (engines: readonly Target[]) =>
    directory.applyList(
      engines.map((value) => ({ key: value.id, value })),
      0,
    );
  list([
    ...["a", "b", "c"].map((id) => buildEngine(id)),
    buildEngine("d", { role: "decode" }),
  ]);
  const ledger = new WorkTracker();
  const rooms: string[] = [];
  const run = {
    nowMs: 0,
    service: { name: "s", maxConnections: 10 },
    dependencies: {
      directory,
      workTracker: ledger,
      health: { isAvoided: () => false },
      backoffs: { isInBackoff: () => false },
      connections: {
        hasCapacity: ({ id }: Target) => {
          rooms.push(id);
          return true;
        },
      },
    },
  };
  const board = new PrefillCandidateCache();
  const look = (tried: string[] = []) =>
    board.listCandidates(run as unknown as CallContext, new Set(tried))
      .map(({ target, backlogMs }) => `${target.id} ${backlogMs}`);
  return { board, ledger, list, run, rooms, look };
}

test("prompts that are placed together share one board", () => {
  const { look, rooms } = createBoard();
  assert.deepEqual(look(), ["a 0", "b 0", "c 0"]);
  const before = rooms.length;
  assert.deepEqual(look(), ["a 0", "b 0", "c 0"]);
  assert.equal(rooms.length, before);
});

test("what is given to an engine, told by peers or listed anew shows at once", () => {
  const { look, ledger, list, run, board } = createBoard();
  look();
  ledger.beginPrefill("b", { costMs: 40, lane: 0 }, 0);
  assert.deepEqual(look(), ["a 0", "b 40", "c 0"]);
  ledger.setPeerWork("vm-2", [["c", 0, 0, 30, 0, 0, 0]], 0);
  assert.deepEqual(look(), ["a 0", "b 40", "c 30"]);
  list([buildEngine("b"), buildEngine("c")]);
  assert.deepEqual(look(), ["b 40", "c 30"]);
  run.nowMs = 10;
  assert.deepEqual(look(), ["b 30", "c 20"]);
  assert.deepEqual(
    board.listPrefillEngines(run as unknown as CallContext).map(({ id }) => id),
    ["b", "c"],
  );
});

test("an engine that a call has tried is left out for that call alone", () => {
  const { look } = createBoard();
  assert.deepEqual(look(["a"]), ["b 0", "c 0"]);
  assert.deepEqual(look(), ["a 0", "b 0", "c 0"]);
});
