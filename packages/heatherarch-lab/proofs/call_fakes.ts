/**
 * What the handlers of calls need, built for one simulated VM: the real components where they decide,
 * fakes for the network.
 *
 * @module
 */
import { type Clock, ReadBarrier, type ServeError } from "heatherarch-core";
import {
  type AttemptCounts,
  buildCrashDetector,
  CacheRetention,
  type CallCodec,
  type CallDependencies,
  CallQueue,
  type ClientResponse,
  ConnectionPreference,
  EngineJitter,
  FleetDemand,
  FleetRetryBudget,
  ForwardMetrics,
  MemoryEventLog,
  PlainCallQueues,
  PlainTimeModel,
  PlainWorkModel,
  PrefillCandidateCache,
  PrefillTimeModel,
  PrefixIndex,
  PromptPlacer,
  ReturnTimes,
  StreamVersions,
  TargetBackoffs,
  type TargetConnections,
  type TargetDirectory,
  TargetHealth,
  TargetRateLimits,
  VersionLives,
  WorkTracker,
} from "heatherarch-forward";
import { ReportTrust, TargetLoads } from "heatherarch-load";
import { PartQuarantine, RequestQuarantine } from "heatherarch-quarantine";
import { Shutdown } from "heatherarch-shutdown";

/** Grace period of a shutdown that never begins, milliseconds. */
const GRACE_MS = 8000;

/** Options of {@linkcode buildFakeDependencies}. */
export interface FakeDependenciesOptions {
  readonly clock: Clock;
  readonly codec: Partial<CallCodec>;
  readonly directory: TargetDirectory;
  readonly connections: TargetConnections;
  /** Whether the VM reaches its targets; by default it does. */
  readonly hasPath?: () => boolean;
  /** Whether the VM reaches a target or one that could replace it; by default as `hasPath`. */
  readonly hasPathTo?: CallDependencies["pathMonitor"]["hasPathTo"];
  /** Registers a listener for the loss of the VM's path; by default it is never lost. */
  readonly registerLossListener?: (
    service: string,
    listener: () => void,
  ) => () => void;
  /** Offers a call to a peer; by default there is none. */
  readonly offerCall?: () => Promise<unknown>;
  readonly log?: MemoryEventLog;
  readonly streamVersions?: StreamVersions;
  /** Asks peers for the version of a stream; by default none knows it. */
  readonly findStreamVersion?: (key: string) => Promise<string | undefined>;
  readonly findOnlyVersion?: CallDependencies["findOnlyVersion"];
  readonly versionLives?: VersionLives;
}

/** Builds the dependencies of the calls of one VM. */
export function buildFakeDependencies(
  options: FakeDependenciesOptions,
): CallDependencies {
  const { clock, codec, directory, connections } = options;
  const {
    hasPath = () => true,
    hasPathTo = hasPath,
    registerLossListener = () => () => undefined,
    offerCall = () => Promise.resolve(undefined),
    streamVersions = new StreamVersions(),
    findStreamVersion = () => Promise.resolve(undefined),
    findOnlyVersion = () => Promise.resolve(undefined),
    versionLives = new VersionLives(),
    log = new MemoryEventLog(),
  } = options;
  const fleetDemand = new FleetDemand();
  const metrics = new ForwardMetrics();
  const quarantine = new RequestQuarantine();
  const prefillTimeModel = new PrefillTimeModel();
  const pathMonitor = {
    hasPath,
    hasPathTo,
    recordTrouble: () => undefined,
    getLastContactAtMs: () => Infinity,
    registerLossListener,
    confirmRefusal: () => Promise.resolve(true),
    confirmPath: () => Promise.resolve(true),
  } as unknown as CallDependencies["pathMonitor"];
  return {
    clock,
    codec,
    activeConfig: { version: 1 },
    directory,
    health: new TargetHealth(),
    backoffs: new TargetBackoffs(),
    fleetDemand,
    returnTimes: new ReturnTimes({ share: fleetDemand, drawUnit: () => 0 }),
    rateLimits: new TargetRateLimits({
      share: fleetDemand,
      drawUnit: () => 0,
    }),
    workTracker: new WorkTracker(),
    connections,
    incarnationCheck: { check: () => Promise.resolve("same") },
    endConfirmation: { confirm: () => Promise.resolve(true) },
    targetListGuard: { isHoldingCalls: () => false },
    readBarrier: new ReadBarrier(),
    shutdown: new Shutdown({ clock, graceMs: GRACE_MS, noticeMs: 0 }),
    quarantine,
    partQuarantine: new PartQuarantine(),
    pathMonitor,
    crashDetector: buildCrashDetector(
      { quarantine, directory, pathMonitor, clock, log, metrics },
      { probe: () => Promise.resolve("accepted") },
    ),
    retryBudget: new FleetRetryBudget({
      fixedPerWindow: 1000,
      share: 1,
      windowMs: 10_000,
    }),
    handoverClient: { offerCall },
    streamVersions,
    findStreamVersion,
    findOnlyVersion,
    awaitVersionListed: () => Promise.resolve(),
    versionLives,
    placer: new PromptPlacer({ model: prefillTimeModel }),
    engineJitter: new EngineJitter({ vmId: "vm", drawUnit: () => 0 }),
    connectionPreference: new ConnectionPreference({
      connections: { hasIdle: () => true, idleTimeoutMs: 4000 },
      getCallsPerMinute: () => 0,
    }),
    prefixIndex: new PrefixIndex(),
    retention: new CacheRetention(),
    countVms: () => 1,
    prefillTimeModel,
    prefillQueue: new CallQueue({ clock }),
    plainCallQueues: new PlainCallQueues({ clock }),
    plainWorkModel: new PlainWorkModel(),
    targetLoads: new TargetLoads(),
    reportTrust: new ReportTrust(),
    plainTimeModel: new PlainTimeModel(),
    prefillCandidateCache: new PrefillCandidateCache(),
    log,
    metrics,
    drawUnit: () => 0,
  } as unknown as CallDependencies;
}

/** What happens with the parts of a response. */
export interface ResponseHooks {
  readonly onHead?: (status: number, headers: readonly string[]) => void;
  readonly onBytes?: (bytes: Buffer) => void;
  readonly onEnd?: () => void;
  readonly onFailure?: (error: ServeError, attempts?: AttemptCounts) => void;
  readonly onDestroy?: () => void;
}

/** Builds a response that calls hooks instead of writing to a client. */
export function buildFakeResponse(
  { onHead, onBytes, onEnd, onFailure, onDestroy }: ResponseHooks,
): ClientResponse {
  const response = {
    isDisconnected: false,
    isHeadSent: false,
    registerDisconnectListener: () => () => undefined,
    registerDrainListener: () => undefined,
    writeHead: (status: number, headers: readonly string[]) => {
      response.isHeadSent = true;
      onHead?.(status, headers);
    },
    write: (bytes: Buffer) => {
      onBytes?.(bytes);
      return true;
    },
    end: (bytes?: Buffer) => {
      if (bytes !== undefined) onBytes?.(bytes);
      onEnd?.();
    },
    destroy: () => onDestroy?.(),
    fail: (error: ServeError, _callId: string, attempts?: AttemptCounts) =>
      onFailure?.(error, attempts),
  };
  return response;
}
