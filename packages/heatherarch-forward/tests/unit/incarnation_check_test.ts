import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import {
  type CallContext,
  confirmIncarnation,
  type EngineReport,
  ExchangeError,
  type IncarnationAnswer,
  IncarnationCheck,
  TargetConnections,
  type TargetExchange,
} from "../../mod.ts";
import { buildTarget } from "./fixtures.ts";
import { PausedTime } from "./paused_time.ts";

const REQUEST = { path: "/", method: "GET", headers: [], body: null };
const TARGET = buildTarget("t@1", { instance: "t", startedAtMs: 1 });

/** Builds a check of targets that report this start, or nothing at all, after a delay. */
function buildCheck(startedAtMs: number | undefined, reportMs = 0) {
  const state = {
    startedAtMs,
    opened: 1 as number | undefined,
    reports: 0,
    inFlight: 0,
    maxInFlight: 0,
    isMisdirected: false,
  };
  const check = new IncarnationCheck({
    connections: {
      findLatestOpened: () => state.opened,
      send: () => {
        state.reports++;
        state.inFlight++;
        state.maxInFlight = Math.max(state.maxInFlight, state.inFlight);
        let abort = (): void => undefined;
        const body = new Promise<Buffer>((resolve, reject) => {
          abort = () => reject(new ExchangeError("aborted", "aborted"));
          if (state.startedAtMs === undefined) return;
          setTimeout(() => resolve(Buffer.alloc(0)), reportMs);
        });
        body.catch(() => undefined).finally(() => state.inFlight--);
        return {
          head: body.then(() => ({ status: 200, headers: {} })),
          readBody: () => body,
          discardBody: () => undefined,
          abort: () => abort(),
        } as unknown as TargetExchange;
      },
    },
    codec: {
      encodeReportRequest: () => REQUEST,
      decodeResponse: () => ({
        misdirected: state.isMisdirected,
        notRun: false,
        signed: false,
        isLeaving: false,
      }),
      decodeReport: () => ({
        role: "decode",
        isChangingRole: false,
        ordersTaken: 0,
        startedAtMs: state.startedAtMs,
      }),
    },
  });
  return { check, state };
}

test("a target whose incarnations have ids of their own is not asked", async () => {
  const { check, state } = buildCheck(1);
  assert.equal(await check.check(buildTarget("t")), "same");
  assert.equal(state.reports, 0);
});

test("a target is asked once for each new connection", async () => {
  const { check, state } = buildCheck(1);
  for (let i = 0; i < 3; i++) assert.equal(await check.check(TARGET), "same");
  assert.equal(state.reports, 1);
  state.opened = 2;
  assert.equal(await check.check(TARGET), "same");
  assert.equal(state.reports, 2);
});

test("another incarnation is not confirmed, and is asked again", async () => {
  const { check, state } = buildCheck(2);
  assert.equal(await check.check(TARGET), "other");
  assert.equal(await check.check(TARGET), "other");
  assert.equal(state.reports, 2);
  state.isMisdirected = true;
  assert.equal(await check.check(TARGET), "other");
});

// Guards against a stream that is given up although no other engine could begin it in time.
test("a stream that can't go elsewhere waits for its silent engine", async () => {
  const { check, state } = buildCheck(undefined);
  const { confirmed } = buildStream(check, {
    remainingMs: 400,
    canGoElsewhere: false,
  });
  setTimeout(() => state.startedAtMs = 1, 600);
  assert.equal(await confirmed, true);
});

// Guards against a stream that waits until its deadline for the report of a silent engine.
test("a target that sends no report is not confirmed, and is not waited for", async (t) => {
  const time = new PausedTime(t);
  const { check } = buildCheck(undefined);
  let answer: IncarnationAnswer | undefined;
  void check.check(TARGET).then((value) => answer = value);
  await time.advance(400);
  assert.equal(answer, "unknown");
});

// Guards against streams that are given up as a report for each of many heads takes too long.
test("one report confirms all heads before it", async () => {
  const { check, state } = buildCheck(1, 30);
  const heads = Array.from({ length: 24 }, (_, i) => {
    state.opened = 1 + i;
    return check.check(TARGET);
  });
  assert.deepEqual(new Set(await Promise.all(heads)), new Set(["same"]));
  assert.equal(state.maxInFlight, 1);
  assert.equal(state.reports, 2);
});

