import assert from "node:assert/strict";
import { TargetLoads } from "heatherarch-load";
import { ManualClock } from "heatherarch-core";
import { test } from "node:test";
import {
  MemoryEventLog,
  ResponseNotices,
  TargetBackoffs,
  TargetDirectory,
} from "../../mod.ts";
import type { CallCodec, ResponseMetadata } from "../../mod.ts";
import { buildRateLimits, buildTarget } from "./fixtures.ts";

test("a target is in backoff for the requested time, counted from its latest response", () => {
  const backoffs = new TargetBackoffs();
  assert.equal(backoffs.recordBackoff("t", 3000, 100), true);
  assert.equal(backoffs.isInBackoff("t", 3099), true);
  assert.equal(backoffs.recordBackoff("t", 3000, 1000), false);
  assert.equal(backoffs.isInBackoff("t", 3999), true);
  assert.equal(backoffs.isInBackoff("t", 4000), false);
  assert.equal(backoffs.isInBackoff("other", 100), false);
});

test("a later request for a shorter backoff does not end a longer one", () => {
  const backoffs = new TargetBackoffs();
  backoffs.recordBackoff("t", 3000, 0);
  backoffs.recordBackoff("t", 100, 500);
  assert.equal(backoffs.isInBackoff("t", 2999), true);
});

test("no response excludes a target for days", () => {
  const backoffs = new TargetBackoffs();
  backoffs.recordBackoff("t", 1e9, 0);
  assert.equal(backoffs.isInBackoff("t", 301_000), false);
});

test("a response of another instance at the address does not affect the target", () => {
  const target = buildTarget("t@1", { instance: "t", startedAtMs: 1 });
  const directory = new TargetDirectory();
  directory.applyList([{ key: "t", value: target }], 0);
  const backoffs = new TargetBackoffs();
  let metadata: Partial<ResponseMetadata> = {
    isLeaving: true,
    backoffMs: 1000,
  };
  const notices = new ResponseNotices({
    codec: { decodeResponse: () => metadata } as unknown as CallCodec,
    directory,
    backoffs,
    ...buildRateLimits(),
    targetLoads: new TargetLoads(),
    clock: new ManualClock(),
    log: new MemoryEventLog(),
  });
  const head = { status: 503, headers: {}, rawHeaders: [] };
  metadata = { ...metadata, answeredBy: "u" };
  notices.apply(target, head, { sentAtMs: 0 });
  assert.equal(directory.isLeaving("t@1"), false);
  assert.equal(backoffs.isInBackoff("t@1", 0), false);
  metadata = { ...metadata, answeredBy: "t" };
  notices.apply(target, head, { sentAtMs: 0 });
  assert.equal(directory.isLeaving("t@1"), true);
  assert.equal(backoffs.isInBackoff("t@1", 0), true);
});
