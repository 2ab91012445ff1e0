/**
 * Chooses the target of a plain call: by predicted time if targets report their momentary slowdowns,
 * and otherwise the least loaded one.
 *
 * @module
 */
import type { CallDependencies } from "../call_dependencies.ts";
import type { Target } from "../model.ts";
import {
  drawFastest,
  pickLeastLoaded,
  type TargetCandidate,
} from "./least_loaded_target.ts";

/** What the choice of a plain target depends on. */
export type PlainChoiceDependencies = Pick<
  CallDependencies,
  "workTracker" | "targetLoads" | "plainTimeModel" | "countVms" | "drawUnit"
>;

/** Chooses one of the targets that may take the call now; undefined if there is none. */
export function pickPlainTarget(
  dependencies: PlainChoiceDependencies,
  targets: readonly Target[],
  nowMs: number,
): Target | undefined {
  const { workTracker, targetLoads, plainTimeModel, countVms, drawUnit } =
    dependencies;
  const candidates = targets.map((target): TargetCandidate => ({
    target,
    runs: workTracker.getRunLoad(target.id, nowMs).runs,
    kvTokens: 0,
    maxKvTokens: 0,
  }));
  // Without reports, an own speed that is learned from few calls must not change the choice.
  if (!targets.some(({ id }) => targetLoads.reportsSlowdown(id))) {
    return pickLeastLoaded(candidates, undefined, drawUnit)?.target;
  }
  const timed = candidates.map((candidate) => ({
    ...candidate,
    timeFactor: plainTimeModel.predictFactor(candidate.target.id, nowMs),
  }));
  return drawFastest(timed, countVms(), drawUnit)?.target;
}
