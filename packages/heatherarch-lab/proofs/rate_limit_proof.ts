/**
 * Proof of rate limits that VMs share. VMs receive calls unevenly, learn of a limit and of each
 * other's calls late, and are cut off from each other while they reach the target.
 *
 * @module
 */
import fc from "fast-check";
import { Random } from "heatherarch-core";
import {
  FleetDemand,
  type FleetShare,
  TargetRateLimits,
} from "heatherarch-forward";
import { EqualShare } from "../bench/equal_share.ts";
import { assertProperty, type Proof } from "./proof.ts";

const GUARDS = [
  "sharesLimit",
  "countsListedVms",
  "owesEarlierRequests",
] as const;
type Guard = typeof GUARDS[number];

interface Schedule {
  readonly vms: number;
  readonly limitPerSecond: number;
  /** Calls for the target per second before the limit, relative to the limit. */
  readonly demand: number;
  /** Weight of the first VM among equal others. */
  readonly firstWeight: number;
  /** Number of VMs that are cut off from the others, and the time from which they are. */
  readonly cutOff: number;
  readonly cutAtMs: number;
  readonly seed: number;
}

interface SimulatedVm {
  readonly weight: number;
  readonly isCutOff: boolean;
  readonly demand: FleetDemand;
  readonly limits: TargetRateLimits;
}

const TARGET = "target";
const STEP_MS = 20;
const LIMITED_AT_MS = 3000;
const END_MS = 20_000;
const RESPONSE_MS = 100;
const REPORT_INTERVAL_MS = 100;
const WINDOW_MS = 4000;
/** Time after which a target that named its limit may expect it to be kept. */
const GRACE_MS = 3000;

function computeAllowed(limitPerSecond: number): number {
  return 1.5 * limitPerSecond * WINDOW_MS / 1000 + 5;
}

function buildVms(
  schedule: Schedule,
  disabledGuard: Guard | undefined,
  random: Random,
): SimulatedVm[] {
  const { vms, firstWeight, cutOff } = schedule;
  return Array.from({ length: vms }, (_, i) => {
    const demand = new FleetDemand();
    if (disabledGuard !== "countsListedVms") demand.setVmCount(vms);
    const share: FleetShare = disabledGuard === "sharesLimit"
      ? new EqualShare({ vms: 1 })
      : demand;
    return {
      weight: i === 0 ? firstWeight : 1,
      isCutOff: i < cutOff,
      demand,
      limits: new TargetRateLimits({
        share,
        drawUnit: () => random.drawUnit(),
      }),
    };
  });
}

/** Lets the VMs of each side of a cut know each other's calls and the target's limit. */
function exchangeDemand(
  vms: readonly SimulatedVm[],
  isCut: boolean,
  nowMs: number,
): void {
  const rates = vms.map(({ demand }) => demand.getOwnCallsPerMinute(nowMs));
  vms.forEach((vm, to) => {
    vms.forEach((peer, from) => {
      if (from === to || (isCut && peer.isCutOff !== vm.isCutOff)) return;
      const rate = { callsPerMinute: rates[from], vms: 1 };
      vm.demand.setPeerRate(String(from), rate, nowMs);
      for (const news of peer.limits.listNews(0).news) {
        vm.limits.mergePeerNews(news);
      }
    });
  });
}

/** Returns the times of the requests that reach the target. */
function simulate(
  schedule: Schedule,
  disabledGuard: Guard | undefined,
): number[] {
  const random = new Random(schedule.seed);
  const vms = buildVms(schedule, disabledGuard, random);
  const totalWeight = vms.reduce((sum, { weight }) => sum + weight, 0);
  const { demand, limitPerSecond } = schedule;
  const callsPerStep = demand * limitPerSecond * STEP_MS / 1000;
  const responses: { vm: SimulatedVm; sentAtMs: number }[] = [];
  const arrivals: number[] = [];
  for (let nowMs = 0; nowMs < END_MS; nowMs += STEP_MS) {
    if (nowMs % REPORT_INTERVAL_MS === 0) {
      exchangeDemand(vms, nowMs >= schedule.cutAtMs, nowMs);
    }
    while (responses[0]?.sentAtMs <= nowMs - RESPONSE_MS) {
      const { vm, sentAtMs } = responses.shift() as typeof responses[number];
      vm.limits.recordObservation(TARGET, {
        maxPerSecond: sentAtMs >= LIMITED_AT_MS ? limitPerSecond : undefined,
        sentAtMs,
        atMs: nowMs,
      });
    }
    for (const vm of vms) {
      const calls = callsPerStep * vm.weight / totalWeight;
      const count = Math.floor(calls) +
        (random.drawUnit() < calls % 1 ? 1 : 0);
      for (let i = 0; i < count; i++) {
        vm.demand.recordCall(nowMs);
        if (vm.limits.getDelayMs(TARGET, nowMs) > 0) continue;
        if (disabledGuard !== "owesEarlierRequests" || nowMs >= LIMITED_AT_MS) {
          vm.limits.recordRequest(TARGET, nowMs);
        }
        responses.push({ vm, sentAtMs: nowMs });
        arrivals.push(nowMs);
      }
    }
  }
  return arrivals;
}

function checkSchedule(
  schedule: Schedule,
  disabledGuard: Guard | undefined,
): void {
  const arrivals = simulate(schedule, disabledGuard);
  const allowed = computeAllowed(schedule.limitPerSecond);
  let first = 0;
  arrivals.forEach((atMs, i) => {
    while (arrivals[first] <= atMs - WINDOW_MS) first++;
    if (atMs < LIMITED_AT_MS + GRACE_MS) return;
    assertProperty(
      i - first + 1 <= allowed,
      "all VMs together keep to a target's rate limit",
      `${
        i - first + 1
      } requests in ${WINDOW_MS} ms at ${atMs} ms, ${allowed} allowed`,
    );
  });
}

/** Rate limits that VMs share. */
export const RATE_LIMIT_PROOF: Proof = {
  name: "rate-limit",
  guards: GUARDS,
  build: (disabledGuard) =>
    fc.property(
      fc.record({
        vms: fc.integer({ min: 2, max: 20 }),
        limitPerSecond: fc.integer({ min: 2, max: 20 }),
        demand: fc.constantFrom(1, 2, 3.3),
        firstWeight: fc.constantFrom(0, 1, 10, 100),
        cutOff: fc.integer({ min: 0, max: 10 }),
        cutAtMs: fc.integer({ min: 0, max: END_MS }),
        seed: fc.integer({ min: 0, max: 1_000_000 }),
      }),
      (schedule) => checkSchedule(schedule, disabledGuard as Guard | undefined),
    ),
};
