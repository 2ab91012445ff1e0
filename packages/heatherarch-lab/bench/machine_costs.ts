/**
 * Cost of one step of each decision machine at the size to design for.
 *
 * @module
 */
import { ClaimFold, CLAIMS_FORMAT } from "heatherarch-claims";
import { LeaseStateMachine } from "heatherarch-lease";
import {
  applyConfigRecord,
  CONFIG_FORMAT,
  type ConfigState,
  EMPTY_CONFIG_STATE,
} from "heatherarch-log";
import { Membership } from "heatherarch-mesh";
import {
  AccountLimits,
  AdaptiveRouter,
  type Candidate,
  EngineModel,
  HorizonPlanner,
} from "heatherarch-policy";
import type { EngineRole } from "heatherarch-core";
import { parseFleet } from "heatherarch-settings";
import { roundTo } from "./statistics.ts";

/** Cost of one step. */
export interface MachineCost {
  readonly machine: string;
  readonly size: string;
  readonly microseconds: number;
  /** Growth of the heap by the machine's whole state, megabytes; absent where not measured. */
  readonly stateMb?: number;
}

const TARGET_COUNT = 3700;
const NODE_COUNT = 870;
const ZONE_COUNT = 17;
const TARGETS_PER_ZONE = 218;
const SUBSET_SIZE = 64;
const ACCOUNT_COUNT = 12_000;
const KEY_COUNT = 100_000;
const MEGABYTE = 1024 * 1024;

/** Measures all machines. */
export function measureMachines(): MachineCost[] {
  return [
    ...measureConfig(),
    measureMembership(),
    measureRouter(SUBSET_SIZE),
    measureRouter(TARGETS_PER_ZONE),
    measurePlanner(),
    measureLease(),
    ...measureClaims(),
    measureAccounts(),
  ];
}

function measureStep(count: number, step: (index: number) => void): number {
  for (let i = 0; i < Math.min(count, 100); i++) step(i);
  const startMs = performance.now();
  for (let i = 0; i < count; i++) step(i);
  return roundTo((performance.now() - startMs) * 1000 / count, 2);
}

function readHeapMb(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed / MEGABYTE;
}

function buildLargeFleet() {
  const zones = Array.from({ length: ZONE_COUNT }, (_, i) => `zone-${i}`);
  return {
    deployment: "large",
    availabilityZones: zones,
    services: Array.from({ length: 10 }, (_, i) => ({
      name: `reader${i}`,
      kind: "model",
      models: [`model${i}`],
    })),
    targets: Array.from({ length: TARGET_COUNT }, (_, i) => ({
      id: `runner${i}`,
      service: `reader${i % 10}`,
      availabilityZone: zones[i % ZONE_COUNT],
      address: `10.0.${i >> 8}.${i & 255}:8000`,
    })),
    accounts: Array.from(
      { length: ACCOUNT_COUNT },
      (_, i) => ({ name: `account${i}` }),
    ),
  };
}

function measureConfig(): MachineCost[] {
  const before = readHeapMb();
  const fleet = buildLargeFleet();
  const build = (offset: number, change: unknown, baseRevision: number) => ({
    offset,
    appendedAtMs: 0,
    data: {
      type: "change",
      format: CONFIG_FORMAT,
      id: `id${offset}`,
      author: "a",
      atMs: 0,
      baseRevision,
      change,
    },
  });
  let state: ConfigState = EMPTY_CONFIG_STATE;
  const startMs = performance.now();
  state = applyConfigRecord(
    state,
    build(0, { kind: "publishFleet", fleet }, -1),
  );
  const publishMs = performance.now() - startMs;
  let base = -1;
  const microseconds = measureStep(2000, () => {
    const offset = state.offset + 1;
    const change = { kind: "putProfile", profile: { name: "p" } };
    state = applyConfigRecord(state, build(offset, change, base));
    base = offset;
  });
  const check = performance.now();
  parseFleet(fleet);
  const size = `${TARGET_COUNT} runners, ${ACCOUNT_COUNT} accounts`;
  return [
    {
      machine: "config fold, one profile change",
      size,
      microseconds,
      stateMb: roundTo(readHeapMb() - before, 1),
    },
    {
      machine: "config fold, whole fleet published",
      size,
      microseconds: Math.round(publishMs * 1000),
    },
    {
      machine: "check of a fleet",
      size,
      microseconds: Math.round((performance.now() - check) * 1000),
    },
  ];
}

function measureMembership(): MachineCost {
  const self = {
    id: "vm0",
    incarnation: "r",
    availabilityZone: "zone-0",
    mesh: "10.0.0.1:1",
  };
  const membership = new Membership({ self, silenceMs: 5000 });
  for (let i = 1; i < NODE_COUNT; i++) {
    const zone = `zone-${i % ZONE_COUNT}`;
    membership.recordContact(
      { ...self, id: `vm${i}`, availabilityZone: zone },
      0,
    );
  }
  const microseconds = measureStep(200, (index) => {
    membership.expire(index);
    membership.pickLinkPeers();
  });
  return {
    machine: "membership, one round (expire, pick links)",
    size: `${NODE_COUNT} nodes`,
    microseconds,
  };
}

