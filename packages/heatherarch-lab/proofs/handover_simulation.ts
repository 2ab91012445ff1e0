/**
 * One call that a VM without a path hands over to peers, over simulated connections. The simulation
 * runs the real handlers on both VMs and records how often targets really ran the call.
 *
 * @module
 */
import { RuntimeClock } from "heatherarch-core";
import {
  type AttemptCounts,
  CallContext,
  type CallDependencies,
  type ClientResponse,
  decodeHandoverCall,
  type EncodedRequest,
  encodeHandoverFailure,
  encodeHandoverResponse,
  type ForwardedCall,
  MemoryEventLog,
  NO_ATTEMPTS,
  PlainCallHandler,
  type Route,
  type Target,
  TargetConnections,
  TargetDirectory,
  TargetExchange,
} from "heatherarch-forward";
import type { HandoverListener } from "heatherarch-handover";
import type { Dispatcher } from "undici";
import { buildFakeDependencies, buildFakeResponse } from "./call_fakes.ts";

/**
 * What keeps a call from running more often than allowed, from being refused after a run, and from
 * being given up while its target may respond.
 */
export const HANDOVER_GUARDS = [
  "acceptsFirst",
  "countsAsRun",
  "tellsRuns",
  "oneHop",
  "keepsFailure",
  "tellsAttempts",
  "tellsPeerAttempts",
  "keepsExchange",
  "awaitsPeer",
] as const;
/** Name of a guard. */
export type HandoverGuard = typeof HANDOVER_GUARDS[number];

/** How an attempt at a target ends. */
export type TargetEnd =
  | "notSent"
  | "lostBefore"
  | "lostAfter"
  /** The target reports that it did not run the request. */
  | "refused"
  /** The target is silent, so that the VM takes its path for lost, and responds a moment later. */
  | "late"
  | "ok";

/** How an offer ends, and the connection after the peer has accepted the call. */
export type PeerEnd =
  | "declined"
  | "lostAfterSend"
  | "lostInResponse"
  /** The response does not come before the deadline. */
  | "silent"
  | "ok";

/** A schedule of one call. */
export interface HandoverSchedule {
  readonly kind: "once" | "idempotent";
  /** Whether the first VM knows that its path is lost when the call arrives. */
  readonly isPathLost: boolean;
  /** Attempts of the first VM, of all peers, and the ends of the offers, in order. */
  readonly ownAttempts: readonly TargetEnd[];
  readonly peerAttempts: readonly TargetEnd[];
  readonly offers: readonly PeerEnd[];
}

/** What became of the call. */
export interface HandoverOutcome {
  readonly runs: number;
  readonly status: number | undefined;
  readonly isWhole: boolean;
  readonly body: string;
  /** Calls that a peer offered to others although they had been handed over to it. */
  readonly secondHops: number;
  /** Requests that reached a target beyond the first one. */
  readonly retries: number;
  /** Retries that all VMs took from their parts of the retry budget and did not give back. */
  readonly retriesTaken: number;
  /** Exchanges with sound targets that were given up although no response of a peer had begun. */
  readonly givenUp: number;
}

/** Time for which a target is silent before it responds, milliseconds. */
const SILENCE_MS = 8;
const TIMEOUT_MS = 5000;
/** Timeout of a call whose peer falls silent, milliseconds. */
const SHORT_TIMEOUT_MS = 60;
const BODY = "the whole response";
const REFUSED_STATUS = 503;
const SERVICE = { name: "s", maxConnections: 100 };

/** Runs one schedule, with one guard disabled if one is named. */
export async function simulateHandover(
  schedule: HandoverSchedule,
  disabledGuard?: HandoverGuard,
): Promise<HandoverOutcome> {
  return await new Simulation(schedule, disabledGuard).run();
}

