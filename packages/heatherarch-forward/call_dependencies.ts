/**
 * What the lives of calls share: the beliefs that decide, and the means to act.
 *
 * @module
 */
import type { Clock } from "heatherarch-core";
import type { CacheRetention } from "./beliefs/cache_retention.ts";
import type { ConfigView } from "./beliefs/config_view.ts";
import type { EngineSpread } from "./decisions/engine_spread.ts";
import type { EventLog } from "./event_log.ts";
import type { LossInquiry } from "heatherarch-quarantine";
import type { ForwardMetrics } from "./metrics.ts";
import type { CallCodec } from "./ports.ts";
import type { PromptIndex } from "./beliefs/prompt_index.ts";
import type { PromptPlacer } from "./decisions/prompt_placement.ts";
import type { ReadModel } from "./beliefs/read_model.ts";
import type { ReadQueue } from "./decisions/read_queue.ts";
import type { RequestQuarantine } from "heatherarch-quarantine";
import type { ReaderBoard } from "./decisions/reader_board.ts";
import type { RetryAllowance } from "./beliefs/retry_allowance.ts";
import type { TargetListGuard } from "./calls/target_list_guard.ts";
import type { TargetConnections } from "./calls/target_connections.ts";
import type { TargetDirectory } from "./beliefs/target_directory.ts";
import type { TargetHealth } from "./beliefs/target_health.ts";
import type { TargetRests } from "./beliefs/target_rests.ts";
import type { WorkLedger } from "./beliefs/work_ledger.ts";

/** Parts of one VM that serve calls. */
export interface CallDependencies {
  readonly clock: Clock;
  readonly codec: CallCodec;
  readonly activeConfig: ConfigView;
  readonly directory: TargetDirectory;
  readonly health: TargetHealth;
  readonly backoffs: TargetRests;
  readonly workTracker: WorkLedger;
  readonly connections: TargetConnections;
  readonly targetListGuard: TargetListGuard;
  readonly crashDetector: LossInquiry;
  readonly quarantine: RequestQuarantine;
  readonly retryBudget: RetryAllowance;
  readonly placer: PromptPlacer;
  readonly engineJitter: EngineSpread;
  readonly prefixIndex: PromptIndex;
  readonly retention: CacheRetention;
  /** Number of VMs that share the load. */
  readonly countVms: () => number;
  readonly prefillTimeModel: ReadModel;
  readonly prefillQueue: ReadQueue;
  readonly prefillCandidateCache: ReaderBoard;
  readonly log: EventLog;
  readonly metrics: ForwardMetrics;
  /** Uniform in [0, 1). */
  readonly drawUnit: () => number;
}