function measureRouter(count: number): MachineCost {
  const roles: EngineRole[] = ["prefill", "decode", "mixed"];
  const router = new AdaptiveRouter(new EngineModel());
  const candidates = Array.from({ length: count }, (_, i): Candidate => ({
    id: `runner${i}`,
    sameZone: true,
    role: roles[i % 3],
    load: {
      running: i % 40,
      waiting: 0,
      pendingPrefillTokens: (i * 97) % 3000,
    },
    maxConcurrent: 64,
    roundTripMs: 0,
  }));
  const microseconds = measureStep(2000, (index) => {
    router.planRoute({
      promptTokens: 100 + index % 3000,
      outputTokens: 200,
      prefixKey: `k${index % 50}`,
      kvTransferMinTokens: 256,
      reserveShare: 0.1,
      remainingMs: 20_000,
      tokenGapMs: 37,
      tieBreakKey: `r${index}`,
    }, candidates);
  });
  return {
    machine: "router, one request",
    size: `${count} candidates`,
    microseconds,
  };
}

function measurePlanner(): MachineCost {
  const planner = new HorizonPlanner({
    policy: "horizon",
    intervalMs: 1000,
    horizonMs: 60_000,
    changeMs: 5000,
    changeWeight: 1,
    minimumPerRole: 1,
  }, new EngineModel());
  const engines = Array.from({ length: TARGETS_PER_ZONE }, (_, i) => ({
    id: `runner${i}`,
    role: i % 2 === 0 ? "prefill" as const : "decode" as const,
    running: i % 30,
  }));
  const microseconds = measureStep(2000, (index) => {
    const demand = {
      prefillTokensPerSecond: 1e5 + index * 100,
      decodeTokensPerSecond: 2e5,
    };
    planner.plan({ engines, demand, changing: false, nowMs: index });
  });
  return {
    machine: "role planner, one round",
    size: `${TARGETS_PER_ZONE} runners`,
    microseconds,
  };
}

function measureLease(): MachineCost {
  let ids = 0;
  const machine = new LeaseStateMachine({
    vm: "vm",
    incarnation: "r",
    durationMs: 4000,
    driftMs: 500,
    renewMs: 1000,
    createId: () => `id${ids++}`,
  });
  let offset = 0;
  const microseconds = measureStep(5000, (index) => {
    const nowMs = index * 1000;
    for (const { record } of machine.tick(nowMs, nowMs)) {
      machine.applyRecord({ offset: offset++, data: record }, nowMs);
    }
  });
  return { machine: "lease, one renewal", size: "one zone", microseconds };
}

function measureClaims(): MachineCost[] {
  const before = readHeapMb();
  const fold = new ClaimFold({ keyWindowMs: 86_400_000, futureSkewMs: 60_000 });
  const perBatch = 50;
  const startMs = performance.now();
  for (let batch = 0; batch < KEY_COUNT / perBatch; batch++) {
    const entries = Array.from({ length: perBatch }, (_, i) => ({
      op: "claim" as const,
      claimId: `claim${batch}-${i}`,
      key: `desk/bookings/1764700000000-${batch}-${i}`,
      madeAtMs: 1_764_700_000_000,
      fingerprint: "0123456789abcdef0123456789abcdef0123456789a",
      vm: "pasay-a-vm1/run-0123456789ab",
    }));
    const data = {
      type: "batch",
      format: CLAIMS_FORMAT,
      id: `b${batch}`,
      entries,
    };
    fold.apply({ offset: batch, appendedAtMs: 1_764_700_000_000, data });
  }
  const microseconds = roundTo(
    (performance.now() - startMs) * 1000 / KEY_COUNT,
    2,
  );
  const stateMb = roundTo(readHeapMb() - before, 1);
  const snapshot = measureStep(5, () => void fold.buildSnapshot(() => "id"));
  return [
    {
      machine: "claims fold, one claim",
      size: `${KEY_COUNT} keys`,
      microseconds,
      stateMb,
    },
    {
      machine: "claims snapshot",
      size: `${KEY_COUNT} keys`,
      microseconds: snapshot,
    },
  ];
}

function measureAccounts(): MachineCost {
  const before = readHeapMb();
  const limits = new AccountLimits({ maxInFlight: 20_000 });
  const accounts = Array.from({ length: ACCOUNT_COUNT }, (_, i) => ({
    name: `account${i}`,
    requestsPerSecond: 100,
    burst: 200,
    maxConcurrent: 100,
    weight: 1,
  }));
  const microseconds = measureStep(50_000, (index) => {
    const acquired = limits.acquire(
      accounts[index % ACCOUNT_COUNT],
      NODE_COUNT,
      index,
    );
    if (acquired.ok) (acquired.val as () => void)();
  });
  const stateMb = roundTo(readHeapMb() - before, 1);
  return {
    machine: "account limits, one request",
    size: `${ACCOUNT_COUNT} accounts`,
    microseconds,
    stateMb,
  };
}
