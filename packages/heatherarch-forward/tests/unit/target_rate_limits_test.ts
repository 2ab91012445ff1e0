import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "heatherarch-core";
import { TargetLoads } from "heatherarch-load";
import type { Heartbeat, Link } from "heatherarch-mesh";
import {
  type CallCodec,
  ExpiringTokenBucket,
  FleetDemand,
  FleetGossip,
  MemoryEventLog,
  ResponseNotices,
  TargetBackoffs,
  TargetDirectory,
  TargetRateLimits,
} from "../../mod.ts";
import { PartQuarantine, RequestQuarantine } from "heatherarch-quarantine";
import { buildRateLimits, buildTarget } from "./fixtures.ts";

test("a rate limit begins, changes and ends as responses say", () => {
  const { rateLimits } = buildRateLimits();
  const record = (maxPerSecond: number | undefined, sentAtMs: number) =>
    rateLimits.recordObservation("t", {
      maxPerSecond,
      sentAtMs,
      atMs: sentAtMs + 10,
    });
  assert.equal(record(undefined, 0), undefined);
  assert.equal(record(5, 100), "begun");
  assert.equal(record(5.2, 200), undefined);
  assert.equal(record(3, 300), "changed");
  assert.equal(rateLimits.getMaxPerSecond("t"), 3);
  assert.equal(record(undefined, 400), "ended");
  assert.equal(rateLimits.getMaxPerSecond("t"), undefined);
});

test("a response to a request from before the limit was named does not end it", () => {
  const { rateLimits } = buildRateLimits();
  rateLimits.recordObservation("t", {
    maxPerSecond: 5,
    sentAtMs: 0,
    atMs: 100,
  });
  const early = { maxPerSecond: undefined, sentAtMs: 90, atMs: 2000 };
  assert.equal(rateLimits.recordObservation("t", early), undefined);
  assert.equal(rateLimits.getMaxPerSecond("t"), 5);
});

test("a VM alone sends what the limit allows, and requests without a token are owed", () => {
  const { rateLimits } = buildRateLimits();
  rateLimits.recordObservation("t", { maxPerSecond: 10, sentAtMs: 0, atMs: 0 });
  let sent = 0;
  for (let nowMs = 1000; nowMs < 11_000; nowMs += 10) {
    if (rateLimits.getDelayMs("t", nowMs) > 0) continue;
    rateLimits.recordRequest("t", nowMs);
    sent++;
  }
  assert.ok(sent > 85 && sent <= 110, `${sent}`);
  const delayMs = rateLimits.getDelayMs("t", 11_000);
  rateLimits.recordRequest("t", 11_000);
  assert.ok(rateLimits.getDelayMs("t", 11_000) > delayMs + 90);
});

// Guards against a limit that is exceeded by what was sent right before it was named.
test("a VM owes what it sent in the second before a limit", () => {
  const { rateLimits } = buildRateLimits();
  for (let nowMs = 0; nowMs <= 1000; nowMs += 100) {
    rateLimits.recordRequest("busy", nowMs);
  }
  rateLimits.recordRequest("idle", 1000);
  for (const target of ["busy", "idle"]) {
    const observation = { maxPerSecond: 5, sentAtMs: 1000, atMs: 1000 };
    rateLimits.recordObservation(target, observation);
  }
  const busyMs = rateLimits.getDelayMs("busy", 1000);
  const idleMs = rateLimits.getDelayMs("idle", 1000);
  assert.ok(busyMs > idleMs + 1000, `${busyMs} ${idleMs}`);
  assert.ok(busyMs <= 2250, `${busyMs}`);
});

test("a limit of 0 leaves room for the rare request that shows its end", () => {
  const { rateLimits } = buildRateLimits();
  rateLimits.recordObservation("t", { maxPerSecond: 0, sentAtMs: 0, atMs: 0 });
  assert.ok(rateLimits.getDelayMs("t", 0) > 1000);
  assert.equal(rateLimits.getDelayMs("t", 5000), 0);
});

test("a target without a limit takes whatever waits for limited ones", () => {
  const { rateLimits } = buildRateLimits();
  rateLimits.recordObservation("t", { maxPerSecond: 1, sentAtMs: 0, atMs: 0 });
  assert.equal(rateLimits.predictDelayMs(["t", "u"], 9, 0), 0);
  assert.ok(rateLimits.predictDelayMs(["t"], 9, 0) > 8000);
});

