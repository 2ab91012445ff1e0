import assert from "node:assert/strict";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { afterEach, beforeEach, test } from "node:test";
import { ReadBarrier, sleep } from "../../mod.ts";

let server: Server;
let accepted: Socket[];

beforeEach(async () => {
  accepted = [];
  server = createServer((socket) => accepted.push(socket));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
});

afterEach(() => {
  for (const socket of accepted) socket.destroy();
  server.close();
});

async function openConnection(): Promise<Socket> {
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  await new Promise((resolve) => socket.once("connect", resolve));
  while (accepted.length === 0) await sleep(1);
  return socket;
}

function blockEventLoop(ms: number): void {
  const untilMs = performance.now() + ms;
  while (performance.now() < untilMs);
}

// Guards against work for a client whose disconnect waits behind its request.
test("the end of a connection that arrived with its data is read before the barrier resolves", async () => {
  const client = await openConnection();
  const [socket] = accepted;
  const barrier = new ReadBarrier();
  let isEnded = false;
  socket.once("end", () => isEnded = true);
  const passed = new Promise<boolean>((resolve) =>
    socket.once("data", async () => {
      await barrier.awaitRead();
      resolve(isEnded);
    })
  );
  client.write("request");
  client.destroy();
  assert.equal(await passed, true);
});

// Guards against timers that act after a stall on what was known before it.
test("a timer that waits for the barrier knows what arrived during a stall", async () => {
  const client = await openConnection();
  const [socket] = accepted;
  const barrier = new ReadBarrier();
  let hasData = false;
  socket.once("data", () => hasData = true);
  const known = new Promise<boolean[]>((resolve) =>
    setTimeout(async () => {
      const before = hasData;
      await barrier.awaitRead();
      resolve([before, hasData]);
    }, 5)
  );
  client.write("response");
  blockEventLoop(30);
  assert.deepEqual(await known, [false, true]);
});

// Guards against connections and disconnects that wait for as long as all work of a burst takes.
test("a burst of work is started in its order and in parts, each after a pass", async () => {
  let passes = 0;
  let passedAtMs = 0;
  const barrier = new ReadBarrier({
    onPass: () => {
      passes++;
      passedAtMs = performance.now();
    },
  });
  const order: number[] = [];
  const agesMs: number[] = [];
  const workMs = 30;
  await Promise.all(Array.from({ length: 30 }, async (_, i) => {
    await barrier.awaitTurn();
    order.push(i);
    agesMs.push(performance.now() - passedAtMs);
    blockEventLoop(workMs);
  }));
  assert.deepEqual(order, [...order].sort((a, b) => a - b));
  assert.ok(passes >= 4, `${passes} passes`);
  // A pass is current for 200 ms, and the work that has been started by then is completed.
  assert.ok(Math.max(...agesMs) < 225, `${Math.max(...agesMs)} ms`);
});

test("waiters that come during a pass wait for a pass of their own", async () => {
  let passes = 0;
  const barrier = new ReadBarrier({ onPass: () => passes++ });
  const first = barrier.awaitRead();
  await new Promise((resolve) => setImmediate(resolve));
  const second = barrier.awaitRead();
  await first;
  assert.equal(passes, 1);
  await second;
  assert.equal(passes, 2);
});

test("what a pass has read is current for some milliseconds", async () => {
  const barrier = new ReadBarrier();
  assert.equal(barrier.isCurrent, false);
  await barrier.awaitRead();
  assert.equal(barrier.isCurrent, true);
  blockEventLoop(220);
  assert.equal(barrier.isCurrent, false);
});

// Guards against a process that is frozen after it has read, and acts when it resumes on what it knew.
test("a pass that took long is repeated, but not without end", async () => {
  let nowMs = 0;
  let passes = 0;
  const checks: (() => void)[] = [];
  const barrier = new ReadBarrier({
    clock: { readMonotonicMs: () => nowMs },
    onPass: () => passes++,
    scheduleCheck: (run) => void checks.push(run),
  });
  const runTurn = async (ms: number): Promise<void> => {
    nowMs += ms;
    for (const run of checks.splice(0)) run();
    await new Promise((resolve) => setImmediate(resolve));
  };
  let isRead = false;
  void barrier.awaitRead().then(() => isRead = true);
  await runTurn(1);
  await runTurn(800);
  assert.equal(isRead, false);
  await runTurn(20);
  assert.equal(isRead, true);
  void barrier.awaitRead().then(() => passes = 0);
  for (let turn = 0; turn < 5; turn++) await runTurn(800);
  assert.equal(passes, 0);
});

// Guards against a process that holds all its calls because what counts its passes fails.
test("an error of the pass listener holds nobody", async () => {
  const checks: (() => void)[] = [];
  let errors = 0;
  const barrier = new ReadBarrier({
    scheduleCheck: (run) => void checks.push(run),
    onPass: () => {
      throw new Error("no metrics");
    },
  });
  let isReleased = false;
  void barrier.awaitRead().then(() => isReleased = true);
  while (checks.length > 0) {
    try {
      checks.shift()?.();
    } catch {
      errors++;
    }
  }
  await sleep(1);
  assert.equal(isReleased, true);
  assert.equal(errors, 1);
});
