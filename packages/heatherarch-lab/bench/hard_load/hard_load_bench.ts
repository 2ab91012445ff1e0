/**
 * Compares designs for serving under hard load, in simulated fleets of 9 to 870 VMs, and prints a
 * Markdown table for each decision.
 *
 * @module
 */
import { roundTo } from "../statistics.ts";
import { FLEET_SIZES, type FleetSize } from "./fleet_size.ts";
import { LOAD_CHOICES } from "./load_choice.ts";
import { LOAD_KINDS } from "./load_model.ts";
import { LOAD_KNOWLEDGE, simulateLoad } from "./load_simulation.ts";
import type { Gate } from "./queue_model.ts";
import { RETURN_WAYS, simulateReturns } from "./returns_simulation.ts";
import {
  LARGE_SPREADS,
  SHARE_WAYS,
  type ShareWay,
  simulateShares,
} from "./shares_simulation.ts";

/** Decisions whose designs are compared. */
export const HARD_LOAD_DECISIONS = ["load", "shares", "returns"] as const;

/** Name of a decision. */
export type HardLoadDecision = typeof HARD_LOAD_DECISIONS[number];

/** Options of {@linkcode runHardLoadBench}. */
export interface HardLoadBenchOptions {
  readonly what: HardLoadDecision;
  /** Numbers of VMs; others than those of {@linkcode FLEET_SIZES} are ignored. */
  readonly vms: readonly number[];
  /** Simulates only designs whose names contain this. */
  readonly design?: string;
  readonly seed: number;
  readonly seeds: number;
  readonly print: (line: string) => void;
}

/** Design and figures, the means over the seeds. */
export interface HardLoadRow {
  readonly vms: number;
  readonly design: string;
  readonly figures: Readonly<Record<string, number>>;
}

type Figures = Record<string, number>;

/** Large fleets are simulated for a shorter time. */
const LARGE_FLEET_VMS = 300;
const LARGE_FLEET_SECONDS = 5;
/** A burst, and the time in which its clients return. */
const LARGE_FLEET_RETURNS_SECONDS = 8;
/** Digits of shares of calls, and of bytes and processor times. */
const SHARE_DIGITS = 3;
const COST_DIGITS = 1;

/** Runs the comparison of one decision. */
export function runHardLoadBench(options: HardLoadBenchOptions): HardLoadRow[] {
  const sizes = FLEET_SIZES.filter(({ vms }) => options.vms.includes(vms));
  const rows: HardLoadRow[] = [];
  for (const size of sizes) {
    const designs = listDesigns(options.what, size)
      .filter(({ design }) => design.includes(options.design ?? ""));
    for (const { design, simulate } of designs) {
      const figures = averageFigures(
        Array.from(
          { length: options.seeds },
          (_, i) => simulate(options.seed + i),
        ),
      );
      const row = { vms: size.vms, design, figures };
      if (rows.length === 0) printHeader(figures, options.print);
      rows.push(row);
      printRow(row, options.print);
    }
  }
  return rows;
}

interface Design {
  readonly design: string;
  readonly simulate: (seed: number) => Figures;
}

function listDesigns(what: HardLoadDecision, size: FleetSize): Design[] {
  switch (what) {
    case "load":
      return listLoadDesigns(size);
    case "shares":
      return listSharesDesigns(size);
    case "returns":
      return listReturnsDesigns(size);
  }
}

function listLoadDesigns(size: FleetSize): Design[] {
  const seconds = getSeconds(size);
  return LOAD_KNOWLEDGE.flatMap((knows) =>
    LOAD_CHOICES.map((choice): Design => ({
      design: `${knows}, ${choice}`,
      simulate: (seed) => {
        const result = simulateLoad({ seed, size, knows, choice, seconds });
        const kinds = LOAD_KINDS.map(({ name }) => [
          name,
          result.inTimeByKind[name],
        ]);
        return {
          "in time": result.inTime,
          ...Object.fromEntries(kinds),
          vain: result.vain,
          "bytes/s": result.bytesPerSecond,
          "news dropped": result.droppedNews,
          "us": result.decisionMicros,
        };
      },
    }))
  );
}

/** All ways with the gate `turns`, and some of them with other gates. */
function listSharesDesigns(size: FleetSize): Design[] {
  const ways = SHARE_WAYS.map((way) => ({ way, gate: "turns" as Gate }));
  const others = (["known", "paced"] as const).map((gate) => ({
    way: "fleet's use, depth 1" as ShareWay,
    gate: gate as Gate,
  }));
  const products = (["none", "own use", "fleet's use"] as const).map((way) => ({
    way: way as ShareWay,
    gate: "product" as Gate,
  }));
  return [...ways, ...others, ...products].map(({ way, gate }): Design => ({
    design: `${way}, ${way === "oracle" ? "exact" : gate}`,
    simulate: (seed) => simulateBothSpreads(seed, size, way, gate),
  }));
}

function simulateBothSpreads(
  seed: number,
  size: FleetSize,
  way: ShareWay,
  gate: Gate,
): Figures {
  const seconds = getSeconds(size);
  const [all, one] = LARGE_SPREADS.map((spread) =>
    simulateShares({ seed, size, way, gate, spread, seconds })
  );
  return {
    "small served, all VMs": all.smallServed,
    "small served, one VM": one.smallServed,
    "in time, all VMs": all.smallInTime,
    "in time, one VM": one.smallInTime,
    "worst account, all VMs": all.worstAccount,
    "worst account, one VM": one.worstAccount,
    "used, all VMs": all.used,
    "used, one VM": one.used,
    "gain by splitting": all.largeShare / one.largeShare - 1,
    "vain, all VMs": all.vain,
    "bytes/s": all.bytesPerSecond,
    "us": all.decisionMicros,
  };
}

function listReturnsDesigns(size: FleetSize): Design[] {
  return (["turns", "product", "paced"] as const).flatMap((gate) =>
    RETURN_WAYS.map((way): Design => ({
      design: `${way}, ${gate}`,
      simulate: (seed) => {
        const result = simulateReturns({
          seed,
          size,
          way,
          gate,
          ...(size.vms >= LARGE_FLEET_VMS
            ? { seconds: LARGE_FLEET_RETURNS_SECONDS }
            : {}),
        });
        return {
          served: result.served,
          "in time": result.inTime,
          "worst kind": result.worstKind,
          "wait as told": result.patientServed,
          "return at once": result.impatientServed,
          "rejected twice": result.rejectedTwice,
          used: result.used,
          vain: result.vain,
          "bytes/s": result.bytesPerSecond,
          us: result.decisionMicros,
        };
      },
    }))
  );
}

function getSeconds({ vms }: FleetSize): number | undefined {
  return vms >= LARGE_FLEET_VMS ? LARGE_FLEET_SECONDS : undefined;
}

function averageFigures(results: readonly Figures[]): Figures {
  return Object.fromEntries(
    Object.keys(results[0]).map((name) => {
      const sum = results.reduce((total, result) => total + result[name], 0);
      const isCost = name === "bytes/s" || name === "us";
      const digits = isCost ? COST_DIGITS : SHARE_DIGITS;
      return [name, roundTo(sum / results.length, digits)];
    }),
  );
}

function printHeader(figures: Figures, print: (line: string) => void): void {
  const columns = ["VMs", "design", ...Object.keys(figures)];
  print(`| ${columns.join(" | ")} |`);
  print(`| ${columns.map(() => "---").join(" | ")} |`);
}

function printRow(
  { vms, design, figures }: HardLoadRow,
  print: (line: string) => void,
): void {
  print(`| ${[vms, design, ...Object.values(figures)].join(" | ")} |`);
}
