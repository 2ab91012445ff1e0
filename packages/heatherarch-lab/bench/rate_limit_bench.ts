/**
 * Compares ways to share the rate limits of targets over the VMs of fleets of several sizes.
 *
 * @module
 */
import { FleetDemand, TargetRateLimits } from "heatherarch-forward";
import {
  type RateLimitResult,
  SHARING_WAYS,
  type SharingWay,
  simulateRateLimits,
  type Spread,
  SPREADS,
} from "./rate_limit_simulation.ts";

/** Options of {@linkcode runRateLimitBench}. */
export interface RateLimitBenchOptions {
  readonly seed: number;
  readonly seeds: number;
  readonly print: (line: string) => void;
}

/** Result of one way in one fleet, over all seeds. */
export interface RateLimitRow extends RateLimitResult {
  readonly vms: number;
  readonly spread: Spread;
  readonly way: SharingWay;
}

const FLEET_SIZES = [9, 88, 300, 870];
const COST_FLEET_SIZES = [88, 300];
/** Availability zones. A hub has the VMs of its zone as peers, and one digest of each zone. */
const ZONES = 3;
/** Targets that have a rate limit in the measurement of costs. */
const LIMITED_TARGETS = 10;
const COST_ROUNDS = 20_000;
/** Calls that one VM of the users' deployments receives per second. */
const CALLS_PER_VM = 2.7;
/** Below this, a fleet would receive less than its targets take. */
const MIN_CALLS_PER_SECOND = 60;

/** Runs the benchmark: the largest window, and the means of the other figures, over the seeds. */
export function runRateLimitBench(
  { seed, seeds, print }: RateLimitBenchOptions,
): RateLimitRow[] {
  const rows: RateLimitRow[] = [];
  print("VMs spread way: busiest window, used share, worst VMs");
  for (const vms of FLEET_SIZES) {
    for (const spread of SPREADS) {
      for (const way of SHARING_WAYS) {
        const results = Array.from(
          { length: seeds },
          (_, i) =>
            simulateRateLimits({
              vms,
              spread,
              way,
              seed: seed + i,
              callsPerSecond: Math.max(
                MIN_CALLS_PER_SECOND,
                vms * CALLS_PER_VM,
              ),
            }),
        );
        const row = { vms, spread, way, ...summarizeResults(results) };
        rows.push(row);
        print(
          `${vms} ${spread} ${way}: ${row.busiestWindow.toFixed(2)} ` +
            `${row.used.toFixed(2)} ${row.worstVms.toFixed(2)}`,
        );
      }
    }
  }
  return rows;
}

/** Processor time that one check of a rate limit costs a hub, microseconds. */
export function measureCheckCosts(
  print: (line: string) => void,
): { readonly vms: number; readonly microseconds: number }[] {
  return COST_FLEET_SIZES.map((vms) => {
    const demand = new FleetDemand();
    demand.setVmCount(vms);
    const peers = Math.ceil(vms / ZONES) + ZONES;
    for (let i = 0; i < peers; i++) {
      demand.setPeerRate(`peer-${i}`, { callsPerMinute: 160, vms: 1 }, 0);
    }
    const limits = new TargetRateLimits({ share: demand, drawUnit: () => 0.5 });
    const ids = Array.from({ length: LIMITED_TARGETS }, (_, i) => `t-${i}`);
    for (const id of ids) {
      limits.recordObservation(id, { maxPerSecond: 5, sentAtMs: 0, atMs: 0 });
    }
    const startMs = performance.now();
    for (let round = 0; round < COST_ROUNDS; round++) {
      limits.getDelayMs(ids[round % ids.length], round / COST_ROUNDS);
    }
    const microseconds = (performance.now() - startMs) * 1000 / COST_ROUNDS;
    print(`${vms} VMs, hub: ${microseconds.toFixed(2)} us a check`);
    return { vms, microseconds };
  });
}

function summarizeResults(
  results: readonly RateLimitResult[],
): RateLimitResult {
  const average = (pick: (result: RateLimitResult) => number): number =>
    results.reduce((sum, result) => sum + pick(result), 0) / results.length;
  return {
    busiestWindow: Math.max(...results.map((result) => result.busiestWindow)),
    used: average((result) => result.used),
    worstVms: average((result) => result.worstVms),
  };
}
