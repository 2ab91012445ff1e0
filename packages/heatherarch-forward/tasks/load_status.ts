/**
 * What operators see of the loads that targets have reported.
 *
 * @module
 */
import type { TargetLoads } from "heatherarch-load";
import type { TargetDirectory } from "../state/target_directory.ts";

/** Last load that a target has reported to this VM or to a peer. */
export interface TargetLoadStatus {
  /** Id of the incarnation. */
  readonly target: string;
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Reported duration of work relative to the usual; null if the target doesn't report it. */
  readonly slowdown: number | null;
  /** Slowdown by which this VM decides now; 1 if the target's reports are ignored. */
  readonly expectedSlowdown: number;
  readonly ageMs: number;
}

/** Reported loads of the targets of one service that may receive new work. */
export interface LoadStatus {
  readonly service: string;
  /** The most loaded ones, the first of them first. */
  readonly targets: readonly TargetLoadStatus[];
  /** Number of the others that have reported their load. */
  readonly others: number;
  /** Number of targets of which this VM knows no report. */
  readonly withoutReport: number;
}

/** What the status is read from. */
export interface LoadStatusOptions {
  readonly targetLoads: Pick<TargetLoads, "find" | "estimateSlowdown">;
  readonly directory: Pick<TargetDirectory, "listServing">;
}

/** Targets that are listed per service, because a service may have 3,700. */
const MAX_LISTED_TARGETS = 32;
/** Slowdowns are listed to a hundredth, as targets report them in percent. */
const SLOWDOWN_DIGITS = 2;

/** Lists the reported loads of each service of which at least one target has reported. */
export function listLoadStatus(
  options: LoadStatusOptions,
  services: readonly string[],
  nowMs: number,
): LoadStatus[] {
  return services.map((service) => buildLoadStatus(options, service, nowMs))
    .filter(({ targets }) => targets.length > 0);
}

function buildLoadStatus(
  { targetLoads, directory }: LoadStatusOptions,
  service: string,
  nowMs: number,
): LoadStatus {
  const serving = directory.listServing(service);
  const reported = serving
    .map(({ id }) => findLoad(targetLoads, id, nowMs))
    .filter((load) => load !== undefined)
    .sort((a, b) => computePressure(b) - computePressure(a));
  const targets = reported.slice(0, MAX_LISTED_TARGETS);
  return {
    service,
    targets,
    others: reported.length - targets.length,
    withoutReport: serving.length - reported.length,
  };
}

function findLoad(
  targetLoads: LoadStatusOptions["targetLoads"],
  target: string,
  nowMs: number,
): TargetLoadStatus | undefined {
  const found = targetLoads.find(target, nowMs);
  if (found === undefined) return undefined;
  const { report: { running, waiting, slots, slowdown }, ageMs } = found;
  return {
    target,
    running,
    waiting,
    slots,
    slowdown: slowdown === undefined ? null : roundSlowdown(slowdown),
    expectedSlowdown: roundSlowdown(
      targetLoads.estimateSlowdown(target, nowMs),
    ),
    ageMs: Math.round(ageMs),
  };
}

/** Requests per slot with one more, times the slowdown: how late one more request would be. */
function computePressure(
  { running, waiting, slots, expectedSlowdown }: TargetLoadStatus,
): number {
  return (running + waiting + 1) / Math.max(1, slots) * expectedSlowdown;
}

function roundSlowdown(slowdown: number): number {
  return Number(slowdown.toFixed(SLOWDOWN_DIGITS));
}
