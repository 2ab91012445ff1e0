import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { type OperatorHost, OperatorServer } from "../../operator_server.ts";

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

const BOUND = { timeout: 10_000 };
const MEGABYTE = 1024 * 1024;
const HEAD = "POST /v1/changes HTTP/1.1\r\nhost: vm\r\n" +
  "transfer-encoding: chunked\r\n\r\n";
/** A buffer takes four times its bytes at most; the rest is for what else the process does. */
const MAX_HELD_BYTES_PER_BYTE = 16;
/** Memory of the bodies of all connections, and what else the process does. */
const MAX_HELD_BYTES = 32 * MEGABYTE + 8 * MEGABYTE;

let server: OperatorServer;
let port: number;

before(async () => {
  port = await findPort();
  const settings = { operators: [] };
  server = new OperatorServer({ settings } as unknown as OperatorHost);
  await server.listen("127.0.0.1", port);
});

after(() => server.close());

async function findPort(): Promise<number> {
  const probe = createServer().listen(0, "127.0.0.1");
  await once(probe, "listening");
  const { port: found } = probe.address() as AddressInfo;
  probe.close();
  await once(probe, "close");
  return found;
}

interface Chunks {
  /** A megabyte of such chunks with their framing. */
  readonly framed: Buffer;
  readonly perMegabyte: number;
}

function buildChunks(chunk: Buffer): Chunks {
  const size = `${chunk.length.toString(16)}\r\n`;
  const one = Buffer.concat([Buffer.from(size), chunk, Buffer.from("\r\n")]);
  const perMegabyte = Math.floor(MEGABYTE / one.length);
  const framed = Buffer.alloc(perMegabyte * one.length, one);
  return { framed, perMegabyte };
}

const SMALL_CHUNKS = buildChunks(Buffer.from("1"));
const LARGE_CHUNKS = buildChunks(Buffer.alloc(64 * 1024, "1"));

/** Sends a body of some megabytes with its framing, which does not end. */
function sendChunks({ framed }: Chunks, megabytes: number): Socket {
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => undefined);
  socket.write(HEAD);
  for (let i = 0; i < megabytes; i++) socket.write(framed);
  return socket.resume();
}

/** Returns the memory that the process holds once it has read what was sent, bytes. */
async function readHeldBytes(sockets: readonly Socket[] = []): Promise<number> {
  while (sockets.some(({ writableLength }) => writableLength > 0)) {
    await sleep(10);
  }
  // The memory of buffers is given back some time after they are collected.
  for (let i = 0; i < 3; i++) {
    await sleep(300);
    collectGarbage();
  }
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
}

// Guards against bodies that never end on all connections, which fill the memory together.
test("unfinished bodies of many connections take a bounded amount of memory", async () => {
  const before = await readHeldBytes();
  const sockets = Array.from({ length: 16 }, () => sendChunks(LARGE_CHUNKS, 6));
  const held = await readHeldBytes(sockets) - before;
  for (const socket of sockets) socket.destroy();
  assert.ok(held < MAX_HELD_BYTES, `${held} bytes`);
});

// Guards against a client whose chunks of one byte take hundreds of times their size.
test("a body in very small chunks takes little more memory than its size", async () => {
  const before = await readHeldBytes();
  const socket = sendChunks(SMALL_CHUNKS, 4);
  const chunks = 4 * SMALL_CHUNKS.perMegabyte;
  const perByte = (await readHeldBytes([socket]) - before) / chunks;
  socket.destroy();
  assert.ok(perByte < MAX_HELD_BYTES_PER_BYTE, `${perByte} bytes for each`);
});

// Guards against a connection that is read without end although its request has failed.
test("a connection closes after a body that is too large", BOUND, async () => {
  const socket = sendChunks(LARGE_CHUNKS, 9);
  await new Promise((resolve) => socket.once("close", resolve));
});
