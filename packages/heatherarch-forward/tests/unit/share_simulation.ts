/**
 * Simulates four VMs with real queues and shares in front of plain targets or prefill engines, with
 * one large account beside small ones. Unlike a test on sockets, its result doesn't depend on the machine.
 *
 * @module
 */
import { ManualClock, Random } from "heatherarch-core";
import { FairShares } from "heatherarch-shares";
import {
  AccountRanker,
  CallQueue,
  computeCapacityInMs,
  computePlainBacklogMs,
  type LanePlacement,
  PlainCallQueues,
  type PlainPlacement,
  type Target,
  type TurnOptions,
  WorkTracker,
} from "../../mod.ts";
import { buildTarget } from "./fixtures.ts";

/** Load of a simulated fleet. */
export interface ShareLoad {
  /** Plain targets with 4 slots and 40 ms of work, or engines that take 60 ms for each prompt. */
  readonly targets: "plain" | "engines";
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
  readonly prompts: CallQueue<PlainPlacement>;
  readonly work: WorkTracker;
  readonly shares: FairShares;
}

const SERVICE = "s";
const VMS = 4;
/** Targets, the calls that each runs at the same time, and the time of a call. */
const SHAPES = {
  plain: { count: 2, slots: 4, workMs: 40 },
  engines: { count: 6, slots: 1, workMs: 60 },
};
/** Largest difference by which VMs vary the predicted times of engines, milliseconds. */
const ENGINE_JITTER_MS = 20;
/** Time from the end of a prefill to the first token at the client, milliseconds. */
const FIRST_TOKEN_MS = 50;
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
  readonly #shape: { count: number; slots: number; workMs: number };
  readonly #targets: readonly SimulatedTarget[];
  readonly #vms: readonly SimulatedVm[];
  /** What happens at a time, milliseconds. */
  readonly #events = new Map<number, (() => void)[]>();
  #small = { sent: 0, served: 0 };
  #large = { sent: 0, served: 0 };

  constructor(load: ShareLoad, seed: number) {
    this.#load = load;
    this.#random = new Random(seed);
    this.#shape = SHAPES[load.targets];
    this.#targets = Array.from(
      { length: this.#shape.count },
      (_, i): SimulatedTarget => ({
        target: buildTarget(`t${i}`, { slots: this.#shape.slots }),
        running: 0,
        waiting: [],
      }),
    );
    this.#vms = Array.from({ length: VMS }, () => this.#buildVm());
  }

  /** Runs the load; returns what was served after the warm-up. */
  run(): ShareResult {
    for (let nowMs = 0; nowMs < RUN_MS + TIMEOUT_MS; nowMs++) {
      if (nowMs < RUN_MS) this.#sendCalls();
      if (nowMs % HEARTBEAT_MS === 0) this.#exchangeWork(nowMs);
      if (nowMs % USE_INTERVAL_MS === 0) this.#exchangeUse(nowMs);
      if (nowMs % DISPATCH_MS === 0) {
        for (const vm of this.#vms) this.#dispatch(vm);
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
    const clock = this.#clock;
    const usedRanker = this.#load.isRanked === false ? undefined : ranker;
    const queues = new PlainCallQueues({
      clock,
      buildRanker: () => usedRanker,
    });
    const prompts = new CallQueue<PlainPlacement>({
      clock,
      ranker: usedRanker,
      isTimerEnabled: false,
    });
    return { queues, prompts, work: new WorkTracker(), shares };
  }

  #dispatch({ queues, prompts }: SimulatedVm): void {
    queues.dispatch(SERVICE);
    if (prompts.size > 0) prompts.dispatch();
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
    const isPlain = this.#load.targets === "plain";
    const queue = isPlain ? vm.queues.getQueue(SERVICE) : vm.prompts;
    queue.enqueue({
      service: SERVICE,
      account,
      lane: 0,
      kind: "k",
      waitStartedAtMs: nowMs,
      aimMs: AIM_MS,
      timeoutAtMs: nowMs + TIMEOUT_MS,
      responseDelayMs: isPlain ? 0 : FIRST_TOKEN_MS,
      predictMs: () => this.#shape.workMs,
      findPlacement: (rank) =>
        isPlain ? this.#findPlacement(vm, rank) : this.#findEngine(vm),
      // One late prompt at a time, a fourth of the engines.
      mayPlaceLate: () =>
        !this.#targets.some(({ target }) =>
          vm.work.hasLatePrefill(target.id, this.#clock.readMonotonicMs())
        ),
      onOutcome: (outcome) => {
        if (outcome.kind !== "placed") return;
        this.#start(vm, outcome.placed, () => {
          const tookMs = this.#clock.readMonotonicMs() - nowMs;
          if (tookMs <= TIMEOUT_MS) counts.served++;
        });
      },
    });
  }

  /** Finds the engine that would finish first, as VMs vary it. */
  #findEngine({ work }: SimulatedVm): PlainPlacement {
    const nowMs = this.#clock.readMonotonicMs();
    const { workMs } = this.#shape;
    const [{ target, backlogMs }] = this.#targets
      .map(({ target }) => {
        const backlogMs = work.getPrefillBacklogMs(target.id, nowMs);
        const jitterMs = this.#random.drawUnit() * ENGINE_JITTER_MS;
        return { target, backlogMs, order: backlogMs + jitterMs };
      })
      .sort((a, b) => a.order - b.order);
    const readyMs = backlogMs + workMs;
    return { target, costMs: workMs, unloadedMs: workMs, backlogMs, readyMs };
  }

  #findPlacement(vm: SimulatedVm, rank: number): PlainPlacement {
    const { work } = vm;
    const nowMs = this.#clock.readMonotonicMs();
    const [{ target, runs }] = this.#targets
      .map(({ target }) => ({ target, ...work.getRunLoad(target.id, nowMs) }))
      .sort((a, b) => a.runs - b.runs || this.#random.drawUnit() - 0.5);
    const { slots, workMs } = this.#shape;
    const load = { runs, slots, workMs };
    const backlogMs = computeCapacityInMs(load, {
      rank,
      hasAccount: this.#load.isRanked !== false,
      isContended: vm.queues.getQueue(SERVICE).isBusy,
      computeTurnInMs: (rateFactor) =>
        vm.queues.computeTurnInMs(
          { ...this.#describeTurn(vm), rateFactor },
          nowMs,
        ),
    });
    return {
      target,
      costMs: workMs,
      unloadedMs: workMs,
      backlogMs,
      readyMs: computePlainBacklogMs(load) + workMs,
    };
  }

  #describeTurn(vm: SimulatedVm): TurnOptions {
    const { slots, workMs, count } = this.#shape;
    const share = this.#computeShare(vm);
    return { service: SERVICE, workMs, slots: slots * count, share };
  }

  /** Share of the calls that a VM receives. */
  #computeShare(vm: SimulatedVm): number {
    const { smallAccounts, smallCallsPerSecond, largeCallsPerSecond } =
      this.#load;
    const { largeVms } = this.#load;
    const smallPerVm = smallAccounts * smallCallsPerSecond / VMS;
    const isLarge = this.#vms.indexOf(vm) < largeVms;
    return (smallPerVm + (isLarge ? largeCallsPerSecond / largeVms : 0)) /
      (smallPerVm * VMS + largeCallsPerSecond);
  }

  #start(
    vm: SimulatedVm,
    { placement: { target: { id }, costMs }, lane }: LanePlacement<
      PlainPlacement
    >,
    onServed: () => void,
  ): void {
    const nowMs = this.#clock.readMonotonicMs();
    vm.queues.recordSend(this.#describeTurn(vm), nowMs);
    const endRun = this.#load.targets === "plain"
      ? vm.work.beginRun(id, 0)
      : vm.work.beginPrefill(id, { costMs, lane, latencyMs: HOP_MS }, nowMs);
    const target = this.#targets.find((each) => each.target.id === id)!;
    const work = (): void => {
      this.#schedule(this.#shape.workMs, () => {
        const next = target.waiting.shift();
        if (next === undefined) target.running--;
        else next();
        this.#schedule(HOP_MS, () => {
          endRun();
          onServed();
          this.#dispatch(vm);
        });
      });
    };
    this.#schedule(HOP_MS, () => {
      if (target.running >= this.#shape.slots) return target.waiting.push(work);
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
