import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { RuntimeClock, sleep } from "heatherarch-core";
import {
  EndConfirmation,
  type EngineReport,
  ExchangeError,
  type Target,
  TargetConnections,
  type TargetExchange,
} from "../../mod.ts";
import { buildTarget } from "./fixtures.ts";
import { PausedTime } from "./paused_time.ts";

/** How a target responds to a probe: with a report of a start, as a plain target, or not at all. */
type ProbeReply = "plain" | "misdirected" | "lost" | ExchangeError | number;

const REQUEST = { path: "/", method: "GET", headers: [], body: null };
const RESTARTABLE = buildTarget("t@1", { instance: "t", startedAtMs: 1 });
const PLAIN = buildTarget("p");
const NEVER = new Promise<void>(() => undefined);
const REFUSED = new ExchangeError("notSent", "refused", {
  code: "ECONNREFUSED",
});

interface ConfirmationOptions {
  /** Replies to the probes in turn; the last one also to those that follow. */
  readonly replies: readonly ProbeReply[];
  readonly replyDelayMs?: number;
  readonly isLimited?: boolean;
  /** Number of checks after which the rate limit has room for a report; by default it never has. */
  readonly checksUntilRoom?: number;
  readonly connectResult?: "accepted" | "refused";
  readonly onUnconfirmed?: () => void;
  readonly onError?: (thrown: unknown) => void;
  /** Whether the connections of probes are open at once. */
  readonly isSent?: boolean;
  /** Whether a connection from before the end is still open. */
  readonly isOpenSince?: boolean;
}

function buildConfirmation(options: ConfirmationOptions) {
  const { replies, replyDelayMs = 5, isSent = true } = options;
  const state = { probes: 0, inFlight: 0, maxInFlight: 0, roomChecks: 0 };
  const send = (): TargetExchange => {
    const reply = replies[Math.min(state.probes, replies.length - 1)];
    state.probes++;
    state.inFlight++;
    state.maxInFlight = Math.max(state.maxInFlight, state.inFlight);
    let abort!: (reason: string) => void;
    const head = new Promise((resolve, reject) => {
      abort = (reason) => reject(new ExchangeError("aborted", reason));
      setTimeout(() => {
        if (reply instanceof ExchangeError) reject(reply);
        else if (reply === "lost") reject(new ExchangeError("lost", "lost"));
        else resolve({ status: 200, headers: { reply } });
      }, replyDelayMs);
    });
    head.catch(() => undefined).finally(() => state.inFlight--);
    const body = Buffer.from(typeof reply === "number" ? String(reply) : "");
    return {
      head,
      isSent,
      abort,
      discardBody: () => undefined,
      readBody: () => Promise.resolve(body),
    } as unknown as TargetExchange;
  };
  const confirmation = new EndConfirmation({
    clock: new RuntimeClock(),
    connections: {
      send,
      checkOpenSince: () => Promise.resolve(options.isOpenSince ?? false),
    },
    codec: {
      encodeReportRequest: () => REQUEST,
      decodeReport: (body) =>
        body.length === 0
          ? undefined
          : { startedAtMs: Number(body) } as EngineReport,
      decodeResponse: (_status, headers) => ({
        misdirected: headers.reply === "misdirected",
        notRun: false,
        signed: false,
        isLeaving: false,
      }),
    },
    isLimited: () => options.isLimited ?? false,
    hasRoom: () => ++state.roomChecks > (options.checksUntilRoom ?? Infinity),
    connect: () => Promise.resolve(options.connectResult ?? "refused"),
    onUnconfirmed: options.onUnconfirmed,
    onError: options.onError,
  });
  const confirm = (target: Target, maxWaitMs?: number): Promise<boolean> =>
    confirmation.confirm(target, { abandoned: NEVER, maxWaitMs });
  return { confirmation, confirm, state };
}

test("a target that responds confirms the end", async () => {
  const { confirm } = buildConfirmation({ replies: [1] });
  assert.equal(await confirm(RESTARTABLE), true);
  const plain = buildConfirmation({ replies: ["plain"] });
  assert.equal(await plain.confirm(PLAIN), true);
});

// Guards against a probe for each of many responses without length, which would double the requests.
test("one probe confirms all ends before it, and none after it", async () => {
  const { confirm, state } = buildConfirmation({ replies: ["plain", REFUSED] });
  const first = confirm(PLAIN);
  const later = Array.from({ length: 50 }, () => confirm(PLAIN));
  assert.equal(await first, true);
  assert.deepEqual(new Set(await Promise.all(later)), new Set([false]));
  assert.equal(state.probes, 2);
  assert.equal(state.maxInFlight, 1);
});

