import assert from "node:assert/strict";
import { once } from "node:events";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { afterEach, test } from "node:test";
import {
  ExchangeError,
  type ResponseHead,
  TargetConnections,
  type TargetExchange,
} from "../../mod.ts";
import type { EncodedRequest } from "../../ports.ts";
import { buildTarget } from "./fixtures.ts";

const undos: (() => Promise<void> | void)[] = [];

afterEach(async () => {
  for (const undo of undos.splice(0).reverse()) await undo();
});

const BODY = '{"answer":"whole"}';
const BODY_IN_CHUNKS = `8\r\n${BODY.slice(0, 8)}\r\na\r\n${
  BODY.slice(8)
}\r\n0\r\n\r\n`;
const STATUS_LINE = "HTTP/1.1 200 OK\r\nattempt-id: c\r\n";
const LENGTH = `content-length: ${BODY.length}\r\n`;
const CHUNKED = "transfer-encoding: chunked\r\n";
const CLOSE = "connection: close\r\n";
const INTERIM = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";

/** Responses whose framing tells where they end. */
const RESPONSES: Readonly<Record<string, string>> = {
  "with a length": `${STATUS_LINE}${LENGTH}\r\n${BODY}`,
  "with a length, before the connection closes":
    `${STATUS_LINE}${LENGTH}${CLOSE}\r\n${BODY}`,
  "in chunks": `${STATUS_LINE}${CHUNKED}\r\n${BODY_IN_CHUNKS}`,
  "in chunks, before the connection closes":
    `${STATUS_LINE}${CHUNKED}${CLOSE}\r\n${BODY_IN_CHUNKS}`,
  "behind an interim response":
    `${INTERIM}${STATUS_LINE}${LENGTH}${CLOSE}\r\n${BODY}`,
};
const UNFRAMED = `${STATUS_LINE}${CLOSE}\r\n${BODY}`;

const REQUEST: EncodedRequest = {
  path: "/",
  method: "GET",
  headers: [],
  body: null,
};
/** More than the kernel takes at once, so that it is still being written when the response arrives. */
const LONG_REQUEST: EncodedRequest = {
  ...REQUEST,
  method: "POST",
  body: Buffer.alloc(16 * 1024 * 1024),
};

/** More than one read of a socket, so that a listener can pause it. */
const LARGE_BYTES = 100_000;

type Ending = "in order" | "by reset";

interface Truncation {
  readonly bytes: string;
  readonly ending: Ending;
  /** A whole response goes before on the same connection. */
  readonly isSecond?: boolean;
}

/** Sends the bytes in two pieces, so that a parser stops between them, and ends the connection. */
async function endAfter(socket: Socket, { bytes, ending }: Truncation) {
  const half = Math.floor(bytes.length / 2);
  socket.write(bytes.slice(0, half));
  await new Promise((resolve) => setImmediate(resolve));
  socket.write(bytes.slice(half));
  if (ending === "in order") socket.end();
  else {
    // The bytes arrive before the reset.
    setTimeout(() => socket.resetAndDestroy(), 5);
  }
}

async function startTarget(truncation: Truncation) {
  let requests = 0;
  let opened = 0;
  const server = createServer((socket) => {
    opened++;
    socket.on("error", () => undefined);
    socket.on("data", () => {
      requests++;
      const isWhole = truncation.isSecond === true && requests === 1;
      if (isWhole) socket.write(RESPONSES["with a length"]);
      else void endAfter(socket, truncation);
    });
  });
  const send = await listen(server);
  return {
    send: () => send(REQUEST),
    countOpened: () => opened,
  };
}

/** Starts a target. Returns a function that sends a request to it. */
async function listen(
  server: Server,
): Promise<(request: EncodedRequest) => TargetExchange> {
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const connections = new TargetConnections();
  undos.push(() => void server.close(), () => connections.close());
  const { port } = server.address() as AddressInfo;
  const target = buildTarget("t", { address: `127.0.0.1:${port}` });
  return (request) => connections.send(target, request);
}

/** Reads a response; undefined if the exchange ended without a complete one. */
async function read(
  exchange: TargetExchange,
): Promise<{ head: ResponseHead; body: string } | undefined> {
  try {
    const head = await exchange.head;
    const limits = { maxBytes: 1024, timeoutMs: 2000 };
    const body = await exchange.readBody(limits);
    return { head, body: String(body) };
  } catch (error) {
    if (error instanceof ExchangeError) return undefined;
    throw error;
  }
}

