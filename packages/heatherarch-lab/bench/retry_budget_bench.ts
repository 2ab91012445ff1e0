/**
 * Compares ways to split the fleet's retry budget over its VMs: after a calm time all VMs take what they
 * get, by themselves or while each of them restarts once.
 *
 * @module
 */
import { Random } from "heatherarch-core";
import { FleetRetryBudget } from "heatherarch-forward";

/** How a VM's part is kept: used in any window, or in a bucket that refills. */
export type SplitWay = "window" | "bucket";

/** Options of {@linkcode runRetryBudgetBench}. */
export interface RetryBudgetBenchOptions {
  readonly seed: number;
  readonly print: (line: string) => void;
}

/** Retries in the worst window of one fleet, as a share of what is allowed. */
export interface RetryBudgetRow {
  readonly way: SplitWay;
  readonly vms: number;
  readonly fixedPerWindow: number;
  readonly callsPerSecond: number;
  readonly worst: number;
  readonly worstWithRestarts: number;
}

interface SplitPart {
  recordCall(nowMs: number): void;
  /** Takes `count` retries; returns how many were taken. */
  take(count: number, nowMs: number): number;
}

interface FleetSize {
  readonly vms: number;
  readonly fixedPerWindow: number;
  readonly callsPerSecond: number;
}

const FLEETS: readonly FleetSize[] = [
  { vms: 9, fixedPerWindow: 58, callsPerSecond: 60 },
  { vms: 88, fixedPerWindow: 216, callsPerSecond: 163 },
  { vms: 195, fixedPerWindow: 430, callsPerSecond: 400 },
  { vms: 870, fixedPerWindow: 430, callsPerSecond: 2000 },
  { vms: 870, fixedPerWindow: 430, callsPerSecond: 20 },
  { vms: 870, fixedPerWindow: 1780, callsPerSecond: 2000 },
];
const WAYS: readonly SplitWay[] = ["bucket", "window"];
const SHARE = 0.2;
const WINDOW_MS = 10_000;
const STEP_MS = 50;
const CALM_MS = 20_000;
const END_MS = 50_000;
const RESTART_AT_MS = 25_000;
/** Time within which all VMs restart, one after the other, milliseconds. */
const RESTARTS_MS = 8000;

/** A part in a bucket, as VMs kept it before. It holds a whole retry, however small the part is. */
class BucketPart implements SplitPart {
  readonly #ratePerMs: number;
  readonly #burst: number;
  #tokens: number;
  #earned = 0;
  #updatedAtMs: number;

  constructor({ vms, fixedPerWindow }: FleetSize, nowMs: number) {
    this.#ratePerMs = fixedPerWindow * 0.5 / WINDOW_MS / vms;
    this.#burst = fixedPerWindow * 0.4 / vms;
    this.#tokens = this.#burst;
    this.#updatedAtMs = nowMs;
  }

  recordCall(nowMs: number): void {
    this.#refill(nowMs);
    this.#earned += SHARE * 0.7;
    this.#tokens += SHARE * 0.7;
    this.#refill(nowMs);
  }

  take(count: number, nowMs: number): number {
    this.#refill(nowMs);
    if (this.#tokens < count) return 0;
    this.#tokens -= count;
    return count;
  }

  #refill(nowMs: number): void {
    const elapsedMs = nowMs - this.#updatedAtMs;
    this.#earned *= Math.exp(-elapsedMs / (WINDOW_MS * 0.25));
    const capacity = Math.max(1, this.#burst) + this.#earned;
    const refilled = this.#tokens + elapsedMs * this.#ratePerMs;
    this.#tokens = Math.min(capacity, refilled);
    this.#updatedAtMs = nowMs;
  }
}

/** The part of the product. */
class WindowPart implements SplitPart {
  readonly #budget: FleetRetryBudget;

  constructor(fleet: FleetSize, nowMs: number, random: Random) {
    this.#budget = new FleetRetryBudget({
      fixedPerWindow: fleet.fixedPerWindow,
      share: SHARE,
      windowMs: WINDOW_MS,
      drawUnit: () => random.drawUnit(),
    });
    this.#budget.setLiveVms(fleet.vms, nowMs);
    if (nowMs > 0) this.#budget.withholdFixedPart(nowMs);
  }

  recordCall(nowMs: number): void {
    this.#budget.recordCall("s", nowMs);
  }

  take(count: number, nowMs: number): number {
    return this.#budget.takeRetries("s", count, nowMs)?.length ?? 0;
  }
}

/** Runs the benchmark, and prints a line for each way and fleet. */
export function runRetryBudgetBench(
  { seed, print }: RetryBudgetBenchOptions,
): RetryBudgetRow[] {
  print(
    "way VMs fixed calls/s: retries in the worst window of what is allowed, and with restarts",
  );
  return WAYS.flatMap((way) =>
    FLEETS.map((fleet) => {
      const worst = simulate(way, fleet, false, seed);
      const worstWithRestarts = simulate(way, fleet, true, seed);
      const { vms, fixedPerWindow, callsPerSecond } = fleet;
      print(
        `${way} ${vms} ${fixedPerWindow} ${callsPerSecond}: ` +
          `${worst.toFixed(2)} ${worstWithRestarts.toFixed(2)}`,
      );
      return { way, ...fleet, worst, worstWithRestarts };
    })
  );
}

/** Returns the retries in the worst window as a share of what is allowed. */
function simulate(
  way: SplitWay,
  fleet: FleetSize,
  restarts: boolean,
  seed: number,
): number {
  const random = new Random(seed);
  const createPart = (nowMs: number): SplitPart =>
    way === "bucket"
      ? new BucketPart(fleet, nowMs)
      : new WindowPart(fleet, nowMs, random);
  const parts = Array.from({ length: fleet.vms }, () => createPart(0));
  const perStep: number[] = [];
  let restarted = 0;
  let due = 0;
  for (let nowMs = 0; nowMs < END_MS; nowMs += STEP_MS) {
    const restartShare = (nowMs - RESTART_AT_MS) / RESTARTS_MS;
    while (restarts && restarted < fleet.vms * Math.min(1, restartShare)) {
      parts[restarted++] = createPart(nowMs);
    }
    due += fleet.callsPerSecond * STEP_MS / 1000;
    for (; due >= 1; due--) random.drawItem(parts).recordCall(nowMs);
    perStep.push(nowMs < CALM_MS ? 0 : takeAll(parts, random, nowMs));
  }
  const allowed = fleet.fixedPerWindow +
    SHARE * fleet.callsPerSecond * WINDOW_MS / 1000;
  return countWorstWindow(perStep) / allowed;
}

/** Lets each VM ask for the requests of one call. */
function takeAll(
  parts: readonly SplitPart[],
  random: Random,
  nowMs: number,
): number {
  return parts.reduce(
    (sum, part) => sum + part.take(random.drawInteger(1, 2), nowMs),
    0,
  );
}

function countWorstWindow(perStep: readonly number[]): number {
  let count = 0;
  let worst = 0;
  perStep.forEach((retries, step) => {
    count += retries - (perStep[step - WINDOW_MS / STEP_MS] ?? 0);
    worst = Math.max(worst, count);
  });
  return worst;
}