// Guards against a probe for each of many responses without length, and against ends that wait for the
// end of a row of others.
test("many ends in a row cost few probes, and none waits for long", async (t) => {
  const time = new PausedTime(t);
  const { confirm, state } = buildConfirmation({ replies: ["plain"] });
  const waits: number[] = [];
  for (let i = 0; i < 100; i++) {
    const endedAtMs = time.nowMs;
    void confirm(PLAIN).then(() => waits.push(time.nowMs - endedAtMs));
    await time.advance(2);
  }
  await time.advance(40);
  assert.equal(waits.length, 100);
  // One each 20 ms.
  assert.ok(state.probes <= 11, `${state.probes} probes`);
  // An interval between probes, and a reply.
  assert.ok(Math.max(...waits) <= 40, `${Math.max(...waits)} ms`);
});

// Guards against a whole response that counts as cut as its target is silent for a second.
test("a target that is silent for a second confirms the end", async () => {
  const { confirm, state } = buildConfirmation({
    replies: ["plain"],
    replyDelayMs: 1000,
  });
  assert.equal(await confirm(PLAIN), true);
  assert.equal(state.probes, 1);
});

test("a target that stays silent doesn't, and is waited for no longer than allowed", async () => {
  const { confirm } = buildConfirmation({
    replies: ["plain"],
    replyDelayMs: 1500,
  });
  const startedAtMs = performance.now();
  assert.equal(await confirm(PLAIN, 150), false);
  assert.ok(performance.now() - startedAtMs < 900);
});

test("an end whose call has ended is not waited for", async () => {
  const { confirmation } = buildConfirmation({
    replies: ["plain"],
    replyDelayMs: 1500,
  });
  const abandoned = sleep(10);
  assert.equal(await confirmation.confirm(PLAIN, { abandoned }), false);
});

// Guards against a target that crashed, started again under its id or address, and confirms the end of
// the response that its crash cut off.
test("another incarnation doesn't confirm the end", async () => {
  const restarted = buildConfirmation({ replies: ["lost", 2] });
  assert.equal(await restarted.confirm(RESTARTABLE), false);
  const other = buildConfirmation({ replies: ["misdirected"] });
  assert.equal(await other.confirm(PLAIN), false);
});

test("a plain target whose connection is opened late doesn't confirm the end", async () => {
  const { confirm } = buildConfirmation({
    replies: ["plain"],
    replyDelayMs: 900,
    isSent: false,
  });
  assert.equal(await confirm(PLAIN), false);
});

test("a target that refuses connections doesn't confirm the end", async () => {
  const { confirm, state } = buildConfirmation({ replies: [REFUSED] });
  assert.equal(await confirm(RESTARTABLE), false);
  assert.equal(state.probes, 1);
});

// Guards against a whole response that counts as cut as the target closed the connection of the probe.
test("a probe that is lost is sent again", async () => {
  const { confirm, state } = buildConfirmation({ replies: ["lost", "plain"] });
  assert.equal(await confirm(PLAIN), true);
  assert.equal(state.probes, 2);
});

test("a target that gets no requests now is confirmed by its port", async () => {
  const withheld = new ExchangeError("withheld", "in backoff");
  for (const connectResult of ["accepted", "refused"] as const) {
    const isAccepted = connectResult === "accepted";
    const leaving = buildConfirmation({ replies: [withheld], connectResult });
    assert.equal(await leaving.confirm(PLAIN), isAccepted);
    const limited = buildConfirmation({
      replies: [REFUSED],
      isLimited: true,
      connectResult,
      isOpenSince: true,
    });
    assert.equal(await limited.confirm(PLAIN), isAccepted);
    assert.equal(limited.state.probes, 0);
  }
});

// Guards against a response that was cut and passes for whole: a VM that was late sees the end when the
// next process accepts connections at the address already.
test("a new connection alone doesn't confirm the end of a target with a rate limit", async () => {
  const options = { isLimited: true, connectResult: "accepted" } as const;
  const other = buildConfirmation({
    ...options,
    replies: ["misdirected"],
    checksUntilRoom: 0,
  });
  assert.equal(await other.confirm(PLAIN), false);
  const restarted = buildConfirmation({
    ...options,
    replies: [2],
    checksUntilRoom: 0,
  });
  assert.equal(await restarted.confirm(RESTARTABLE), false);
  const full = buildConfirmation({ ...options, replies: ["plain"] });
  assert.equal(await full.confirm(PLAIN, 150), false);
  assert.equal(full.state.probes, 0);
});

