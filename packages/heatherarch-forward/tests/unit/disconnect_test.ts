import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { Socket } from "node:net";
import { test } from "node:test";
import { ReadBarrier, RuntimeClock } from "heatherarch-core";
import { PartQuarantine, RequestQuarantine } from "heatherarch-quarantine";
import type { Dispatcher } from "undici";
import {
  CallContext,
  type CallDependencies,
  type CallKind,
  ClientConnection,
  type ClientResponse,
  FleetDemand,
  FleetRetryBudget,
  ForwardMetrics,
  MemoryEventLog,
  ReturnTimes,
  TargetExchange,
} from "../../mod.ts";
import {
  buildIdlePathMonitor,
  buildRoute,
  buildTarget,
  createShutdown,
} from "./fixtures.ts";

const REQUEST = { path: "/", method: "POST", headers: [], body: null };

/** Builds an exchange whose connection is being opened, and a function that opens it. */
function buildOpeningExchange() {
  let handler: Dispatcher.DispatchHandler | undefined;
  const dispatch = (
    _options: Dispatcher.DispatchOptions,
    given: Dispatcher.DispatchHandler,
  ): boolean => {
    handler = given;
    return true;
  };
  let isAborted = false;
  const controller = {
    abort: () => isAborted = true,
  } as unknown as Dispatcher.DispatchController;
  const exchange = new TargetExchange({ dispatch }, "", REQUEST, {
    onRelease: () => undefined,
  });
  return {
    exchange,
    open: () => handler?.onRequestStart?.(controller, undefined),
    isAborted: () => isAborted,
  };
}

/** Builds the context of a call whose client may disconnect. */
function buildCall(kind: CallKind, exchange: TargetExchange) {
  const clock = new RuntimeClock();
  const socket = new EventEmitter();
  const connection = new ClientConnection(socket as Socket);
  const fleetDemand = new FleetDemand();
  const metrics = new ForwardMetrics();
  const buildContext = (): CallContext =>
    new CallContext({
      dependencies: {
        clock,
        activeConfig: { version: 1 },
        quarantine: new RequestQuarantine(),
        partQuarantine: new PartQuarantine(),
        pathMonitor: buildIdlePathMonitor(),
        retryBudget: new FleetRetryBudget({
          fixedPerWindow: 10,
          share: 1,
          windowMs: 10_000,
        }),
        fleetDemand,
        returnTimes: new ReturnTimes({ share: fleetDemand, drawUnit: () => 0 }),
        connections: { send: () => exchange },
        readBarrier: new ReadBarrier(),
        shutdown: createShutdown(clock),
        metrics,
        log: new MemoryEventLog(),
        drawUnit: () => 0,
      } as unknown as CallDependencies,
      call: {
        id: "call",
        method: "POST",
        path: "/a/x",
        host: "a.example",
        headers: [],
        body: Buffer.from("body"),
        arrivedAtMs: clock.readMonotonicMs(),
        clientTimeoutMs: 2000,
      },
      route: buildRoute({ kind }),
      service: { name: "s", maxConnections: 10 },
      configVersion: 1,
      clientResponse: {
        get isDisconnected() {
          return connection.isEnded;
        },
        isHeadSent: false,
        registerDisconnectListener: (listener: () => void) =>
          connection.registerEndListener(listener),
      } as unknown as ClientResponse,
    });
  return { buildContext, disconnect: () => socket.emit("end"), metrics };
}

// Guards against a request that may run once and is written for a client that left while the
// connection to its target was being opened.
test("a request that is not sent yet is aborted with its client, whatever its kind", async () => {
  for (const kind of ["once", "idempotent", "stream"] as const) {
    const { exchange, open, isAborted } = buildOpeningExchange();
    const { buildContext, disconnect } = buildCall(kind, exchange);
    const context = buildContext();
    context.send(buildTarget("t"), () => REQUEST);
    disconnect();
    const end = await exchange.ended;
    assert.ok(end !== "ended" && end.fault === "notSent", kind);
    // undici opens the connection all the same, and must not write the request.
    open();
    assert.equal(isAborted(), true, kind);
  }
});

test("a request that may run once and has been sent is completed without its client", () => {
  const { exchange, open, isAborted } = buildOpeningExchange();
  const { buildContext, disconnect } = buildCall("once", exchange);
  const context = buildContext();
  context.send(buildTarget("t"), () => REQUEST);
  open();
  disconnect();
  assert.equal(context.hasEnded, true);
  assert.equal(isAborted(), false);
});

// Guards against a call that waits for an event which has happened already.
test("a call whose client has disconnected already ends at once", async () => {
  const { exchange } = buildOpeningExchange();
  const { buildContext, disconnect, metrics } = buildCall("stream", exchange);
  disconnect();
  assert.equal(buildContext().hasEnded, true);
  const { values } = await metrics.disconnects.get();
  assert.deepEqual(values.map(({ labels, value }) => [labels.stage, value]), [
    ["waiting", 1],
  ]);
});

test("each call on a connection hears of its end once, unless it has ended before", () => {
  const socket = new EventEmitter();
  const connection = new ClientConnection(socket as Socket);
  const heard: string[] = [];
  connection.registerEndListener(() => heard.push("first"));
  connection.registerEndListener(() => heard.push("ended"))();
  connection.registerEndListener(() => heard.push("second"));
  socket.emit("end");
  socket.emit("close");
  assert.deepEqual(heard, ["first", "second"]);
  assert.equal(connection.isEnded, true);
});

// Guards against calls that are sent between the reset of a connection and its close, which is emitted
// after the check phase of the event loop.
test("a reset ends a connection before its close", () => {
  const socket = new EventEmitter();
  const connection = new ClientConnection(socket as Socket);
  socket.emit("error", new Error("read ECONNRESET"));
  assert.equal(connection.isEnded, true);
  socket.emit("error", new Error("write EPIPE"));
});
