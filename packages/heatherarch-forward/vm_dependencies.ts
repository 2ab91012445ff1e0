/**
 * Builds what the calls of one VM share: its state, its scheduling, and its connections to targets.
 *
 * @module
 */
import {
  type Clock,
  computeRendezvousWeight,
  ReadBarrier,
} from "heatherarch-core";
import type { ForwardSettings } from "heatherarch-settings";
import { AccountAdmission } from "./calls/account_admission.ts";
import { FairShares } from "heatherarch-shares";
import { Shutdown } from "heatherarch-shutdown";
import { AccountRanker } from "./scheduling/account_ranker.ts";
import { AccountWeights } from "./state/account_weights.ts";
import { CacheRetention } from "./state/cache_retention.ts";
import { ActiveConfig } from "./state/active_config.ts";
import { PrefixIndex } from "./state/prefix_index.ts";
import { PrefillTimeModel } from "./state/prefill_time_model.ts";
import { PartQuarantine, RequestQuarantine } from "heatherarch-quarantine";
import { HandoverClient, type HandoverPeer } from "heatherarch-handover";
import type { LinkIdentity } from "heatherarch-mesh";
import { FleetRetryBudget } from "./state/fleet_retry_budget.ts";
import { TargetDirectory } from "./state/target_directory.ts";
import { TargetFailures } from "./state/target_failures.ts";
import { TargetHealth } from "./state/target_health.ts";
import { TargetBackoffs } from "./state/target_backoffs.ts";
import { FleetDemand } from "./state/fleet_demand.ts";
import { ReturnTimes } from "./scheduling/return_times.ts";
import { TargetRateLimits } from "./state/target_rate_limits.ts";
import type { UsageMeter } from "heatherarch-usage";
import { PlainTimeModel } from "./state/plain_time_model.ts";
import { ReportTrust, TargetLoads } from "heatherarch-load";
import { UsageRecorder } from "./state/usage_recorder.ts";
import { StreamVersions } from "./state/stream_versions.ts";
import { VersionHistory } from "./state/version_history.ts";
import { VersionLives } from "./state/version_lives.ts";
import { WorkTracker } from "./state/work_tracker.ts";
import { ConnectionPreference } from "./scheduling/connection_preference.ts";
import { EngineJitter } from "./scheduling/engine_jitter.ts";
import { PromptPlacer } from "./scheduling/prompt_placement.ts";
import { PrefillCandidateCache } from "./scheduling/prefill_candidate_cache.ts";
import { CallQueue } from "./scheduling/call_queue.ts";
import { PlainCallQueues } from "./scheduling/plain_call_queues.ts";
import { PlainWorkModel } from "./scheduling/plain_work_model.ts";
import type { EventLog } from "./event_log.ts";
import { TaskLog } from "./task_log.ts";
import { EndConfirmation } from "./calls/end_confirmation.ts";
import { EventBuffers } from "./calls/event_buffers.ts";
import { IncarnationCheck } from "./calls/incarnation_check.ts";
import { ResponseNotices } from "./calls/response_notices.ts";
import { type ProbeOutcome, probeResponse } from "./calls/response_probe.ts";
import { LoadProber } from "./tasks/load_prober.ts";
import { PathMonitor } from "./tasks/path_monitor.ts";
import { TargetListGuard } from "./calls/target_list_guard.ts";
import {
  type SendPurpose,
  TargetConnections,
} from "./calls/target_connections.ts";
import { TargetProbe } from "heatherarch-quarantine";
import { ForwardMetrics } from "./metrics.ts";
import { reportInternalError } from "./report_error.ts";
import type { Target } from "./model.ts";
import type { CallCodec } from "./ports.ts";
import type { CallDependencies } from "./call_dependencies.ts";
import { CrashDetector } from "heatherarch-quarantine";

