import assert from "node:assert/strict";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { afterEach, test } from "node:test";
import {
  TargetConnections,
  type TargetConnectionsOptions,
  type TargetExchange,
} from "../../mod.ts";
import { buildTarget } from "./fixtures.ts";

const REQUEST = { path: "/", method: "GET", headers: [], body: null };
const CHUNKED = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
/** What a VM may read of one response beyond its limits, with what is in the sockets. */
const MAX_SENT_BYTES = 8 * 1024 * 1024;
/** A connection with bytes without end is read for less than this time; it allows for a busy machine. */
const MAX_READ_MS = 2000;
const PART_BYTES = 64 * 1024;
/** The bound on the framing of small chunks, of which each has five bytes. */
const MAX_PARTS_PER_SECOND = 1_000_000 / 5;
/** What is free, and two reads of a connection, of whose bytes each chunk has six. */
const PARTS_AHEAD = 8 * 1024 / 5 + 2 * PART_BYTES / 6;

let server: Server | undefined;
let connections: TargetConnections | undefined;

afterEach(async () => {
  await connections?.close();
  server?.close();
});

/** Starts a server that answers the first bytes of each connection, and connections to it. */
async function send(
  respond: (socket: Socket) => void,
  options: TargetConnectionsOptions = {},
): Promise<TargetExchange> {
  server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => respond(socket));
  });
  await new Promise<void>((resolve) =>
    server?.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  connections = new TargetConnections(options);
  return connections.send(
    buildTarget("t", { address: `127.0.0.1:${port}` }),
    REQUEST,
    { callId: "c" },
  );
}

/** Sends a part again and again until the connection is closed. Resolves with the number of bytes sent. */
function sendEndless(
  socket: Socket,
  { begin, part }: { begin: string; part: string },
): Promise<number> {
  return new Promise((resolve) => {
    let sent = 0;
    socket.on("close", () => resolve(sent));
    socket.write(begin);
    const sendParts = (): void => {
      while (!socket.destroyed && socket.write(part)) sent += part.length;
    };
    socket.on("drain", sendParts);
    sendParts();
  });
}

async function pause(ms: number): Promise<"open"> {
  await new Promise((resolve) => setTimeout(resolve, ms));
  return "open";
}

/** Reads a body and resolves with its length. */
function countBody(exchange: TargetExchange): Promise<number> {
  return new Promise((resolve, reject) => {
    let size = 0;
    exchange.setBodyListener({
      onData: (bytes) => size += bytes.length,
      onEnd: () => resolve(size),
      onFault: reject,
    });
  });
}

const ENDLESS = {
  "empty lines before a response": {
    begin: "",
    part: "\r\n".repeat(PART_BYTES / 2),
  },
  "a reason phrase": { begin: "HTTP/1.1 200 ", part: "x".repeat(PART_BYTES) },
  "spaces before a header value": {
    begin: "HTTP/1.1 200 OK\r\nx-a:",
    part: " ".repeat(PART_BYTES),
  },
  "zeros of a chunk size": { begin: CHUNKED, part: "0".repeat(PART_BYTES) },
  "zeros of many chunk sizes": {
    begin: CHUNKED,
    part: `${"0".repeat(PART_BYTES)}1\r\nx\r\n`,
  },
  "a chunk extension": {
    begin: `${CHUNKED}1;`,
    part: "x".repeat(PART_BYTES),
  },
  "spaces before a trailer value": {
    begin: `${CHUNKED}0\r\nx-a:`,
    part: " ".repeat(PART_BYTES),
  },
};

for (const [name, bytes] of Object.entries(ENDLESS)) {
  // Guards against bytes that the parser skips, which no limit on a head or body counts.
  test(`a connection is closed that sends without end ${name}`, async () => {
    let sent: Promise<number> | undefined;
    const exchange = await send((socket) => {
      sent = sendEndless(socket, bytes);
    });
    exchange.setBodyListener({
      onData: () => undefined,
      onEnd: () => undefined,
      onFault: () => undefined,
    });
    const end = await Promise.race([exchange.ended, pause(MAX_READ_MS)]);
    assert.ok(typeof end !== "string", `${end}`);
    assert.equal(end.fault, "lost");
    assert.match(end.message, /bytes that are part of no response/);
    assert.ok(await sent! < MAX_SENT_BYTES, `${await sent}`);
  });
}

// Guards against bytes on a kept connection that are read although no exchange uses it.
test("a connection is closed that sends empty lines without end after a response", async () => {
  let sent: Promise<number> | undefined;
  const exchange = await send((socket) => {
    sent = sendEndless(socket, {
      begin: "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
      part: "\r\n".repeat(PART_BYTES / 2),
    });
  });
  assert.equal(await countBody(exchange), 0);
  const bytes = await Promise.race([sent!, pause(MAX_READ_MS)]);
  assert.ok(typeof bytes === "number" && bytes < MAX_SENT_BYTES, `${bytes}`);
});