class Simulation {
  readonly #schedule: HandoverSchedule;
  readonly #disabledGuard: HandoverGuard | undefined;
  readonly #clock = new RuntimeClock();
  readonly #offers: PeerEnd[];
  readonly #peerAttempts: TargetEnd[];
  /** Calls at peers that have not ended. */
  readonly #peerCalls: Promise<void>[] = [];
  readonly #logs: MemoryEventLog[] = [];
  #runs = 0;
  #requests = 0;
  #secondHops = 0;
  #givenUp = 0;
  #begunResponses = 0;
  #isSilent = false;
  /** Exchanges with targets that are silent and will respond. */
  readonly #silentExchanges = new Set<TargetExchange>();
  readonly #lossListeners = new Set<() => void>();

  constructor(
    schedule: HandoverSchedule,
    disabledGuard: HandoverGuard | undefined,
  ) {
    this.#schedule = schedule;
    this.#disabledGuard = disabledGuard;
    this.#offers = [...schedule.offers];
    this.#peerAttempts = [...schedule.peerAttempts];
  }

  async run(): Promise<HandoverOutcome> {
    const received = { status: undefined as number | undefined, body: "" };
    let isWhole = false;
    const clientResponse = buildFakeResponse({
      onHead: (status) => received.status = status,
      onBytes: (bytes) => received.body += String(bytes),
      onEnd: () => isWhole = true,
      onFailure: (error) => {
        received.status = error.status;
        isWhole = true;
      },
    });
    const dependencies = this.#buildDependencies(
      [...this.#schedule.ownAttempts],
      !this.#schedule.isPathLost,
      () => this.#offerCall(),
    );
    const context = this.#buildContext(
      dependencies,
      buildCall(this.#clock.readMonotonicMs()),
      clientResponse,
    );
    if (this.#disabledGuard === "countsAsRun") forgetHandoverRuns(context);
    await new PlainCallHandler(context).serve();
    await Promise.all(this.#peerCalls);
    return {
      runs: this.#runs,
      ...received,
      isWhole,
      secondHops: this.#secondHops,
      givenUp: this.#givenUp,
      retries: Math.max(0, this.#requests - 1),
      retriesTaken: this.#logs.flatMap(({ lines }) => lines)
        .filter(({ event }) => event === "callEnded")
        .reduce((sum, { fields }) => sum + Number(fields.retriesTaken), 0),
    };
  }

  #offerCall(): Promise<unknown> {
    const end = this.#offers.shift();
    if (end === undefined) return Promise.resolve(undefined);
    if (end === "declined") {
      if (this.#disabledGuard === "acceptsFirst") {
        // The call goes out with the offer, and the peer serves it although it declines.
        const head = { ...ENCODED_CALL, elapsedMs: 0 };
        this.#startPeerCall(head, NO_LISTENER, "lostAfterSend");
      }
      return Promise.resolve("declined");
    }
    if (this.#disabledGuard === "awaitsPeer") this.#abortSilent();
    return Promise.resolve({
      peer: { id: "peer" },
      send: (head: unknown, _body: Buffer, listener: HandoverListener) =>
        this.#startPeerCall(head, listener, end),
      close: () => undefined,
      pause: () => undefined,
      resume: () => undefined,
    });
  }

  #startPeerCall(
    head: unknown,
    listener: HandoverListener,
    end: PeerEnd,
  ): void {
    this.#peerCalls.push(this.#servePeerCall(head, listener, end));
  }

  async #servePeerCall(
    head: unknown,
    listener: HandoverListener,
    end: PeerEnd,
  ): Promise<void> {
    const sentHead = this.#mutateHead(head as object);
    const decoded = decodeHandoverCall(
      sentHead,
      Buffer.alloc(0),
      this.#clock.readMonotonicMs(),
    );
    if (decoded === undefined) throw new Error("the call can't be decoded");
    const { handover, ...call } = decoded;
    const isMarked = this.#disabledGuard !== "oneHop";
    const dependencies = this.#buildDependencies(
      this.#peerAttempts,
      true,
      () => {
        this.#secondHops++;
        return Promise.resolve(undefined);
      },
    );
    const context = this.#buildContext(
      dependencies,
      isMarked ? { ...call, handover } : call,
      this.#buildPeerResponse(
        listener,
        end,
        handover?.attempts ?? NO_ATTEMPTS,
      ),
    );
    await new PlainCallHandler(context).serve();
    if (end === "lostAfterSend") listener.onLost("connection lost");
  }

  #mutateHead(head: object): object {
    switch (this.#disabledGuard) {
      case "tellsRuns":
        return { ...head, runs: 0 };
      case "tellsAttempts":
        return { ...head, ...NO_ATTEMPTS };
      default:
        return head;
    }
  }

  /** Builds the response that a peer sends back, as far as the connection lasts. */
  #buildPeerResponse(
    listener: HandoverListener,
    end: PeerEnd,
    earlierAttempts: AttemptCounts,
  ): ClientResponse {
    if (end === "lostAfterSend" || end === "silent") {
      return buildFakeResponse({});
    }
    return buildFakeResponse({
      onHead: (status, headers) => {
        this.#begunResponses++;
        listener.onResponse(encodeHandoverResponse({ status, headers }));
      },
      onBytes: (bytes) => {
        if (end === "ok") listener.onBytes(bytes);
      },
      onEnd: () => {
        if (end === "ok") listener.onEnd();
        else listener.onLost("connection lost");
      },
      onFailure: (error, attempts = earlierAttempts) => {
        const isTold = this.#disabledGuard !== "tellsPeerAttempts";
        const failure = encodeHandoverFailure(
          error,
          isTold ? attempts : NO_ATTEMPTS,
        ) as object;
        const isMutated = this.#disabledGuard === "keepsFailure";
        const refusal = { ...failure, kind: "noTarget", run: "no" };
        listener.onFailure(isMutated ? refusal : failure);
      },
    });
  }

  #buildContext(
    dependencies: CallDependencies,
    call: ForwardedCall,
    clientResponse: ClientResponse,
  ): CallContext {
    return new CallContext({
      dependencies,
      call,
      route: this.#buildRoute(),
      service: SERVICE,
      configVersion: 1,
      clientResponse,
    });
  }

  #buildRoute(): Route {
    return {
      name: "r",
      host: "a.example",
      pathPrefix: "/a/",
      kind: this.#schedule.kind,
      timeoutMs: this.#schedule.offers.includes("silent")
        ? SHORT_TIMEOUT_MS
        : TIMEOUT_MS,
      aimMs: 300,
      priority: 0,
      maxTargets: this.#schedule.kind === "once" ? 1 : 2,
      isKeyExempt: false,
      services: [{ service: SERVICE.name, weight: 1 }],
    };
  }

  #buildDependencies(
    attempts: TargetEnd[],
    hasPath: boolean,
    offerCall: () => Promise<unknown>,
  ): CallDependencies {
    const clock = this.#clock;
    const directory = new TargetDirectory();
    directory.applyList(
      ["a", "b", "c"].map((id) => ({ key: id, value: buildTarget(id) })),
      0,
    );
    const connections = new TargetConnections();
    connections.send = (target, request) =>
      this.#send(target, request, attempts.shift() ?? "ok");
    const log = new MemoryEventLog();
    this.#logs.push(log);
    return buildFakeDependencies({
      log,
      clock,
      codec: CODEC,
      directory,
      connections,
      hasPath: () => hasPath && !this.#isSilent,
      registerLossListener: (_service, listener) => {
        this.#lossListeners.add(listener);
        return () => this.#lossListeners.delete(listener);
      },
      offerCall,
    });
  }

  #send(
    target: Target,
    request: EncodedRequest,
    end: TargetEnd,
  ): TargetExchange {
    const dispatch = (
      _options: Dispatcher.DispatchOptions,
      handler: Dispatcher.DispatchHandler,
    ): boolean => {
      setImmediate(() => this.#respond(handler, end));
      return true;
    };
    const exchange = new TargetExchange(
      { dispatch },
      `http://${target.address}`,
      request,
      {
        onRelease: () => void this.#silentExchanges.delete(exchange),
      },
    );
    if (end === "late") this.#silentExchanges.add(exchange);
    return exchange;
  }

  #respond(handler: Dispatcher.DispatchHandler, end: TargetEnd): void {
    const controller = {
      abort: (reason: Error) => this.#recordAbort(reason),
      pause: () => undefined,
      resume: () => undefined,
      rawHeaders: ["content-length", String(BODY.length)],
    } as unknown as Dispatcher.DispatchController;
    const fail = (): void =>
      handler.onResponseError?.(controller, new Error(end));
    if (end === "notSent") return fail();
    handler.onRequestStart?.(controller, undefined);
    this.#requests++;
    if (end === "lostBefore") return fail();
    if (end === "refused") {
      handler.onResponseStart?.(controller, REFUSED_STATUS, {}, "");
      return handler.onResponseEnd?.(controller, {});
    }
    this.#runs++;
    if (end === "lostAfter") return fail();
    const complete = (): void => {
      const headers = { "content-length": String(BODY.length) };
      handler.onResponseStart?.(controller, 200, headers, "");
      handler.onResponseData?.(controller, Buffer.from(BODY));
      handler.onResponseEnd?.(controller, {});
    };
    if (end === "late") this.#loseFor(SILENCE_MS, complete);
    else complete();
  }

  /** Lets the VMs take their paths for lost for some time. */
  #loseFor(ms: number, onRegained: () => void): void {
    this.#isSilent = true;
    if (this.#disabledGuard === "keepsExchange") this.#abortSilent();
    for (const listener of [...this.#lossListeners]) listener();
    setTimeout(() => {
      this.#isSilent = false;
      onRegained();
    }, ms);
  }

  #abortSilent(): void {
    for (const exchange of [...this.#silentExchanges]) {
      exchange.abort("path lost");
    }
  }

  #recordAbort({ message }: Error): void {
    if (message === "path lost" && this.#begunResponses === 0) this.#givenUp++;
  }
}

/** Lets a call that was sent to a peer count as one that has not run. */
function forgetHandoverRuns(context: CallContext): void {
  const beginHandover = context.beginHandover.bind(context);
  context.beginHandover = (exchange) => {
    const undo = beginHandover(exchange);
    undo(context.handoverState.attempts);
    return undo;
  };
}

function buildTarget(id: string): Target {
  return {
    id,
    service: SERVICE.name,
    address: "127.0.0.1:1",
    availabilityZone: "zone-a",
    slots: 6,
    leaving: false,
  };
}

const ENCODED_CALL = {
  id: "call",
  method: "POST",
  path: "/a/x",
  host: "a.example",
  headers: [],
  clientTimeoutMs: TIMEOUT_MS,
  runs: 0,
  isUsageRecorded: false,
};

function buildCall(arrivedAtMs: number): ForwardedCall {
  const { runs: _runs, isUsageRecorded: _isRecorded, ...call } = ENCODED_CALL;
  return { ...call, body: Buffer.alloc(0), arrivedAtMs };
}

const NO_LISTENER: HandoverListener = {
  onResponse: () => undefined,
  onBytes: () => undefined,
  onEnd: () => undefined,
  onFailure: () => undefined,
  onLost: () => undefined,
};

const CODEC = {
  encodeAttempt: (): EncodedRequest => ({
    path: "/",
    method: "POST",
    headers: [],
    body: null,
  }),
  decodeResponse: (status: number) => ({
    callId: "call",
    signed: true,
    notRun: status === REFUSED_STATUS,
    misdirected: false,
    isLeaving: false,
  }),
};

/** Body of a complete response. */
export const WHOLE_BODY = BODY;
