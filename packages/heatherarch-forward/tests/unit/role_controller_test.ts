import assert from "node:assert/strict";
import { createServer, type Server } from "node:http";
import { afterEach, test } from "node:test";
import type { Clock } from "heatherarch-core";
import type { LogPort, LogRecord } from "heatherarch-log";
import {
  ActiveConfig,
  type CallCodec,
  type EncodedRequest,
  ForwardMetrics,
  MemoryEventLog,
  RoleController,
  type Target,
  TargetConnections,
  TargetDirectory,
  TargetHealth,
} from "../../mod.ts";
import {
  buildConfig,
  buildEngine,
  buildRateLimits,
  TRAITS,
} from "./fixtures.ts";

let server: Server | undefined;
let connections: TargetConnections | undefined;
let controller: RoleController | undefined;

afterEach(async () => {
  await controller?.stop();
  await connections?.close();
  server?.close();
  server?.closeAllConnections();
});

/** The clock of a machine whose monotonic time stops while it is suspended. */
class SuspendableClock implements Clock {
  #suspendedMs = 0;

  readWallMs(): number {
    return Date.now();
  }

  readMonotonicMs(): number {
    return performance.now() - this.#suspendedMs;
  }

  readBootMs(): number {
    return performance.now();
  }

  /** Advances monotonic time by `ms`. */
  skip(ms: number): void {
    this.#suspendedMs -= ms;
  }

  /** Simulates a suspension of the machine for `ms` that ends now. */
  suspend(ms: number): void {
    this.#suspendedMs += ms;
  }
}

/** Time from a role change to its entry in the target list, milliseconds. */
const MAX_LISTING_DELAY_MS = 3000;
/** Time from an order to the engine's response, milliseconds. */
const ORDER_RESPONSE_MS = 30;