// Guards against bursts of VMs that were idle: each one's first token would come at once.
test("tokens of an idle bucket expire", () => {
  const bucket = new ExpiringTokenBucket({ initialTokens: 0.5, nowMs: 0 });
  const tokensPerMs = 0.1 / 1000;
  bucket.refill(tokensPerMs, 5500);
  assert.ok(bucket.tokens >= 1);
  bucket.refill(tokensPerMs, 7000);
  assert.ok(bucket.tokens < 1 && bucket.tokens > 0);
});

// Guards against VMs that each take a whole limit while they can't hear of each other.
test("a VM that hears of no peer takes only its part of the listed VMs", () => {
  const demand = new FleetDemand();
  demand.setVmCount(9);
  demand.recordCall(0);
  demand.setPeerRate("peer", { callsPerMinute: 30, vms: 1 }, 0);
  const before = demand.computeShare(0);
  assert.ok(before < 2 / 9, `${before}`);
  assert.ok(demand.computeShare(5000) <= 1 / 9);
});

/** Builds the gossip of one VM that knows the target `t`. */
function buildGossip(clock: ManualClock): {
  gossip: FleetGossip;
  rateLimits: TargetRateLimits;
} {
  const directory = new TargetDirectory();
  directory.applyList([{ key: "t", value: buildTarget("t") }], 0);
  const { rateLimits } = buildRateLimits();
  const gossip = new FleetGossip({
    quarantine: new RequestQuarantine(),
    partQuarantine: new PartQuarantine(),
    directory,
    rateLimits,
    targetLoads: new TargetLoads(),
    clock,
    log: new MemoryEventLog(),
  });
  return { gossip, rateLimits };
}

test("peers pass on that a limit has begun and ended, each once", () => {
  const clock = new ManualClock();
  const vms = [0, 1, 2].map(() => buildGossip(clock));
  const links = [{} as Link, {} as Link];
  const passOn = (): number => {
    let messages = 0;
    for (const i of [0, 1]) {
      const fields = vms[i].gossip.buildFields(links[i]);
      messages += fields.rateLimits?.length ?? 0;
      vms[i + 1].gossip.handle(fields as Heartbeat, 0);
    }
    return messages;
  };
  const observe = (maxPerSecond: number | undefined): void => {
    const nowMs = clock.readMonotonicMs();
    vms[0].rateLimits.recordObservation("t", {
      maxPerSecond,
      sentAtMs: nowMs,
      atMs: nowMs,
    });
  };
  clock.advance(100);
  observe(4.7);
  assert.equal(passOn(), 2);
  assert.equal(vms[2].rateLimits.getMaxPerSecond("t"), 4.7);
  assert.equal(passOn(), 0);
  clock.advance(100);
  observe(undefined);
  assert.equal(passOn(), 2);
  assert.equal(vms[2].rateLimits.getMaxPerSecond("t"), undefined);
});

// Guards against limits that are kept, and told to peers, long after their targets are gone.
test("a late response of a target that is gone leaves no rate limit", () => {
  const directory = new TargetDirectory();
  const target = buildTarget("t");
  directory.applyList([{ key: "t", value: target }], 0);
  const { rateLimits } = buildRateLimits();
  const notices = new ResponseNotices({
    codec: {
      decodeResponse: () => ({ maxRequestsPerSecond: 5 }),
    } as unknown as CallCodec,
    directory,
    backoffs: new TargetBackoffs(),
    rateLimits,
    targetLoads: new TargetLoads(),
    clock: new ManualClock(),
    log: new MemoryEventLog(),
  });
  const head = { status: 200, headers: {}, rawHeaders: [] };
  notices.apply(target, head, { sentAtMs: 0 });
  assert.equal(rateLimits.hasLimits, true);
  directory.applyChanges([{ key: "t" }], 100);
  rateLimits.forget("t");
  notices.apply(target, head, { sentAtMs: 0 });
  assert.equal(rateLimits.hasLimits, false);
});

test("no more than a few requests are owed by a bucket", () => {
  const bucket = new ExpiringTokenBucket({ initialTokens: 0, nowMs: 0 });
  for (let i = 0; i < 10; i++) bucket.take();
  assert.equal(bucket.tokens, -2);
});

test("calls that wait are counted until their waits end, each once", () => {
  const { rateLimits } = buildRateLimits();
  const ends = [rateLimits.beginWait("s"), rateLimits.beginWait("s")];
  assert.equal(rateLimits.countWaiting("s"), 2);
  for (const end of [...ends, ...ends]) end();
  assert.equal(rateLimits.countWaiting("s"), 0);
});
