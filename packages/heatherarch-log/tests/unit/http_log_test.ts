import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { afterEach, test } from "node:test";
import { HttpLog, HttpVmList, LogUnavailableError } from "../../mod.ts";

/** Long enough for the first requests of a new process on a busy machine, milliseconds. */
const TIMEOUT_MS = 500;
const CONNECTIONS = 3;
/** Time in which some tens of MiB arrive on a busy machine, milliseconds. */
const LONG_TIMEOUT_MS = 10_000;

const cleanups: (() => unknown)[] = [];
afterEach(async () => {
  for (const cleanup of cleanups.splice(0)) await cleanup();
});

/** Starts a log whose open connections can become unresponsive for good. */
async function startLog(): Promise<{ log: HttpLog; silence: () => void }> {
  const open = new Set<Socket>();
  const silent = new WeakSet<Socket>();
  const server = createServer((request, response) => {
    if (silent.has(request.socket)) return;
    response.end(JSON.stringify({ records: [], first: 0, next: 0 }));
  });
  server.on("connection", (socket) => open.add(socket));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const log = new HttpLog({
    url: `http://127.0.0.1:${port}`,
    timeoutMs: TIMEOUT_MS,
  });
  cleanups.push(
    () => log.close(),
    () => server.closeAllConnections(),
    () => server.close(),
  );
  return {
    log,
    silence: () => {
      for (const socket of open) silent.add(socket);
    },
  };
}

// Guards against reads that use one unresponsive connection after the other, each for a whole
// timeout, after all idle connections have become unresponsive together.
test("a read after a timeout uses a new connection", async () => {
  const { log, silence } = await startLog();
  const reads = Array.from({ length: CONNECTIONS }, () => log.read("s", 0));
  await Promise.all(reads);
  silence();
  await assert.rejects(log.read("s", 0), LogUnavailableError);
  assert.equal((await log.read("s", 0)).next, 0);
});

/** Starts a server that responds without end, and resolves with its URL. */
async function startEndlessServer(): Promise<string> {
  const part = Buffer.alloc(1024 * 1024, " ");
  const server = createServer((_request, response) => {
    const sendOn = (): void => {
      while (!response.destroyed && response.write(part));
    };
    response.on("drain", sendOn);
    sendOn();
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  cleanups.push(() => server.closeAllConnections(), () => server.close());
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

// Guards against a response without end, which is read until the timeout or until the memory is full.
test("responses of the log and of the list of VMs have a limit", async () => {
  const url = await startEndlessServer();
  const log = new HttpLog({ url, timeoutMs: LONG_TIMEOUT_MS });
  cleanups.push(() => log.close());
  await assert.rejects(log.read("s", 0), /exceeds \d+ bytes/);
  const list = new HttpVmList({ url, timeoutMs: LONG_TIMEOUT_MS });
  await assert.rejects(list.readVms(), /exceeds \d+ bytes/);
});
