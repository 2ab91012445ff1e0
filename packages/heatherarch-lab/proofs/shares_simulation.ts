/**
 * Simulates VMs that share the slots of targets among client accounts, with sums of use that lag, are
 * lost or arrive twice. Queue, ranks and shares are the product's; all VMs know the free slots.
 *
 * @module
 */
import { type Clock, Random } from "heatherarch-core";
import {
  AccountRanker,
  type CallPlacement,
  CallQueue,
} from "heatherarch-forward";
import { FairShares, type UseRow } from "heatherarch-shares";

/** Parts of the shares that a mutation disables. */
export const SHARES_GUARDS = [
  "ranksByUse",
  "countsPeers",
  "decaysUse",
  "servesAnyRank",
] as const;

/** Name of a guard. */
export type SharesGuard = typeof SHARES_GUARDS[number];

/** Fleet, accounts and faults of a simulation. */
export interface SharesSchedule {
  readonly vms: number;
  /** Number of VMs that the clients of the large account connect to. */
  readonly largeVms: number;
  /**
   * Number of accounts within their share. Each connects to one VM that the large account uses too,
   * because ranks order the calls of one VM.
   */
  readonly smallAccounts: number;
  /** Whether the first small account was large until shortly before. */
  readonly wasLarge: boolean;
  readonly lagMs: number;
  /** Shares of the sums that are lost, and that arrive a second time, later. */
  readonly lostShare: number;
  readonly repeatedShare: number;
  readonly seed: number;
}

/** Result of a simulation. */
export interface SharesOutcome {
  /** Share of the calls of the small account that was served least. */
  readonly leastServed: number;
  /** Number of times at which a call waited while a slot was free. */
  readonly idleCount: number;
}

interface Vm {
  readonly queue: CallQueue<CallPlacement>;
  readonly shares: FairShares;
}

interface Delivery {
  readonly atMs: number;
  readonly from: number;
  readonly to: number;
  readonly rows: readonly UseRow[];
}

const STEP_MS = 20;
const WORK_MS = 40;
const SLOTS = 4;
const TIMEOUT_MS = 1600;
const AIM_MS = 400;
/** Demand of all small accounts as a share of the room, and of the large one relative to one of them. */
const SMALL_DEMAND = 0.3;
const LARGE_FACTOR = 40;
/** Demand of the account that was large before, as a share of the room, and when that ended. */
const FORMER_DEMAND = 4;
const FORMER_END_MS = 2000;
/** Start of the large account, when the former one has been like any other for some time. */
const LARGE_START_MS = 9000;
/** From here on, calls are counted. Sums have passed between the VMs. */
const COUNTED_FROM_MS = 10_500;
const END_MS = 15_600;
const USE_INTERVAL_MS = 500;
/** Delay of a sum that arrives a second time. */
const REPEAT_DELAY_MS = 400;
const SERVICE = "service";
const LARGE = "large";

/** Runs a schedule, with one guard disabled or none. */
export function simulateSharesSchedule(
  schedule: SharesSchedule,
  disabledGuard?: SharesGuard,
): SharesOutcome {
  return new SharesScheduleSimulation(schedule, disabledGuard).run();
}

class SharesScheduleSimulation {
  readonly #schedule: SharesSchedule;
  readonly #disabledGuard: SharesGuard | undefined;
  readonly #random: Random;
  readonly #vms: readonly Vm[];
  readonly #counts = new Map<string, { asked: number; served: number }>();
  #deliveries: Delivery[] = [];
  /** Times at which the calls in progress end, milliseconds. */
  #ends: number[] = [];
  #nowMs = 0;
  #idleCount = 0;
  /** Slots that may be in use after the call that is considered now. */
  #usableSlots = 0;

  constructor(schedule: SharesSchedule, disabledGuard?: SharesGuard) {
    this.#schedule = schedule;
    this.#disabledGuard = disabledGuard;
    this.#random = new Random(schedule.seed);
    this.#vms = Array.from({ length: schedule.vms }, () => this.#buildVm());
  }