/** Options of {@linkcode buildCallDependencies}. */
export interface CallDependenciesOptions {
  readonly usageMeter: UsageMeter;
  readonly settings: ForwardSettings;
  readonly codec: CallCodec;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Number of VMs that share the load. */
  readonly countVms: () => number;
  /** Age of this VM's copy of the target list, milliseconds. */
  readonly getListAgeMs: () => number;
  /** Requests an early read of the target list. */
  readonly refreshTargetList: () => void;
  /** Identity of this VM towards its peers. */
  readonly self: LinkIdentity;
  /** Asks peers which software version began the stream with this key. */
  readonly findStreamVersion: (key: string) => Promise<string | undefined>;
  /** Finds the only software version that may have begun a stream of a service. */
  readonly findOnlyVersion: (service: string) => Promise<string | undefined>;
  /** Waits for the next read of the target list if that has never contained a version. */
  readonly awaitVersionListed: (
    service: string,
    softwareVersion: string,
  ) => Promise<void>;
  /** Lists the VMs that calls may be handed over to. */
  readonly listPeers: () => readonly HandoverPeer[];
}

const MS_PER_SECOND = 1000;
/** A proxy that accepts a connection for a target that is gone closes it within this time. */
const PROBE_HOLD_MS = 30;
const DEFAULT_USAGE_WINDOW_SECONDS = 60;
/** Interval at which expired state is removed, milliseconds. */
export const SWEEP_INTERVAL_MS = 250;
/**
 * A target list is used up to an age of this many poll intervals plus the slack. If the poll
 * interval is a third of the time for which a leaving target may still get work, a VM whose hub has
 * lost the store reads the list itself before two thirds of that time are over.
 */
const MAX_LIST_AGE_POLLS = 1.6;
const LIST_AGE_SLACK_MS = 300;

/** Length of a window of usage, milliseconds. Counts that nobody reports have windows as well. */
export function computeUsageWindowMs({ usage }: ForwardSettings): number {
  return (usage?.windowSeconds ?? DEFAULT_USAGE_WINDOW_SECONDS) *
    MS_PER_SECOND;
}

/** Computes the age up to which a target list is used, milliseconds. */
export function computeMaxListAgeMs(
  { targetPollMs }: ForwardSettings["store"],
): number {
  return targetPollMs * MAX_LIST_AGE_POLLS + LIST_AGE_SLACK_MS;
}

