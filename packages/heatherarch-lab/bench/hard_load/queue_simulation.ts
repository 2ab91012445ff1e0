/**
 * Simulates VMs that hold calls until a plain target has room, in the order of ranks, and reject the
 * calls that can't be served in time. What the ranks are and what happens after a rejection is left
 * to the simulations that use this one.
 *
 * VMs know each other's calls late, so several may fill the same slot; a target serves calls in order
 * of arrival. Each VM counts what it did since its last digest as done by the other VMs too, in
 * proportion to their calls. Faults and lost messages are not simulated.
 *
 * @module
 */
import type { Random } from "heatherarch-core";
import { DispatchRate } from "./dispatch_rate.ts";
import type { EventQueue } from "./event_queue.ts";
import { computeAgeMs, type FleetSize } from "./fleet_size.ts";
import { LaggedWork } from "./lagged_work.ts";
import { SimulatedTarget } from "./simulated_target.ts";

/** A call at a VM. */
export interface QueuedCall {
  readonly vm: number;
  readonly account: string;
  readonly kind: string;
  readonly workMs: number;
  readonly arrivedAtMs: number;
  /** Time at which the client gives up. */
  readonly timeoutAtMs: number;
  /** Whether the call goes before others of its rank. */
  readonly isClaimed: boolean;
}

/** Decisions and outcomes of a simulation of queues. */
export interface QueueHandler {
  /** Calls of a lower rank go first. */
  computeRank(call: QueuedCall): number;
  handleDispatch(call: QueuedCall): void;
  handleResponse(call: QueuedCall, isTooLate: boolean): void;
  /** Handles a rejection; the rate is that of the VM's dispatches, in calls per millisecond. */
  handleRejection(call: QueuedCall, ratePerMs: number | undefined): void;
}

/** Options of {@linkcode QueueSimulation}. */
export interface QueueSimulationOptions {
  readonly events: EventQueue;
  readonly random: Random;
  readonly size: FleetSize;
  readonly slotsPerTarget: number;
  readonly targets: number;
  readonly handler: QueueHandler;
  /** Share of the fleet's calls that a VM receives. */
  readonly computeVmShare: (vm: number) => number;
  /** Whether a VM knows the current work of all VMs. */
  readonly isExact?: boolean;
  /** Calls that a call of rank 0 may have before it at a busy target, per slot. */
  readonly firstRankDepth?: number;
}

interface Lane {
  readonly calls: QueuedCall[];
  first: number;
}

interface Vm {
  readonly lanes: Map<string, Lane>;
  readonly rate: DispatchRate;
  size: number;
  isPolling: boolean;
}

/** Interval at which a VM with waiting calls looks for room, milliseconds. */
const POLL_MS = 10;

/** Queues of all VMs, and the targets. */
export class QueueSimulation {
  readonly #options: QueueSimulationOptions;
  readonly #targets: readonly SimulatedTarget[];
  readonly #work: LaggedWork;
  readonly #vms: readonly Vm[];

