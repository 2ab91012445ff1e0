/**
 * The report of a randomised run: what was broken, by what callers got, what the stand-ins' ledgers
 * hold, and what was watched meanwhile.
 *
 * @module
 */
import type { StandinLedger } from "heatherarch-standins";
import type { LoadRecord } from "../mixed_load.ts";
import { type LoadSummary, summarizeLoad } from "../summary.ts";
import { MAX_PROPAGATION_MS } from "./config_monitor.ts";
import type { ViolationEntry } from "./violation_list.ts";
import type { DrainRecord } from "./fault_driver.ts";

/** What a run found. */
export interface ChaosReport {
  readonly seed: number;
  readonly requests: number;
  readonly wholeAnswers: number;
  readonly refused: number;
  readonly faults: Record<string, number>;
  readonly violations: Record<string, number>;
  readonly notRunButRun: number;
  readonly keysRunTwice: number;
  readonly wrongAnswers: number;
  readonly cutByPlannedChange: number;
  readonly cutByFailure: number;
  readonly conflictingOrders: OrderCount;
  readonly lapsedOrdersObeyed: OrderCount;
  readonly ordersObeyed: OrderCount;
  readonly roleChanges: number;
  readonly newWorkAfterDrainSecondsMax: number;
  readonly configSpreadSecondsMax: number;
  readonly configReverts: number;
  readonly raceWinnersMax: number;
  readonly errorKinds: Record<string, number>;
  readonly examples: readonly string[];
  /** Violated invariants as the VMs logged them. */
  readonly violationList: readonly ViolationEntry[];
}

/** Orders counted by kind of engine. */
export interface OrderCount {
  checksFencing: number;
  ignoresFencing: number;
}

/** A request and its time. */
export interface TimedRecord {
  readonly record: LoadRecord;
  readonly startMs: number;
  readonly endMs: number;
}

type EngineLedger = StandinLedger["engines"][string];

/** What a run has gathered. */
export interface ChaosFindings {
  readonly seed: number;
  /** Start of the run, on the clock of the records' times. */
  readonly startMs: number;
  readonly ledger: StandinLedger;
  readonly records: readonly TimedRecord[];
  /** Broken requests that no unplanned fault touched. */
  readonly cutByPlannedChange: readonly TimedRecord[];
  readonly cutByFailure: number;
  readonly drains: readonly DrainRecord[];
  readonly faults: Record<string, number>;
  readonly roleChanges: number;
  /** Violated invariants that the VMs count. */
  readonly invariantViolations: number;
  readonly violationList: readonly ViolationEntry[];
  readonly raceWinnersMax: number;
  /** Longest time in which a change of the configuration reached all VMs. */
  readonly maxPropagationMs: number;
  readonly configReverts: number;
  /** Offsets of the configuration at the VMs at the end. */
  readonly configOffsets: readonly (number | undefined)[];
}

/** New work that a target may get after its drain was accepted. */
const MAX_NEW_WORK_DELAY_MS = 5000;
/** Errors that say truthfully that nothing was run, or ask to come again. */
const RETRYABLE_REFUSALS = [
  "keyInProgress",
  "overloaded",
  "shuttingDown",
  "notReady",
  "noTarget",
];

const MAX_EXAMPLES = 10;

/** Cut, failed, or refused in a way that a planned change must not cause. */
export function isUnexpectedFailure({ record }: TimedRecord): boolean {
  const { outcome, kind } = record.result;
  if (outcome === "whole" || outcome === "wrong") return false;
  return !(outcome === "refused" && RETRYABLE_REFUSALS.includes(kind));
}

