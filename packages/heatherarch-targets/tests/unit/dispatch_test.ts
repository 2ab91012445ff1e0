import assert from "node:assert/strict";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { after, before, test } from "node:test";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { Client, type Dispatcher } from "undici";
import { dispatchBuffered } from "../../mod.ts";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

const SLOW_PARTS = 150;
const SLOW_PART_MS = 20;
const SMALL_PARTS = 200_000;
/** A buffer takes four times its bytes at most; the rest is for what else the process does. */
const MAX_HELD_BYTES_PER_PART = 16;

let server: Server;
let url: string;
let requests = 0;
let endlessBytes = 0;
/** Bytes after which a response that should not be read any more ends. */
const MAX_ENDLESS_BYTES = 32 * 1024 * 1024;
/** The limit on a response, and what is in the sockets. */
const MAX_SENT_BYTES = 16 * 1024 * 1024;

/** Sends a response as fast as it is read. */
function sendEndless(res: ServerResponse): void {
  const part = Buffer.alloc(64 * 1024, "x");
  while (!res.destroyed && endlessBytes < MAX_ENDLESS_BYTES) {
    endlessBytes += part.length;
    if (res.write(part)) continue;
    res.once("drain", () => sendEndless(res));
    return;
  }
  res.end();
}

/** Sends a response that goes on for long without a pause. */
function sendSlowly(res: ServerResponse): void {
  let parts = 0;
  const timer = setInterval(() => {
    if (parts++ < SLOW_PARTS) res.write("x");
    else res.end();
  }, SLOW_PART_MS);
  res.on("close", () => clearInterval(timer));
}

before(async () => {
  server = createServer((req, res) => {
    requests++;
    if (req.url === "/never") return;
    if (req.url === "/endless") sendEndless(res);
    else if (req.url === "/slow") sendSlowly(res);
    else if (req.url === "/break") res.socket?.destroy();
    else res.end("done");
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
});

after(() => {
  server.closeAllConnections();
  server.close();
});

interface SendOptions {
  readonly guard?: () => boolean;
  readonly origin?: string;
  readonly timeoutMs?: number;
}

function send(
  path: string,
  { guard, origin = url, timeoutMs = 1000 }: SendOptions = {},
) {
  const client = new Client(origin, { connect: { timeout: 500 } });
  const response = dispatchBuffered(client, {
    path,
    method: "POST",
    body: "x",
    timeoutMs,
    guard,
  });
  return response.finally(() => void client.destroy());
}

test("a withheld request is not sent to the server", async () => {
  const requestsBefore = requests;
  assert.equal((await send("/", { guard: () => false })).kind, "withheld");
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.equal(requests, requestsBefore);
});

test("a refused connection is reported as notSent, a broken response as broken", async () => {
  assert.equal(
    (await send("/", { origin: "http://127.0.0.1:1" })).kind,
    "notSent",
  );
  assert.equal((await send("/break")).kind, "broken");
});

test("a response that never arrives is reported as silent", async () => {
  assert.equal((await send("/never")).kind, "silent");
});

test("a complete response is buffered", async () => {
  const response = await send("/");
  assert.equal(response.kind === "answer" && response.body.toString(), "done");
});

// Guards against the state of a target that is read until the memory is full.
test("a response without end is given up", async () => {
  assert.equal((await send("/endless")).kind, "broken");
  assert.ok(endlessBytes <= MAX_SENT_BYTES, `${endlessBytes} bytes`);
});

// Guards against a response that takes a connection and the processor long after its call has ended.
test("a response that goes on after its timeout is given up", async () => {
  const startedAtMs = performance.now();
  assert.equal((await send("/slow", { timeoutMs: 200 })).kind, "silent");
  const elapsedMs = performance.now() - startedAtMs;
  assert.ok(elapsedMs < SLOW_PARTS * SLOW_PART_MS / 2, `${elapsedMs} ms`);
});

/** Returns the memory that the process holds, bytes. */
function readHeldBytes(): number {
  collectGarbage();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

// Guards against a target whose chunks of one byte take hundreds of times their size, until the memory is full.
test("a response in very small parts takes little more memory than its size", async () => {
  let handler: Dispatcher.DispatchHandler = {};
  const dispatch = (_options: unknown, given: Dispatcher.DispatchHandler) => {
    handler = given;
    return true;
  };
  const controller = {} as Dispatcher.DispatchController;
  const options = { path: "/", method: "GET", timeoutMs: 1000 };
  const response = dispatchBuffered({ dispatch } as Dispatcher, options);
  handler.onRequestStart?.(controller, undefined);
  handler.onResponseStart?.(controller, 200, {}, "OK");
  const read = Buffer.alloc(64 * 1024, "x");
  const before = readHeldBytes();
  for (let i = 0; i < SMALL_PARTS; i++) {
    const at = i % read.length;
    handler.onResponseData?.(controller, read.subarray(at, at + 1));
  }
  const perPart = (readHeldBytes() - before) / SMALL_PARTS;
  handler.onResponseEnd?.(controller, {});
  const result = await response;
  assert.ok(result.kind === "answer" && result.body.length === SMALL_PARTS);
  assert.ok(perPart < MAX_HELD_BYTES_PER_PART, `${perPart} bytes for each`);
});
