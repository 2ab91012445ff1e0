/**
 * Simulates VMs that hold calls until a plain target has room, in the order of ranks, and reject the
 * calls that can't be served in time. The queue of each VM is the product's. What the ranks are and
 * what happens after a rejection is left to the simulations that use this one.
 *
 * VMs know each other's calls late, so several may fill the same slot; a target serves calls in order
 * of arrival. Faults and lost messages are not simulated.
 *
 * @module
 */
import type { Clock, Random } from "heatherarch-core";
import {
  type CallPlacement,
  CallQueue,
  computeCapacityInMs,
  computePlainBacklogMs,
  mayExceedSlots,
  PlainCallQueues,
  type PlainTargetLoad,
  type TurnOptions,
} from "heatherarch-forward";
import type { EventQueue } from "./event_queue.ts";
import { computeAgeMs, type FleetSize } from "./fleet_size.ts";
import { LaggedWork } from "./lagged_work.ts";
import { Pace } from "./pace.ts";
import type { Gate, QueueHandler, SimulatedCall } from "./queue_model.ts";
import { SimulatedTarget } from "./simulated_target.ts";
import { VmDemand } from "./vm_demand.ts";

/** Options of {@linkcode QueueSimulation}. */
export interface QueueSimulationOptions<C extends SimulatedCall> {
  readonly events: EventQueue;
  readonly random: Random;
  readonly size: FleetSize;
  readonly slotsPerTarget: number;
  readonly targets: number;
  readonly handler: QueueHandler<C>;
  /** Duration of a call, milliseconds. */
  readonly workMs: number;
  readonly gate: Gate;
  /** Whether a VM knows the current work of all VMs. */
  readonly isExact?: boolean;
  /**
   * A call of rank 0 may be sent to a target with this many times its slots more than other calls, and
   * without a turn; 0 by default. The gate `product` has its own rule and ignores it.
   */
  readonly firstRankDepth?: number;
}

interface Placement extends CallPlacement {
  readonly target: number;
}

interface Vm {
  readonly queue: CallQueue<Placement>;
  readonly pace: Pace;
  /** Turns of the product's gate. */
  readonly turns: PlainCallQueues;
  readonly ranks: Map<string, { rank: number; atMs: number }>;
  isPolling: boolean;
  lastSentAtMs: number;
  /** Calls at the targets as the VM knew them at a time. */
  known: Float64Array;
  knownAtMs: number;
}

const SERVICE = "plain";
/** Interval at which a VM with waiting calls looks for room, milliseconds. */
const POLL_MS = 15;
/** The fleet asks for more than the room from this part of it on. */
const CONTENTION_LOAD = 0.8;
/** Below this backlog, relative to the slots, paces are raised, so that no target idles. */
const LOW_BACKLOG = 1.25;
const RAISED_PACE = 1.1;
/** At a target with more calls than this many times its slots, paced VMs let their turns lapse. */
const MAX_PACED_FACTOR = 3;

/** Queues of all VMs, and the targets. */
export class QueueSimulation<C extends SimulatedCall> {
  readonly #options: QueueSimulationOptions<C>;
  readonly #targets: readonly SimulatedTarget[];
  readonly #work: LaggedWork;
  readonly #vms: readonly Vm[];
  readonly #demand: VmDemand;

