/**
 * Picks the least loaded target for a call: a decode engine, or a target of a plain service.
 *
 * @module
 */
import type { Target } from "../model.ts";

/** A target that can run a call. */
export interface TargetCandidate {
  readonly target: Target;
  /** Runs in progress on the target, from all VMs. */
  readonly runs: number;
  /** Tokens in the KV cache that these runs use; 0 for a plain target. */
  readonly kvTokens: number;
  /** Capacity of the KV cache in tokens; 0 for a plain target. */
  readonly maxKvTokens: number;
}

/**
 * A target in another availability zone is picked only if its utilization is lower by more than
 * this. A KV cache transfer between zones takes twice as long and costs up to three times as much.
 */
const CROSS_ZONE_PENALTY = 0.12;
/** Utilizations closer than this are ordered at random, so that VMs don't all pick one target. */
const TIE_BREAK_RANGE = 0.02;

/**
 * Picks the target with the lowest utilization, preferring those in `zone`. Returns undefined if
 * there are no candidates. `drawUnit` returns a random number in [0, 1).
 */
export function pickLeastLoaded(
  candidates: readonly TargetCandidate[],
  zone: string | undefined,
  drawUnit: () => number,
): TargetCandidate | undefined {
  let best: TargetCandidate | undefined;
  let bestScore = Infinity;
  for (const candidate of candidates) {
    const isOtherZone = zone !== undefined &&
      candidate.target.availabilityZone !== zone;
    const penalty = isOtherZone ? CROSS_ZONE_PENALTY : 0;
    const score = computeUtilization(candidate) + penalty +
      drawUnit() * TIE_BREAK_RANGE;
    if (score >= bestScore) continue;
    best = candidate;
    bestScore = score;
  }
  return best;
}

/** Utilization of a target's slots or of its KV cache, whichever is higher. */
export function computeUtilization(candidate: TargetCandidate): number {
  const slotUtilization = candidate.runs / Math.max(1, candidate.target.slots);
  if (candidate.maxKvTokens === 0) return slotUtilization;
  return Math.max(
    slotUtilization,
    candidate.kvTokens / candidate.maxKvTokens,
  );
}