/** Builds the dependencies of calls from a VM's settings. */
export function buildCallDependencies(
  options: CallDependenciesOptions,
): CallDependencies {
  const { settings, codec, clock, log, countVms, usageMeter } = options;
  const metrics = new ForwardMetrics();
  // Listeners run in the middle of other work, which must not end with an error of the log.
  const taskLog = new TaskLog({ log, metrics });
  const listenerOptions = { ...options, log: taskLog };
  const shutdown = new Shutdown({
    clock,
    graceMs: settings.shutdown.graceSeconds * MS_PER_SECOND,
    noticeMs: settings.shutdown.noticeMs,
    awaitRead: () => readBarrier.awaitRead(),
    onCallEnd: (kind, outcome) => metrics.shutdownCalls.inc({ kind, outcome }),
    onError: (error) => reportInternalError({ log, metrics }, "call", error),
  });
  const prefillTimeModel = new PrefillTimeModel();
  const directory = new TargetDirectory({
    targetHeartbeatMs: settings.store.targetHeartbeatMs,
  });
  const backoffs = new TargetBackoffs();
  const fleetDemand = new FleetDemand();
  const rateLimits = new TargetRateLimits({
    share: fleetDemand,
    drawUnit: Math.random,
  });
  const activeConfig = new ActiveConfig({ clock });
  const returnTimes = new ReturnTimes({
    isBooked: (service) =>
      needsBookedReturns({ activeConfig, directory, targetLoads }, service),
    share: fleetDemand,
    drawUnit: Math.random,
    onBooking: () => metrics.returnsBooked.inc(),
    onClaim: () => metrics.returnsClaimed.inc(),
  });
  const reportTrust = new ReportTrust();
  const targetLoads = new TargetLoads({ trust: reportTrust });
  const notices = new ResponseNotices({
    codec,
    directory,
    backoffs,
    rateLimits,
    targetLoads,
    onSlowdownReport: (target, slowdown) => {
      metrics.slowdownReports.inc();
      loadProber.handleReport(target, slowdown);
    },
    clock,
    log,
  });
  const quarantine = buildQuarantine(settings);
  const partQuarantine = buildPartQuarantine(options);
  const targetFailures = new TargetFailures();
  const health = new TargetHealth({ failures: targetFailures });
  const workTracker = new WorkTracker();
  const readBarrier = new ReadBarrier({
    clock,
    onPass: (tookMs) => metrics.readPass.observe(tookMs / MS_PER_SECOND),
  });
  const connections = new TargetConnections({
    clock,
    readBarrier,
    // VMs tell each other the time of prefills in progress, not their number.
    countRuns: ({ id, role }) =>
      role === "prefill"
        ? undefined
        : workTracker.getRunLoad(id, clock.readMonotonicMs()).runs,
    onResponseHead: (target, head, request) => {
      metrics.lastResponse.setToCurrentTime();
      pathMonitor.recordContact(target);
      notices.apply(target, head, request);
    },
    onConnect: () => metrics.connectionsOpened.inc(),
    onLimited: ({ id }, limit, callId) => {
      metrics.responsesLimited.inc({ limit });
      log.write("warn", "responseLimited", { target: id, limit, call: callId });
    },
    onError: (error) =>
      reportInternalError({ log, metrics }, "connections", error),
    onSend: ({ id }) => {
      // What is kept of a target is dropped once, when the target is gone.
      if (directory.findTarget(id) === undefined) return;
      rateLimits.recordRequest(id, clock.readMonotonicMs());
      if (rateLimits.getMaxPerSecond(id) === undefined) return;
      metrics.requestsAtLimit.inc();
    },
    findBlockReason: ({ id }, purpose) =>
      findBlockReason(
        { directory, backoffs, rateLimits, clock },
        id,
        purpose,
      ),
  });
  const probeTarget = (target: Target): Promise<ProbeOutcome> =>
    probeResponse({ connections, codec }, target);
  const loadProber = new LoadProber({
    clock,
    targetLoads,
    workTracker,
    rateLimits,
    directory,
    probe: probeTarget,
  });
  const pathMonitor = new PathMonitor({
    clock,
    log,
    metrics,
    directory,
    backoffs,
    rateLimits,
    health,
    connections,
    probe: probeTarget,
    drawUnit: Math.random,
  });
  const targetProbe = new TargetProbe({ holdMs: PROBE_HOLD_MS });
  const endConfirmation = new EndConfirmation({
    clock,
    connections,
    codec,
    isLimited: ({ id }) => rateLimits.getMaxPerSecond(id) !== undefined,
    hasRoom: ({ id }) =>
      rateLimits.getDelayMs(id, clock.readMonotonicMs()) === 0,
    connect: ({ address }) => targetProbe.probe(address),
    onProbe: () => metrics.endProbes.inc(),
    onUnconfirmed: (target) => {
      metrics.endsUnconfirmed.inc();
      taskLog.write("info", "endUnconfirmed", { target: target.id });
    },
    onError: (error) => reportInternalError({ log, metrics }, "watch", error),
  });
  const accountShares = buildAccountShares(settings, activeConfig, metrics);
  const ranker = accountShares.accountRanker;
  return {
    clock,
    log,
    codec,
    metrics,
    directory,
    backoffs,
    fleetDemand,
    rateLimits,
    returnTimes,
    targetLoads,
    reportTrust,
    loadProber,
    plainTimeModel: new PlainTimeModel({
      targetLoads,
      reportTrust,
      onReportsIgnored: (target) =>
        taskLog.write("warn", "targetLoadIgnored", { target }),
    }),
    quarantine,
    partQuarantine,
    streamVersions: new StreamVersions(),
    versionHistory: new VersionHistory({
      directory,
      maxListAgeMs: computeMaxListAgeMs(settings.store),
    }),
    versionLives: new VersionLives(),
    findStreamVersion: options.findStreamVersion,
    findOnlyVersion: options.findOnlyVersion,
    awaitVersionListed: options.awaitVersionListed,
    prefillTimeModel,
    countVms,
    activeConfig,
    accountAdmission: new AccountAdmission({
      activeConfig,
      revokeBoundMs: settings.accounts.revokeBoundMs ?? Infinity,
      drawUnit: Math.random,
    }),
    ...accountShares,
    health,
    targetFailures,
    workTracker,
    crashDetector: buildCrashDetector({
      quarantine,
      partQuarantine,
      directory,
      pathMonitor,
      clock,
      log: taskLog,
      metrics,
    }),
    connections,
    endConfirmation,
    incarnationCheck: new IncarnationCheck({ connections, codec }),
    pathMonitor,
    handoverClient: buildHandoverClient(listenerOptions, metrics),
    shutdown,
    targetListGuard: buildTargetListGuard(listenerOptions, metrics),
    eventBuffers: new EventBuffers(),
    readBarrier,
    usage: new UsageRecorder({
      meter: usageMeter,
      clock,
      windowMs: computeUsageWindowMs(settings),
    }),
    retryBudget: buildRetryBudget(settings),
    prefillQueue: new CallQueue({ clock, ranker }),
    plainCallQueues: new PlainCallQueues({ clock, ranker }),
    plainWorkModel: new PlainWorkModel(),
    prefillCandidateCache: new PrefillCandidateCache(),
    prefixIndex: new PrefixIndex(),
    retention: new CacheRetention(),
    placer: new PromptPlacer({ model: prefillTimeModel }),
    engineJitter: new EngineJitter({
      vmId: settings.vm.id,
      drawUnit: Math.random,
    }),
    connectionPreference: new ConnectionPreference({
      connections,
      getCallsPerMinute: (nowMs) => fleetDemand.getOwnCallsPerMinute(nowMs),
    }),
    drawUnit: Math.random,
  };
}