  run(): SharesOutcome {
    for (; this.#nowMs < END_MS; this.#nowMs += STEP_MS) {
      this.#ends = this.#ends.filter((endMs) => endMs > this.#nowMs);
      if (this.#nowMs % USE_INTERVAL_MS === 0) this.#sendUse();
      this.#deliverUse();
      this.#drawArrivals();
      this.#dispatch();
      const isWaiting = this.#vms.some(({ queue }) => queue.size > 0);
      if (isWaiting && this.#ends.length < SLOTS) this.#idleCount++;
    }
    const served = [...this.#counts.values()]
      .map(({ asked, served }) => served / Math.max(1, asked));
    return { leastServed: Math.min(...served), idleCount: this.#idleCount };
  }

  /** Lets the VMs take free slots, one each in a random order, until there is none left. */
  #dispatch(): void {
    let before: number;
    do {
      before = this.#ends.length;
      for (const { queue } of this.#listInRandomOrder()) {
        this.#usableSlots = Math.min(SLOTS, this.#ends.length + 1);
        queue.dispatch();
      }
    } while (this.#ends.length > before && this.#ends.length < SLOTS);
    this.#usableSlots = 0;
  }

  #buildVm(): Vm {
    const clock: Clock = {
      readMonotonicMs: () => this.#nowMs,
      readWallMs: () => this.#nowMs,
      readBootMs: () => this.#nowMs,
    };
    const shares = new FairShares();
    const ranker = new AccountRanker({
      shares: {
        computeRank: (service, account) =>
          shares.computeRank(service, account, this.#shareMs),
        recordWork: (service, account, workMs) =>
          shares.recordWork(service, account, workMs, this.#shareMs),
      },
    });
    const queue = new CallQueue<CallPlacement>({
      clock,
      maxBacklogMs: 0,
      maxLateBacklogMs: 0,
      latePolicy: "behind",
      rejectsEarly: true,
      isTimerEnabled: false,
      ranker: {
        computeRank: (call, nowMs) =>
          this.#disabledGuard === "ranksByUse"
            ? 0
            : ranker.computeRank(call, nowMs),
        recordDispatch: (call, workMs, nowMs) =>
          ranker.recordDispatch(call, workMs, nowMs),
      },
    });
    return { queue, shares };
  }

  /** Time that the shares are given. Without decay, it stands still. */
  get #shareMs(): number {
    return this.#disabledGuard === "decaysUse" ? 0 : this.#nowMs;
  }

  #listInRandomOrder(): Vm[] {
    return this.#vms
      .map((vm) => ({ vm, order: this.#random.drawUnit() }))
      .sort((a, b) => a.order - b.order)
      .map(({ vm }) => vm);
  }

  #drawArrivals(): void {
    const { smallAccounts, largeVms, vms, wasLarge } = this.#schedule;
    const smallDemand = SMALL_DEMAND / smallAccounts;
    const isFormer = wasLarge && this.#nowMs < FORMER_END_MS;
    for (let i = 0; i < smallAccounts; i++) {
      const demand = isFormer && i === 0 ? FORMER_DEMAND : smallDemand;
      this.#drawCalls(demand, `small-${i}`, () => i % Math.min(largeVms, vms));
    }
    if (this.#nowMs < LARGE_START_MS) return;
    this.#drawCalls(
      smallDemand * LARGE_FACTOR,
      LARGE,
      () => this.#random.drawInteger(0, Math.min(largeVms, vms) - 1),
    );
  }

  #drawCalls(demand: number, account: string, drawVm: () => number): void {
    const expected = demand * SLOTS * STEP_MS / WORK_MS;
    const count = Math.floor(expected) +
      (this.#random.drawUnit() < expected % 1 ? 1 : 0);
    for (let i = 0; i < count; i++) this.#enqueue(drawVm(), account);
  }

  #enqueue(index: number, account: string): void {
    const { queue, shares } = this.#vms[index];
    const isCounted = account !== LARGE && this.#nowMs >= COUNTED_FROM_MS &&
      this.#nowMs < END_MS - TIMEOUT_MS;
    const count = this.#counts.get(account) ?? { asked: 0, served: 0 };
    if (isCounted) {
      this.#counts.set(account, count);
      count.asked++;
    }
    queue.enqueue({
      lane: 0,
      kind: "plain",
      service: SERVICE,
      account,
      waitStartedAtMs: this.#nowMs,
      aimMs: AIM_MS,
      timeoutAtMs: this.#nowMs + TIMEOUT_MS,
      responseDelayMs: 0,
      findPlacement: () => this.#findPlacement(shares, account),
      onOutcome: (outcome) => {
        if (outcome.kind !== "placed") return;
        this.#ends.push(this.#nowMs + WORK_MS);
        if (isCounted) count.served++;
      },
    });
  }

  #findPlacement(shares: FairShares, account: string): CallPlacement {
    const isHeld = this.#disabledGuard === "servesAnyRank" &&
      shares.computeRank(SERVICE, account, this.#nowMs) > 0;
    const hasSlot = this.#ends.length < this.#usableSlots && !isHeld;
    const backlogMs = hasSlot ? 0 : STEP_MS;
    return {
      costMs: WORK_MS,
      unloadedMs: WORK_MS,
      backlogMs,
      readyMs: backlogMs + WORK_MS,
    };
  }

  #sendUse(): void {
    if (this.#disabledGuard === "countsPeers") return;
    const { lagMs, lostShare, repeatedShare } = this.#schedule;
    this.#vms.forEach(({ shares }, from) => {
      const rows = shares.listOwnUse(this.#shareMs);
      this.#vms.forEach((_, to) => {
        if (to === from || this.#random.drawUnit() < lostShare) return;
        const atMs = this.#nowMs + this.#random.drawUnit() * lagMs;
        this.#deliveries.push({ atMs, from, to, rows });
        if (this.#random.drawUnit() >= repeatedShare) return;
        const againMs = atMs + REPEAT_DELAY_MS;
        this.#deliveries.push({ atMs: againMs, from, to, rows });
      });
    });
  }

  #deliverUse(): void {
    const due = this.#deliveries.filter(({ atMs }) => atMs <= this.#nowMs);
    this.#deliveries = this.#deliveries.filter(({ atMs }) =>
      atMs > this.#nowMs
    );
    for (const { from, to, rows } of due) {
      this.#vms[to].shares.setPeerUse(`vm-${from}`, rows, this.#shareMs);
    }
  }
}
