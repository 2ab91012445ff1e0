import assert from "node:assert/strict";
import { test } from "node:test";
import { ReadBarrier, RuntimeClock, type ServeError } from "heatherarch-core";
import {
  type BodyListener,
  type CallDependencies,
  type CallKind,
  CallServer,
  type ClientResponse,
  type EventLog,
  ExchangeError,
  ForwardMetrics,
  MemoryEventLog,
  NO_ATTEMPTS,
  reportInternalError,
  reportUncaught,
  RouteTable,
  runAll,
  sendHandover,
  StreamRelay,
  TargetConnections,
  TargetExchange,
} from "../../mod.ts";
import {
  buildConfig,
  buildRoute,
  buildTarget,
  createShutdown,
} from "./fixtures.ts";
import { runScript, type ScriptedResult } from "./scripted_call.ts";

const REQUEST = { path: "/", method: "GET", headers: [], body: null };
const KINDS = ["once", "idempotent", "stream", "resumableStream"] as const;

function isSent(end: ScriptedResult): boolean {
  return end !== "unsendable";
}

/** Runs a call whose first attempts end as given; returns the status and the number of runs. */
async function runWith(
  kind: CallKind,
  ...ends: ScriptedResult[]
): Promise<[number | undefined, number]> {
  const outcome = await runScript(
    kind,
    ends.map((end) => ({ end, restarts: false })),
  );
  assert.ok(outcome.events.includes("internalError"), kind);
  // A target that may have run the call counts as busy for a while.
  if (!ends.some(isSent)) assert.equal(outcome.countInFlight(), 0, kind);
  return [outcome.status, outcome.runs.length];
}

// Guards against calls that end with 500 for one target to which nothing can be sent, as its entry in the
// target list has an address that no library takes.
test("a call is served at another target after an error before anything was sent", async () => {
  for (const kind of KINDS) {
    assert.deepEqual(await runWith(kind, "unsendable"), [200, 1], kind);
  }
});

// Guards against a booking of which nothing was sent that gets no promise that it has not run.
test("a call that could be sent nowhere is refused as not run", async () => {
  for (const kind of ["once", "idempotent"] as const) {
    const end = await runWith(kind, "unsendable", "unsendable");
    assert.deepEqual(end, [503, 0], kind);
  }
});

// Guards against calls that are repeated, or refused as not run, although their request was sent before the
// error.
test("after an error with its response, only a repeatable call is served elsewhere", async () => {
  for (const error of ["undecodable", "unwritable"] as const) {
    assert.deepEqual(await runWith("once", error), [502, 1], error);
    assert.deepEqual(await runWith("stream", error), [502, 1], error);
    assert.deepEqual(await runWith("idempotent", error), [200, 2], error);
    assert.deepEqual(await runWith("resumableStream", error), [200, 2], error);
  }
});

// Guards against requests that are counted as in flight although an address can't be parsed, and against
// senders that get an exception instead of the end of an exchange.
test("a target without a usable address ends an exchange as one that is not reached", async () => {
  const connections = new TargetConnections();
  const target = { ...buildTarget("t"), address: "127.0.0.1:65536" };
  for (let i = 0; i < 3; i++) {
    const exchange = connections.send(target, REQUEST);
    const end = await exchange.ended;
    assert.ok(end instanceof ExchangeError);
    assert.equal(end.fault, "notSent");
    assert.ok(!exchange.isSent);
  }
  assert.ok(connections.hasCapacity(target, 3));
  await connections.close();
});

// Guards against an exchange without an end when a library rejects the request itself.
test("a request that a library rejects ends its exchange as not sent, once", async () => {
  let releases = 0;
  const dispatcher = {
    dispatch: () => {
      throw new TypeError("invalid header");
    },
  };
  const exchange = new TargetExchange(dispatcher, "", REQUEST, {
    onRelease: () => releases++,
  });
  await assert.rejects(exchange.head, /invalid header/);
  assert.equal(releases, 1);
});

function serveAtBrokenVm(broken: Partial<Record<string, unknown>>) {
  const clock = new RuntimeClock();
  const errors: ServeError[] = [];
  const log = new MemoryEventLog();
  const metrics = new ForwardMetrics();
  const table = new RouteTable(buildConfig({ routes: [buildRoute()] }));
  const server = new CallServer({
    clock,
    activeConfig: { table, version: 1, getAgeMs: () => 0 },
    readBarrier: new ReadBarrier(),
    shutdown: createShutdown(clock),
    metrics,
    log,
    drawUnit: () => 0.5,
    ...broken,
  } as unknown as CallDependencies);
  const response = {
    isDisconnected: false,
    isHeadSent: false,
    fail: (error: ServeError) => {
      errors.push(error);
      response.isHeadSent = true;
    },
    destroy: () => undefined,
  };
  const ended = server.serve({
    id: "call",
    method: "POST",
    path: "/a/x",
    host: "a.example",
    headers: [],
    body: Buffer.alloc(0),
    arrivedAtMs: clock.readMonotonicMs(),
  }, response as unknown as ClientResponse);
  return { ended, errors, log, metrics };
}