async function readTruncated(truncation: Truncation) {
  const { send, countOpened } = await startTarget(truncation);
  if (truncation.isSecond) {
    assert.equal((await read(send()))?.body, BODY);
    // The connection is free a turn later.
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  const result = await read(send());
  assert.equal(countOpened(), 1);
  return result;
}

for (const [name, response] of Object.entries(RESPONSES)) {
  // Guards against a truncated head or body that counts as a whole response, which the client gets.
  test(`a response ${name} that stops at any byte is not complete`, async () => {
    for (const ending of ["in order", "by reset"] as const) {
      const lengths = Array.from(response, (_, length) => length);
      const results = await Promise.all(lengths.map((length) => {
        const bytes = response.slice(0, length);
        return readTruncated({ bytes, ending });
      }));
      results.forEach((result, length) =>
        assert.equal(result, undefined, `${ending} after ${length} bytes`)
      );
    }
    const whole = await readTruncated({ bytes: response, ending: "in order" });
    assert.equal(whole?.body, BODY);
  });
}

// Guards against the state of an earlier response, which a parser keeps for its connection.
test("a response that stops behind a whole one of its connection is not complete", async () => {
  for (const response of Object.values(RESPONSES)) {
    const lengths = Array.from(response, (_, length) => length);
    const results = await Promise.all(lengths.map((length) => {
      const bytes = response.slice(0, length);
      return readTruncated({ bytes, ending: "in order", isSecond: true });
    }));
    results.forEach((result, length) =>
      assert.equal(result, undefined, `after ${length} bytes: ${response}`)
    );
  }
});

// Guards against a head without a length that stops and counts as an empty response. Behind the head,
// only the end of the connection shows where the response ends, and is confirmed elsewhere.
test("a head without a length that stops at any byte is not complete", async () => {
  const headLength = UNFRAMED.indexOf("\r\n\r\n") + "\r\n\r\n".length;
  for (const ending of ["in order", "by reset"] as const) {
    for (let length = 0; length < headLength; length++) {
      const bytes = UNFRAMED.slice(0, length);
      const result = await readTruncated({ bytes, ending });
      assert.equal(result, undefined, `${ending} after ${length} bytes`);
    }
  }
});

// Guards against losing a whole response that a target sends, and ends, before it has read a long request.
test("a response without a length is complete if its target ends it and reads the request on", async () => {
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => {
      socket.end(UNFRAMED);
      // The end arrives while the request is still being written.
      socket.pause();
      setTimeout(() => socket.resume(), 50);
    });
  });
  const send = await listen(server);
  assert.equal((await read(send(LONG_REQUEST)))?.body, BODY);
});

// Guards against the same as complete although the target stops reading, since it has crashed.
test("a response without a length is not complete if the rest of its request is rejected", async () => {
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => {
      socket.end(UNFRAMED);
      socket.pause();
      setTimeout(() => socket.resetAndDestroy(), 50);
    });
  });
  const send = await listen(server);
  assert.equal(await read(send(LONG_REQUEST)), undefined);
});

// Guards against an end that is held back without a bound while the target stops reading.
test("a response without a length is aborted in time if its target reads no more of the request", async () => {
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => {
      socket.end(UNFRAMED);
      socket.pause();
    });
  });
  const exchange = (await listen(server))(LONG_REQUEST);
  await exchange.head;
  await assert.rejects(
    exchange.readBody({ maxBytes: 1024, timeoutMs: 300 }),
    /^ExchangeError: response not complete within 300 ms$/,
  );
  assert.equal(exchange.hasFailed, true);
});

for (const ending of ["in order", "by reset"] as const) {
  // Guards against an exchange that never ends: undici fails an assertion when the connection of a body that
  // is paused ends.
  test(`a paused response without a length ends with its connection (${ending})`, async () => {
    const server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.once("data", () => {
        socket.write(`${STATUS_LINE}\r\n${"p".repeat(LARGE_BYTES)}`);
        setTimeout(() => {
          if (ending === "in order") socket.end();
          else socket.resetAndDestroy();
        }, 50);
      });
    });
    const exchange = (await listen(server))(REQUEST);
    await exchange.head;
    let received = 0;
    exchange.setBodyListener({
      onData: (bytes) => {
        received += bytes.length;
        exchange.pause();
        // Later than the end of the connection, once all bytes are read.
        setTimeout(() => exchange.resume(), 200);
      },
      onEnd: () => undefined,
      onFault: () => undefined,
    });
    const end = await exchange.ended;
    if (ending === "by reset") return assert.notEqual(end, "ended");
    assert.equal(end, "ended");
    assert.equal(received, LARGE_BYTES);
  });
}