// Guards against sound responses that are cut as their framing is longer than their body.
test("a response of small chunks with long sizes is read as a whole", async () => {
  const chunk = `${"1".padStart(16, "0")};a=b\r\nx\r\n`;
  const exchange = await send((socket) => {
    socket.end(`${CHUNKED}${chunk.repeat(100_000)}0\r\n\r\n`);
  });
  assert.equal(await countBody(exchange), 100_000);
});

// Guards against a process whose time goes into chunks of one byte, as fast as a target sends them.
test("responses in chunks of one byte without end are read at a bounded rate", async () => {
  let sent: Promise<number> | undefined;
  const limited: unknown[] = [];
  const exchange = await send((socket) => {
    const part = "1\r\nx\r\n".repeat(10_000);
    sent = sendEndless(socket, { begin: CHUNKED, part });
  }, {
    onLimited: ({ id }, limit, callId) => limited.push([id, limit, callId]),
  });
  let parts = 0;
  exchange.setBodyListener({
    onData: ({ length }) => parts += length,
    onEnd: () => undefined,
    onFault: () => undefined,
  });
  const startedAtMs = performance.now();
  await pause(1000);
  exchange.abort("enough");
  const tookS = (performance.now() - startedAtMs) / 1000;
  await sent;
  assert.deepEqual(limited, [["t", "smallChunks", "c"]]);
  assert.ok(parts > 1000, `${parts}`);
  assert.ok(
    parts < MAX_PARTS_PER_SECOND * tookS + PARTS_AHEAD,
    `${parts} in ${tookS} s`,
  );
});

// Guards against a stream that waits although it comes as slowly as engines generate.
test("a long stream in small chunks is read at once", async () => {
  const exchange = await send((socket) => {
    socket.write(CHUNKED);
    const timer = setInterval(
      () => !socket.destroyed && socket.write("1\r\nx\r\n".repeat(10)),
      10,
    );
    socket.on("close", () => clearInterval(timer));
    setTimeout(() => socket.destroyed || socket.end("0\r\n\r\n"), 1000);
  });
  let hasWaited = false;
  exchange.setBodyListener({
    onData: () => undefined,
    onEnd: () => undefined,
    onFault: () => undefined,
  });
  const stopAt = performance.now() + 900;
  while (performance.now() < stopAt) {
    await pause(5);
    hasWaited ||= exchange.isAwaitingTurn;
  }
  assert.equal(hasWaited, false);
  assert.equal(await exchange.ended, "ended");
});

// Guards against a sound response that is cut as it waits in the sockets, unread.
test("a large response is read as a whole although it is paused again and again", async () => {
  const parts = 300;
  const exchange = await send((socket) => {
    const chunk = `${PART_BYTES.toString(16)}\r\n${"x".repeat(PART_BYTES)}\r\n`;
    socket.end(`${CHUNKED}${chunk.repeat(parts)}0\r\n\r\n`);
  });
  let size = 0;
  exchange.setBodyListener({
    onData: (bytes) => {
      size += bytes.length;
      exchange.pause();
      setTimeout(() => exchange.resume(), 1);
    },
    onEnd: () => undefined,
    onFault: () => undefined,
  });
  assert.equal(await exchange.ended, "ended");
  assert.equal(size, parts * PART_BYTES);
});

// Guards against a sound target that is cut as it is silent for a while.
test("a response goes on after a silence", async () => {
  const exchange = await send(async (socket) => {
    socket.write(`${CHUNKED}0000`);
    await pause(1500);
    socket.end("1\r\nx\r\n0\r\n\r\n");
  });
  assert.equal(await countBody(exchange), 1);
});

// Guards against bytes of earlier responses of a connection that count as those of a later one.
test("many responses on one connection are read", async () => {
  let requests = 0;
  const padding = " ".repeat(8 * 1024);
  const exchange = await send((socket) => {
    const respond = (): void => {
      requests++;
      const head = `HTTP/1.1 200 OK\r\nx-a:${padding}b\r\n`;
      socket.write(`${head}content-length: 1\r\n\r\nx`);
    };
    socket.on("data", respond);
    respond();
  });
  await countBody(exchange);
  const { port } = server!.address() as AddressInfo;
  const target = buildTarget("t", { address: `127.0.0.1:${port}` });
  for (let i = 0; i < 100; i++) {
    await pause(1);
    assert.equal(await countBody(connections!.send(target, REQUEST)), 1);
  }
  assert.equal(requests, 101);
});
