/**
 * Simulates the shutdown of one VM without a network: calls on connections that are kept and pipelined,
 * targets that fall silent, stalls of the process. Phases, admission, connections, and the end of calls are
 * the real ones.
 *
 * @module
 */
import { EventEmitter } from "node:events";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { mock } from "node:test";
import { type Clock, ManualClock, toServeError } from "heatherarch-core";
import {
  type AttemptWatch,
  buildShutdownRefusal,
  callPlainService,
  type GatewayHost,
  RequestEnding,
} from "heatherarch-gateway";
import { DEFAULT_PROFILE, type PlainService } from "heatherarch-settings";
import {
  type ArrivingCall,
  ConnectionDrainer,
  type EndableCall,
  Shutdown,
} from "heatherarch-shutdown";
import type { BufferedResponse, ServiceCall } from "heatherarch-targets";
import { createFakeHost, STUB_ADMITTED_REQUEST } from "./fake_host.ts";
import { SimulatedConnection } from "./simulated_connection.ts";

/** Safety rules of a shutdown. The proof disables them one at a time. */
export const SHUTDOWN_GUARDS = [
  /** A call that can't end before the VM does is refused. */
  "admitsByTime",
  /** A call whose timeout expires before the VM ends is served. */
  "admitsByTimeout",
  /** No call is admitted once the VM has ended. */
  "refusesAtEnd",
  /** Calls that are open when the VM ends get a response. */
  "endsOpenCalls",
  /** A call that was refused when the VM ended is not sent. */
  "keepsRefusal",
  /** Phases follow the clock, not timers. */
  "readsClock",
  /** Requests behind the last response of a connection are refused. */
  "refusesBehind",
  /** A connection is read for a moment behind its last response. */
  "readsLonger",
] as const;
/** Name of a guard. */
export type ShutdownGuard = typeof SHUTDOWN_GUARDS[number];

/** A call of a client. */
export interface SimulatedCall {
  readonly connection: number;
  /** Time from the begin of the simulation until the request arrives. */
  readonly atMs: number;
  /** Durations have been recorded on routes that are known. */
  readonly route: "known" | "unknown";
  readonly timeoutMs: number;
  /** Time for which the call waits before it is sent. */
  readonly waitsMs: number;
  readonly durationMs: number;
  /** Time for which the target is silent besides. */
  readonly silenceMs: number;
}

/** A time in which the process does not run. */
export interface SimulatedStall {
  readonly atMs: number;
  readonly forMs: number;
  /** Whether sockets are read before timers run. */
  readonly readsFirst: boolean;
}

/** What happens during one shutdown. */
export interface ShutdownSchedule {
  /** Times at which connections are opened. */
  readonly connections: readonly number[];
  readonly calls: readonly SimulatedCall[];
  readonly stalls: readonly SimulatedStall[];
  /** Durations that were recorded on the known route. */
  readonly recordedMs: readonly number[];
  /** Time after the begin of the shutdown at which it is ended from outside; 0 for never. */
  readonly endsAfterMs: number;
}

/** What became of one call. */
export interface CallRecord {
  readonly call: SimulatedCall;
  isRead: boolean;
  /** Time left at its admission, milliseconds; undefined if it was not admitted. */
  admittedLeftMs: number | undefined;
  /** Whether the VM had ended when the call was admitted. */
  isAdmittedAtEnd: boolean;
  /** Time from the begin of the shutdown to its refusal for the shutdown; undefined if there was none. */
  refusedAfterMs: number | undefined;
  /** Time left at that refusal, milliseconds; 0 once the VM has ended. */
  refusedLeftMs: number | undefined;
  /** Whether its connection was closed before its client could know of that. */
  isTooLate: boolean;
  /** Number of responses. */
  responses: number;
  status: number | undefined;
  /** Whether the end of the VM ended the call. */
  isEndedByShutdown: boolean;
  runs: number;
}

/** Time from the begin of the simulation to that of the shutdown. */
export const STOP_AT_MS = 1000;
/** Time from the begin of the shutdown until the last calls end. */
export const LIFE_MS = 7750;

/** Time between two turns of the event loop. */
export const STEP_MS = 10;

