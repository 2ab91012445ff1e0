import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { ManualClock, type ServeError } from "heatherarch-core";
import {
  type CallDependencies,
  CallServer,
  type ClientResponse,
  ForwardMetrics,
  MemoryEventLog,
  RouteTable,
} from "../../mod.ts";
import { buildConfig, buildRoute, createShutdown } from "./fixtures.ts";

/** Serves a call at a VM without processor time: nobody's turn comes at its read barrier. */
function serveWithoutTurn(clientTimeoutMs?: number) {
  const clock = new ManualClock();
  const errors: ServeError[] = [];
  const table = new RouteTable(
    buildConfig({ routes: [buildRoute({ timeoutMs: 2000 })] }),
  );
  const server = new CallServer({
    clock,
    activeConfig: { table, version: 1, getAgeMs: () => 0 },
    readBarrier: { awaitTurn: () => new Promise(() => undefined) },
    shutdown: createShutdown(clock),
    metrics: new ForwardMetrics(),
    log: new MemoryEventLog(),
    drawUnit: () => 0.5,
  } as unknown as CallDependencies);
  const response = {
    isDisconnected: false,
    isHeadSent: false,
    fail: (error: ServeError) => errors.push(error),
  } as unknown as ClientResponse;
  const ended = server.serve({
    id: "call",
    method: "POST",
    path: "/a/x",
    host: "a.example",
    headers: [],
    body: Buffer.alloc(0),
    arrivedAtMs: clock.readMonotonicMs(),
    clientTimeoutMs,
  }, response);
  return { ended, errors };
}

// Guards against requests that stay unanswered after their timeout at a VM without processor time.
for (
  const { name, clientTimeoutMs, expectedMs } of [
    { name: "its client", clientTimeoutMs: 800, expectedMs: 800 },
    { name: "its route", clientTimeoutMs: undefined, expectedMs: 2000 },
    {
      name: "its route, before that of its client",
      clientTimeoutMs: 9000,
      expectedMs: 2000,
    },
  ]
) {
  test(`a call that is not served within the timeout of ${name} is rejected as not run`, async () => {
    mock.timers.enable({ apis: ["setTimeout"] });
    try {
      const { ended, errors } = serveWithoutTurn(clientTimeoutMs);
      mock.timers.tick(expectedMs - 1);
      assert.equal(errors.length, 0);
      mock.timers.tick(1);
      await ended;
      const rejections = errors.map(({ kind, run, retryAfterMs }) => [
        kind,
        run,
        retryAfterMs,
      ]);
      assert.deepEqual(rejections, [["overloaded", "no", 750]]);
    } finally {
      mock.timers.reset();
    }
  });
}
