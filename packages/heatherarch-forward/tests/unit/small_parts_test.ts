import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { BodyMemory, FramingBudget } from "heatherarch-client-limits";
import { RuntimeClock } from "heatherarch-core";
import type { Dispatcher } from "undici";
import type { BodyListener, ExchangeHooks, ResponseHead } from "../../mod.ts";
import { readResponse } from "../../calls/response_relay.ts";
import { TargetExchange } from "../../mod.ts";

const REQUEST = { path: "/", method: "GET", headers: [], body: null };
/** Bytes of a body that may be held before anything reads it, or before it is relayed. */
const MAX_HELD_BYTES = 1024 * 1024;
const MANY_PARTS = 10_000;

/** An exchange whose response has begun, and what its connection hands on. */
function startExchange(
  limits: Pick<ExchangeHooks, "bodies" | "framing" | "onLimited"> = {},
) {
  let handler: Dispatcher.DispatchHandler = {};
  const controller = {
    pause: () => undefined,
    resume: () => undefined,
    abort: () => undefined,
  } as unknown as Dispatcher.DispatchController;
  const dispatcher = {
    dispatch: (_options: unknown, given: Dispatcher.DispatchHandler) => {
      handler = given;
      return true;
    },
  };
  const exchange = new TargetExchange(dispatcher, "", REQUEST, {
    onRelease: () => undefined,
    ...limits,
  });
  handler.onRequestStart?.(controller, undefined);
  handler.onResponseStart?.(controller, 200, {}, "OK");
  return {
    exchange,
    send: (part: Buffer) => handler.onResponseData?.(controller, part),
    end: () => handler.onResponseEnd?.(controller, {}),
  };
}

function buildListener(onData: (bytes: Buffer) => void): BodyListener {
  return { onData, onEnd: () => undefined, onFault: () => undefined };
}

/** Splits bytes at all of the given places. */
function splitAt(bytes: Buffer, places: readonly number[]): Buffer[] {
  const bounds = [0, ...[...places].sort((a, b) => a - b), bytes.length];
  return bounds.slice(1).map((end, i) => bytes.subarray(bounds[i], end));
}

// Guards against a write to the client, and an entry of a list, for each chunk of a few bytes.
test("small parts that arrive together are handed on as one", async () => {
  const { exchange, send } = startExchange();
  const sizes: number[] = [];
  exchange.setBodyListener(buildListener(({ length }) => sizes.push(length)));
  for (let i = 0; i < MANY_PARTS; i++) send(Buffer.from("x"));
  await Promise.resolve();
  assert.deepEqual(sizes, [MANY_PARTS]);
});

// Guards against a body that nothing reads yet and whose small parts take many times its size.
test("small parts that nothing reads yet are kept as one", async () => {
  const { exchange, send } = startExchange();
  for (let i = 0; i < MANY_PARTS; i++) {
    send(Buffer.from("x"));
    if (i % 100 === 0) await Promise.resolve();
  }
  const sizes: number[] = [];
  exchange.setBodyListener(buildListener(({ length }) => sizes.push(length)));
  await Promise.resolve();
  assert.ok(sizes.length <= 2, `${sizes.length}`);
  assert.equal(sizes.reduce((sum, size) => sum + size, 0), MANY_PARTS);
});

// Guards against the start of a large response that is sent to the client one small part at a time.
test("the start of a large response in small parts takes little more than its size", async () => {
  const { exchange, send } = startExchange();
  const head: ResponseHead = { status: 200, headers: {}, rawHeaders: [] };
  const result = readResponse(exchange, head);
  const part = Buffer.alloc(16);
  for (let size = 0; size <= MAX_HELD_BYTES; size += part.length) send(part);
  await Promise.resolve();
  const read = await result;
  assert.ok(read.kind === "partial");
  const { begin } = read.response;
  assert.ok(begin.length > MAX_HELD_BYTES);
  assert.ok(begin.capacity <= 2 * MAX_HELD_BYTES, `${begin.capacity}`);
});