/** Judges what a run has gathered. */
export function buildChaosReport(findings: ChaosFindings): ChaosReport {
  const { ledger, records, cutByPlannedChange } = findings;
  const summary = summarizeLoad(records.map(({ record }) => record), ledger);
  return {
    seed: findings.seed,
    requests: summary.requests,
    wholeAnswers: summary.wholeAnswers,
    refused: summary.refused,
    faults: findings.faults,
    violations: countViolations(findings, summary),
    notRunButRun: summary.notRunButRun,
    keysRunTwice: summary.keysRunTwice,
    wrongAnswers: summary.wrongAnswers,
    cutByPlannedChange: cutByPlannedChange.length,
    cutByFailure: findings.cutByFailure,
    conflictingOrders: countOrders(ledger, getConflictingOrders),
    lapsedOrdersObeyed: countOrders(ledger, getLapsedOrdersObeyed),
    ordersObeyed: countOrders(ledger, (engine) => engine.ordersObeyed),
    roleChanges: findings.roleChanges,
    newWorkAfterDrainSecondsMax: Math.max(0, ...listNewWorkDelaysMs(findings)) /
      1000,
    configSpreadSecondsMax: findings.maxPropagationMs / 1000,
    configReverts: findings.configReverts,
    raceWinnersMax: findings.raceWinnersMax,
    errorKinds: summary.errorKinds,
    examples: cutByPlannedChange.slice(0, MAX_EXAMPLES)
      .map((entry) => describeRecord(entry, findings.startMs)),
    violationList: findings.violationList,
  };
}

function countViolations(
  findings: ChaosFindings,
  summary: LoadSummary,
): Record<string, number> {
  const { ledger, configOffsets } = findings;
  const newWorkDelaysMs = listNewWorkDelaysMs(findings);
  const isConsistent = configOffsets.every((offset) =>
    offset === configOffsets[0]
  );
  return {
    conflictingOrders: sumOrders(countOrders(ledger, getConflictingOrders)),
    lapsedOrdersObeyed: sumOrders(countOrders(ledger, getLapsedOrdersObeyed)),
    cutByPlannedChange: findings.cutByPlannedChange.length,
    wrongAnswers: summary.wrongAnswers,
    notRunButRun: summary.notRunButRun,
    keysRunTwice: summary.keysRunTwice,
    newWorkAfterDrain:
      newWorkDelaysMs.filter((ms) => ms > MAX_NEW_WORK_DELAY_MS).length,
    configSpread: findings.maxPropagationMs > MAX_PROPAGATION_MS ? 1 : 0,
    configReverts: findings.configReverts,
    configDisagrees: isConsistent ? 0 : 1,
    raceHadTwoWinners: findings.raceWinnersMax > 1 ? 1 : 0,
    // A VM that was killed took its count along, and one that lagged was not asked in time.
    invariants: Math.max(
      findings.invariantViolations,
      findings.violationList.length,
    ),
  };
}

/** Times after a drain at which its target still began work, milliseconds. */
function listNewWorkDelaysMs({ drains }: ChaosFindings): number[] {
  return drains.map(({ lastWorkAtMs, atMs }) => lastWorkAtMs - atMs);
}

function countOrders(
  { engines }: StandinLedger,
  read: (engine: EngineLedger) => number,
): OrderCount {
  const count = { checksFencing: 0, ignoresFencing: 0 };
  for (const engine of Object.values(engines)) {
    const kind = engine.checksFencing ? "checksFencing" : "ignoresFencing";
    count[kind] += read(engine);
  }
  return count;
}

function sumOrders({ checksFencing, ignoresFencing }: OrderCount): number {
  return checksFencing + ignoresFencing;
}

function getConflictingOrders({ conflictingOrders }: EngineLedger): number {
  return conflictingOrders;
}

function getLapsedOrdersObeyed({ lapsedOrdersObeyed }: EngineLedger): number {
  return lapsedOrdersObeyed;
}

function describeRecord(
  { record, startMs, endMs }: TimedRecord,
  runStartMs: number,
): string {
  const { outcome, kind, run, detail, tokens, requestId } = record.result;
  const at = Math.round(startMs - runStartMs);
  const durationMs = Math.round(endMs - startMs);
  return `${record.what} ${requestId} at ${at} ms: ${outcome} ${kind} run=${run} after ${durationMs} ms, ${tokens} tokens: ${detail}`;
}