  constructor(options: QueueSimulationOptions) {
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
    this.#vms = Array.from({ length: size.vms }, () => ({
      lanes: new Map(),
      rate: new DispatchRate(),
      size: 0,
      isPolling: false,
    }));
  }

  /** Adds a call to the queue of its VM. */
  submit(call: QueuedCall): void {
    const vm = this.#vms[call.vm];
    const key = `${call.account} ${call.kind} ${call.isClaimed}`;
    let lane = vm.lanes.get(key);
    if (lane === undefined) {
      lane = { calls: [], first: 0 };
      vm.lanes.set(key, lane);
    }
    if (vm.size === 0) vm.rate.start(this.#options.events.nowMs);
    lane.calls.push(call);
    vm.size++;
    this.#dispatch(call.vm);
    const isQueued = lane.calls.at(-1) === call;
    if (isQueued && this.#isTooLate(vm, call, lane)) {
      lane.calls.pop();
      this.#reject(vm, call);
    }
    this.#startPolling(call.vm);
  }

  /** Rate at which a VM dispatches while calls wait, in calls per millisecond. */
  findRate(vm: number): number | undefined {
    return this.#vms[vm].rate.find();
  }

  #startPolling(index: number): void {
    const vm = this.#vms[index];
    if (vm.isPolling || vm.size === 0) return;
    vm.isPolling = true;
    this.#options.events.delay(POLL_MS, () => {
      vm.isPolling = false;
      if (vm.size === 0) return;
      this.#dispatch(index);
      this.#rejectLate(vm);
      this.#startPolling(index);
    });
  }

  #dispatch(index: number): void {
    const vm = this.#vms[index];
    const { events, handler } = this.#options;
    const known = this.#copyKnown(index);
    let isWaiting = false;
    while (vm.size > 0) {
      const lane = this.#findFirstLane(vm);
      if (lane === undefined) break;
      const call = lane.calls[lane.first];
      const target = this.#findTarget(known, handler.computeRank(call));
      if (target === undefined) {
        isWaiting = true;
        break;
      }
      takeFirst(lane);
      vm.size--;
      if (call.arrivedAtMs < events.nowMs) vm.rate.record(events.nowMs, 1);
      known[target] += this.#computeOwnFactor(index);
      this.#send(call, target);
    }
    if (isWaiting) vm.rate.record(events.nowMs, 0);
  }

  #copyKnown(vm: number): Float64Array {
    if (this.#options.isExact === true) return this.#work.current.slice();
    const { size, events } = this.#options;
    const ageMs = computeAgeMs(size, vm, events.nowMs);
    return this.#work.copyKnown(vm, ageMs, this.#computeOwnFactor(vm));
  }

  /** Number of calls of the fleet that one call of this VM stands for. */
  #computeOwnFactor(vm: number): number {
    if (this.#options.isExact === true) return 1;
    return 1 / this.#options.computeVmShare(vm);
  }

  #findFirstLane(vm: Vm): Lane | undefined {
    let best: Lane | undefined;
    let bestRank = Infinity;
    for (const lane of vm.lanes.values()) {
      const call = lane.calls[lane.first];
      if (call === undefined) continue;
      const rank = this.#computeOrder(call);
      const isBefore = rank < bestRank ||
        (rank === bestRank && best !== undefined &&
          call.arrivedAtMs < best.calls[best.first].arrivedAtMs);
      if (!isBefore) continue;
      best = lane;
      bestRank = rank;
    }
    return best;
  }

  #computeOrder(call: QueuedCall): number {
    const rank = this.#options.handler.computeRank(call);
    return call.isClaimed ? rank - 1 : rank;
  }

  /** Target with the least calls, if it is known to have room for a call of this rank. */
  #findTarget(known: Float64Array, rank: number): number | undefined {
    const { random, slotsPerTarget, firstRankDepth = 0 } = this.#options;
    const depth = rank <= 0 ? firstRankDepth : 0;
    const limit = slotsPerTarget * (1 + depth);
    const first = random.drawInteger(0, known.length - 1);
    let best = first;
    for (let i = 1; i < known.length; i++) {
      const target = (first + i) % known.length;
      if (known[target] < known[best]) best = target;
    }
    return known[best] < limit ? best : undefined;
  }

  #send(call: QueuedCall, target: number): void {
    const { events, handler } = this.#options;
    this.#work.add(call.vm, target, 1);
    handler.handleDispatch(call);
    this.#targets[target].accept(call.workMs, () => {
      this.#work.add(call.vm, target, -1);
      handler.handleResponse(call, events.nowMs > call.timeoutAtMs);
      if (this.#vms[call.vm].size > 0) this.#dispatch(call.vm);
    });
  }

  /** Rejects the first call of each lane for as long as it can't be served in time. */
  #rejectLate(vm: Vm): void {
    for (const [key, lane] of vm.lanes) {
      let call = lane.calls[lane.first];
      while (call !== undefined && this.#isTooLate(vm, call, undefined)) {
        takeFirst(lane);
        this.#reject(vm, call);
        call = lane.calls[lane.first];
      }
      if (call === undefined) vm.lanes.delete(key);
    }
  }

  /** Whether a call can't be served in time; `lane` if the call is the last of it. */
  #isTooLate(vm: Vm, call: QueuedCall, lane: Lane | undefined): boolean {
    const { nowMs } = this.#options.events;
    const remainingMs = call.timeoutAtMs - nowMs - call.workMs;
    if (remainingMs < 0) return true;
    const ratePerMs = vm.rate.find();
    if (ratePerMs === undefined) return false;
    const order = this.#computeOrder(call);
    let ahead = 0;
    for (const other of vm.lanes.values()) {
      const first = other.calls[other.first];
      if (first === undefined) continue;
      const size = other.calls.length - other.first;
      if (other === lane) ahead += size - 1;
      else if (this.#computeOrder(first) < order) ahead += size;
      else if (lane !== undefined && this.#computeOrder(first) === order) {
        ahead += size;
      }
    }
    return ahead / ratePerMs > remainingMs;
  }

  #reject(vm: Vm, call: QueuedCall): void {
    vm.size--;
    this.#options.handler.handleRejection(call, vm.rate.find());
  }
}

function takeFirst(lane: Lane): void {
  lane.first++;
  if (lane.first * 2 < lane.calls.length) return;
  lane.calls.splice(0, lane.first);
  lane.first = 0;
}
