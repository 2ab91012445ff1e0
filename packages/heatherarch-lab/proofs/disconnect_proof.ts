/**
 * Proof that no call is sent long after its client's disconnect has arrived, however late the event loop
 * reads it. A model of an event loop accepts one connection per turn, delivers one event of a connection
 * per turn, and runs timers before it reads; calls are the real ones.
 *
 * @module
 */
import { EventEmitter } from "node:events";
import type { Socket } from "node:net";
import fc from "fast-check";
import {
  ManualClock,
  READ_BARRIER_GUARDS,
  ReadBarrier,
  type ReadBarrierGuard,
} from "heatherarch-core";
import {
  buildWithheldExchange,
  CallContext,
  type CallDependencies,
  ClientConnection,
  type Route,
  type Target,
  type TargetConnections,
  TargetDirectory,
} from "heatherarch-forward";
import { buildFakeDependencies, buildFakeResponse } from "./call_fakes.ts";
import { assertProperty, type Proof } from "./proof.ts";

const GUARDS = [
  ...READ_BARRIER_GUARDS,
  /** A call that was read waits for the barrier before it is routed. */
  "waitsOnceRead",
  /** A call that waited in a queue waits for the barrier before it is sent. */
  "waitsBeforeSend",
  /** A call waits for the barrier once the connection to its target is open. */
  "waitsOnceOpen",
] as const;
type Guard = typeof GUARDS[number];

interface SimulatedClient {
  /** The connection was accepted before. */
  readonly isKept: boolean;
  readonly sentAtMs: number;
  /** Time from the request to the disconnect. */
  readonly staysMs: number;
  /** Time for which the call waits for a target; 0 if it is sent at once. */
  readonly queuedMs: number;
  /** A connection to the target has to be opened. */
  readonly opensConnection: boolean;
}

interface Schedule {
  readonly clients: readonly SimulatedClient[];
  /** Durations of the turns of the event loop without the work of calls. */
  readonly turnsMs: readonly number[];
  /** Times for which the process stands still between reading and the work of a turn. */
  readonly freezesMs: readonly number[];
  /** Time that it takes to send one call. */
  readonly workMs: number;
}

/** Time after a disconnect within which a call may still be sent: the users' bound. */
const MAX_LATE_MS = 500;
const MAX_TURNS = 400;
const ROUTE: Route = {
  name: "r",
  host: "h",
  pathPrefix: "/",
  kind: "idempotent",
  timeoutMs: 600_000,
  aimMs: 300,
  priority: 1,
  maxTargets: 2,
  isKeyExempt: true,
  services: [],
};

