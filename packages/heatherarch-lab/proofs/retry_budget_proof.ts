/**
 * Proof of the retry budget that VMs share. All VMs take whatever retries they get, while VMs restart in
 * series, the list of VMs is short for a while, and calls are handed over.
 *
 * @module
 */
import fc from "fast-check";
import { Random } from "heatherarch-core";
import { FleetRetryBudget } from "heatherarch-forward";
import { assertProperty, type Proof } from "./proof.ts";

const GUARDS = [
  "sharesFixedPart",
  "withholdsAfterStart",
  "keepsCount",
  "countsCallsOnce",
  "takesCreditBack",
] as const;
type Guard = typeof GUARDS[number];

interface Schedule {
  readonly vms: number;
  /** Fixed number of the budget beyond two retries for each VM. */
  readonly fixedBeyondVms: number;
  readonly callsPerSecond: number;
  /** VMs that restart one after the other, and the times of the first restart and between two. */
  readonly restarts: number;
  readonly restartAtMs: number;
  readonly restartIntervalMs: number;
  /** The list of VMs is short from this time on, and names one VM in three. */
  readonly shortListAtMs: number;
  readonly shortListMs: number;
  /** Share of the calls that are handed over to a peer after their credit may have been spent. */
  readonly handoverShare: number;
  /** Peers that such a call is handed over to in turn. All but the last give it back. */
  readonly peersPerCall: number;
  readonly seed: number;
}

interface SimulatedFleet {
  readonly budgets: FleetRetryBudget[];
  readonly callTimesMs: number[];
  readonly retryTimesMs: number[];
}

const SERVICE = "s";
const WINDOW_MS = 10_000;
const SHARE = 0.2;
const STEP_MS = 50;
const TROUBLE_AT_MS = 15_000;
const END_MS = 45_000;
/** Requests of a round of a call, and attempts to take them in one step. */
const PER_ROUND = 2;
const ROUNDS_PER_STEP = 3;

function computeFixed({ vms, fixedBeyondVms }: Schedule): number {
  return 2 * vms + fixedBeyondVms;
}

function buildBudget(schedule: Schedule, random: Random): FleetRetryBudget {
  return new FleetRetryBudget({
    fixedPerWindow: computeFixed(schedule),
    share: SHARE,
    windowMs: WINDOW_MS,
    startsUnlisted: true,
    drawUnit: () => random.drawUnit(),
  });
}

/** Restarts the VMs whose turn it is. A restarted VM joins a running fleet. */
function restartVms(
  schedule: Schedule,
  { budgets }: SimulatedFleet,
  random: Random,
  nowMs: number,
  disabledGuard: Guard | undefined,
): void {
  const { vms, restarts, restartAtMs, restartIntervalMs } = schedule;
  for (let i = 0; i < restarts; i++) {
    const atMs = restartAtMs + i * restartIntervalMs;
    if (atMs < nowMs || atMs >= nowMs + STEP_MS) continue;
    const budget = buildBudget(schedule, random);
    budget.setLiveVms(countVms(schedule, nowMs, disabledGuard), nowMs);
    if (disabledGuard !== "withholdsAfterStart") {
      budget.withholdFixedPart(nowMs);
    }
    budgets[i % vms] = budget;
  }
}

function countVms(
  { vms, shortListAtMs, shortListMs }: Schedule,
  nowMs: number,
  disabledGuard: Guard | undefined,
): number {
  if (disabledGuard === "sharesFixedPart") return 1;
  const isShort = nowMs >= shortListAtMs &&
    nowMs < shortListAtMs + shortListMs;
  return isShort ? Math.ceil(vms / 3) : vms;
}

function updateCounts(
  schedule: Schedule,
  { budgets }: SimulatedFleet,
  nowMs: number,
  disabledGuard: Guard | undefined,
): void {
  const count = countVms(schedule, nowMs, disabledGuard);
  // A number that was set a window ago applies at once.
  const ageMs = disabledGuard === "keepsCount" ? WINDOW_MS : 0;
  for (const budget of budgets) budget.setLiveVms(count, nowMs - ageMs);
}

/** Takes as many retries as a VM gives. */
function takeRetries(
  { retryTimesMs }: SimulatedFleet,
  budget: FleetRetryBudget,
  random: Random,
  nowMs: number,
): void {
  for (let round = 0; round < ROUNDS_PER_STEP; round++) {
    const count = random.drawInteger(1, PER_ROUND);
    const taken = budget.takeRetries(SERVICE, count, nowMs) ?? [];
    for (const _retry of taken) retryTimesMs.push(nowMs);
  }
}