// Guards against bytes that are lost, repeated or out of order when parts are joined.
test("a response is the same however it is cut into parts", async () => {
  const arbitrary = fc.record({
    body: fc.uint8Array({ maxLength: 400 }),
    places: fc.array(fc.nat(400), { maxLength: 60 }),
    turnEvery: fc.integer({ min: 1, max: 8 }),
    readsFrom: fc.nat(60),
  });
  await fc.assert(
    fc.asyncProperty(arbitrary, async (drawn) => {
      const body = Buffer.from(drawn.body);
      const places = drawn.places.filter((place) => place <= body.length);
      const { exchange, send, end } = startExchange();
      let whole: Promise<Buffer> | undefined;
      const read = (): void => {
        whole ??= exchange.readBody({ maxBytes: 400, timeoutMs: 1000 });
      };
      for (const [i, part] of splitAt(body, places).entries()) {
        if (i === drawn.readsFrom) read();
        send(part);
        if (i % drawn.turnEvery === 0) await Promise.resolve();
      }
      end();
      read();
      assert.deepEqual(await whole, body);
    }),
  );
});

const HEAD: ResponseHead = { status: 200, headers: {}, rawHeaders: [] };

// Guards against a process that runs out of memory by many responses, each within its limit.
test("beyond the memory for all responses, the largest one is relayed from where it is", async () => {
  // A buffer takes up to four times what has arrived of its body.
  const bodies = new BodyMemory({ maxBytes: 1_200_000 });
  const limited: string[] = [];
  const onLimited = (limit: string) => limited.push(limit);
  const large = startExchange({ bodies, onLimited });
  const small = startExchange({ bodies });
  const first = readResponse(large.exchange, HEAD);
  const second = readResponse(small.exchange, HEAD);
  large.send(Buffer.alloc(300_000));
  small.send(Buffer.alloc(250_000));
  const read = await first;
  assert.ok(read.kind === "partial");
  assert.equal(read.response.begin.length, 300_000);
  assert.deepEqual(limited, ["bodyMemory"]);
  large.send(Buffer.alloc(10));
  await Promise.resolve();
  assert.equal(read.response.begin.length, 300_010);
  small.end();
  const { kind } = await second;
  assert.equal(kind, "whole");
  assert.equal(bodies.heldBytes, 0);
});

// Guards against memory that counts as taken after its exchange has ended.
test("a response that nothing reads takes no memory of the others after its end", async () => {
  const bodies = new BodyMemory({ maxBytes: 2_000_000 });
  const { exchange, send, end } = startExchange({ bodies });
  send(Buffer.alloc(300_000, "x"));
  assert.ok(bodies.heldBytes > 0);
  end();
  assert.equal(bodies.heldBytes, 0);
  const body = await exchange.readBody({ maxBytes: 400_000, timeoutMs: 1000 });
  assert.equal(body.length, 300_000);
  assert.equal(bodies.heldBytes, 0);
});

// Guards against a body whose memory is not given back when its limit aborts it.
test("a body beyond its limit gives its memory back", async () => {
  const bodies = new BodyMemory({ maxBytes: 2_000_000 });
  const { exchange, send } = startExchange({ bodies });
  const body = exchange.readBody({ maxBytes: 40_000, timeoutMs: 1000 });
  send(Buffer.alloc(30_000));
  send(Buffer.alloc(30_000));
  await assert.rejects(body, /exceeds 40000 bytes/);
  assert.equal(bodies.heldBytes, 0);
});

// Guards against large responses that wait like those in small chunks, as they come in many reads.
test("the reads of a body without small chunks do not count as framing", async () => {
  const framing = new FramingBudget({
    clock: new RuntimeClock(),
    freeBytes: 100,
    isOnlyBodyFree: false,
  });
  const { exchange, send } = startExchange({ framing });
  exchange.setBodyListener(buildListener(() => undefined));
  const segment = Buffer.alloc(1448);
  for (let i = 0; i < MANY_PARTS; i++) {
    send(segment);
    await Promise.resolve();
    assert.equal(exchange.isAwaitingTurn, false);
  }
  for (let i = 0; i < 100; i++) send(Buffer.from("x"));
  await Promise.resolve();
  assert.equal(exchange.isAwaitingTurn, true);
  exchange.abort("enough");
});
