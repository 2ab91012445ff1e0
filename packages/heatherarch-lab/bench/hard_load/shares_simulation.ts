/**
 * Simulates ten small accounts beside one large one whose clients ask for several times the room, to
 * compare ways to share the targets among accounts.
 *
 * @module
 */
import { Random } from "heatherarch-core";
import { FairShares, OTHER_ACCOUNTS, type UseRow } from "heatherarch-shares";
import { EventQueue } from "./event_queue.ts";
import { computeAgeMs, type FleetSize } from "./fleet_size.ts";
import type { Gate, SimulatedCall } from "./queue_model.ts";
import { QueueSimulation } from "./queue_simulation.ts";
import { computeRowTraffic } from "./row_traffic.ts";
import { ToldReports } from "./told_reports.ts";

/** Ways to share targets. */
export const SHARE_WAYS = [
  /** Today: calls of all accounts in order of arrival. */
  "none",
  /** Ranks by what this VM dispatched. */
  "own use",
  /** Ranks by what the fleet dispatched. */
  "fleet's use",
  /** Also, calls of rank 0 may queue at a busy target, by one call per slot. */
  "fleet's use, depth 1",
  /** One queue that knows everything. */
  "oracle",
] as const;

/** Name of a way to share targets. */
export type ShareWay = typeof SHARE_WAYS[number];

/** VMs to which the clients of the large account connect. */
export const LARGE_SPREADS = ["all VMs", "one VM"] as const;

/** Name of such a choice of VMs. */
export type LargeSpread = typeof LARGE_SPREADS[number];

/** Options of {@linkcode simulateShares}. */
export interface SharesSimulationOptions {
  readonly seed: number;
  readonly size: FleetSize;
  readonly way: ShareWay;
  readonly spread: LargeSpread;
  /** When VMs send to targets; `turns` by default. */
  readonly gate?: Gate;
  readonly seconds?: number;
}

/** Result of {@linkcode simulateShares}; shares are 0 to 1. */
export interface SharesResult {
  /** Calls of small accounts that were served at all, and within the latency objective. */
  readonly smallServed: number;
  readonly smallInTime: number;
  /** Share served of the small account that is served least. */
  readonly worstAccount: number;
  /** Share of the room that the large account got. */
  readonly largeShare: number;
  /** Share of the room that was used. */
  readonly used: number;
  readonly vain: number;
  /** Bytes per second that an ordinary VM sends and receives for use. */
  readonly bytesPerSecond: number;
  /** Processor time of a rank, microseconds. */
  readonly decisionMicros: number;
}

interface AccountCount {
  asked: number;
  served: number;
  inTime: number;
}

const SMALL_ACCOUNTS = 10;
const LARGE = "large";
/** Demand of a small account and of the large one, as a share of the room. */
const SMALL_DEMAND = 0.03;
const LARGE_DEMAND = 3;
/** VMs to which the clients of a small account connect. */
const SMALL_ACCOUNT_VMS = 4;
const WORK_MS = 40;
const SLOTS_PER_TARGET = 4;
/** Objective and client timeout of plain calls in the second deployment. */
const AIM_MS = 396;
const TIMEOUT_MS = 4109;
/** Interval at which VMs tell their use, milliseconds. */
const USE_INTERVAL_MS = 500;
/** Encoded size of a row: service and account of 12 characters, work and number of accounts. */
const ROW_BYTES = 32;
/** Time before calls are counted, in which the first use becomes known. */
const WARM_UP_MS = 2000;
const GROUP = "plain";
const DEFAULTS = { seconds: 8, gate: "turns" as Gate };

/** Runs one simulation. */
export function simulateShares(options: SharesSimulationOptions): SharesResult {
  return new SharesSimulation(options).run();
}

