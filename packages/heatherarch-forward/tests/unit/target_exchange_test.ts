import assert from "node:assert/strict";
import { test } from "node:test";
import type { Dispatcher } from "undici";
import { TargetExchange } from "../../mod.ts";

const PART_BYTES = 64 * 1024;
const MAX_PARTS = 1024;

/** An exchange whose target sends numbered parts as long as they are read. */
function startExchange({ endsOnResume = false } = {}) {
  let handler: Dispatcher.DispatchHandler = {};
  let isPaused = false;
  let sent = 0;
  const controller = {
    pause: () => isPaused = true,
    resume: () => {
      isPaused = false;
      sendParts(1);
      if (endsOnResume) handler.onResponseEnd?.(controller, {});
    },
    abort: () => undefined,
  } as unknown as Dispatcher.DispatchController;
  const sendParts = (count: number): void => {
    for (let i = 0; i < count && !isPaused; i++) {
      const part = Buffer.alloc(PART_BYTES);
      part.writeUInt32BE(sent++);
      handler.onResponseData?.(controller, part);
    }
  };
  const dispatcher = {
    dispatch: (_options: unknown, given: Dispatcher.DispatchHandler) => {
      handler = given;
      return true;
    },
  };
  const request = { path: "/", method: "GET", headers: [], body: null };
  const exchange = new TargetExchange(dispatcher, "", request, {
    onRelease: () => undefined,
  });
  handler.onRequestStart?.(controller, undefined);
  handler.onResponseStart?.(controller, 200, {}, "OK");
  return {
    exchange,
    sendParts,
    isPaused: () => isPaused,
    countSent: () => sent,
    end: () => handler.onResponseEnd?.(controller, {}),
  };
}

function ignore(): void {
  // Nothing follows in these tests.
}

// Guards against a body that is kept without bound while its call waits before it reads it.
test("a body that nothing reads yet is read up to a bound, and goes on in order", () => {
  const { exchange, sendParts, countSent } = startExchange();
  sendParts(MAX_PARTS);
  assert.ok(countSent() * PART_BYTES <= 1024 * 1024 + PART_BYTES);
  const received: number[] = [];
  exchange.setBodyListener({
    onData: (bytes) => received.push(bytes.readUInt32BE()),
    onEnd: ignore,
    onFault: ignore,
  });
  sendParts(3);
  assert.ok(received.length > 3);
  assert.deepEqual(received, Array.from({ length: countSent() }, (_, i) => i));
});

// Guards against a body that goes on although its client does not read.
test("a listener that pauses at the first bytes stays paused", () => {
  const { exchange, sendParts, isPaused } = startExchange();
  sendParts(MAX_PARTS);
  exchange.setBodyListener({
    onData: () => exchange.pause(),
    onEnd: ignore,
    onFault: ignore,
  });
  assert.equal(isPaused(), true);
});

// Guards against a response that is handled twice, as reading on at once may bring its end.
test("a body that ends as it is read on ends once", () => {
  const { exchange, sendParts } = startExchange({ endsOnResume: true });
  sendParts(MAX_PARTS);
  let ends = 0;
  exchange.setBodyListener({
    onData: ignore,
    onEnd: () => ends++,
    onFault: ignore,
  });
  assert.equal(ends, 1);
});

// Guards against a fault that is handled twice, and bytes that follow it.
test("a listener that aborts during the first bytes hears of one fault and no more bytes", () => {
  const { exchange, sendParts } = startExchange();
  sendParts(3);
  let parts = 0;
  let faults = 0;
  exchange.setBodyListener({
    onData: () => {
      parts++;
      exchange.abort("not wanted");
    },
    onEnd: ignore,
    onFault: () => faults++,
  });
  assert.equal(parts, 1);
  assert.equal(faults, 1);
});

// Guards against a client that is slow or leaves late, and pauses or resumes the next response of the connection.
test("an exchange that has ended does not pause or resume its connection", () => {
  const { exchange, sendParts, isPaused, countSent, end } = startExchange();
  sendParts(1);
  end();
  exchange.pause();
  assert.equal(isPaused(), false);
  exchange.resume();
  assert.equal(countSent(), 1);
});

// Guards against a response that is never read on, as its client left while it took too little.
test("an abandoned body is read on up to a limit without its listener", async () => {
  const { exchange, sendParts, isPaused } = startExchange();
  let parts = 0;
  let faults = 0;
  exchange.setBodyListener({
    onData: () => {
      parts++;
      exchange.pause();
    },
    onEnd: ignore,
    onFault: () => faults++,
  });
  sendParts(1);
  assert.equal(isPaused(), true);
  exchange.abandon({ maxBytes: 3 * PART_BYTES, timeoutMs: 60_000 });
  assert.equal(isPaused(), false);
  assert.equal(exchange.hasFailed, false);
  sendParts(3);
  assert.equal(exchange.hasFailed, true);
  assert.deepEqual([parts, faults], [1, 1]);
});

// Guards against an abandoned body that comes so slowly that it reaches no limit of its size.
test("an abandoned body is read on for a limited time", async () => {
  const { exchange } = startExchange();
  exchange.abandon({ maxBytes: PART_BYTES, timeoutMs: 30 });
  const end = await exchange.ended;
  assert.ok(end !== "ended");
  assert.match(end.message, /not complete within 30 ms/);
});