// Guards against a connection to another incarnation that opens while a report is on its way.
test("a report doesn't confirm heads of connections that open after it was sent", async () => {
  const { check, state } = buildCheck(1, 30);
  const first = check.check(TARGET);
  state.opened = 2;
  assert.equal(await first, "same");
  state.startedAtMs = 2;
  assert.equal(await check.check(TARGET), "other");
});

// Guards against a check that holds for the time after a renewal, in which the target has started again.
test("a target without open connections is asked each time", async () => {
  const { check, state } = buildCheck(1);
  state.opened = undefined;
  assert.equal(await check.check(TARGET), "same");
  state.startedAtMs = 2;
  assert.equal(await check.check(TARGET), "other");
});

test("a target that has started again after its connections were renewed is not confirmed", async () => {
  let startedAtMs = 1;
  const server = createServer((_request, response) =>
    response.end(String(startedAtMs))
  );
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  const target = { ...TARGET, address: `127.0.0.1:${port}` };
  const connections = new TargetConnections();
  const check = new IncarnationCheck({
    connections,
    codec: {
      encodeReportRequest: () => REQUEST,
      decodeReport: (body) => ({ startedAtMs: Number(body) }) as EngineReport,
      decodeResponse: () => ({
        misdirected: false,
        notRun: false,
        signed: false,
        isLeaving: false,
      }),
    },
  });
  try {
    await connections.send(target, REQUEST).ended;
    assert.equal(await check.check(target), "same");
    connections.renew([target.id]);
    startedAtMs = 2;
    await connections.send(target, REQUEST).ended;
    assert.equal(await check.check(target), "other");
  } finally {
    await connections.close();
    server.close();
  }
});

/** Builds a call with a stream whose head has arrived. */
function buildStream(
  check: IncarnationCheck,
  { mayRunAgain = true, remainingMs = 5000, canGoElsewhere = true } = {},
) {
  let end!: () => void;
  let fail!: (error: ExchangeError) => void;
  const context = {
    dependencies: { incarnationCheck: check },
    mayRunAgain,
    remainingMs,
    ended: new Promise<void>((resolve) => {
      end = resolve;
    }),
  } as unknown as CallContext;
  const exchange = {
    ended: new Promise<ExchangeError>((resolve) => {
      fail = resolve;
    }),
  } as unknown as TargetExchange;
  const confirmed = confirmIncarnation(context, TARGET, exchange, {
    canGoElsewhere: () => canGoElsewhere,
  });
  return { confirmed, end, fail };
}

// Guards against a stream that is given up as its engine was silent for a moment.
test("a head is confirmed once its silent engine reports again", async () => {
  const { check, state } = buildCheck(undefined);
  const { confirmed } = buildStream(check);
  setTimeout(() => state.startedAtMs = 1, 400);
  assert.equal(await confirmed, true);
  assert.ok(state.reports > 1);
});

// Guards against a stream that waits until its deadline for the report of a silent engine.
test("a stream goes on elsewhere in time, or once it or its call has ended", async (t) => {
  const time = new PausedTime(t);
  const { check } = buildCheck(undefined);
  let isConfirmed: boolean | undefined;
  void buildStream(check, { remainingMs: 800 }).confirmed
    .then((value) => isConfirmed = value);
  // It waits for half of the remaining time, which is checked every 30 ms.
  await time.advance(399);
  assert.equal(isConfirmed, undefined);
  await time.advance(31);
  assert.equal(isConfirmed, false);
  const ended = buildStream(check, { mayRunAgain: false });
  ended.end();
  assert.equal(await ended.confirmed, false);
  const failed = buildStream(check, { mayRunAgain: false });
  failed.fail(new ExchangeError("lost", "lost"));
  assert.equal(await failed.confirmed, false);
});

// Guards against calls that wait for a check of their target for ever, as one that failed was never ended.
test("a check whose request can't be encoded tells nothing, and the next one is made", async () => {
  let isBroken = true;
  const check = new IncarnationCheck({
    connections: {
      findLatestOpened: () => 1,
      send: () => {
        throw new TypeError("no report");
      },
    },
    codec: {
      encodeReportRequest: () => {
        if (isBroken) throw new RangeError("broken codec");
        return REQUEST;
      },
      decodeResponse: () => assert.fail(),
      decodeReport: () => assert.fail(),
    },
  });
  const waiting = [check.check(TARGET), check.check(TARGET)];
  assert.deepEqual(await Promise.all(waiting), ["unknown", "unknown"]);
  isBroken = false;
  assert.equal(await check.check(TARGET), "unknown");
});
