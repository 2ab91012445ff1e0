import assert from "node:assert/strict";
import { test } from "node:test";
import { parseViolations } from "../../chaos/violation_list.ts";

test("a violated invariant is listed with its VM, time, detail and the preceding log lines", () => {
  const lines = [
    "(node:7) a warning of the runtime",
    '{"message":"lease claimed","timestamp":"2026-01-01T00:00:01.000Z"}',
    '{"message":"invariant violated","invariant":"whole-answer","detail":"req-1","timestamp":"2026-01-01T00:00:02.500Z"}',
    '{"message":"stopped","timestamp":"2026-01-01T00:00:03.000Z"}',
    '{"message":"invariant violated","invar',
  ];
  const startedAt = Date.parse("2026-01-01T00:00:00.000Z");
  assert.deepEqual(parseViolations("vm-1", lines.join("\n"), startedAt), [{
    vm: "vm-1",
    invariant: "whole-answer",
    detail: "req-1",
    atMs: 2500,
    lines: lines.slice(0, 3),
  }]);
});
