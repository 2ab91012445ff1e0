/**
 * Builds what the calls of one VM share: its beliefs, and the means to act on them.
 *
 * @module
 */
import type { Clock } from "heatherarch-core";
import type { ForwardSettings } from "heatherarch-settings";
import { CacheRetention } from "./state/cache_retention.ts";
import { ActiveConfig } from "./state/active_config.ts";
import { PrefixIndex } from "./state/prefix_index.ts";
import { PrefillTimeModel } from "./state/prefill_time_model.ts";
import { RequestQuarantine } from "heatherarch-quarantine";
import { RetryBudget } from "./state/retry_budget.ts";
import { TargetDirectory } from "./state/target_directory.ts";
import { TargetHealth } from "./state/target_health.ts";
import { TargetBackoffs } from "./state/target_backoffs.ts";
import { WorkTracker } from "./state/work_tracker.ts";
import { EngineJitter } from "./scheduling/engine_jitter.ts";
import { PromptPlacer } from "./scheduling/prompt_placement.ts";
import { PrefillCandidateCache } from "./scheduling/prefill_candidate_cache.ts";
import { PrefillQueue } from "./scheduling/prefill_queue.ts";
import type { EventLog } from "./event_log.ts";
import { ResponseNotices } from "./calls/response_notices.ts";
import { TargetListGuard } from "./calls/target_list_guard.ts";
import {
  type SendPurpose,
  TargetConnections,
} from "./calls/target_connections.ts";
import { TargetProbe } from "heatherarch-quarantine";
import { ForwardMetrics } from "./metrics.ts";
import type { CallCodec } from "./ports.ts";
import type { CallDependencies } from "./call_dependencies.ts";
import { CrashDetector } from "heatherarch-quarantine";

/** Options of {@linkcode buildCallDependencies}. */
export interface CallDependenciesOptions {
  readonly settings: ForwardSettings;
  readonly codec: CallCodec;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Number of VMs that share the load. */
  readonly countVms: () => number;
  /** Age of what this VM knows of the list of targets, milliseconds. */
  readonly getListAgeMs: () => number;
  /** Has the list read soon. */
  readonly refreshTargetList: () => void;
}

const MS_PER_SECOND = 1000;
/** How often beliefs that have lapsed are swept, milliseconds. */
export const SWEEP_INTERVAL_MS = 250;
/**
 * A list of targets is relied on up to this many of its readings and this time. With readings at
 * a third of the time in which a leaving target may still get work, a VM whose hub has lost the
 * store reads by itself before two thirds of it are over.
 */
const LIST_AGE_POLLS = 1.6;
const LIST_AGE_SLACK_MS = 300;

/** Age up to which a list of targets is relied on, milliseconds. */
export function computeMaxListAgeMs(
  { targetPollMs }: ForwardSettings["store"],
): number {
  return targetPollMs * LIST_AGE_POLLS + LIST_AGE_SLACK_MS;
}

/** Builds what calls share, from a VM's settings. */
export function buildCallDependencies(
  options: CallDependenciesOptions,
): CallDependencies {
  const { settings, codec, clock, log, countVms } = options;
  const metrics = new ForwardMetrics();
  const readModel = new PrefillTimeModel();
  const directory = new TargetDirectory({
    targetHeartbeatMs: settings.store.targetHeartbeatMs,
  });
  const rests = new TargetBackoffs();
  const notices = new ResponseNotices({
    codec,
    directory,
    backoffs: rests,
    clock,
    log,
  });
  const quarantine = buildQuarantine(settings);
  return {
    clock,
    log,
    codec,
    metrics,
    directory,
    backoffs: rests,
    quarantine,
    prefillTimeModel: readModel,
    countVms,
    activeConfig: new ActiveConfig(),
    health: new TargetHealth(),
    workTracker: new WorkTracker(),
    crashDetector: buildCrashDetector({
      quarantine,
      directory,
      clock,
      log,
      metrics,
    }),
    connections: new TargetConnections({
      onResponseHead: (target, head) => notices.apply(target, head),
      findBlockReason: ({ id }, purpose) =>
        findBan({ directory, backoffs: rests, clock }, id, purpose),
    }),
    targetListGuard: buildListGuard(options, metrics),
    retryBudget: buildAllowance(settings),
    prefillQueue: new PrefillQueue({ clock }),
    prefillCandidateCache: new PrefillCandidateCache(),
    prefixIndex: new PrefixIndex(),
    retention: new CacheRetention(),
    placer: new PromptPlacer({ model: readModel }),
    engineJitter: new EngineJitter({
      vmId: settings.vm.id,
      drawUnit: Math.random,
    }),
    drawUnit: Math.random,
  };
}

function buildListGuard(
  { settings, clock, log, getListAgeMs, refreshTargetList: refreshList }:
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
        refreshList();
      }
      log.write("warn", isHeld ? "callsHeldBack" : "callsFreed", change);
    },
  });
}

/** Builds the inquiry into lost exchanges, which logs each loss and each crash. */
export function buildCrashDetector(
  { quarantine, directory, clock, log, metrics }: Pick<
    CallDependencies,
    "quarantine" | "directory" | "clock" | "log" | "metrics"
  >,
  targetProbe: Pick<TargetProbe, "probe"> = new TargetProbe(),
): CrashDetector {
  return new CrashDetector({
    targetProbe,
    quarantine,
    clock,
    isInService: (target) =>
      directory.findTarget(target) !== undefined &&
      !directory.isLeaving(target),
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

/** Why nothing may be sent to a target now; undefined if it may. */
function findBan(
  { directory, backoffs: rests, clock }: Pick<
    CallDependencies,
    "directory" | "backoffs" | "clock"
  >,
  target: string,
  purpose: SendPurpose,
): string | undefined {
  if (rests.isInBackoff(target, clock.readMonotonicMs())) {
    return "the target rests";
  }
  if (purpose === "release") return undefined;
  return directory.isLeaving(target) ? "the target leaves" : undefined;
}

function buildQuarantine({ quarantine }: ForwardSettings): RequestQuarantine {
  const { maxCrashes, holdSeconds } = quarantine;
  return new RequestQuarantine({
    maxCrashes,
    holdMs: holdSeconds * MS_PER_SECOND,
  });
}

function buildAllowance({ retries }: ForwardSettings): RetryBudget {
  const { share, fixedPerWindow, windowSeconds } = retries;
  return new RetryBudget({
    share,
    fixedPerWindow,
    windowMs: windowSeconds * MS_PER_SECOND,
  });
}
