/**
 * Picks the least loaded target for a call: a decode engine, or a target of a plain service. If targets
 * report their momentary slowdowns, picks by the predicted time.
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
  /** Predicted time of work at the target relative to the usual time; 1 by default. */
  readonly timeFactor?: number;
  /** Whether a request opens a connection that should be avoided; false by default. */
  readonly needsConnection?: boolean;
}

/**
 * A target in another availability zone is picked only if its utilization is lower by more than
 * this. A KV cache transfer between zones takes twice as long and costs up to three times as much.
 */
const CROSS_ZONE_PENALTY = 0.12;
/**
 * Higher utilization that is accepted to avoid a target at which work takes twice the usual time. Such
 * a target delays the first token as much as a transfer between zones, which also takes twice as long.
 */
const DOUBLE_TIME_PENALTY = CROSS_ZONE_PENALTY;
/** Utilizations closer than this are ordered at random, so that VMs don't all pick one target. */
const TIE_BREAK_RANGE = 0.02;
/** Higher utilization that is accepted to avoid a new connection: targets this close are equal. */
const NEW_CONNECTION_PENALTY = TIE_BREAK_RANGE;

/**
 * Predicted times relative to the usual that differ by the draw range are drawn at a ratio of 1 to e.
 * VMs that know the same reports choose within the time until they hear of each other's calls, so a
 * strict choice sends all of these calls to one target. That time, and so the range, grows with the
 * number of VMs: from some 10 ms with 4 VMs to 150 ms with 40, whose heartbeats pass through hubs.
 */
const DRAW_RANGE_PER_ROOT_OF_VMS = 0.05;
const MAX_DRAW_RANGE = 0.3;
/** Weight of a full target, in slots. It is drawn only if no target with a free slot is as fast. */
const FULL_TARGET_SLOTS = 0.1;

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
    const slowPenalty = ((candidate.timeFactor ?? 1) - 1) * DOUBLE_TIME_PENALTY;
    const connectionPenalty = candidate.needsConnection === true
      ? NEW_CONNECTION_PENALTY
      : 0;
    const score = computeUtilization(candidate) + penalty + slowPenalty +
      connectionPenalty + drawUnit() * TIE_BREAK_RANGE;
    if (score >= bestScore) continue;
    best = candidate;
    bestScore = score;
  }
  return best;
}

/**
 * Draws a target, weighted by its predicted time and its free slots. Returns undefined if there are no
 * candidates. `vms` is the number of VMs that choose; `drawUnit` returns a random number in [0, 1).
 */
export function drawFastest(
  candidates: readonly TargetCandidate[],
  vms: number,
  drawUnit: () => number,
): TargetCandidate | undefined {
  const range = Math.min(
    MAX_DRAW_RANGE,
    DRAW_RANGE_PER_ROOT_OF_VMS * Math.sqrt(Math.max(1, vms)),
  );
  const times = candidates.map(predictRelativeTime);
  const shortest = Math.min(...times);
  const weights = candidates.map((candidate, i) =>
    Math.exp((shortest - times[i]) / range) * countFreeSlots(candidate)
  );
  let left = drawUnit() * weights.reduce((sum, weight) => sum + weight, 0);
  for (let i = 0; i < candidates.length; i++) {
    left -= weights[i];
    if (left < 0) return candidates[i];
  }
  return candidates.at(-1);
}

/** Time of a call relative to the usual, with the time until a slot is free. */
function predictRelativeTime(
  { runs, target: { slots }, timeFactor = 1 }: TargetCandidate,
): number {
  const callsAhead = Math.max(0, runs + 1 - slots);
  const waitFactor = 1 + callsAhead / Math.max(1, slots);
  return timeFactor * waitFactor;
}

function countFreeSlots({ runs, target: { slots } }: TargetCandidate): number {
  return Math.max(FULL_TARGET_SLOTS, slots - runs);
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