/**
 * Whether the returns of rejected calls are booked: those of plain calls, and those of prompts where
 * client accounts share the engines or the engines report slowdowns. For other prompts, the delay of a
 * rejection depends on the time that the call has waited.
 */
function needsBookedReturns(
  { activeConfig, directory, targetLoads }: Pick<
    CallDependencies,
    "activeConfig" | "directory" | "targetLoads"
  >,
  service: string,
): boolean {
  const config = activeConfig.table?.config;
  if (config === undefined) return false;
  if (config.accounts !== null) return true;
  const spec = config.services.find(({ name }) => name === service);
  if (spec?.engine === undefined) return true;
  return directory.listServing(service)
    .some(({ id }) => targetLoads.reportsSlowdown(id));
}

function buildAccountShares(
  { accounts }: ForwardSettings,
  activeConfig: ActiveConfig,
  metrics: ForwardMetrics,
): Pick<
  CallDependencies,
  "accountWeights" | "accountShares" | "accountRanker"
> {
  const accountWeights = new AccountWeights(accounts.weights);
  const accountShares = new FairShares({
    getWeight: (account) => accountWeights.getWeight(account),
    countAccounts: () =>
      activeConfig.table?.config.accounts?.length ?? Infinity,
  });
  accountWeights.registerListener(() => accountShares.refreshWeights());
  const accountRanker = new AccountRanker({
    shares: accountShares,
    onDispatch: (rank) => metrics.accountRank.inc({ rank }),
  });
  return { accountWeights, accountShares, accountRanker };
}

function buildHandoverClient(
  { settings, clock, log, self, listPeers }: CallDependenciesOptions,
  metrics: ForwardMetrics,
): HandoverClient {
  return new HandoverClient({
    self,
    sharedKey: settings.mesh.sharedKey,
    clock,
    listPeers,
    drawUnit: Math.random,
    onOffer: ({ id }, reply) => {
      metrics.handovers.inc({ reply });
      if (reply !== "accepted") {
        log.write("debug", "handoverDeclined", { peer: id, reply });
      }
    },
  });
}

