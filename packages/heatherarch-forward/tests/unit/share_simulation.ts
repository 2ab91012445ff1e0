/**
 * Simulates four VMs with real queues and shares in front of plain targets, with one large account
 * beside small ones. Unlike a test on sockets, its result doesn't depend on the machine.
 *
 * @module
 */
import { ManualClock, Random } from "heatherarch-core";
import { FairShares } from "heatherarch-shares";
import {
  AccountRanker,
  computeCapacityInMs,
  computePlainBacklogMs,
  PlainCallQueues,
  type PlainPlacement,
  type Target,
  WorkTracker,
} from "../../mod.ts";
import { buildTarget } from "./fixtures.ts";

/** Load of a simulated fleet. */
export interface ShareLoad {
  readonly smallAccounts: number;
  readonly smallCallsPerSecond: number;
  readonly largeCallsPerSecond: number;
  /** Number of VMs that the clients of the large account connect to. */
  readonly largeVms: number;
  /** Whether VMs tell each other the use of accounts; true by default. */
  readonly sharesUse?: boolean;
  /** Whether calls are ranked; true by default. */
  readonly isRanked?: boolean;
}

/** Served calls of small accounts as a share, and of the large one per second. */
export interface ShareResult {
  readonly small: number;
  readonly largePerSecond: number;
  readonly totalPerSecond: number;
}

interface SimulatedTarget {
  readonly target: Target;
  running: number;
  readonly waiting: (() => void)[];
}

interface SimulatedVm {
  readonly queues: PlainCallQueues;
  readonly work: WorkTracker;
  readonly shares: FairShares;
}

const SERVICE = "s";
const VMS = 4;
const SLOTS = 4;
const WORK_MS = 40;
const AIM_MS = 300;
const TIMEOUT_MS = 2000;
const RUN_MS = 12_000;
const WARM_UP_MS = 3000;
/** Calls on the way to a target, and back. */
const HOP_MS = 2;
const HEARTBEAT_MS = 40;
const USE_INTERVAL_MS = 500;
const DISPATCH_MS = 10;

