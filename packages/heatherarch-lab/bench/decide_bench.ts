/**
 * Ways to decide where prompts are read, at fleets of 6 to 870 VMs, side by side in a model.
 *
 * @module
 */
import {
  type DecideKind,
  type DecideOptions,
  type DecideResult,
  playDecisions,
} from "./decide_world.ts";
import { roundTo } from "./statistics.ts";

/** A size of fleet. Engines are those that read. */
interface DecideSize {
  readonly vms: number;
  readonly engines: number;
  /** Age of the sums at their arrival, milliseconds: without hubs, and over hubs. */
  readonly ageMs: number;
}

/** One way at one size, over all seeds. */
export interface DecideRow {
  readonly vms: number;
  readonly way: string;
  readonly worth: number;
  /** Half of the distance between the least and the greatest worth of a seed. */
  readonly spread: number;
  readonly onTime: Readonly<Record<string, number>>;
  readonly refused: number;
  readonly busiest: number;
}

/** Options of {@linkcode runDecideBench}. */
export interface DecideBenchOptions {
  readonly seed: number;
  readonly seeds: number;
  readonly seconds: number;
  readonly burst: number;
  readonly print: (line: string) => void;
}

/** Fleets of the users' sheets and the size to design for; 51 VMs a zone share engines there. */
const SIZES: readonly DecideSize[] = [
  { vms: 6, engines: 4, ageMs: 30 },
  { vms: 9, engines: 10, ageMs: 30 },
  { vms: 24, engines: 12, ageMs: 100 },
  { vms: 64, engines: 28, ageMs: 100 },
  { vms: 80, engines: 83, ageMs: 100 },
  { vms: 195, engines: 70, ageMs: 100 },
  { vms: 870, engines: 310, ageMs: 100 },
];
/** Pause between sums where there are hubs, and between heartbeats where there are none. */
const SUM_MS = 100;
const FEW_VMS_SUM_MS = 60;
const FEW_VMS = 20;
/** Reading engines are busy for some three fifths of the time with these, as on the sheets. */
const KINDS: readonly DecideKind[] = [
  {
    name: "long",
    rate: 1.46,
    sharedTokens: 13_300,
    ownTokens: 3720,
    aimMs: 614,
    lane: 0,
    worth: 2.2,
    lateWorth: 0.66,
  },
  {
    name: "middle",
    rate: 1.13,
    sharedTokens: 6300,
    ownTokens: 2890,
    aimMs: 510,
    lane: 1,
    worth: 2.3,
    lateWorth: 0.7,
  },
  {
    name: "short",
    rate: 2.63,
    sharedTokens: 350,
    ownTokens: 1110,
    aimMs: 306,
    lane: 2,
    worth: 1.2,
    lateWorth: 0.36,
  },
];
const WAYS: Readonly<Record<string, Partial<DecideOptions>>> = {
  "no spread": { spreadMs: 0 },
  "spread 20 ms": { spreadMs: 20 },
  "spread 40 ms": { spreadMs: 40 },
  "spread 80 ms": { spreadMs: 80 },
  "all known at once": { spreadMs: 0, isOracle: true },
};

/** Plays all ways at all sizes. */
export function runDecideBench(options: DecideBenchOptions): DecideRow[] {
  const { print } = options;
  print("| VMs | way | worth | long | middle | short | refused | busiest |");
  const rows: DecideRow[] = [];
  for (const size of SIZES) {
    for (const [way, changes] of Object.entries(WAYS)) {
      const row = playRow(size, way, changes, options);
      rows.push(row);
      print(formatRow(row));
    }
  }
  return rows;
}

function playRow(
  { vms, engines, ageMs }: DecideSize,
  way: string,
  changes: Partial<DecideOptions>,
  { seed, seeds, seconds, burst }: DecideBenchOptions,
): DecideRow {
  const results: DecideResult[] = [];
  for (let i = 0; i < seeds; i++) {
    results.push(playDecisions({
      seed: seed + i,
      vms,
      engines,
      ageMs,
      seconds,
      burst,
      kinds: KINDS,
      sumMs: vms < FEW_VMS ? FEW_VMS_SUM_MS : SUM_MS,
      spreadMs: 0,
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

function formatRow(row: DecideRow): string {
  const { vms, way, worth, spread, onTime, refused, busiest } = row;
  const kinds = KINDS.map(({ name }) => onTime[name]).join(" | ");
  return `| ${vms} | ${way} | ${worth} ± ${spread} | ${kinds} | ${refused} | ${busiest} |`;
}

function computeMean(values: readonly number[]): number {
  return roundTo(values.reduce((a, b) => a + b, 0) / values.length, 3);
}
