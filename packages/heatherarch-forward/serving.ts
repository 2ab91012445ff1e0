/**
 * What the lives of calls share: the beliefs that decide, and the means to act.
 *
 * @module
 */
import type { Clock } from "heatherarch-core";
import type { CacheRetention } from "./cache_retention.ts";
import type { ConfigView } from "./config_view.ts";
import type { EngineSpread } from "./engine_spread.ts";
import type { EventLog } from "./event_log.ts";
import type { ForwardMetrics } from "./metrics.ts";
import type { CallCodec } from "./ports.ts";
import type { PromptIndex } from "./prompt_index.ts";
import type { PromptPlacer } from "./prompt_placement.ts";
import type { ReadModel } from "./read_model.ts";
import type { ReadQueue } from "./read_queue.ts";
import type { ReaderBoard } from "./reader_board.ts";
import type { RetryAllowance } from "./retry_allowance.ts";
import type { TargetConnections } from "./target_connections.ts";
import type { TargetDirectory } from "./target_directory.ts";
import type { TargetHealth } from "./target_health.ts";
import type { WorkLedger } from "./work_ledger.ts";

/** Parts of one VM that serve calls. */
export interface Serving {
  readonly clock: Clock;
  readonly codec: CallCodec;
  readonly configs: ConfigView;
  readonly directory: TargetDirectory;
  readonly health: TargetHealth;
  readonly ledger: WorkLedger;
  readonly connections: TargetConnections;
  readonly allowance: RetryAllowance;
  readonly placer: PromptPlacer;
  readonly spread: EngineSpread;
  readonly prompts: PromptIndex;
  readonly retention: CacheRetention;
  /** Number of VMs that share the load. */
  readonly countVms: () => number;
  readonly readModel: ReadModel;
  readonly readQueue: ReadQueue;
  readonly readerBoard: ReaderBoard;
  readonly log: EventLog;
  readonly metrics: ForwardMetrics;
  /** Uniform in [0, 1). */
  readonly drawUnit: () => number;
}
