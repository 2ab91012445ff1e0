/**
 * Fake gateway host. Its engines send nothing by themselves: the test delivers their responses.
 *
 * @module
 */
import { type Clock, RuntimeClock, ServeError } from "heatherarch-core";
import type {
  AdmittedRequest,
  ClaimResult,
  GatewayHost,
  GenerationOptions,
  RequestResult,
} from "heatherarch-gateway";
import {
  type Candidate,
  createRouter,
  DemandMeter,
  EngineModel,
  LoadTracker,
  LookupReserve,
  RetryBudget,
} from "heatherarch-policy";
import {
  DEFAULT_PROFILE,
  parseProcessSettings,
  type ProcessSettings,
  type Target,
} from "heatherarch-settings";
import { Shutdown } from "heatherarch-shutdown";
import type {
  BufferedResponse,
  EngineCall,
  EnginePort,
  EngineSink,
  ServiceCall,
} from "heatherarch-targets";

/** An attempt that was sent to a fake engine. */
export interface FakeAttempt {
  readonly target: string;
  readonly call: EngineCall;
  readonly sink: EngineSink;
  aborted: boolean;
}

/** Options of {@linkcode createFakeHost}. */
export interface FakeHostOptions {
  readonly engines: readonly string[];
  readonly clock?: Clock;
  readonly shutdown?: Shutdown;
  /** Responds to calls of plain services. */
  readonly handleServiceCall?: (
    target: string,
    call: ServiceCall,
  ) => Promise<BufferedResponse>;
  /** Decides claims of idempotency keys; by default every claim is refused. */
  readonly handleClaim?: () => Promise<ClaimResult>;
  /** Whether the engines can resume a response. */
  readonly supportsResume?: boolean;
}

/** A fake host and what it recorded. */
export interface FakeHost {
  readonly host: GatewayHost;
  readonly attempts: FakeAttempt[];
  readonly results: RequestResult[];
  /** Targets that are not candidates for new requests. */
  readonly unavailableTargets: Set<string>;
}

/** An admitted request that may always be retried and records nothing. */
export const STUB_ADMITTED_REQUEST: AdmittedRequest = {
  recordLoss: () => undefined,
  mayRetry: () => true,
  end: () => undefined,
};

const PROMPT_TOKENS = 7;
const TIMEOUT_MS = 60_000;
const NOTICE_MS = 500;
const GRACE_MS = 8000;

/** Builds the options of a generation on a fake host. */
export function buildGenerationOptions(
  { clock }: GatewayHost,
  maxTokens: number,
): Omit<GenerationOptions, "host" | "sink"> {
  return {
    admitted: STUB_ADMITTED_REQUEST,
    requestId: "r",
    service: "reader",
    model: "m",
    prompt: "what does the fare rule say",
    promptTokens: PROMPT_TOKENS,
    maxTokens,
    profile: { ...DEFAULT_PROFILE, kvTransferMinTokens: 0 },
    deadlineAtMs: clock.readMonotonicMs() + TIMEOUT_MS,
  };
}

/** Builds process settings in which everything optional has its default. */
export function buildTestSettings(): ProcessSettings {
  const settings = parseProcessSettings({
    vm: { id: "vm1", availabilityZone: "zone-a" },
    listen: {
      callers: "127.0.0.1:1",
      operators: "127.0.0.1:2",
      mesh: "127.0.0.1:3",
    },
    platform: { log: "http://127.0.0.1:4", vmList: "http://127.0.0.1:4/vms" },
  });
  return settings.unwrap() as ProcessSettings;
}

/** Creates a host whose engines respond only through the sinks of the recorded attempts. */
export function createFakeHost(options: FakeHostOptions): FakeHost {
  const attempts: FakeAttempt[] = [];
  const results: RequestResult[] = [];
  const unavailableTargets = new Set<string>();
  const clock = options.clock ?? new RuntimeClock();
  const model = new EngineModel();
  const settings = buildTestSettings();
  const shutdown = options.shutdown ??
    new Shutdown({ clock, noticeMs: NOTICE_MS, graceMs: GRACE_MS });
  const router = createRouter("prefixAffinity", model);
  const host: GatewayHost = {
    vmId: "vm1",
    clock,
    limits: settings.requests,
    claimLimits: settings.claims,
    targets: {
      listCandidates: () =>
        options.engines.filter((id) => !unavailableTargets.has(id)).map((id) =>
          buildCandidate(id)
        ),
      findTarget: (id) => buildTarget(id),
      getEngine: (target) =>
        createFakeEngine(target.id, attempts, options.supportsResume ?? false),
      getService: (target) => ({
        readState: () => Promise.resolve({ running: 0, leaving: false }),
        send: (call) =>
          options.handleServiceCall?.(target.id, call) ??
            Promise.resolve({ kind: "notSent", detail: "" }),
        close: () => Promise.resolve(),
      }),
      recordFailure: () => undefined,
      recordSuccess: () => undefined,
    },
    loadTracker: new LoadTracker({ reportLagMs: 0 }),
    model,
    demand: new DemandMeter(1000),
    retries: new RetryBudget({ share: 1, capacity: 100 }),
    lookupReserve: new LookupReserve({
      share: settings.requests.lookupReserveShare,
    }),
    claims: {
      claim: options.handleClaim ??
        (() =>
          Promise.resolve({
            kind: "refused",
            error: new ServeError("internal", "no claims"),
          })),
    },
    requestWatch: { admit: () => STUB_ADMITTED_REQUEST },
    events: {
      recordResult: (result) => results.push(result),
      recordRetry: () => undefined,
      recordContinuation: () => undefined,
      recordHedge: () => undefined,
    },
    shutdown,
    readRefusal: () => undefined,
    readFleet: () => null,
    findProfile: () => undefined,
    getRouter: () => router,
    countVms: () => 1,
    readRemoteStream: () =>
      Promise.resolve({ texts: [], state: "unknown", model: "" }),
  };
  return { host, attempts, results, unavailableTargets };
}

function buildCandidate(id: string): Candidate {
  return {
    id,
    sameZone: true,
    role: "mixed",
    load: { running: 0, waiting: 0, pendingPrefillTokens: 0 },
    maxConcurrent: 64,
    roundTripMs: 0,
  };
}

function buildTarget(id: string): Target {
  return {
    id,
    service: "reader",
    availabilityZone: "zone-a",
    address: "127.0.0.1:9",
    dialect: "sse",
    checksFencing: true,
    role: "mixed",
    maxConcurrent: 64,
  };
}

function createFakeEngine(
  target: string,
  attempts: FakeAttempt[],
  supportsResume: boolean,
): EnginePort {
  const start = (call: EngineCall, sink: EngineSink) => {
    const attempt: FakeAttempt = { target, call, sink, aborted: false };
    attempts.push(attempt);
    return {
      isSent: true,
      abort: () => {
        attempt.aborted = true;
      },
    };
  };
  return {
    readState: () => Promise.reject(new Error("not used")),
    generate: start,
    ...(supportsResume
      ? { resume: (call, _from, sink) => start(call, sink) }
      : {}),
    sendOrder: () => Promise.resolve({ kind: "accepted" }),
    close: () => Promise.resolve(),
  };
}