class SharesSimulation {
  readonly #options: Required<SharesSimulationOptions>;
  readonly #size: FleetSize;
  readonly #random: Random;
  readonly #events = new EventQueue();
  readonly #queues: QueueSimulation<SimulatedCall>;
  readonly #shares: readonly FairShares[];
  /** Use that VMs told. */
  readonly #told: ToldReports<UseRow[]>;
  readonly #accountVms = new Map<string, readonly number[]>();
  readonly #counts = new Map<string, AccountCount>();
  readonly #targets: number;
  #largeMs = 0;
  #servedMs = 0;
  #vainMs = 0;
  #toldRows = 0;
  #receivedRows = 0;
  #ranks = 0;
  #rankMs = 0;

  constructor(options: SharesSimulationOptions) {
    this.#options = {
      ...options,
      seconds: options.seconds ?? DEFAULTS.seconds,
      gate: options.gate ?? DEFAULTS.gate,
    };
    const { size, way, seed } = options;
    this.#size = way === "oracle" ? { ...size, vms: 1 } : size;
    this.#random = new Random(seed);
    this.#targets = Math.round(
      size.callsPerSecond * WORK_MS / 1000 / SLOTS_PER_TARGET,
    );
    this.#shares = Array.from(
      { length: this.#size.vms },
      () => new FairShares({ countAccounts: () => SMALL_ACCOUNTS + 1 }),
    );
    this.#told = new ToldReports(this.#shares.length);
    this.#pickAccountVms();
    this.#queues = this.#createQueues();
  }

  #createQueues(): QueueSimulation<SimulatedCall> {
    const { way, gate } = this.#options;
    return new QueueSimulation({
      events: this.#events,
      random: this.#random,
      size: this.#size,
      targets: this.#targets,
      slotsPerTarget: SLOTS_PER_TARGET,
      handler: {
        computeRank: (vm, account) => this.#computeRank(vm, account),
        handleDispatch: (call) => this.#recordDispatch(call),
        handleResponse: (call, isTooLate) =>
          this.#recordResponse(call, isTooLate),
        handleRejection: () => {},
      },
      workMs: WORK_MS,
      gate,
      isExact: way === "oracle",
      firstRankDepth: way === "fleet's use, depth 1" ? 1 : 0,
    });
  }

  run(): SharesResult {
    const endMs = this.#options.seconds * 1000;
    for (const account of this.#accountVms.keys()) {
      this.#counts.set(account, { asked: 0, served: 0, inTime: 0 });
      this.#scheduleArrival(account, endMs);
    }
    if (this.#options.way.startsWith("fleet")) this.#scheduleExchanges();
    this.#events.runUntil(endMs + TIMEOUT_MS);
    return this.#buildResult();
  }

  #pickAccountVms(): void {
    const all = Array.from({ length: this.#size.vms }, (_, i) => i);
    const isOne = this.#options.spread === "one VM";
    this.#accountVms.set(LARGE, isOne ? [0] : all);
    for (let i = 0; i < SMALL_ACCOUNTS; i++) {
      this.#accountVms.set(
        `small-${i}`,
        Array.from(
          { length: SMALL_ACCOUNT_VMS },
          () => this.#random.drawItem(all),
        ),
      );
    }
  }

  #scheduleArrival(account: string, endMs: number): void {
    const perMs = getDemand(account) * this.#targets * SLOTS_PER_TARGET /
      WORK_MS;
    this.#events.delay(this.#random.drawExponential(1 / perMs), () => {
      const { nowMs } = this.#events;
      if (nowMs >= endMs) return;
      if (nowMs >= WARM_UP_MS) this.#getCount(account).asked++;
      this.#queues.submit({
        vm: this.#random.drawItem(this.#accountVms.get(account) ?? [0]),
        account,
        arrivedAtMs: nowMs,
        aimMs: AIM_MS,
        timeoutAtMs: nowMs + TIMEOUT_MS,
      });
      this.#scheduleArrival(account, endMs);
    });
  }

  #getCount(account: string): AccountCount {
    return this.#counts.get(account) as AccountCount;
  }

  #computeRank(vm: number, account: string): number {
    if (this.#options.way === "none") return 0;
    const startedAt = performance.now();
    const shares = this.#shares[vm];
    const rank = shares.computeRank(GROUP, account, this.#events.nowMs);
    this.#rankMs += performance.now() - startedAt;
    this.#ranks++;
    return rank;
  }

  #recordDispatch({ vm, account }: SimulatedCall): void {
    const { nowMs } = this.#events;
    this.#shares[vm].recordWork(GROUP, account, WORK_MS, nowMs);
  }

  #recordResponse(call: SimulatedCall, isTooLate: boolean): void {
    const { nowMs } = this.#events;
    const { account, arrivedAtMs } = call;
    const endMs = this.#options.seconds * 1000;
    if (nowMs >= WARM_UP_MS && nowMs < endMs) {
      this.#servedMs += WORK_MS;
      if (isTooLate) this.#vainMs += WORK_MS;
      if (account === LARGE) this.#largeMs += WORK_MS;
    }
    if (arrivedAtMs < WARM_UP_MS || isTooLate) return;
    const count = this.#getCount(account);
    count.served++;
    if (nowMs - arrivedAtMs <= AIM_MS) count.inTime++;
  }

  /** Lets each VM tell its use at its own times, and learn that of the others. */
  #scheduleExchanges(): void {
    this.#shares.forEach((_, vm) => {
      const phaseMs = USE_INTERVAL_MS * this.#random.drawUnit();
      this.#events.delay(phaseMs, () => this.#exchangeUse(vm));
    });
  }

  #exchangeUse(vm: number): void {
    const { nowMs } = this.#events;
    const rows = this.#shares[vm].listOwnUse(nowMs);
    this.#toldRows += rows.length;
    this.#told.record(vm, nowMs, rows);
    const ageMs = computeAgeMs(this.#size, vm, nowMs);
    const others = this.#sumTold(vm, nowMs - ageMs);
    this.#receivedRows += others.length;
    this.#shares[vm].setPeerUse("others", others, nowMs, "gathered");
    this.#events.delay(USE_INTERVAL_MS, () => this.#exchangeUse(vm));
  }

  /** Sums what the other VMs had told by a time. */
  #sumTold(vm: number, atMs: number): UseRow[] {
    const sums = new Map<string, { workMs: number; accounts: number }>();
    for (const rows of this.#told.takeOthers(vm, atMs)) {
      for (const [, account, workMs, accounts] of rows) {
        const sum = sums.get(account) ?? { workMs: 0, accounts: 0 };
        sums.set(account, {
          workMs: sum.workMs + workMs,
          accounts: account === OTHER_ACCOUNTS ? sum.accounts + accounts : 1,
        });
      }
    }
    return [...sums].map((
      [account, { workMs, accounts }],
    ): UseRow => [GROUP, account, workMs, accounts]);
  }

  #computeBytesPerSecond(): number {
    const { vms } = this.#size;
    const rows = computeRowTraffic(this.#size, {
      ownRows: this.#toldRows / vms,
      hubRows: this.#receivedRows / vms,
    });
    return rows * ROW_BYTES / (this.#options.seconds + TIMEOUT_MS / 1000);
  }

  #buildResult(): SharesResult {
    const small = [...this.#counts]
      .filter(([account]) => account !== LARGE)
      .map(([, count]) => count);
    const sum = (pick: (count: AccountCount) => number): number =>
      small.reduce((total, count) => total + pick(count), 0);
    const countedMs = this.#options.seconds * 1000 - WARM_UP_MS;
    const roomMs = this.#targets * SLOTS_PER_TARGET * countedMs;
    return {
      smallServed: sum(({ served }) => served) / sum(({ asked }) => asked),
      smallInTime: sum(({ inTime }) => inTime) / sum(({ asked }) => asked),
      worstAccount: Math.min(
        ...small.map(({ served, asked }) => served / asked),
      ),
      largeShare: this.#largeMs / roomMs,
      used: this.#servedMs / roomMs,
      vain: this.#vainMs / Math.max(1, this.#servedMs),
      bytesPerSecond: this.#computeBytesPerSecond(),
      decisionMicros: this.#rankMs * 1000 / Math.max(1, this.#ranks),
    };
  }
}

function getDemand(account: string): number {
  return account === LARGE ? LARGE_DEMAND : SMALL_DEMAND;
}