// Guards against whole responses that count as cut at each target with a rate limit to which no other
// connection is open.
test("a target with a rate limit confirms the end by a report once there is room", async () => {
  const { confirm, state } = buildConfirmation({
    replies: [1],
    isLimited: true,
    connectResult: "accepted",
    checksUntilRoom: 3,
  });
  assert.equal(await confirm(RESTARTABLE), true);
  assert.equal(state.probes, 1);
});

// Guards against a live target that counts as ended as its probe was connected late.
test("an older connection that is still open confirms the end at a late probe", async () => {
  const { confirm } = buildConfirmation({
    replies: ["plain"],
    replyDelayMs: 900,
    isSent: false,
    isOpenSince: true,
  });
  assert.equal(await confirm(PLAIN), true);
});

/** Builds confirmations at a server whose responses take this long, by connections of their own kind. */
async function buildAtServer(context: TestContext, responseMs: number) {
  const server = createServer((_request, response) =>
    void setTimeout(() => response.end("1"), responseMs)
  );
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const connections = new TargetConnections();
  context.after(async () => {
    await connections.close();
    server.close();
  });
  const confirmation = new EndConfirmation({
    clock: new RuntimeClock(),
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
    isLimited: () => false,
    hasRoom: () => true,
    connect: () => Promise.resolve("accepted"),
  });
  const { port } = server.address() as AddressInfo;
  return { confirmation, connections, address: `127.0.0.1:${port}` };
}

// Guards against a live target that counts as ended, as its probe waits behind orders and releases and is
// withheld then.
for (const startedAtMs of [1, undefined]) {
  const kind = startedAtMs === undefined ? "without" : "with";
  test(`a target ${kind} a start whose control requests are in progress confirms the end`, async (context) => {
    const { confirmation, connections, address } = await buildAtServer(
      context,
      300,
    );
    const target = buildTarget("t@1", { address, instance: "t", startedAtMs });
    for (const purpose of ["control", "release"] as const) {
      const exchange = connections.send(target, REQUEST, { purpose });
      exchange.discardBody({ maxBytes: 100, timeoutMs: 2000 });
    }
    await sleep(20);
    const abandoned = sleep(2000);
    assert.equal(await confirmation.confirm(target, { abandoned }), true);
  });
}

// Guards against a live target without a start that counts as ended as its port is looked at late.
test("an older connection confirms the end of a blocked target whose port is checked late", async () => {
  const blocked = (isOpenSince: boolean) =>
    buildConfirmation({
      replies: [
        ...Array.from({ length: 8 }, () => "lost" as const),
        new ExchangeError("withheld", "in backoff"),
      ],
      connectResult: "accepted",
      isOpenSince,
    });
  assert.equal(await blocked(true).confirm(PLAIN), true);
  assert.equal(await blocked(false).confirm(PLAIN), false);
});

// Guards against calls whose responses are never confirmed after one error of a probe of their target.
test("an error of a probe is reported, and the next probe confirms the end", async () => {
  const errors: unknown[] = [];
  let probes = 0;
  const confirmation = new EndConfirmation({
    clock: new RuntimeClock(),
    connections: {
      send: () =>
        ({
          head: Promise.resolve({ status: 200, headers: {} }),
          isSent: true,
          abort: () => undefined,
          readBody: () => Promise.resolve(Buffer.from("1")),
        }) as unknown as TargetExchange,
      checkOpenSince: () => Promise.resolve(true),
    },
    codec: {
      encodeReportRequest: () => {
        if (++probes < 3) throw new RangeError("broken codec");
        return REQUEST;
      },
      decodeReport: () => ({ startedAtMs: 1 }) as EngineReport,
      decodeResponse: () => ({
        misdirected: false,
        notRun: false,
        signed: false,
        isLeaving: false,
      }),
    },
    isLimited: () => false,
    hasRoom: () => true,
    connect: () => Promise.resolve("accepted"),
    onError: (error) => void errors.push(error),
  });
  const options = { abandoned: NEVER, maxWaitMs: 1000 };
  const confirm = () => confirmation.confirm(RESTARTABLE, options);
  assert.deepEqual(await Promise.all([confirm(), confirm()]), [true, true]);
  assert.equal(errors.length, 2);
});

// Guards against a call that ends with an error of the log, though it may run at another target.
test("an end is not confirmed although the log of it fails", async () => {
  const errors: unknown[] = [];
  const failure = new Error("log failed");
  const { confirm } = buildConfirmation({
    replies: [REFUSED],
    onUnconfirmed: () => {
      throw failure;
    },
    onError: (thrown) => void errors.push(thrown),
  });
  assert.equal(await confirm(RESTARTABLE), false);
  assert.deepEqual(errors, [failure]);
});