function receiveCalls(
  schedule: Schedule,
  fleet: SimulatedFleet,
  random: Random,
  nowMs: number,
  disabledGuard: Guard | undefined,
): void {
  const { budgets, callTimesMs } = fleet;
  const calls = schedule.callsPerSecond * STEP_MS / 1000;
  const count = Math.floor(calls) + (random.drawUnit() < calls % 1 ? 1 : 0);
  for (let i = 0; i < count; i++) {
    const budget = random.drawItem(budgets);
    callTimesMs.push(nowMs);
    budget.recordCall(SERVICE, nowMs);
    if (random.drawUnit() >= schedule.handoverShare) continue;
    if (nowMs >= TROUBLE_AT_MS) takeRetries(fleet, budget, random, nowMs);
    for (let peers = 1; peers < schedule.peersPerCall; peers++) {
      offerInVain(fleet, budget, random, nowMs, disabledGuard);
    }
    if (disabledGuard !== "countsCallsOnce") budget.forgetCall(SERVICE, nowMs);
    random.drawItem(budgets).recordCall(SERVICE, nowMs);
  }
}

/** Hands a call over to a peer that may spend its credit, and gives it back. */
function offerInVain(
  fleet: SimulatedFleet,
  budget: FleetRetryBudget,
  random: Random,
  nowMs: number,
  disabledGuard: Guard | undefined,
): void {
  const peer = random.drawItem(fleet.budgets);
  budget.forgetCall(SERVICE, nowMs);
  peer.recordCall(SERVICE, nowMs);
  if (nowMs >= TROUBLE_AT_MS) takeRetries(fleet, peer, random, nowMs);
  if (disabledGuard !== "takesCreditBack") peer.forgetCall(SERVICE, nowMs);
  budget.recordCall(SERVICE, nowMs);
}

function simulate(
  schedule: Schedule,
  disabledGuard: Guard | undefined,
): SimulatedFleet {
  const random = new Random(schedule.seed);
  const fleet: SimulatedFleet = {
    budgets: Array.from(
      { length: schedule.vms },
      () => buildBudget(schedule, random),
    ),
    callTimesMs: [],
    retryTimesMs: [],
  };
  for (let nowMs = 0; nowMs < END_MS; nowMs += STEP_MS) {
    restartVms(schedule, fleet, random, nowMs, disabledGuard);
    updateCounts(schedule, fleet, nowMs, disabledGuard);
    receiveCalls(schedule, fleet, random, nowMs, disabledGuard);
    if (nowMs < TROUBLE_AT_MS) continue;
    for (const budget of fleet.budgets) {
      takeRetries(fleet, budget, random, nowMs);
    }
  }
  return fleet;
}

/** Counts the times in each window that ends at a step. */
function countPerWindow(timesMs: readonly number[]): number[] {
  const steps = END_MS / STEP_MS;
  const perStep = new Array<number>(steps).fill(0);
  for (const atMs of timesMs) perStep[atMs / STEP_MS]++;
  const counts: number[] = [];
  let count = 0;
  for (let step = 0; step < steps; step++) {
    count += perStep[step] - (perStep[step - WINDOW_MS / STEP_MS] ?? 0);
    counts.push(count);
  }
  return counts;
}

function checkSchedule(
  schedule: Schedule,
  disabledGuard: Guard | undefined,
): void {
  const { callTimesMs, retryTimesMs } = simulate(schedule, disabledGuard);
  const calls = countPerWindow(callTimesMs);
  const fixed = computeFixed(schedule);
  countPerWindow(retryTimesMs).forEach((retries, step) => {
    const most = Math.max(
      ...[0, WINDOW_MS / 2, WINDOW_MS].map((shiftMs) =>
        calls[step - shiftMs / STEP_MS] ?? 0
      ),
    );
    const allowed = fixed + SHARE * most;
    assertProperty(
      retries <= allowed,
      "all VMs together keep to the retry budget",
      `${retries} of ${allowed} retries at ${step * STEP_MS} ms`,
    );
  });
}

/** The retry budget that VMs share. */
export const RETRY_BUDGET_PROOF: Proof = {
  name: "retry-budget",
  guards: GUARDS,
  build: (disabledGuard) =>
    fc.property(
      fc.record({
        vms: fc.constantFrom(2, 4, 9, 30, 88),
        fixedBeyondVms: fc.constantFrom(20, 40, 100),
        callsPerSecond: fc.constantFrom(20, 60, 160),
        restarts: fc.integer({ min: 0, max: 180 }),
        restartAtMs: fc.integer({ min: 0, max: 30_000 }),
        restartIntervalMs: fc.integer({ min: 10, max: 500 }),
        shortListAtMs: fc.integer({ min: 0, max: END_MS }),
        shortListMs: fc.integer({ min: 0, max: 8000 }),
        handoverShare: fc.constantFrom(0, 0.3, 1),
        peersPerCall: fc.integer({ min: 1, max: 4 }),
        seed: fc.integer({ min: 0, max: 1_000_000 }),
      }),
      (schedule) => checkSchedule(schedule, disabledGuard as Guard | undefined),
    ),
};
