import assert from "node:assert/strict";
import { test } from "node:test";
import {
  appendOnce,
  applyConfigRecord,
  classifySlice,
  CONFIG_FORMAT,
  EMPTY_CONFIG_STATE,
  loadConfigSnapshot,
  type LogPort,
  type LogRecord,
  LogUnavailableError,
} from "../../mod.ts";

/** Creates a log whose first appends take effect but lose their response. */
function createLossyLog(lossCount: number): LogPort & { records: LogRecord[] } {
  const records: LogRecord[] = [];
  let left = lossCount;
  return {
    records,
    append: (_stream, data) => {
      records.push({ offset: records.length, appendedAtMs: 0, data });
      if (left-- > 0) return Promise.reject(new LogUnavailableError("lost"));
      return Promise.resolve(records.length - 1);
    },
    read: (_stream, from) =>
      Promise.resolve({
        records: records.slice(from),
        first: 0,
        next: records.length,
      }),
  };
}

function buildChange(
  offset: number,
  id: string,
  baseRevision: number,
): LogRecord {
  const change = { kind: "putProfile", profile: { name: "p" } };
  const head = { type: "change", format: CONFIG_FORMAT, author: "a", atMs: 0 };
  return {
    offset,
    appendedAtMs: 0,
    data: { ...head, id, baseRevision, change },
  };
}

test("an append whose response was lost is found and not repeated", async () => {
  const log = createLossyLog(1);
  const offset = await appendOnce(log, "s", { id: "x" }, {
    searchFrom: 0,
    timeoutMs: 1000,
    retryMs: 1,
    readMonotonicMs: () => performance.now(),
  });
  assert.equal(offset, 0);
  assert.equal(log.records.length, 1);
});

test("a slice that starts after the wanted offset is a gap", () => {
  const slice = { records: [buildChange(5, "a", -1)], first: 5, next: 6 };
  assert.deepEqual(classifySlice(3, slice), { kind: "gap", first: 5 });
  assert.equal(classifySlice(5, slice).kind, "apply");
});

test("invalid records and unknown formats advance the offset and change nothing else", () => {
  let state = EMPTY_CONFIG_STATE;
  for (
    const data of [null, 7, { type: "change", format: 99 }, { type: "what" }]
  ) {
    state = applyConfigRecord(state, {
      offset: state.offset + 1,
      appendedAtMs: 0,
      data,
    });
  }
  assert.equal(state.offset, 3);
  assert.deepEqual(state.audit, []);
});

test("the rejection of a stale change names the author and the change that came first", () => {
  let state = applyConfigRecord(
    EMPTY_CONFIG_STATE,
    buildChange(0, "first", -1),
  );
  state = applyConfigRecord(state, buildChange(1, "second", -1));
  assert.deepEqual(state.audit.map((entry) => entry.verdict), [
    "accepted",
    "rejected",
  ]);
  assert.match(state.audit[1].reason ?? "", /by a \(put profile p\)/);
});

test("there is no state if no snapshot covers the trimmed records", () => {
  assert.equal(loadConfigSnapshot([buildChange(7, "x", -1)]), undefined);
});
