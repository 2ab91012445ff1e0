/**
 * Compares strategies for placing prompts, in simulated fleets of 6 to 870 VMs.
 *
 * @module
 */
import {
  type PlacementRequestKind,
  type PlacementSimulationOptions,
  type PlacementSimulationResult,
  simulatePlacement,
} from "./placement_simulation.ts";
import { roundTo } from "./statistics.ts";

/** Size of a fleet. */
interface FleetSize {
  readonly vms: number;
  /** Number of prefill engines. */
  readonly engines: number;
  /** Age of the digests when they arrive, in milliseconds. Hubs add to it in larger fleets. */
  readonly digestAgeMs: number;
}

/** Result of one strategy at one fleet size, over all seeds. */
export interface PlacementRow {
  readonly vms: number;
  readonly way: string;
  readonly worth: number;
  /** Half of the difference between the lowest and the highest worth of a seed. */
  readonly spread: number;
  readonly onTime: Readonly<Record<string, number>>;
  readonly refused: number;
  readonly busiest: number;
}

/** Options of {@linkcode runPlacementBench}. */
export interface PlacementBenchOptions {
  readonly seed: number;
  readonly seeds: number;
  readonly seconds: number;
  readonly burst: number;
  readonly print: (line: string) => void;
}

/**
 * Fleets of the users' load specifications, and the design size, in which the 51 VMs of a zone
 * share its engines.
 */
const FLEET_SIZES: readonly FleetSize[] = [
  { vms: 6, engines: 4, digestAgeMs: 30 },
  { vms: 9, engines: 10, digestAgeMs: 30 },
  { vms: 24, engines: 12, digestAgeMs: 100 },
  { vms: 64, engines: 28, digestAgeMs: 100 },
  { vms: 80, engines: 83, digestAgeMs: 100 },
  { vms: 195, engines: 70, digestAgeMs: 100 },
  { vms: 870, engines: 310, digestAgeMs: 100 },
];
/** Interval between digests in a fleet with hubs. */
const DIGEST_INTERVAL_MS = 100;
/** Interval between heartbeats, which carry the digests in a fleet without hubs. */
const SMALL_FLEET_DIGEST_INTERVAL_MS = 60;
const SMALL_FLEET_VMS = 20;
/**
 * With these rates, prefill engines are busy some 60% of the time, as in the load specifications.
 */
const KINDS: readonly PlacementRequestKind[] = [
  {
    name: "long",
    rate: 1.46,
    sharedTokens: 13_300,
    uniqueTokens: 3720,
    aimMs: 614,
    lane: 0,
    worth: 2.2,
    lateWorth: 0.66,
  },
  {
    name: "middle",
    rate: 1.13,
    sharedTokens: 6300,
    uniqueTokens: 2890,
    aimMs: 510,
    lane: 1,
    worth: 2.3,
    lateWorth: 0.7,
  },
  {
    name: "short",
    rate: 2.63,
    sharedTokens: 350,
    uniqueTokens: 1110,
    aimMs: 306,
    lane: 2,
    worth: 1.2,
    lateWorth: 0.36,
  },
];
const STRATEGIES: Readonly<
  Record<string, Partial<PlacementSimulationOptions>>
> = {
  "no spread": { maxJitterMs: 0 },
  "spread 20 ms": { maxJitterMs: 20 },
  "spread 40 ms": { maxJitterMs: 40 },
  "spread 80 ms": { maxJitterMs: 80 },
  "all known at once": { maxJitterMs: 0, isOracle: true },
};

/** Simulates all strategies at all fleet sizes. */
export function runPlacementBench(
  options: PlacementBenchOptions,
): PlacementRow[] {
  const { print } = options;
  print("| VMs | way | worth | long | middle | short | refused | busiest |");
  const rows: PlacementRow[] = [];
  for (const size of FLEET_SIZES) {
    for (const [way, overrides] of Object.entries(STRATEGIES)) {
      const row = simulateRow(size, way, overrides, options);
      rows.push(row);
      print(formatRow(row));
    }
  }
  return rows;
}

function simulateRow(
  { vms, engines, digestAgeMs }: FleetSize,
  way: string,
  overrides: Partial<PlacementSimulationOptions>,
  { seed, seeds, seconds, burst }: PlacementBenchOptions,
): PlacementRow {
  const results: PlacementSimulationResult[] = [];
  for (let i = 0; i < seeds; i++) {
    results.push(simulatePlacement({
      seed: seed + i,
      vms,
      engines,
      digestAgeMs,
      seconds,
      burst,
      kinds: KINDS,
      digestIntervalMs: vms < SMALL_FLEET_VMS
        ? SMALL_FLEET_DIGEST_INTERVAL_MS
        : DIGEST_INTERVAL_MS,
      maxJitterMs: 0,
      ...overrides,
    }));
  }
  const worthBySeed = results.map(({ worth }) => worth);
  const onTime = Object.fromEntries(
    KINDS.map(({ name }) => [
      name,
      computeMean(results.map((result) => result.onTime[name] ?? 0)),
    ]),
  );
  return {
    vms,
    way,
    worth: computeMean(worthBySeed),
    spread: roundTo(
      (Math.max(...worthBySeed) - Math.min(...worthBySeed)) / 2,
      3,
    ),
    onTime,
    refused: computeMean(results.map(({ refused }) => refused)),
    busiest: computeMean(results.map(({ busiest }) => busiest)),
  };
}

function formatRow(row: PlacementRow): string {
  const { vms, way, worth, spread, onTime, refused, busiest } = row;
  const kinds = KINDS.map(({ name }) => onTime[name]).join(" | ");
  return `| ${vms} | ${way} | ${worth} ± ${spread} | ${kinds} | ${refused} | ${busiest} |`;
}

function computeMean(values: readonly number[]): number {
  return roundTo(values.reduce((a, b) => a + b, 0) / values.length, 3);
}