/** Starts an engine's control interface, which records the orders that it receives. */
async function startEngine(onReport: () => void): Promise<{
  address: string;
  orders: { fencing: number }[];
}> {
  const orders: { fencing: number }[] = [];
  server = createServer((request, response) => {
    if (request.url === "/report") {
      onReport();
      response.end("{}");
      return;
    }
    orders.push({ fencing: Number(request.url?.split("/").at(-1)) });
    setTimeout(() => response.writeHead(202).end(), ORDER_RESPONSE_MS);
  });
  await new Promise<void>((resolve) => server?.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as { port: number };
  return { address: `127.0.0.1:${port}`, orders };
}

/** Listed start of the engines, Unix milliseconds. */
const LISTED_START_MS = 1_767_225_600_000;

function buildRequest(path: string): EncodedRequest {
  return { path, method: "GET", headers: [], body: null };
}

function buildCodec(): CallCodec {
  return {
    encodeReportRequest: () => buildRequest("/report"),
    decodeReport: () => ({
      role: "prefill",
      isChangingRole: false,
      ordersTaken: 0,
    }),
    encodeRoleOrder: (order: { fencing: number }) =>
      buildRequest(`/order/${order.fencing}`),
  } as unknown as CallCodec;
}

function buildLog(): LogPort {
  const records: LogRecord[] = [];
  return {
    append: (_stream, data) => {
      const offset = records.length;
      records.push({ offset, appendedAtMs: 0, data });
      return Promise.resolve(offset);
    },
    read: (_stream, from) =>
      Promise.resolve({
        records: records.slice(from),
        first: 0,
        next: records.length,
      }),
  };
}

/** Four engines at one address, all of which prefill. */
function buildEngines(address: string): Target[] {
  return ["e1", "e2", "e3", "e4"].map((id) =>
    buildEngine(id, { address, startedAtMs: LISTED_START_MS })
  );
}

/** Creates the controller of one VM, by default for four engines that share one address. */
function createController(
  {
    address,
    clock,
    codec,
    isListCurrent = () => true,
    hasPath = () => true,
    engines = buildEngines(address),
  }: {
    address: string;
    clock: SuspendableClock;
    codec: CallCodec;
    isListCurrent?: () => boolean;
    hasPath?: () => boolean;
    engines?: readonly Target[];
  },
): { controller: RoleController; events: MemoryEventLog } {
  const directory = new TargetDirectory();
  directory.applyList(
    engines.map((engine) => ({ key: engine.id, value: engine })),
    clock.readMonotonicMs(),
  );
  const activeConfig = new ActiveConfig({ clock });
  activeConfig.applyConfig(
    buildConfig({
      services: [{ name: "s", maxConnections: 100, engine: TRAITS }],
    }),
    "store",
  );
  connections = new TargetConnections();
  const events = new MemoryEventLog();
  const created = new RoleController({
    hasRuns: () => false,
    vmId: "vm-a",
    incarnation: "vm-a-1",
    log: buildLog(),
    leaseMs: 600,
    clock,
    activeConfig,
    directory,
    connections,
    health: new TargetHealth(),
    ...buildRateLimits(),
    codec,
    events,
    metrics: new ForwardMetrics(),
    listOrderCandidates: () => ["vm-a"],
    isListCurrent,
    hasPath,
  });
  return { controller: created, events };
}

test("a lease holder sends no order under its lease after a suspension of its machine", async () => {
  const clock = new SuspendableClock();
  let reports = 0;
  const engine = await startEngine(() => {
    reports++;
    // The machine is suspended between the last check of the lease and the order.
    if (reports === 1) clock.suspend(5000);
  });
  const { address } = engine;
  const created = createController({ address, clock, codec: buildCodec() });
  const { events } = created;
  controller = created.controller;
  controller.start();
  const untilMs = performance.now() + 15_000;
  const isOrdered = (): boolean =>
    events.lines.some(({ event }) => event === "roleOrdered");
  // An order is logged after its response, which is later than the engine receives it.
  while (!isOrdered() && performance.now() < untilMs) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  const names = events.lines.map(({ event }) => event);
  const dropped = names.indexOf("leaseDropped");
  assert.ok(dropped >= 0, "the lease was dropped");
  assert.ok(names.indexOf("roleOrdered") > dropped, "no order was sent before");
  const [first] = engine.orders;
  assert.ok(first.fencing > 0, "the order was sent under a claim of its own");
});

test("an engine that has restarted since it was listed receives no order", async () => {
  let reports = 0;
  const engine = await startEngine(() => {
    reports++;
  });
  const created = createController({
    address: engine.address,
    clock: new SuspendableClock(),
    codec: {
      ...buildCodec(),
      decodeReport: () => ({
        role: "prefill",
        isChangingRole: false,
        ordersTaken: 0,
        startedAtMs: LISTED_START_MS + 1,
      }),
    },
  });
  controller = created.controller;
  controller.start();
  const untilMs = performance.now() + 10_000;
  while (reports < 4 && performance.now() < untilMs) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  assert.ok(reports >= 4, "reports were requested");
  assert.deepEqual(engine.orders, []);
});

// Guards against a VM that holds the lease for orders that it can't send, while VMs that reach the
// engines wait for it.
test("a VM that loses its path to engines releases the lease and seeks it no more", async () => {
  const listNames = (): string[] =>
    created.events.lines.map(({ event }) => event);
  const created = createController({
    address: "127.0.0.1:1",
    clock: new SuspendableClock(),
    codec: buildCodec(),
    // The path is found to be lost once the first order could not be sent.
    hasPath: () => !listNames().includes("engineUnanswered"),
  });
  controller = created.controller;
  controller.start();
  const untilMs = performance.now() + 5000;
  while (!listNames().includes("leaseGivenUp") && performance.now() < untilMs) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  await new Promise((resolve) => setTimeout(resolve, 1000));
  const leaseEvents = listNames().filter((name) => name.startsWith("lease"));
  assert.deepEqual(leaseEvents, ["leaseSought", "leaseTaken", "leaseGivenUp"]);
});

// All VMs withhold work from an engine for as long as the VM that ordered its role change lists it as
// changing. A change that did not expire would leave the engine without work.
test("an ordered change expires in time although the list can't be read meanwhile", async () => {
  const clock = new SuspendableClock();
  const engine = await startEngine(() => undefined);
  let isReadable = true;
  const created = createController({
    address: engine.address,
    clock,
    codec: buildCodec(),
    isListCurrent: () => isReadable,
  });
  controller = created.controller;
  controller.start();
  const untilMs = performance.now() + 10_000;
  while (engine.orders.length < 2 && performance.now() < untilMs) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  isReadable = false;
  assert.equal(controller.listChangingRole().length, 2);
  clock.skip(TRAITS.roleChangeMs + MAX_LISTING_DELAY_MS);
  assert.deepEqual(controller.listChangingRole(), []);
});

// Guards against a VM that has sent no call, and so knows nothing of engines that refuse connections,
// and orders the sound decode engines beside them to prefill.
test("a VM without calls orders no sound decode engine to prefill beside ones that refuse connections", async () => {
  const engine = await startEngine(() => undefined);
  const { address } = engine;
  const created = createController({
    address,
    clock: new SuspendableClock(),
    codec: {
      ...buildCodec(),
      decodeReport: () => ({
        role: "decode",
        isChangingRole: false,
        ordersTaken: 0,
      }),
    },
    engines: [
      ...["r1", "r2"].map((id) => buildEngine(id, { address })),
      ...["d1", "d2"].map((id) =>
        buildEngine(id, { address, role: "decode" as const })
      ),
      ...["x1", "x2", "x3"].map((id) =>
        buildEngine(id, { address: "127.0.0.1:1", role: "decode" as const })
      ),
    ],
  });
  controller = created.controller;
  controller.start();
  await new Promise((resolve) => setTimeout(resolve, 4000));
  assert.deepEqual(engine.orders, []);
  const names = created.events.lines.map(({ event }) => event);
  assert.ok(!names.includes("leaseSought"), "no lease was sought");
  const unanswered = names.filter((name) => name === "engineUnanswered");
  assert.equal(unanswered.length, 3, "each was asked once");
});

/** Starts the controller of one VM for four decode engines, two more than the plan wants. */
async function startWithSurplus(
  { isChangingRole }: { isChangingRole: boolean },
) {
  const engine = await startEngine(() => undefined);
  const { address } = engine;
  const created = createController({
    address,
    clock: new SuspendableClock(),
    codec: {
      ...buildCodec(),
      decodeReport: () => ({ role: "decode", isChangingRole, ordersTaken: 0 }),
    },
    engines: ["d1", "d2", "d3", "d4"].map((id) =>
      buildEngine(id, { address, role: "decode" as const })
    ),
  });
  controller = created.controller;
  controller.start();
  return { engine, events: created.events };
}

// Guards against decode engines beyond the plan that stay because their reports are required.
test("decode engines beyond the plan are ordered to prefill when all report", async () => {
  const { engine } = await startWithSurplus({ isChangingRole: false });
  const untilMs = performance.now() + 10_000;
  while (engine.orders.length < 2 && performance.now() < untilMs) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  assert.equal(engine.orders.length, 2);
});

// Guards against decode engines that are given up while their replacements are still changing their role.
test("no engine is ordered to prefill while another one is still changing to decode", async () => {
  const { engine, events } = await startWithSurplus({ isChangingRole: true });
  await new Promise((resolve) => setTimeout(resolve, 3000));
  assert.deepEqual(engine.orders, []);
  const names = events.lines.map(({ event }) => event);
  assert.ok(!names.includes("leaseSought"), "no lease was sought");
});
