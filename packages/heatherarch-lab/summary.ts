/**
 * Summarizes a load and compares it with the runs that the stand-ins recorded.
 *
 * @module
 */
import type { StandinLedger } from "heatherarch-standins";
import type { LoadRecord } from "./mixed_load.ts";

/** Summary of a load. */
export interface LoadSummary {
  readonly requests: number;
  readonly wholeAnswers: number;
  readonly wrongAnswers: number;
  readonly cutAnswers: number;
  readonly refused: number;
  readonly failed: number;
  readonly keysRunTwice: number;
  /** Bookings that were reported as not run, although they ran. */
  readonly notRunButRun: number;
  readonly errorKinds: Record<string, number>;
}

/** Summarizes `records`. */
export function summarizeLoad(
  records: readonly LoadRecord[],
  ledger: Pick<StandinLedger, "runs">,
): LoadSummary {
  const count = (outcome: string) =>
    records.filter((record) => record.result.outcome === outcome).length;
  const errorKinds: Record<string, number> = {};
  for (const { result } of records) {
    if (result.outcome === "whole") continue;
    const kind = result.kind || result.detail || result.outcome;
    errorKinds[kind] = (errorKinds[kind] ?? 0) + 1;
  }
  return {
    requests: records.length,
    wholeAnswers: count("whole"),
    wrongAnswers: count("wrong"),
    cutAnswers: count("cut"),
    refused: count("refused"),
    failed: count("failed"),
    keysRunTwice: countKeysRunTwice(ledger),
    notRunButRun: countNotRunButRun(records, ledger),
    errorKinds,
  };
}

/** Counts the keys for which more than one booking ran. */
export function countKeysRunTwice(ledger: Pick<StandinLedger, "runs">): number {
  const runs = new Map<string, number>();
  for (const { key } of ledger.runs) {
    if (key !== "") runs.set(key, (runs.get(key) ?? 0) + 1);
  }
  return [...runs.values()].filter((count) => count > 1).length;
}

/** Counts the bookings that were reported to the client with `run: "no"`, although they ran. */
export function countNotRunButRun(
  records: readonly LoadRecord[],
  ledger: Pick<StandinLedger, "runs">,
): number {
  const ranRequestIds = new Set(ledger.runs.map((run) => run.requestId));
  return records
    .filter(({ what, result }) => what === "booking" && result.run === "no")
    .filter(({ result }) => ranRequestIds.has(result.requestId)).length;
}
