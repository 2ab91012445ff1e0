/**
 * Prefers engines whose software version other engines have too, since a stream goes on only at the
 * version that began it.
 *
 * @module
 */
import {
  computeUtilization,
  type TargetCandidate,
} from "./least_loaded_target.ts";

/** Engines of a version that are enough for a stream to go on when one of them fails. */
const MIN_ENGINES_OF_VERSION = 2;
/** Utilization from which on engines are no longer preferred, as streams would wait there. */
const MAX_PREFERRED_UTILIZATION = 0.7;

/** Returns the candidates at which a new stream should begin; all, if none is preferable. */
export function preferContinuable(
  candidates: readonly TargetCandidate[],
): readonly TargetCandidate[] {
  const counts = new Map<string | undefined, number>();
  for (const { target: { softwareVersion } } of candidates) {
    counts.set(softwareVersion, (counts.get(softwareVersion) ?? 0) + 1);
  }
  const preferred = candidates.filter((candidate) => {
    const count = counts.get(candidate.target.softwareVersion) ?? 0;
    return count >= MIN_ENGINES_OF_VERSION &&
      computeUtilization(candidate) < MAX_PREFERRED_UTILIZATION;
  });
  return preferred.length > 0 ? preferred : candidates;
}

/**
 * Returns the candidates whose version is recorded, so that VMs that start later know that a stream
 * may have begun there; all, if none is.
 */
export function preferRecorded(
  candidates: readonly TargetCandidate[],
  isRecorded: (softwareVersion: string | undefined) => boolean,
): readonly TargetCandidate[] {
  const recorded = candidates.filter(({ target }) =>
    isRecorded(target.softwareVersion)
  );
  return recorded.length > 0 ? recorded : candidates;
}
