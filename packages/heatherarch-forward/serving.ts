/**
 * What the lives of calls share: the beliefs that decide, and the means to act.
 *
 * @module
 */
import type { Clock } from "heatherarch-core";
import type { CacheRetention } from "./state/cache_retention.ts";
import type { ActiveConfig } from "./state/active_config.ts";
import type { EngineJitter } from "./scheduling/engine_jitter.ts";
import type { EventLog } from "./event_log.ts";
import type { CrashDetector } from "heatherarch-quarantine";
import type { ForwardMetrics } from "./metrics.ts";
import type { CallCodec } from "./ports.ts";
import type { PrefixIndex } from "./state/prefix_index.ts";
import type { PromptPlacer } from "./scheduling/prompt_placement.ts";
import type { PrefillTimeModel } from "./state/prefill_time_model.ts";
import type { PrefillQueue } from "./scheduling/prefill_queue.ts";
import type { RequestQuarantine } from "heatherarch-quarantine";
import type { PrefillCandidateCache } from "./scheduling/prefill_candidate_cache.ts";
import type { RetryBudget } from "./state/retry_budget.ts";
import type { ListGuard } from "./life/list_guard.ts";
import type { TargetConnections } from "./life/target_connections.ts";
import type { TargetDirectory } from "./state/target_directory.ts";
import type { TargetHealth } from "./state/target_health.ts";
import type { TargetBackoffs } from "./state/target_backoffs.ts";
import type { WorkTracker } from "./state/work_tracker.ts";

/** Parts of one VM that serve calls. */
export interface Serving {
  readonly clock: Clock;
  readonly codec: CallCodec;
  readonly configs: ActiveConfig;
  readonly directory: TargetDirectory;
  readonly health: TargetHealth;
  readonly rests: TargetBackoffs;
  readonly ledger: WorkTracker;
  readonly connections: TargetConnections;
  readonly listGuard: ListGuard;
  readonly losses: CrashDetector;
  readonly quarantine: RequestQuarantine;
  readonly allowance: RetryBudget;
  readonly placer: PromptPlacer;
  readonly spread: EngineJitter;
  readonly prompts: PrefixIndex;
  readonly retention: CacheRetention;
  /** Number of VMs that share the load. */
  readonly countVms: () => number;
  readonly readModel: PrefillTimeModel;
  readonly readQueue: PrefillQueue;
  readonly readerBoard: PrefillCandidateCache;
  readonly log: EventLog;
  readonly metrics: ForwardMetrics;
  /** Uniform in [0, 1). */
  readonly drawUnit: () => number;
}