// Guards against a 500 without a promise for a call that was not sent anywhere.
test("a call that meets an error before it has a target is refused as not run", async () => {
  const { ended, errors, log, metrics } = serveAtBrokenVm({
    directory: {
      listServing: () => {
        throw new RangeError("broken directory");
      },
    },
  });
  await ended;
  assert.deepEqual(errors.map(({ kind, run }) => [kind, run]), [
    ["overloaded", "no"],
  ]);
  assert.deepEqual(log.lines.map(({ event }) => event), ["internalError"]);
  const { values } = await metrics.inFlight.get();
  assert.equal(values[0].value, 0);
});

// Guards against calls without an end because the log or the metrics fail while an error is reported.
test("an error is reported without a throw although the log and the metrics fail", () => {
  const log: EventLog = {
    write: () => {
      throw new Error("no log");
    },
  };
  const metrics = {
    internalErrors: {
      inc: () => {
        throw new Error("no metrics");
      },
    },
  } as unknown as ForwardMetrics;
  reportInternalError({ log, metrics }, "call", new Error("cause"));
});

// Guards against what a call holds being kept because an earlier step of its end failed.
test("all steps are run although one of them throws", () => {
  const done: number[] = [];
  const steps = [1, 2, 3].map((step) => () => {
    done.push(step);
    if (step < 3) throw new Error(`step ${step}`);
  });
  assert.throws(() => runAll(steps), /step 1/);
  assert.deepEqual(done, [1, 2, 3]);
});

// Guards against a promise that a call has not run, although a peer has it, because a log line failed; and
// against a peer that waits for a call that could not be encoded.
test("an error of the log after a call was sent to a peer leaves the call sent", () => {
  const sent: unknown[] = [];
  let closed = 0;
  const connection = {
    peer: { id: "peer" },
    send: (head: unknown) => void sent.push(head),
    close: () => closed++,
  } as unknown as Parameters<typeof sendHandover>[1];
  const metrics = new ForwardMetrics();
  const log: EventLog = {
    write: () => {
      throw new Error("no log");
    },
  };
  const receivedCall = { id: "call", body: Buffer.alloc(0), headers: [] };
  const context = {
    receivedCall,
    streamPosition: undefined,
    nowMs: 5,
    call: receivedCall,
    service: { name: "s" },
    dependencies: { log, metrics },
  } as unknown as Parameters<typeof sendHandover>[0];
  const state = { runs: 0, isUsageRecorded: false, attempts: NO_ATTEMPTS };
  const exchange = sendHandover(context, connection, state);
  assert.equal(sent.length, 1);
  assert.equal(exchange.isSent, true);
  const broken = {
    ...state,
    get attempts(): never {
      throw new RangeError("broken encoder");
    },
  };
  assert.throws(
    () => sendHandover(context, connection, broken),
    /broken encoder/,
  );
  assert.deepEqual([sent.length, closed], [1, 1]);
});

// Guards against a stream that goes on at another engine behind events that the client never got.
test("a stream goes on with the events that an error kept from the client", async () => {
  const outcome = await runScript("resumableStream", [
    { end: "unwritable", restarts: false },
  ]);
  assert.deepEqual(
    [...outcome.body.matchAll(/id: (\d)/g)].map(([, id]) => id),
    ["1", "2", "3"],
  );
  assert.equal(outcome.isWhole, true);
});

// Guards against bytes behind a gap: it is not known what a client got of a write that failed.
test("a response is cut off when a write to its client fails", () => {
  let isCut = false;
  const clientResponse = {
    isHeadSent: true,
    write: () => {
      throw new TypeError("no write");
    },
    destroy: () => isCut = true,
  } as unknown as ClientResponse;
  const relay = new StreamRelay({
    clientResponse,
    isResumable: false,
    onFirstByte: () => undefined,
  });
  const state = { listener: undefined as BodyListener | undefined };
  const exchange = {
    setBodyListener: (set: BodyListener) => state.listener = set,
  } as unknown as TargetExchange;
  void relay.relay(exchange, { status: 200, headers: {}, rawHeaders: [] });
  assert.throws(() => state.listener?.onData(Buffer.from("x")), /no write/);
  assert.equal(isCut, true);
});

// Guards against calls that are not served, and a server that rejects, while the metrics fail.
test("a call is refused while calls in flight can't be counted", async () => {
  const metrics = new ForwardMetrics();
  metrics.inFlight.inc = () => {
    throw new Error("no metrics");
  };
  const { ended, errors } = serveAtBrokenVm({ metrics });
  await ended;
  assert.deepEqual(errors.map(({ run }) => run), ["no"]);
});

// Guards against a process that ends because the log fails while an uncaught error is reported, and against
// one whose errors are not counted.
test("an uncaught error is counted and reported without a throw, also before the metrics exist", async () => {
  const log: EventLog = {
    write: () => {
      throw new Error("no log");
    },
  };
  const metrics = new ForwardMetrics();
  reportUncaught(log, metrics, new Error("cause"));
  reportUncaught(log, undefined, Object.create(null));
  const { values } = await metrics.internalErrors.get();
  assert.deepEqual(
    values.map(({ labels, value }) => [labels.place, value]),
    [["process", 1]],
  );
  const lines = new MemoryEventLog();
  reportUncaught(lines, undefined, "cause");
  assert.deepEqual(lines.lines.map(({ event, fields }) => [event, fields]), [
    ["uncaught", { error: "cause" }],
  ]);
});
