/**
 * Simulates VMs that share the rate limits of targets, to compare ways of sharing.
 *
 * @module
 */
import { pickRendezvous, Random } from "heatherarch-core";
import {
  FleetDemand,
  type FleetShare,
  TargetRateLimits,
} from "heatherarch-forward";
import { EqualShare } from "./equal_share.ts";

/** How VMs share a rate limit. */
export const SHARING_WAYS = [
  /** Each VM keeps to the whole limit by itself. */
  "each",
  /** Every VM has the same part. */
  "equal",
  /** A few VMs, chosen by rendezvous hashing, have the whole limit. */
  "few",
  /** Parts follow the calls that VMs receive. */
  "demand",
] as const;

/** Name of a way to share a rate limit. */
export type SharingWay = typeof SHARING_WAYS[number];

/** How calls are spread over VMs. */
export const SPREADS = ["even", "hashed", "oneVm"] as const;

/** Name of a spread of calls over VMs. */
export type Spread = typeof SPREADS[number];

/** Options of {@linkcode simulateRateLimits}. */
export interface RateLimitSimulationOptions {
  readonly way: SharingWay;
  readonly spread: Spread;
  readonly vms: number;
  readonly seed: number;
  /** Calls that the fleet receives per second. */
  readonly callsPerSecond: number;
  readonly seconds?: number;
  readonly targets?: number;
  readonly limitPerSecond?: number;
}

/** Result of a simulation in which all targets have the same rate limit. */
export interface RateLimitResult {
  /** Requests in the busiest four seconds of a target, relative to what is allowed. */
  readonly busiestWindow: number;
  /** Share of the limits that was used. */
  readonly used: number;
  /** Calls served at the tenth of the VMs that serve least, relative to all VMs; both as shares. */
  readonly worstVms: number;
}

const STEP_MS = 10;
const WINDOW_MS = 4000;
/** Time before the first window, in which the limits become known. */
const WARM_UP_MS = 3000;
/** Delay until a VM knows the calls that the others receive. */
const DEMAND_LAG_MS = 300;
const DEMAND_INTERVAL_MS = 100;
const DEFAULTS = { seconds: 40, targets: 3, limitPerSecond: 5 };

interface SimulatedVm {
  readonly id: string;
  /** Relative number of calls that the VM receives. */
  readonly weight: number;
  readonly demand: FleetDemand;
  readonly limits: ReadonlyMap<string, TargetRateLimits>;
  calls: number;
  served: number;
}

/** Simulates a fleet whose targets all have a rate limit and which receives more calls than that. */
export function simulateRateLimits(
  options: RateLimitSimulationOptions,
): RateLimitResult {
  const { seconds, targets, limitPerSecond } = { ...DEFAULTS, ...options };
  const random = new Random(options.seed);
  const ids = Array.from({ length: targets }, (_, i) => `target-${i}`);
  const vms = buildVms(options, ids, limitPerSecond, random);
  const arrivals = new Map(ids.map((id) => [id, [] as number[]]));
  const reports: { atMs: number; callsPerMinute: number }[] = [];
  const perStep = options.callsPerSecond * STEP_MS / 1000;
  for (let nowMs = 0; nowMs < seconds * 1000; nowMs += STEP_MS) {
    if (nowMs % DEMAND_INTERVAL_MS === 0) exchangeDemand(vms, reports, nowMs);
    let calls = Math.floor(perStep);
    if (random.drawUnit() < perStep - calls) calls++;
    for (let i = 0; i < calls; i++) {
      const vm = drawVm(vms, random);
      const target = sendCall(vm, ids, random, nowMs);
      if (target !== undefined) arrivals.get(target)?.push(nowMs);
    }
  }
  const allowed = 1.5 * limitPerSecond * WINDOW_MS / 1000 + 5;
  const counted = [...arrivals.values()]
    .map((times) => times.filter((atMs) => atMs >= WARM_UP_MS));
  const sent = counted.reduce((sum, times) => sum + times.length, 0);
  const offered = targets * limitPerSecond * (seconds - WARM_UP_MS / 1000);
  return {
    busiestWindow: Math.max(...counted.map(countBusiestWindow)) / allowed,
    used: sent / offered,
    worstVms: rateWorstVms(vms),
  };
}