const GRACE_MS = 8000;
const NOTICE_MS = 2800;
const EXIT_MARGIN_MS = GRACE_MS - LIFE_MS;
/** Time from the end until the sockets of clients are closed. */
const WRITE_MS = 20;
/** Time from then until the connections to targets are closed. */
const FLUSH_MS = 1000;
/** Time that bytes take between a client and the VM. */
const LATENCY_MS = 20;
const SERVICE: PlainService = {
  name: "bookings",
  kind: "plain",
  idempotentMethods: ["GET"],
  keyRequired: false,
  honoursKey: false,
  echoesTryId: false,
};
const RESPONSE: BufferedResponse = {
  kind: "answer",
  status: 200,
  headers: {},
  body: Buffer.alloc(0),
};

/** Runs a schedule. Returns what became of each call. */
export async function simulateShutdown(
  schedule: ShutdownSchedule,
  disabledGuard: ShutdownGuard | undefined,
): Promise<readonly CallRecord[]> {
  mock.timers.enable({ apis: ["setTimeout"] });
  try {
    return await new ShutdownSimulation(schedule, disabledGuard).run();
  } finally {
    mock.timers.reset();
  }
}

/** A shutdown of which one guard is disabled. */
class GuardedShutdown extends Shutdown {
  readonly #disabledGuard: ShutdownGuard | undefined;

  constructor(clock: Clock, disabledGuard: ShutdownGuard | undefined) {
    super({
      clock,
      graceMs: GRACE_MS,
      noticeMs: NOTICE_MS,
      exitMarginMs: EXIT_MARGIN_MS,
    });
    this.#disabledGuard = disabledGuard;
  }

