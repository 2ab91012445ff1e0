/**
 * What the calls of one VM share: its state, its scheduling, and its connections to targets.
 *
 * @module
 */
import type { Clock, ReadBarrier } from "heatherarch-core";
import type { AccountAdmission } from "./calls/account_admission.ts";
import type { CacheRetention } from "./state/cache_retention.ts";
import type { FairShares } from "heatherarch-shares";
import type { CallShutdown } from "heatherarch-shutdown";
import type { AccountRanker } from "./scheduling/account_ranker.ts";
import type { AccountWeights } from "./state/account_weights.ts";
import type { ActiveConfig } from "./state/active_config.ts";
import type { ConnectionPreference } from "./scheduling/connection_preference.ts";
import type { EngineJitter } from "./scheduling/engine_jitter.ts";
import type { EventLog } from "./event_log.ts";
import type { CrashDetector } from "heatherarch-quarantine";
import type { ForwardMetrics } from "./metrics.ts";
import type { EventBuffers } from "./calls/event_buffers.ts";
import type { CallCodec } from "./ports.ts";
import type { PrefixIndex } from "./state/prefix_index.ts";
import type { PromptPlacer } from "./scheduling/prompt_placement.ts";
import type { PrefillTimeModel } from "./state/prefill_time_model.ts";
import type { CallQueue } from "./scheduling/call_queue.ts";
import type { PlainCallQueues } from "./scheduling/plain_call_queues.ts";
import type { PlainWorkModel } from "./scheduling/plain_work_model.ts";
import type { HandoverClient } from "heatherarch-handover";
import type { PathMonitor } from "./tasks/path_monitor.ts";
import type { PartQuarantine, RequestQuarantine } from "heatherarch-quarantine";
import type { PrefillCandidateCache } from "./scheduling/prefill_candidate_cache.ts";
import type { FleetRetryBudget } from "./state/fleet_retry_budget.ts";
import type { TargetListGuard } from "./calls/target_list_guard.ts";
import type { EndConfirmation } from "./calls/end_confirmation.ts";
import type { IncarnationCheck } from "./calls/incarnation_check.ts";
import type { TargetConnections } from "./calls/target_connections.ts";
import type { TargetDirectory } from "./state/target_directory.ts";
import type { TargetFailures } from "./state/target_failures.ts";
import type { TargetHealth } from "./state/target_health.ts";
import type { TargetBackoffs } from "./state/target_backoffs.ts";
import type { FleetDemand } from "./state/fleet_demand.ts";
import type { ReturnTimes } from "./scheduling/return_times.ts";
import type { TargetRateLimits } from "./state/target_rate_limits.ts";
import type { StreamVersions } from "./state/stream_versions.ts";
import type { VersionHistory } from "./state/version_history.ts";
import type { VersionLives } from "./state/version_lives.ts";
import type { LoadProber } from "./tasks/load_prober.ts";
import type { PlainTimeModel } from "./state/plain_time_model.ts";
import type { ReportTrust, TargetLoads } from "heatherarch-load";
import type { UsageRecorder } from "./state/usage_recorder.ts";
import type { WorkTracker } from "./state/work_tracker.ts";

/** Components of one VM that serve calls. */
export interface CallDependencies {
  readonly clock: Clock;
  readonly codec: CallCodec;
  readonly activeConfig: ActiveConfig;
  readonly accountAdmission: AccountAdmission;
  readonly usage: UsageRecorder;
  readonly accountWeights: AccountWeights;
  readonly accountShares: FairShares;
  readonly accountRanker: AccountRanker;
  readonly directory: TargetDirectory;
  readonly health: TargetHealth;
  readonly targetFailures: TargetFailures;
  readonly backoffs: TargetBackoffs;
  readonly fleetDemand: FleetDemand;
  readonly rateLimits: TargetRateLimits;
  readonly returnTimes: ReturnTimes;
  readonly targetLoads: TargetLoads;
  /** Decides which reports in `targetLoads` are believed. */
  readonly reportTrust: ReportTrust;
  /** Renews reports of slow targets that get no calls. */
  readonly loadProber: LoadProber;
  readonly workTracker: WorkTracker;
  readonly connections: TargetConnections;
  readonly endConfirmation: Pick<EndConfirmation, "confirm">;
  readonly incarnationCheck: Pick<IncarnationCheck, "check">;
  readonly targetListGuard: TargetListGuard;
  readonly eventBuffers: EventBuffers;
  readonly readBarrier: ReadBarrier;
  readonly crashDetector: CrashDetector;
  readonly pathMonitor: PathMonitor;
  readonly handoverClient: Pick<HandoverClient, "offerCall">;
  readonly quarantine: RequestQuarantine;
  readonly partQuarantine: PartQuarantine;
  readonly streamVersions: StreamVersions;
  readonly versionHistory: VersionHistory;
  readonly versionLives: VersionLives;
  /**
   * Resolves with the software version that began the stream with this key; undefined if neither this
   * VM nor a peer that responds knows it.
   */
  readonly findStreamVersion: (key: string) => Promise<string | undefined>;
  /**
   * Resolves with the only software version that may have begun a stream of a service; undefined if
   * there are several, or if that is not known.
   */
  readonly findOnlyVersion: (service: string) => Promise<string | undefined>;
  /** Waits for the next read of the target list if that has never contained a version. */
  readonly awaitVersionListed: (
    service: string,
    softwareVersion: string,
  ) => Promise<void>;
  readonly retryBudget: FleetRetryBudget;
  readonly placer: PromptPlacer;
  readonly engineJitter: EngineJitter;
  readonly connectionPreference: ConnectionPreference;
  readonly prefixIndex: PrefixIndex;
  readonly retention: CacheRetention;
  /** Number of VMs that share the load. */
  readonly countVms: () => number;
  readonly prefillTimeModel: PrefillTimeModel;
  readonly prefillQueue: CallQueue;
  readonly plainCallQueues: PlainCallQueues;
  readonly plainWorkModel: PlainWorkModel;
  readonly plainTimeModel: PlainTimeModel;
  readonly prefillCandidateCache: PrefillCandidateCache;
  readonly log: EventLog;
  readonly metrics: ForwardMetrics;
  /** What calls have to know of the VM's shutdown. */
  readonly shutdown: CallShutdown;
  /** Draws a uniformly distributed number in [0, 1). */
  readonly drawUnit: () => number;
}
