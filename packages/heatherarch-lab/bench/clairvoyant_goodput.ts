/**
 * Estimates the goodput of a clairvoyant planner, which knows the whole trace in advance. Its
 * engines change roles immediately and at no cost, every prefix that has occurred is cached, and
 * requests that would miss their deadline are known from the start.
 *
 * @module
 */
import {
  SHARED_PREFIX_SHARE,
  type TokenCosts,
  type TraceRequest,
} from "./trace.ts";

interface Job {
  readonly releasedAtMs: number;
  readonly deadlineAtMs: number;
  readonly workMs: number;
}

/** Counts the generation requests that `engines` could complete within their deadlines. */
export function countClairvoyantGoodput(
  requests: readonly TraceRequest[],
  engines: number,
  costs: TokenCosts,
): number {
  const jobs = buildJobs(requests, engines, costs);
  // The cheapest jobs come first, because they leave the most capacity for others.
  const byCost = [...jobs].sort((a, b) => a.workMs - b.workMs);
  if (isFeasible(jobs)) return jobs.length;
  // A binary search finds the longest feasible prefix; later jobs are added one by one if they fit.
  let low = 0;
  let high = byCost.length;
  while (low < high) {
    const middle = Math.ceil((low + high) / 2);
    if (isFeasible(byCost.slice(0, middle))) low = middle;
    else high = middle - 1;
  }
  const selected = byCost.slice(0, low);
  for (let index = low; index < byCost.length; index++) {
    selected.push(byCost[index]);
    if (!isFeasible(selected)) selected.pop();
  }
  return selected.length;
}

function buildJobs(
  requests: readonly TraceRequest[],
  engines: number,
  costs: TokenCosts,
): Job[] {
  const seenPrefixes = new Set<string>();
  return requests.filter((request) => request.outputTokens > 0).map(
    (request) => {
      const cachedShare = seenPrefixes.has(request.prefixId)
        ? SHARED_PREFIX_SHARE
        : 0;
      seenPrefixes.add(request.prefixId);
      const prefillSeconds = request.promptTokens * (1 - cachedShare) *
        costs.prefill;
      const workMs = (prefillSeconds + request.outputTokens * costs.decode) *
        1000 /
        engines;
      return {
        releasedAtMs: request.atMs,
        deadlineAtMs: request.atMs + request.deadlineMs,
        workMs,
      };
    },
  );
}

/**
 * Whether one machine that is as fast as all engines together can finish all jobs by their
 * deadlines, with preemptive earliest-deadline-first scheduling.
 */
function isFeasible(jobs: readonly Job[]): boolean {
  const arrivals = [...jobs].sort((a, b) => a.releasedAtMs - b.releasedAtMs);
  const ready: { deadlineAtMs: number; remainingMs: number }[] = [];
  let nowMs = 0;
  for (let index = 0; index <= arrivals.length; index++) {
    const nextReleaseMs = index < arrivals.length
      ? arrivals[index].releasedAtMs
      : Infinity;
    while (ready.length > 0 && nowMs < nextReleaseMs) {
      const job = ready[0];
      const runMs = Math.min(job.remainingMs, nextReleaseMs - nowMs);
      nowMs += runMs;
      job.remainingMs -= runMs;
      if (nowMs > job.deadlineAtMs + 1e-6) return false;
      if (job.remainingMs <= 1e-9) ready.shift();
    }
    if (index === arrivals.length) break;
    nowMs = Math.max(nowMs, nextReleaseMs);
    insertByDeadline(ready, {
      deadlineAtMs: arrivals[index].deadlineAtMs,
      remainingMs: arrivals[index].workMs,
    });
  }
  return true;
}

function insertByDeadline(
  ready: { deadlineAtMs: number; remainingMs: number }[],
  job: { deadlineAtMs: number; remainingMs: number },
): void {
  let index = ready.length;
  while (index > 0 && ready[index - 1].deadlineAtMs > job.deadlineAtMs) index--;
  ready.splice(index, 0, job);
}