function buildTargetListGuard(
  { settings, clock, log, getListAgeMs, refreshTargetList }:
    CallDependenciesOptions,
  metrics: ForwardMetrics,
): TargetListGuard {
  return new TargetListGuard({
    clock,
    getListAgeMs,
    tickIntervalMs: SWEEP_INTERVAL_MS,
    maxListAgeMs: computeMaxListAgeMs(settings.store),
    onChange: ({ kind, ...change }) => {
      const isHeld = kind === "held";
      if (isHeld) {
        metrics.listHolds.inc();
        refreshTargetList();
      }
      log.write("warn", isHeld ? "callsHeldBack" : "callsFreed", change);
    },
  });
}

/** Builds the detector of crashed targets, which logs each lost exchange and each crash. */
export function buildCrashDetector(
  { quarantine, partQuarantine, directory, pathMonitor, clock, log, metrics }:
    & Pick<
      CallDependencies,
      "quarantine" | "directory" | "pathMonitor" | "clock" | "log" | "metrics"
    >
    & Partial<Pick<CallDependencies, "partQuarantine">>,
  targetProbe: Pick<TargetProbe, "probe"> = new TargetProbe(),
): CrashDetector {
  return new CrashDetector({
    targetProbe,
    quarantine,
    partQuarantine,
    clock,
    isInService: (target) =>
      directory.findTarget(target) !== undefined &&
      !directory.isLeaving(target),
    isRefusalCredible: async (id) => {
      const target = directory.findTarget(id);
      return target !== undefined && await pathMonitor.confirmRefusal(target);
    },
    onLoss: ({ call, request, target, address, reason }, probe) =>
      log.write("info", "exchangeLost", {
        call,
        request,
        target,
        address,
        reason,
        probe,
      }),
    onCrash: (target, evidence, requests) => {
      metrics.targetsEnded.inc();
      log.write("warn", "targetEnded", { target, evidence, requests });
    },
  });
}

/** Returns why nothing may be sent to a target now, or undefined if a request may be sent. */
function findBlockReason(
  { directory, backoffs, rateLimits, clock }: Pick<
    CallDependencies,
    "directory" | "backoffs" | "rateLimits" | "clock"
  >,
  target: string,
  purpose: SendPurpose,
): string | undefined {
  const nowMs = clock.readMonotonicMs();
  if (backoffs.isInBackoff(target, nowMs)) return "the target is in backoff";
  // Releases and orders don't wait for a token; they are owed.
  if (purpose === "work" && rateLimits.getDelayMs(target, nowMs) > 0) {
    return "the target's rate limit has no room";
  }
  if (purpose === "release") return undefined;
  return directory.isLeaving(target) ? "the target is leaving" : undefined;
}

function buildQuarantine({ quarantine }: ForwardSettings): RequestQuarantine {
  const { maxCrashes, holdSeconds } = quarantine;
  return new RequestQuarantine({
    maxCrashes,
    holdMs: holdSeconds * MS_PER_SECOND,
  });
}

function buildPartQuarantine(
  { settings, self, listPeers }: CallDependenciesOptions,
): PartQuarantine {
  return new PartQuarantine({
    holdMs: settings.quarantine.holdSeconds * MS_PER_SECOND,
    rankSelf: (part) => {
      const ownWeight = computeRendezvousWeight(part, self.id);
      return listPeers().filter(({ id }) =>
        computeRendezvousWeight(part, id) > ownWeight
      ).length;
    },
  });
}

function buildRetryBudget({ retries }: ForwardSettings): FleetRetryBudget {
  const { share, fixedPerWindow, windowSeconds } = retries;
  return new FleetRetryBudget({
    share,
    fixedPerWindow,
    windowMs: windowSeconds * MS_PER_SECOND,
    startsUnlisted: true,
  });
}