function buildVms(
  { way, spread, vms }: RateLimitSimulationOptions,
  targets: readonly string[],
  limitPerSecond: number,
  random: Random,
): SimulatedVm[] {
  const ids = Array.from({ length: vms }, (_, i) => `vm-${i}`);
  return ids.map((id, i) => {
    const demand = new FleetDemand();
    demand.setVmCount(vms);
    const limits = targets.map((target): [string, TargetRateLimits] => {
      const share = buildShare(way, demand, id, ids, target, limitPerSecond);
      const drawUnit = (): number => random.drawUnit();
      const rateLimits = new TargetRateLimits({ share, drawUnit });
      rateLimits.recordObservation(target, {
        maxPerSecond: limitPerSecond,
        sentAtMs: 0,
        atMs: 0,
      });
      return [target, rateLimits];
    });
    const weight = drawWeight(spread, i, random);
    return { id, weight, demand, limits: new Map(limits), calls: 0, served: 0 };
  });
}

function drawWeight(spread: Spread, index: number, random: Random): number {
  switch (spread) {
    case "even":
      return 1;
    case "hashed":
      return 0.2 + 1.6 * random.drawUnit();
    case "oneVm":
      return index === 0 ? 1 : 0;
  }
}

function buildShare(
  way: SharingWay,
  demand: FleetDemand,
  vm: string,
  vms: readonly string[],
  target: string,
  limitPerSecond: number,
): FleetShare {
  switch (way) {
    case "each":
      return new EqualShare({ vms: 1 });
    case "equal":
      return new EqualShare({ vms: vms.length });
    case "few": {
      const count = Math.min(vms.length, Math.floor(limitPerSecond));
      const chosen = pickRendezvous(target, vms, count);
      const share = chosen.includes(vm) ? 1 / count : 0;
      return { computeShare: () => share };
    }
    case "demand":
      return demand;
  }
}

/** Lets each VM know the calls of the others as of some time ago. */
function exchangeDemand(
  vms: readonly SimulatedVm[],
  reports: { atMs: number; callsPerMinute: number }[],
  nowMs: number,
): void {
  const callsPerMinute = vms.reduce(
    (sum, { demand }) => sum + demand.getOwnCallsPerMinute(nowMs),
    0,
  );
  reports.push({ atMs: nowMs, callsPerMinute });
  while (reports.length > 1 && reports[1].atMs <= nowMs - DEMAND_LAG_MS) {
    reports.shift();
  }
  for (const { demand } of vms) {
    const others = reports[0].callsPerMinute -
      demand.getOwnCallsPerMinute(nowMs);
    const rate = { callsPerMinute: Math.max(0, others), vms: vms.length - 1 };
    demand.setPeerRate("others", rate, nowMs);
  }
}

function drawVm(vms: readonly SimulatedVm[], random: Random): SimulatedVm {
  const total = vms.reduce((sum, { weight }) => sum + weight, 0);
  let rest = random.drawUnit() * total;
  for (const vm of vms) {
    rest -= vm.weight;
    if (rest < 0) return vm;
  }
  return vms[0];
}

/** Sends a call to a target whose limit has room; returns undefined if there is none. */
function sendCall(
  vm: SimulatedVm,
  targets: readonly string[],
  random: Random,
  nowMs: number,
): string | undefined {
  vm.demand.recordCall(nowMs);
  vm.calls++;
  const open = targets.filter((target) =>
    vm.limits.get(target)?.getDelayMs(target, nowMs) === 0
  );
  if (open.length === 0) return undefined;
  const target = random.drawItem(open);
  vm.limits.get(target)?.recordRequest(target, nowMs);
  vm.served++;
  return target;
}

function countBusiestWindow(times: readonly number[]): number {
  let first = 0;
  let most = 0;
  times.forEach((atMs, i) => {
    while (times[first] <= atMs - WINDOW_MS) first++;
    most = Math.max(most, i - first + 1);
  });
  return most;
}

function rateWorstVms(vms: readonly SimulatedVm[]): number {
  const used = vms.filter(({ calls }) => calls > 0);
  const rate = (group: readonly SimulatedVm[]): number =>
    group.reduce((sum, { served }) => sum + served, 0) /
    group.reduce((sum, { calls }) => sum + calls, 0);
  const ranked = [...used].sort((a, b) =>
    a.served / a.calls - b.served / b.calls
  );
  const worst = ranked.slice(0, Math.max(1, Math.round(used.length / 10)));
  return rate(worst) / rate(used);
}
