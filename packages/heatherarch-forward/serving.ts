/**
 * What the lives of calls share: the beliefs that decide, and the means to act.
 *
 * @module
 */
import type { Clock } from "heatherarch-core";
import type { CacheRetention } from "./beliefs/cache_retention.ts";
import type { ConfigView } from "./beliefs/config_view.ts";
import type { EngineJitter } from "./scheduling/engine_jitter.ts";
import type { EventLog } from "./event_log.ts";
import type { LossInquiry } from "heatherarch-quarantine";
import type { ForwardMetrics } from "./metrics.ts";
import type { CallCodec } from "./ports.ts";
import type { PromptIndex } from "./beliefs/prompt_index.ts";
import type { PromptPlacer } from "./scheduling/prompt_placement.ts";
import type { ReadModel } from "./beliefs/read_model.ts";
import type { PrefillQueue } from "./scheduling/prefill_queue.ts";
import type { RequestQuarantine } from "heatherarch-quarantine";
import type { PrefillCandidateCache } from "./scheduling/prefill_candidate_cache.ts";
import type { RetryAllowance } from "./beliefs/retry_allowance.ts";
import type { ListGuard } from "./life/list_guard.ts";
import type { TargetConnections } from "./life/target_connections.ts";
import type { TargetDirectory } from "./beliefs/target_directory.ts";
import type { TargetHealth } from "./beliefs/target_health.ts";
import type { TargetRests } from "./beliefs/target_rests.ts";
import type { WorkLedger } from "./beliefs/work_ledger.ts";

/** Parts of one VM that serve calls. */
export interface Serving {
  readonly clock: Clock;
  readonly codec: CallCodec;
  readonly configs: ConfigView;
  readonly directory: TargetDirectory;
  readonly health: TargetHealth;
  readonly rests: TargetRests;
  readonly ledger: WorkLedger;
  readonly connections: TargetConnections;
  readonly listGuard: ListGuard;
  readonly losses: LossInquiry;
  readonly quarantine: RequestQuarantine;
  readonly allowance: RetryAllowance;
  readonly placer: PromptPlacer;
  readonly spread: EngineJitter;
  readonly prompts: PromptIndex;
  readonly retention: CacheRetention;
  /** Number of VMs that share the load. */
  readonly countVms: () => number;
  readonly readModel: ReadModel;
  readonly readQueue: PrefillQueue;
  readonly readerBoard: PrefillCandidateCache;
  readonly log: EventLog;
  readonly metrics: ForwardMetrics;
  /** Uniform in [0, 1). */
  readonly drawUnit: () => number;
}
