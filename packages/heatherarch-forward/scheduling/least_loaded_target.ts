/**
 * Which target runs a call: an engine that generates, or a target of a plain service.
 *
 * @module
 */
import type { Target } from "../model.ts";

/** A target that could run a call. */
export interface TargetCandidate {
  readonly target: Target;
  /** Runs in progress, over all VMs. */
  readonly runs: number;
  /** KV tokens in use by those runs; 0 for a plain target. */
  readonly kvTokens: number;
  /** KV tokens that the target has room for; 0 for a plain target. */
  readonly kvCapacityTokens: number;
}

/**
 * A target in another zone is taken where it has this much more of its room free: moving a KV
 * cache between zones takes twice as long and costs up to three times as much.
 */
const OTHER_ZONE_HANDICAP = 0.12;
/** Differences in use below this are decided by the tie-break, so that VMs don't flock. */
const USE_STEP = 0.02;

/** The target with the most room; near ones first. Undefined where there is none. */
export function pickLeastLoaded(
  candidates: readonly TargetCandidate[],
  zone: string | undefined,
  drawUnit: () => number,
): TargetCandidate | undefined {
  let best: TargetCandidate | undefined;
  let bestScore = Infinity;
  for (const candidate of candidates) {
    const isFar = zone !== undefined &&
      candidate.target.availabilityZone !== zone;
    const handicap = isFar ? OTHER_ZONE_HANDICAP : 0;
    const score = computeUtilization(candidate) + handicap +
      drawUnit() * USE_STEP;
    if (score >= bestScore) continue;
    best = candidate;
    bestScore = score;
  }
  return best;
}

/** Share of a target's places or KV cache in use, whichever is higher. */
export function computeUtilization(candidate: TargetCandidate): number {
  const places = candidate.runs / Math.max(1, candidate.target.slots);
  if (candidate.kvCapacityTokens === 0) return places;
  return Math.max(places, candidate.kvTokens / candidate.kvCapacityTokens);
}