  override admits(call: ArrivingCall): boolean {
    const hasEnded = this.phase === "ending" || this.phase === "gone";
    if (this.#disabledGuard === "admitsByTime") return !hasEnded;
    if (this.#disabledGuard === "refusesAtEnd" && hasEnded) return true;
    if (this.#disabledGuard === "admitsByTimeout" && this.isStopping) {
      return super.admits({ ...call, timeoutMs: Infinity });
    }
    return super.admits(call);
  }

  override trackCall(call: EndableCall): () => void {
    if (this.#disabledGuard === "endsOpenCalls") return () => undefined;
    return super.trackCall(call);
  }
}

/** One VM that stops, its clients and its target. */
class ShutdownSimulation {
  readonly #schedule: ShutdownSchedule;
  readonly #disabledGuard: ShutdownGuard | undefined;
  readonly #clock = new ManualClock();
  /** A clock that shows the time at which timers ran last. */
  readonly #timerClock = new ManualClock();
  readonly #shutdown: Shutdown;
  readonly #server = new EventEmitter();
  readonly #drainer: ConnectionDrainer;
  readonly #host: GatewayHost;
  readonly #connections = new Map<number, SimulatedConnection>();
  readonly #records: CallRecord[];
  #events: { readonly atMs: number; readonly run: () => void }[] = [];
  #openCalls = 0;
  /** Time at which the VM ended; undefined before. */
  #endedAtMs: number | undefined;
  #isEndedFromOutside = false;
  #isClosed = false;

  constructor(
    schedule: ShutdownSchedule,
    disabledGuard: ShutdownGuard | undefined,
  ) {
    this.#schedule = schedule;
    this.#disabledGuard = disabledGuard;
    const clock = disabledGuard === "readsClock"
      ? this.#timerClock
      : this.#clock;
    this.#shutdown = new GuardedShutdown(clock, disabledGuard);
    this.#drainer = new ConnectionDrainer({
      server: this.#server as unknown as Server,
      clock: this.#clock,
      isStopping: () => this.#shutdown.isStopping,
      isEnding: () => this.#shutdown.remainingMs <= 0,
      buildRefusal: () => ({ status: 503, retryAfter: "1", body: "" }),
      ...(disabledGuard === "readsLonger" ? { lingerMs: 0 } : {}),
    });
    this.#records = schedule.calls.map(buildRecord);
    const { host } = createFakeHost({
      engines: ["t1", "t2"],
      clock: this.#clock,
      shutdown: this.#shutdown,
      handleServiceCall: (_target, call) => this.#runCall(call),
    });
    this.#host = { ...host, claims: { claim: ({ key }) => this.#claim(key) } };
    for (const tookMs of schedule.recordedMs) {
      this.#shutdown.recordServed("known", tookMs);
    }
    this.#scheduleClients();
  }

  async run(): Promise<readonly CallRecord[]> {
    const stalls = [...this.#schedule.stalls]
      .sort((left, right) => left.atMs - right.atMs);
    this.#at(STOP_AT_MS, () => this.#shutdown.begin());
    while (!this.#isDone) {
      const stall = stalls[0]?.atMs <= this.#nowMs ? stalls.shift() : undefined;
      this.#clock.advance(stall?.forMs ?? STEP_MS);
      const steps = [() => this.#readSockets(), () => this.#runTimers()];
      if (stall?.readsFirst !== true) steps.reverse();
      for (const step of steps) await step();
      await this.#drain();
    }
    return this.#records;
  }

  get #nowMs(): number {
    return this.#clock.readMonotonicMs();
  }

  get #isDone(): boolean {
    const untilMs = (this.#endedAtMs ?? Infinity) + WRITE_MS + FLUSH_MS;
    return this.#nowMs >= untilMs;
  }

  #at(atMs: number, run: () => void): void {
    this.#events.push({ atMs, run });
  }

  #wait(ms: number): Promise<void> {
    return new Promise((resolve) => this.#at(this.#nowMs + ms, resolve));
  }

  #scheduleClients(): void {
    const { connections, calls, endsAfterMs } = this.#schedule;
    connections.forEach((atMs, index) => {
      this.#at(atMs, () => this.#openConnection(index));
    });
    calls.forEach((call, id) => {
      const index = call.connection % connections.length;
      this.#at(Math.max(call.atMs, connections[index]), () => {
        this.#deliver(id, call, this.#connections.get(index));
      });
    });
    if (endsAfterMs === 0) return;
    this.#at(STOP_AT_MS + endsAfterMs, () => {
      this.#isEndedFromOutside = true;
      this.#shutdown.end();
    });
  }

  #openConnection(index: number): void {
    const { phase } = this.#shutdown;
    if (phase !== "running" && phase !== "notice") return;
    const connection = new SimulatedConnection({
      readMs: () => this.#nowMs,
      onRequest: (id, request, response) =>
        this.#handleRequest(id, request, response),
      onResponse: (id, status) => {
        this.#records[id].responses++;
        this.#records[id].status = status;
      },
    });
    this.#connections.set(index, connection);
    this.#server.emit("connection", connection as unknown as Socket);
  }

  #deliver(
    id: number,
    { atMs }: SimulatedCall,
    connection: SimulatedConnection | undefined,
  ): void {
    if (connection === undefined) return;
    if (connection.isKnownToClose(atMs - LATENCY_MS, LATENCY_MS)) return;
    if (connection.isClosed) {
      const hasEnded = this.#endedAtMs !== undefined;
      this.#records[id].isTooLate = connection.hasLastResponse && !hasEnded;
      return;
    }
    this.#records[id].isRead = true;
    connection.deliver(id);
  }

  /** Runs what has arrived in the order of its times. */
  async #readSockets(): Promise<void> {
    while (true) {
      const due = this.#events.filter(({ atMs }) => atMs <= this.#nowMs)
        .sort((left, right) => left.atMs - right.atMs)[0];
      if (due === undefined) return;
      this.#events = this.#events.filter((event) => event !== due);
      due.run();
      await runMicrotasks();
    }
  }

  async #runTimers(): Promise<void> {
    const lateMs = this.#nowMs - this.#timerClock.readMonotonicMs();
    this.#timerClock.advance(lateMs);
    mock.timers.tick(lateMs);
    if (lateMs > STEP_MS || this.#shutdown.phase === "ending") {
      await runMicrotasks();
    }
  }

  /** Drains and closes as `EntryVm` does. */
  async #drain(): Promise<void> {
    const { phase } = this.#shutdown;
    if (phase === "running" || phase === "notice") return;
    if (phase === "draining") {
      this.#drainer.closeIdle();
      if (this.#openCalls + this.#drainer.openConnections > 0) return;
    }
    if (this.#endedAtMs === undefined) {
      this.#endedAtMs = this.#nowMs;
      this.#shutdown.end();
      await runMicrotasks();
    }
    if (this.#isClosed || this.#nowMs < this.#endedAtMs + WRITE_MS) return;
    this.#isClosed = true;
    for (const connection of this.#connections.values()) {
      connection.destroySoon();
    }
    this.#shutdown.conclude();
  }

  #handleRequest(
    id: number,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    if (this.#disabledGuard === "refusesBehind") {
      if (this.#shutdown.isStopping) response.setHeader("Connection", "close");
    } else if (!this.#drainer.admit(request, response)) return;
    void this.#serve(id, response);
  }

  /** Serves a call as `Gateway` does. */
  async #serve(id: number, response: ServerResponse): Promise<void> {
    this.#openCalls++;
    const ending = new RequestEnding();
    const untrack = this.#shutdown.trackCall(ending);
    response.once("close", () => {
      this.#openCalls--;
      untrack();
    });
    const status = await Promise.race([this.#run(id, ending), ending.ended])
      .catch((thrown) => toServeError(thrown).status);
    this.#records[id].isEndedByShutdown = ending.hasEnded;
    response.writeHead(status);
    response.end();
  }

  async #run(id: number, ending: RequestEnding): Promise<number> {
    const record = this.#records[id];
    const { route, timeoutMs } = record.call;
    const elapsedMs = this.#nowMs - STOP_AT_MS;
    if (!this.#shutdown.admits({ route, timeoutMs })) {
      record.refusedAfterMs = elapsedMs;
      record.refusedLeftMs = this.#endedAtMs === undefined
        ? LIFE_MS - elapsedMs
        : 0;
      throw buildShutdownRefusal();
    }
    record.admittedLeftMs = LIFE_MS - elapsedMs;
    record.isAdmittedAtEnd = elapsedMs >= LIFE_MS ||
      this.#endedAtMs !== undefined || this.#isEndedFromOutside;
    const { status } = await callPlainService(this.#host, {
      service: SERVICE,
      profile: DEFAULT_PROFILE,
      method: "POST",
      path: `/${id}`,
      headers: {},
      body: undefined,
      deadlineAtMs: this.#nowMs + timeoutMs,
      key: { text: String(id), madeAtMs: 0, fingerprint: "" },
      admitted: STUB_ADMITTED_REQUEST,
      attemptWatch: this.#watchAttempts(ending),
    });
    return status;
  }

  #watchAttempts(ending: RequestEnding): AttemptWatch {
    if (this.#disabledGuard !== "keepsRefusal") return ending;
    return { hasEnded: false, recordSend: () => ending.recordSend() };
  }

  /** Grants each call its key once it has waited. */
  async #claim(key: string) {
    const { waitsMs } = this.#schedule.calls[Number(key)];
    if (waitsMs > 0) await this.#wait(waitsMs);
    const claim = {
      isValid: () => true,
      conclude: () => undefined,
      renew: () => Promise.resolve({ kind: "granted" as const, claim }),
      release: () => undefined,
    };
    return { kind: "granted" as const, claim };
  }

  /** Runs a call on its target, and responds when it has ended or its timeout has expired. */
  async #runCall(call: ServiceCall): Promise<BufferedResponse> {
    if (call.guard?.() === false) return { kind: "withheld", detail: "" };
    const record = this.#records[Number(call.path.slice(1))];
    record.runs++;
    const tookMs = record.call.durationMs + record.call.silenceMs;
    await this.#wait(Math.min(tookMs, call.timeoutMs));
    if (tookMs > call.timeoutMs) return { kind: "silent", detail: "" };
    return RESPONSE;
  }
}

function buildRecord(call: SimulatedCall): CallRecord {
  return {
    call,
    isRead: false,
    admittedLeftMs: undefined,
    isAdmittedAtEnd: false,
    refusedAfterMs: undefined,
    refusedLeftMs: undefined,
    isTooLate: false,
    responses: 0,
    status: undefined,
    isEndedByShutdown: false,
    runs: 0,
  };
}

/** Resolves once all microtasks that follow from what has happened have run. */
function runMicrotasks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
