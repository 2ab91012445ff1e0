/**
 * Compares rules for which calls a VM that shuts down still serves.
 *
 * @module
 */
import { Random } from "heatherarch-core";
import { buildKinds, TIMEOUTS, type Timeouts } from "./shutdown_kinds.ts";
import { SHUTDOWN_RULE_NAMES, type ShutdownRule } from "./shutdown_rules.ts";
import {
  type ShutdownCounts,
  SILENCES,
  type Silences,
  simulateShutdowns,
} from "./shutdown_simulation.ts";

/** Options of {@linkcode runShutdownBench}. */
export interface ShutdownBenchOptions {
  readonly seed: number;
  /** Shutdowns of each case. */
  readonly shutdowns: number;
  /** Prints each case of silent targets by itself. */
  readonly bySilence: boolean;
  readonly print: (line: string) => void;
}

/** Result of one rule in one case. */
export interface ShutdownRow extends ShutdownShares {
  readonly timeouts: Timeouts;
  readonly slowdown: number;
  readonly known: boolean;
  readonly silences: Silences | "all";
  readonly rule: ShutdownRule;
}

/** What became of the calls: percentages of all calls, and means. */
export interface ShutdownShares {
  readonly cutPercent: number;
  readonly cutOncePercent: number;
  readonly handedOnPercent: number;
  readonly refusedPercent: number;
  readonly needlessPercent: number;
  /** Number of calls, not a percentage: none is allowed. */
  readonly needlessEarly: number;
  /** Mean time that a refusal cost its caller, milliseconds. */
  readonly extraMs: number;
  /** Mean time that a caller had waited for a call that was cut, milliseconds. */
  readonly wastedMs: number;
}

/** Targets under usual load, and so busy that long streams take 4 s in the mean. */
const SLOWDOWNS = [1, 5];
/** Calls of each kind that a VM has served before; at 0, its routes are new. */
const SERVED_BEFORE = [100, 0];

/** Runs the benchmark: each rule decides on the same calls. */
export function runShutdownBench(
  { seed, shutdowns, bySilence, print }: ShutdownBenchOptions,
): ShutdownRow[] {
  const rows: ShutdownRow[] = [];
  for (const timeouts of TIMEOUTS) {
    for (const slowdown of SLOWDOWNS) {
      for (const servedBefore of SERVED_BEFORE) {
        const known = servedBefore > 0;
        print(
          `timeouts ${timeouts}, work x${slowdown}, ` +
            `${known ? "known" : "new"} routes`,
        );
        print(
          "rule: cut, cut of once (% of calls); handed on; refused, needlessly; " +
            "needlessly in the first 2 s (calls); ms a refusal; ms a cut call",
        );
        for (const rule of SHUTDOWN_RULE_NAMES) {
          const kinds = buildKinds(timeouts, slowdown);
          const counts = SILENCES.map((silences) =>
            simulateShutdowns({
              rule,
              kinds,
              silences,
              servedBefore,
              shutdowns,
              random: new Random(seed),
            })
          );
          const cases: [Silences | "all", ShutdownCounts][] = [
            ...(bySilence
              ? SILENCES.map((name, i) =>
                [name, counts[i]] as [Silences, ShutdownCounts]
              )
              : []),
            ["all", sumCounts(counts)],
          ];
          for (const [silences, sum] of cases) {
            const shares = computeShares(sum);
            rows.push({ timeouts, slowdown, known, silences, rule, ...shares });
            print(`${formatRow(rule, silences, shares)}`);
          }
        }
      }
    }
  }
  return rows;
}

function formatRow(
  rule: ShutdownRule,
  silences: Silences | "all",
  shares: ShutdownShares,
): string {
  const label = silences === "all" ? rule : `${rule}, silences ${silences}`;
  const cut = `${shares.cutPercent.toFixed(2)} ${
    shares.cutOncePercent.toFixed(2)
  }`;
  const refused = `${shares.refusedPercent.toFixed(1)} ${
    shares.needlessPercent.toFixed(1)
  }`;
  return `${label}: ${cut}; ${
    shares.handedOnPercent.toFixed(2)
  }; ${refused}; ` +
    `${shares.needlessEarly}; ${shares.extraMs.toFixed(1)}; ` +
    `${shares.wastedMs.toFixed(0)}`;
}

function sumCounts(counts: readonly ShutdownCounts[]): ShutdownCounts {
  const sum = { ...counts[0] };
  for (const other of counts.slice(1)) {
    for (const key of Object.keys(sum) as (keyof ShutdownCounts)[]) {
      sum[key] += other[key];
    }
  }
  return sum;
}

function computeShares(counts: ShutdownCounts): ShutdownShares {
  const percent = (count: number): number => 100 * count / counts.calls;
  return {
    cutPercent: percent(counts.cut),
    cutOncePercent: percent(counts.cutOnce),
    handedOnPercent: percent(counts.handedOn),
    refusedPercent: percent(counts.refused),
    needlessPercent: percent(counts.needless),
    needlessEarly: counts.needlessEarly,
    extraMs: counts.extraMs / Math.max(1, counts.refused),
    wastedMs: counts.wastedMs / Math.max(1, counts.cut),
  };
}