/** One connection: a request, and the end of the connection behind it. */
class SimulatedConnection {
  readonly #client: SimulatedClient;
  readonly #socket = new EventEmitter();
  readonly connection = new ClientConnection(this.#socket as Socket);
  #isAccepted = false;
  #isRequestRead = false;

  constructor(client: SimulatedClient) {
    this.#client = client;
    this.#isAccepted = client.isKept;
  }

  get endsAtMs(): number {
    return this.#client.sentAtMs + this.#client.staysMs;
  }

  get queuedMs(): number {
    return this.#client.queuedMs;
  }

  get opensConnection(): boolean {
    return this.#client.opensConnection;
  }

  get isDone(): boolean {
    return this.connection.isEnded;
  }

  /** Accepts the connection if it waits for that. Returns whether it did. */
  accept(nowMs: number): boolean {
    if (this.#isAccepted || this.#client.sentAtMs > nowMs) return false;
    this.#isAccepted = true;
    return true;
  }

  /** Delivers the next event if it has arrived. Returns whether it was the request. */
  deliver(nowMs: number): boolean {
    if (!this.#isAccepted) return false;
    if (!this.#isRequestRead) {
      this.#isRequestRead = this.#client.sentAtMs <= nowMs;
      return this.#isRequestRead;
    }
    if (this.endsAtMs <= nowMs) this.#socket.emit("end");
    return false;
  }
}

/** The event loop of one VM, and the calls that it reads. */
class LoopSimulation {
  readonly #schedule: Schedule;
  readonly #disabledGuard: Guard | undefined;
  readonly #clock = new ManualClock();
  readonly #barrier: ReadBarrier;
  readonly #dependencies: CallDependencies;
  readonly #connections: SimulatedConnection[];
  readonly #contexts: CallContext[] = [];
  /** The first violation. */
  #error: unknown;
  #checks: (() => void)[] = [];
  /** Connections to targets that are open by the next turn. */
  readonly #opening: (() => void)[] = [];
  #timers: { readonly atMs: number; readonly run: () => void }[] = [];

  constructor(schedule: Schedule, disabledGuard: Guard | undefined) {
    this.#schedule = schedule;
    this.#disabledGuard = disabledGuard;
    this.#connections = schedule.clients.map((client) =>
      new SimulatedConnection(client)
    );
    this.#barrier = new ReadBarrier({
      clock: this.#clock,
      scheduleCheck: (run) => void this.#checks.push(run),
      disabledGuards: new Set(
        READ_BARRIER_GUARDS.filter((guard) => guard === disabledGuard),
      ) as ReadonlySet<ReadBarrierGuard>,
    });
    this.#dependencies = {
      ...buildFakeDependencies({
        clock: this.#clock,
        codec: {},
        directory: new TargetDirectory({ targetHeartbeatMs: 1200 }),
        connections: {
          send: () => buildWithheldExchange("simulated"),
        } as unknown as TargetConnections,
      }),
      readBarrier: this.#barrier,
    };
  }

  async run(): Promise<void> {
    const { turnsMs, freezesMs } = this.#schedule;
    for (let turn = 0; turn < MAX_TURNS && !this.#isDone; turn++) {
      this.#clock.advance(turnsMs[turn % turnsMs.length]);
      await this.#runTurn(freezesMs[turn % freezesMs.length]);
    }
    for (const context of this.#contexts) context.finish("failed");
    if (this.#error !== undefined) throw this.#error;
  }

  get #isDone(): boolean {
    return this.#connections.every(({ isDone }) => isDone);
  }

  async #runTurn(freezeMs: number): Promise<void> {
    const nowMs = this.#clock.readMonotonicMs();
    const due = this.#timers.filter(({ atMs }) => atMs <= nowMs);
    this.#timers = this.#timers.filter(({ atMs }) => atMs > nowMs);
    for (const { run } of due) run();
    await runMicrotasks();
    // Sockets are read in any order; those of targets come first here.
    for (const open of this.#opening.splice(0)) open();
    await runMicrotasks();
    for (const connection of this.#connections) {
      if (connection.deliver(nowMs)) this.#startCall(connection);
    }
    await runMicrotasks();
    this.#connections.find((connection) => connection.accept(nowMs));
    this.#clock.advance(freezeMs);
    for (const run of this.#checks.splice(0)) run();
    await runMicrotasks();
  }

  #startCall(connection: SimulatedConnection): void {
    this.#serve(connection).catch((error) => this.#error ??= error);
  }

  /** Serves a call as `CallServer` and the handlers of calls do. */
  async #serve(simulated: SimulatedConnection): Promise<void> {
    const { connection, queuedMs } = simulated;
    if (this.#disabledGuard !== "waitsOnceRead") {
      await this.#barrier.awaitTurn();
    }
    if (connection.isEnded) return;
    const context = this.#createContext(connection);
    if (queuedMs > 0) await this.#sleep(queuedMs);
    if (queuedMs === 0 || this.#disabledGuard !== "waitsBeforeSend") {
      await context.awaitSendable();
    }
    if (context.hasEnded) return;
    if (simulated.opensConnection) {
      this.#clock.advance(this.#schedule.workMs);
      await this.#openConnection();
    }
    if (context.hasEnded) return;
    const lateMs = this.#clock.readMonotonicMs() - simulated.endsAtMs;
    assertProperty(
      lateMs <= MAX_LATE_MS,
      "no call is sent long after its client has left",
      `${lateMs} ms`,
    );
    context.send(TARGET, () => REQUEST);
    // What remains once the connection is open is a write.
    if (!simulated.opensConnection) {
      this.#clock.advance(this.#schedule.workMs);
    }
  }

  #createContext(connection: ClientConnection): CallContext {
    const context = new CallContext({
      dependencies: this.#dependencies,
      call: {
        id: `c${this.#contexts.length}`,
        method: "GET",
        path: "/",
        host: "h",
        headers: [],
        body: Buffer.alloc(0),
        arrivedAtMs: this.#clock.readMonotonicMs(),
      },
      route: ROUTE,
      service: { name: "s", maxConnections: 100 },
      configVersion: 1,
      clientResponse: Object.assign(buildFakeResponse({}), {
        registerDisconnectListener: (listener: () => void) =>
          connection.registerEndListener(listener),
      }),
    });
    this.#contexts.push(context);
    return context;
  }

  /** Resolves as the connector of `TargetConnections` calls back. */
  async #openConnection(): Promise<void> {
    await new Promise<void>((resolve) => this.#opening.push(resolve));
    if (this.#disabledGuard !== "waitsOnceOpen") {
      await this.#barrier.awaitTurn({ isInProgress: true });
    }
  }

  #sleep(ms: number): Promise<void> {
    const atMs = this.#clock.readMonotonicMs() + ms;
    return new Promise((resolve) => this.#timers.push({ atMs, run: resolve }));
  }
}

const TARGET = { id: "t", address: "127.0.0.1:1" } as unknown as Target;
const REQUEST = { path: "/", method: "GET", headers: [], body: null };

/** Resolves once all microtasks and ticks that follow from what has happened have run. */
function runMicrotasks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Disconnects that are read late. */
export const DISCONNECT_PROOF: Proof = {
  name: "disconnect",
  guards: GUARDS,
  build: (disabledGuard) =>
    fc.asyncProperty(
      fc.record({
        clients: fc.array(
          fc.record({
            isKept: fc.constantFrom(true, true, false),
            sentAtMs: fc.integer({ min: 0, max: 1200 }),
            staysMs: fc.integer({ min: 1, max: 2500 }),
            queuedMs: fc.constantFrom(0, 0, 200, 900),
            opensConnection: fc.boolean(),
          }),
          { minLength: 20, maxLength: 160, size: "max" },
        ),
        turnsMs: fc.array(fc.constantFrom(1, 1, 10, 10, 300, 900), {
          minLength: 1,
          maxLength: 12,
        }),
        freezesMs: fc.array(fc.constantFrom(0, 0, 0, 0, 0, 0, 0, 900), {
          minLength: 1,
          maxLength: 12,
        }),
        workMs: fc.constantFrom(1, 10, 50),
      }),
      async (schedule) => {
        await new LoopSimulation(schedule, disabledGuard as Guard | undefined)
          .run();
      },
    ),
};
