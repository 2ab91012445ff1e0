import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "heatherarch-core";
import { TargetLoads } from "heatherarch-load";
import {
  type CallCodec,
  MemoryEventLog,
  type ResponseMetadata,
  ResponseNotices,
  type SentRequest,
  TargetBackoffs,
  TargetDirectory,
} from "../../mod.ts";
import { buildRateLimits, buildTarget } from "./fixtures.ts";

const HEAD = { status: 503, headers: {}, rawHeaders: [] };
const LOAD = { running: 1, waiting: 0, slots: 6, slowdown: 2 };
/** What is wrong with a head, the call of the request, and the call that the head names. */
const OTHERS: readonly (readonly [string, string?, string?])[] = [
  ["names another call", "c", "earlier"],
  ["names no call", "c", undefined],
  ["names a call after a request of none", undefined, "earlier"],
];

/** Receives heads for a target and shows what is known of it. */
function createReceiver() {
  const clock = new ManualClock();
  const target = buildTarget("t");
  const directory = new TargetDirectory();
  directory.applyList([{ key: "t", value: target }], 0);
  const backoffs = new TargetBackoffs();
  const { rateLimits } = buildRateLimits();
  const targetLoads = new TargetLoads();
  let metadata: Partial<ResponseMetadata> = {};
  const notices = new ResponseNotices({
    codec: { decodeResponse: () => metadata } as unknown as CallCodec,
    directory,
    backoffs,
    rateLimits,
    targetLoads,
    clock,
    log: new MemoryEventLog(),
  });
  const receive = (
    request: SentRequest,
    given: Partial<ResponseMetadata>,
  ): void => {
    metadata = given;
    notices.apply(target, HEAD, request);
  };
  return { clock, directory, backoffs, rateLimits, targetLoads, receive };
}

for (const [what, asked, named] of OTHERS) {
  // Guards against the late copy of an earlier response, which lacks a limit or a load that came since.
  test(`a head that ${what} neither begins nor ends a rate limit, and reports no load`, () => {
    const { clock, rateLimits, targetLoads, receive } = createReceiver();
    receive({ sentAtMs: 0, callId: asked }, { callId: named, load: LOAD });
    assert.equal(targetLoads.reportsSlowdown("t"), false);
    const limit = { maxRequestsPerSecond: 5 };
    receive({ sentAtMs: 0, callId: asked }, { callId: named, ...limit });
    assert.equal(rateLimits.getMaxPerSecond("t"), undefined);
    receive({ sentAtMs: 0, callId: "b" }, { callId: "b", ...limit });
    assert.equal(rateLimits.getMaxPerSecond("t"), 5);
    clock.advance(100);
    receive({ sentAtMs: 100, callId: asked }, { callId: named });
    assert.equal(rateLimits.getMaxPerSecond("t"), 5);
  });

  // Guards against requests to a target that has said that it leaves or rests.
  test(`a head that ${what} still tells that its target leaves or rests`, () => {
    const { directory, backoffs, receive } = createReceiver();
    receive({ sentAtMs: 0, callId: asked }, {
      callId: named,
      isLeaving: true,
      backoffMs: 1000,
    });
    assert.equal(directory.isLeaving("t"), true);
    assert.equal(backoffs.isInBackoff("t", 0), true);
  });
}

test("the head of the response to a request changes the rate limit and the load", () => {
  for (const callId of ["c", undefined]) {
    const { clock, rateLimits, targetLoads, receive } = createReceiver();
    const notices = { load: LOAD, maxRequestsPerSecond: 5 };
    receive({ sentAtMs: 0, callId }, { callId, ...notices });
    assert.equal(targetLoads.reportsSlowdown("t"), true);
    assert.equal(rateLimits.getMaxPerSecond("t"), 5);
    clock.advance(100);
    receive({ sentAtMs: 100, callId }, { callId });
    assert.equal(rateLimits.getMaxPerSecond("t"), undefined);
  }
});
