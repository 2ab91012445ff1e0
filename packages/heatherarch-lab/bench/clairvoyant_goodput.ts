/**
 * An estimate of what a planner could do that knows the whole trace: engines change roles at
 * once and for nothing, every prefix that was seen is cached, and requests that would be late
 * are known from the start.
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

/** Counts the readings that `engines` could answer in time. */
export function countClairvoyantGoodput(
  requests: readonly TraceRequest[],
  engines: number,
  costs: TokenCosts,
): number {
  const jobs = buildJobs(requests, engines, costs);
  // Cheapest first: each kept job leaves the most room for others.
  const order = [...jobs].sort((a, b) => a.workMs - b.workMs);
  if (isFeasible(jobs)) return jobs.length;
  // Find the longest feasible prefix by halving, then add what still fits in steps.
  let low = 0;
  let high = order.length;
  while (low < high) {
    const middle = Math.ceil((low + high) / 2);
    if (isFeasible(order.slice(0, middle))) low = middle;
    else high = middle - 1;
  }
  const kept = order.slice(0, low);
  for (let at = low; at < order.length; at++) {
    kept.push(order[at]);
    if (!isFeasible(kept)) kept.pop();
  }
  return kept.length;
}

function buildJobs(
  requests: readonly TraceRequest[],
  engines: number,
  costs: TokenCosts,
): Job[] {
  const seen = new Set<string>();
  return requests.filter((request) => request.outputTokens > 0).map(
    (request) => {
      const cached = seen.has(request.prefixId) ? SHARED_PREFIX_SHARE : 0;
      seen.add(request.prefixId);
      const prefill = request.promptTokens * (1 - cached) * costs.prefill;
      const workMs = (prefill + request.outputTokens * costs.decode) * 1000 /
        engines;
      return {
        releasedAtMs: request.atMs,
        deadlineAtMs: request.atMs + request.deadlineMs,
        workMs,
      };
    },
  );
}

/** Whether one machine as fast as all engines together can finish all in time (preemptive EDF). */
function isFeasible(jobs: readonly Job[]): boolean {
  const arrivals = [...jobs].sort((a, b) => a.releasedAtMs - b.releasedAtMs);
  const open: { dueMs: number; leftMs: number }[] = [];
  let nowMs = 0;
  for (let at = 0; at <= arrivals.length; at++) {
    const untilMs = at < arrivals.length ? arrivals[at].releasedAtMs : Infinity;
    while (open.length > 0 && nowMs < untilMs) {
      const job = open[0];
      const spentMs = Math.min(job.leftMs, untilMs - nowMs);
      nowMs += spentMs;
      job.leftMs -= spentMs;
      if (nowMs > job.dueMs + 1e-6) return false;
      if (job.leftMs <= 1e-9) open.shift();
    }
    if (at === arrivals.length) break;
    nowMs = Math.max(nowMs, untilMs);
    insertByDeadline(open, {
      dueMs: arrivals[at].deadlineAtMs,
      leftMs: arrivals[at].workMs,
    });
  }
  return true;
}

function insertByDeadline(
  open: { dueMs: number; leftMs: number }[],
  job: { dueMs: number; leftMs: number },
): void {
  let at = open.length;
  while (at > 0 && open[at - 1].dueMs > job.dueMs) at--;
  open.splice(at, 0, job);
}
