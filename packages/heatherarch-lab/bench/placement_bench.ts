/**
 * Ways to decide where prompts are read, at fleets of 6 to 870 VMs, side by side in a model.
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

/** A size of fleet. Engines are those that read. */
interface FleetSize {
  readonly vms: number;
  readonly engines: number;
  /** Age of the sums at their arrival, milliseconds: without hubs, and over hubs. */
  readonly digestAgeMs: number;
}

/** One way at one size, over all seeds. */
export interface PlacementRow {
  readonly vms: number;
  readonly way: string;
  readonly worth: number;
  /** Half of the distance between the least and the greatest worth of a seed. */
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

/** Fleets of the users' sheets and the size to design for; 51 VMs a zone share engines there. */
const FLEET_SIZES: readonly FleetSize[] = [
  { vms: 6, engines: 4, digestAgeMs: 30 },
  { vms: 9, engines: 10, digestAgeMs: 30 },
  { vms: 24, engines: 12, digestAgeMs: 100 },
  { vms: 64, engines: 28, digestAgeMs: 100 },
  { vms: 80, engines: 83, digestAgeMs: 100 },
  { vms: 195, engines: 70, digestAgeMs: 100 },
  { vms: 870, engines: 310, digestAgeMs: 100 },
];
/** Pause between sums where there are hubs, and between heartbeats where there are none. */
const DIGEST_INTERVAL_MS = 100;
const SMALL_FLEET_DIGEST_INTERVAL_MS = 60;
const SMALL_FLEET_VMS = 20;
/** Reading engines are busy for some three fifths of the time with these, as on the sheets. */
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

/** Plays all ways at all sizes. */
export function runPlacementBench(
  options: PlacementBenchOptions,
): PlacementRow[] {
  const { print } = options;
  print("| VMs | way | worth | long | middle | short | refused | busiest |");
  const rows: PlacementRow[] = [];
  for (const size of FLEET_SIZES) {
    for (const [way, changes] of Object.entries(STRATEGIES)) {
      const row = simulateRow(size, way, changes, options);
      rows.push(row);
      print(formatRow(row));
    }
  }
  return rows;
}

function simulateRow(
  { vms, engines, digestAgeMs: ageMs }: FleetSize,
  way: string,
  changes: Partial<PlacementSimulationOptions>,
  { seed, seeds, seconds, burst }: PlacementBenchOptions,
): PlacementRow {
  const results: PlacementSimulationResult[] = [];
  for (let i = 0; i < seeds; i++) {
    results.push(simulatePlacement({
      seed: seed + i,
      vms,
      engines,
      digestAgeMs: ageMs,
      seconds,
      burst,
      kinds: KINDS,
      digestIntervalMs: vms < SMALL_FLEET_VMS
        ? SMALL_FLEET_DIGEST_INTERVAL_MS
        : DIGEST_INTERVAL_MS,
      maxJitterMs: 0,
      ...changes,
    }));
  }
  const worths = results.map(({ worth }) => worth);
  const onTime = Object.fromEntries(
    KINDS.map(({ name }) => [
      name,
      computeMean(results.map((result) => result.onTime[name] ?? 0)),
    ]),
  );
  return {
    vms,
    way,
    worth: computeMean(worths),
    spread: roundTo((Math.max(...worths) - Math.min(...worths)) / 2, 3),
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