  constructor(options: QueueSimulationOptions<C>) {
    this.#options = options;
    const { events, random, targets, slotsPerTarget: slots, size } = options;
    this.#targets = Array.from(
      { length: targets },
      () => new SimulatedTarget({ events, random, slots }),
    );
    this.#work = new LaggedWork({
      events,
      vms: size.vms,
      targets,
      maxAgeMs: size.maxAgeMs,
    });
    this.#vms = Array.from({ length: size.vms }, (_, vm) => this.#buildVm(vm));
    this.#demand = new VmDemand(size.vms);
  }

  /** Adds a call to the queue of its VM. `isReturn` if it goes before others of its rank. */
  submit(call: C, isReturn = false): void {
    const { events, handler, workMs } = this.#options;
    this.#demand.recordCall(call.vm, events.nowMs);
    this.#vms[call.vm].queue.enqueue({
      lane: 0,
      kind: "plain",
      account: call.account,
      isReturn,
      waitStartedAtMs: call.arrivedAtMs,
      aimMs: call.aimMs,
      timeoutAtMs: call.timeoutAtMs,
      responseDelayMs: 0,
      findPlacement: () => this.#findPlacement(call),
      predictMs: () => workMs,
      onOutcome: (outcome) => {
        if (outcome.kind === "placed") {
          this.#send(call, outcome.placed.placement);
        } else if (outcome.kind === "tooLate") {
          const remainingMs = call.timeoutAtMs - events.nowMs;
          handler.handleRejection(call, {
            callsPerMs: outcome.forecast.rate?.callsPerMs,
            excessMs: outcome.readyMs - remainingMs,
          });
        }
      },
    });
    this.#startPolling(call.vm);
  }

  #buildVm(index: number): Vm {
    const { events, random } = this.#options;
    const clock: Clock = {
      readMonotonicMs: () => events.nowMs,
      readWallMs: () => events.nowMs,
      readBootMs: () => events.nowMs,
    };
    return {
      queue: new CallQueue<Placement>({
        clock,
        maxBacklogMs: 0,
        maxLateBacklogMs: 0,
        latePolicy: "behind",
        rejectsEarly: true,
        isTimerEnabled: false,
        ranker: {
          computeRank: ({ account = "", isReturn }) =>
            this.#computeRank(index, account) - (isReturn ? 1 : 0),
        },
      }),
      pace: new Pace(random.drawUnit()),
      turns: new PlainCallQueues({ clock }),
      ranks: new Map(),
      isPolling: false,
      lastSentAtMs: -Infinity,
      known: new Float64Array(0),
      knownAtMs: -Infinity,
    };
  }

  /** Rank of an account at a VM, computed anew after each interval of polls. */
  #computeRank(index: number, account: string): number {
    const { events: { nowMs }, handler } = this.#options;
    const { ranks } = this.#vms[index];
    const known = ranks.get(account);
    if (known !== undefined && nowMs - known.atMs < POLL_MS) return known.rank;
    const rank = handler.computeRank(index, account);
    ranks.set(account, { rank, atMs: nowMs });
    return rank;
  }

  #startPolling(index: number): void {
    const vm = this.#vms[index];
    if (vm.isPolling || vm.queue.size === 0) return;
    vm.isPolling = true;
    this.#options.events.delay(POLL_MS, () => {
      vm.isPolling = false;
      this.#dispatch(index);
      this.#startPolling(index);
    });
  }

  #dispatch(index: number): void {
    const { queue, pace } = this.#vms[index];
    if (queue.size === 0) return;
    queue.dispatch();
    if (queue.size > 0 && pace.isDue) pace.take();
  }

  #findPlacement({ vm, account }: C): Placement {
    const { slotsPerTarget: slots, workMs, gate, isExact, random } =
      this.#options;
    const known = this.#readKnown(vm);
    if (gate === "product" && isExact !== true) {
      const target = findLeast(
        known,
        random.drawInteger(0, known.length - 1),
      );
      return this.#placeAsProduct(vm, target, {
        load: { runs: known[target], slots, workMs },
        account,
      });
    }
    const { target, maySend } = this.#chooseTarget(vm, known, account);
    // A target that is drawn for one attempt says nothing about when the call can be ready.
    const runs = maySend ? known[target] : Math.min(...known);
    const slotInMs = computePlainBacklogMs({ runs, slots, workMs });
    return {
      target,
      costMs: workMs,
      unloadedMs: workMs,
      backlogMs: maySend ? 0 : Math.max(POLL_MS, slotInMs),
      readyMs: slotInMs + workMs,
    };
  }

  #placeAsProduct(
    index: number,
    target: number,
    { load, account }: { load: PlainTargetLoad; account: string },
  ): Placement {
    const { workMs } = load;
    const slotInMs = computePlainBacklogMs(load);
    return {
      target,
      costMs: workMs,
      unloadedMs: workMs,
      backlogMs: this.#predictCapacityInMs(index, load, account),
      readyMs: slotInMs + workMs,
    };
  }

  /** Time until the product lets a VM send to a target, milliseconds. */
  #predictCapacityInMs(
    index: number,
    load: PlainTargetLoad,
    account: string,
  ): number {
    const { nowMs } = this.#options.events;
    const { queue, turns } = this.#vms[index];
    const hasAccount = account !== "";
    return computeCapacityInMs(load, {
      rank: hasAccount ? this.#computeRank(index, account) : 0,
      hasAccount,
      isContended: queue.isBusy,
      computeTurnInMs: (rateFactor) =>
        turns.computeTurnInMs(
          { ...this.#describeTurn(index), rateFactor },
          nowMs,
        ),
    });
  }

  #describeTurn(index: number): TurnOptions {
    const { events: { nowMs }, workMs } = this.#options;
    const share = this.#demand.computeShare(index, nowMs);
    return { service: SERVICE, workMs, slots: this.#slots, share };
  }

  /** Chooses a target, and tells whether a call of the account may be sent to it now. */
  #chooseTarget(
    index: number,
    known: Float64Array,
    account: string,
  ): { target: number; maySend: boolean } {
    const options = this.#options;
    const { random, slotsPerTarget: slots, gate, workMs } = options;
    const first = random.drawInteger(0, known.length - 1);
    if (options.isExact === true) {
      const target = findLeast(known, first);
      return { target, maySend: known[target] < slots };
    }
    const isFirst = this.#computeRank(index, account) <= 0;
    const depth = isFirst ? options.firstRankDepth ?? 0 : 0;
    if (gate === "paced" && this.#isContended) {
      // Turning to another target would send what all VMs hold back to the one that looks idle.
      const isTurn = depth > 0 || this.#vms[index].pace.isDue;
      const limit = slots * (MAX_PACED_FACTOR + depth);
      return { target: first, maySend: isTurn && known[first] < limit };
    }
    const target = findLeast(known, first);
    const runs = known[target];
    const mayExceed = gate === "turns" &&
      mayExceedSlots({ runs, slots, workMs }) && this.#isTurn(index);
    return { target, maySend: runs < slots * (1 + depth) || mayExceed };
  }

  /** Reads the calls at the targets as a VM knows them, and updates its pace, once per time. */
  #readKnown(index: number): Float64Array {
    const { events: { nowMs }, size, isExact, gate } = this.#options;
    const vm = this.#vms[index];
    if (vm.knownAtMs === nowMs) return vm.known;
    vm.knownAtMs = nowMs;
    vm.known = isExact === true
      ? this.#work.current.slice()
      : this.#work.copyKnown(index, computeAgeMs(size, index, nowMs));
    if (gate === "paced") this.#updatePace(index, vm.known);
    return vm.known;
  }

  #updatePace(index: number, known: Float64Array): void {
    const { events: { nowMs }, workMs } = this.#options;
    const slots = this.#slots;
    const backlog = known.reduce((sum, calls) => sum + calls, 0);
    const factor = backlog < LOW_BACKLOG * slots ? RAISED_PACE : 1;
    const share = this.#demand.computeShare(index, nowMs);
    const perMs = share * slots / workMs * factor;
    this.#vms[index].pace.update(perMs, share * slots, nowMs);
  }

  get #slots(): number {
    return this.#targets.length * this.#options.slotsPerTarget;
  }

  get #isContended(): boolean {
    const { events, workMs } = this.#options;
    const rate = this.#demand.computeFleetRate(events.nowMs);
    return rate * workMs > CONTENTION_LOAD * this.#slots;
  }

  /** Whether it is the VM's turn to send by its share of the slots. */
  #isTurn(index: number): boolean {
    const { events, workMs } = this.#options;
    const share = this.#demand.computeShare(index, events.nowMs);
    const intervalMs = workMs / this.#slots / share;
    return events.nowMs >= this.#vms[index].lastSentAtMs + intervalMs;
  }

  #send(call: C, { target }: Placement): void {
    const { events, handler, workMs } = this.#options;
    const vm = this.#vms[call.vm];
    vm.lastSentAtMs = events.nowMs;
    vm.turns.recordSend(this.#describeTurn(call.vm), events.nowMs);
    vm.pace.take();
    if (vm.knownAtMs === events.nowMs) vm.known[target]++;
    this.#work.add(call.vm, target, 1);
    handler.handleDispatch(call);
    this.#targets[target].accept(workMs, () => {
      this.#work.add(call.vm, target, -1);
      vm.knownAtMs = -Infinity;
      handler.handleResponse(call, events.nowMs > call.timeoutAtMs);
      this.#dispatch(call.vm);
    });
  }
}

/** Target with the least calls; the first one from an index on if several have as many. */
function findLeast(known: Float64Array, first: number): number {
  let best = first;
  for (let i = 1; i < known.length; i++) {
    const target = (first + i) % known.length;
    if (known[target] < known[best]) best = target;
  }
  return best;
}