/** One simulated fleet. */
export class ShareSimulation {
  readonly #load: ShareLoad;
  readonly #random: Random;
  readonly #clock = new ManualClock();
  readonly #targets = ["p1", "p2"].map((id): SimulatedTarget => ({
    target: buildTarget(id, { slots: SLOTS }),
    running: 0,
    waiting: [],
  }));
  readonly #vms: readonly SimulatedVm[];
  /** What happens at a time, milliseconds. */
  readonly #events = new Map<number, (() => void)[]>();
  #small = { sent: 0, served: 0 };
  #large = { sent: 0, served: 0 };

  constructor(load: ShareLoad, seed: number) {
    this.#load = load;
    this.#random = new Random(seed);
    this.#vms = Array.from({ length: VMS }, () => this.#buildVm());
  }

  /** Runs the load; returns what was served after the warm-up. */
  run(): ShareResult {
    for (let nowMs = 0; nowMs < RUN_MS + TIMEOUT_MS; nowMs++) {
      if (nowMs < RUN_MS) this.#sendCalls();
      if (nowMs % HEARTBEAT_MS === 0) this.#exchangeWork(nowMs);
      if (nowMs % USE_INTERVAL_MS === 0) this.#exchangeUse(nowMs);
      if (nowMs % DISPATCH_MS === 0) {
        for (const { queues } of this.#vms) queues.dispatch(SERVICE);
      }
      for (const event of this.#events.get(nowMs) ?? []) event();
      this.#events.delete(nowMs);
      this.#clock.advance(1);
    }
    const seconds = (RUN_MS - WARM_UP_MS) / 1000;
    return {
      small: this.#small.served / this.#small.sent,
      largePerSecond: this.#large.served / seconds,
      totalPerSecond: (this.#large.served + this.#small.served) / seconds,
    };
  }

  #buildVm(): SimulatedVm {
    const shares = new FairShares();
    const ranker = new AccountRanker({ shares });
    const queues = new PlainCallQueues({
      clock: this.#clock,
      buildRanker: () => this.#load.isRanked === false ? undefined : ranker,
    });
    return { queues, work: new WorkTracker(), shares };
  }

  #sendCalls(): void {
    const { smallAccounts, smallCallsPerSecond, largeCallsPerSecond } =
      this.#load;
    const draw = (perSecond: number): boolean =>
      this.#random.drawUnit() < perSecond / 1000;
    for (let i = 0; i < smallAccounts; i++) {
      if (draw(smallCallsPerSecond)) this.#send(`a${i}`, VMS, this.#small);
    }
    if (draw(largeCallsPerSecond)) {
      this.#send("large", this.#load.largeVms, this.#large);
    }
  }

  #send(
    account: string,
    vms: number,
    total: { sent: number; served: number },
  ): void {
    const nowMs = this.#clock.readMonotonicMs();
    const counts = nowMs < WARM_UP_MS ? { sent: 0, served: 0 } : total;
    counts.sent++;
    const vm = this.#vms[this.#random.drawInteger(0, vms - 1)];
    vm.queues.getQueue(SERVICE).enqueue({
      service: SERVICE,
      account,
      lane: 0,
      kind: "k",
      waitStartedAtMs: nowMs,
      aimMs: AIM_MS,
      timeoutAtMs: nowMs + TIMEOUT_MS,
      responseDelayMs: 0,
      predictMs: () => WORK_MS,
      findPlacement: (rank) => this.#findPlacement(vm, rank),
      onOutcome: (outcome) => {
        if (outcome.kind !== "placed") return;
        this.#start(vm, outcome.placed.placement.target, () => {
          const tookMs = this.#clock.readMonotonicMs() - nowMs;
          if (tookMs <= TIMEOUT_MS) counts.served++;
        });
      },
    });
  }

  #findPlacement(
    { queues, work }: SimulatedVm,
    rank: number,
  ): PlainPlacement {
    const nowMs = this.#clock.readMonotonicMs();
    const [{ target, runs }] = this.#targets
      .map(({ target }) => ({ target, ...work.getRunLoad(target.id, nowMs) }))
      .sort((a, b) => a.runs - b.runs || this.#random.drawUnit() - 0.5);
    const load = { runs, slots: SLOTS, workMs: WORK_MS };
    const backlogMs = computeCapacityInMs(load, {
      rank,
      hasAccount: this.#load.isRanked !== false,
      computeTurnInMs: () =>
        queues.computeTurnInMs({
          service: SERVICE,
          workMs: WORK_MS,
          slots: SLOTS * this.#targets.length,
          share: this.#computeShare(queues),
        }, nowMs),
    });
    return {
      target,
      costMs: WORK_MS,
      unloadedMs: WORK_MS,
      backlogMs,
      readyMs: computePlainBacklogMs(load) + WORK_MS,
    };
  }

  /** Share of the calls that a VM receives. */
  #computeShare(queues: PlainCallQueues): number {
    const { smallAccounts, smallCallsPerSecond, largeCallsPerSecond } =
      this.#load;
    const { largeVms } = this.#load;
    const smallPerVm = smallAccounts * smallCallsPerSecond / VMS;
    const isLarge = this.#vms.findIndex((vm) => vm.queues === queues) <
      largeVms;
    return (smallPerVm + (isLarge ? largeCallsPerSecond / largeVms : 0)) /
      (smallPerVm * VMS + largeCallsPerSecond);
  }

  #start(vm: SimulatedVm, { id }: Target, onServed: () => void): void {
    vm.queues.recordSend(SERVICE, this.#clock.readMonotonicMs());
    const endRun = vm.work.beginRun(id, 0);
    const target = this.#targets.find((each) => each.target.id === id)!;
    const work = (): void => {
      this.#schedule(WORK_MS, () => {
        const next = target.waiting.shift();
        if (next === undefined) target.running--;
        else next();
        this.#schedule(HOP_MS, () => {
          endRun();
          onServed();
          vm.queues.dispatch(SERVICE);
        });
      });
    };
    this.#schedule(HOP_MS, () => {
      if (target.running >= SLOTS) return target.waiting.push(work);
      target.running++;
      work();
    });
  }

  #exchangeWork(nowMs: number): void {
    this.#exchange(
      ({ work }) => work.listOwnRows(nowMs),
      (vm, from, rows) =>
        vm.work.setPeerWork(from, rows, this.#clock.readMonotonicMs()),
    );
  }

  #exchangeUse(nowMs: number): void {
    if (this.#load.sharesUse === false) return;
    this.#exchange(
      ({ shares }) => shares.listOwnUse(nowMs),
      (vm, from, rows) =>
        vm.shares.setPeerUse(from, rows, this.#clock.readMonotonicMs()),
    );
  }

  #exchange<Row>(
    list: (vm: SimulatedVm) => Row[],
    set: (vm: SimulatedVm, from: string, rows: Row[]) => void,
  ): void {
    this.#vms.forEach((from, i) => {
      const rows = list(from);
      this.#schedule(HOP_MS, () => {
        for (const to of this.#vms) if (to !== from) set(to, `vm-${i}`, rows);
      });
    });
  }

  #schedule(inMs: number, event: () => void): void {
    const atMs = this.#clock.readMonotonicMs() + inMs;
    const events = this.#events.get(atMs) ?? [];
    events.push(event);
    this.#events.set(atMs, events);
  }
}
