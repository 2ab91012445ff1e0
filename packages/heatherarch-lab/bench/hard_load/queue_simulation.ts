/**
 * Simulates VMs that hold calls until a plain target has room, in the order of ranks, and reject the
 * calls that can't be served in time. What the ranks are and what happens after a rejection is left
 * to the simulations that use this one.
 *
 * VMs know each other's calls late, so several may fill the same slot; a target serves calls in order
 * of arrival. Faults and lost messages are not simulated.
 *
 * @module
 */
import type { Random } from "heatherarch-core";
import { DispatchRate } from "./dispatch_rate.ts";
import type { EventQueue } from "./event_queue.ts";
import { computeAgeMs, type FleetSize } from "./fleet_size.ts";
import { LaggedWork } from "./lagged_work.ts";
import { SimulatedTarget } from "./simulated_target.ts";
import { VmDemand } from "./vm_demand.ts";

/** When a VM sends a call of its queue to a target. */
export const GATES = [
  /** While the calls that are known at the target are below its slots. */
  "known",
  /** Also at the rate of the VM's share of all slots, up to twice the slots of a target. */
  "turns",
  /**
   * While the fleet asks for more than the room, at the rate of the VM's share and to a target that is
   * drawn, unless it is far above its slots, calls of rank 0 also without a turn; otherwise as with `known`.
   */
  "paced",
] as const;

/** Name of a rule for sending. */
export type Gate = typeof GATES[number];

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
  /** Usual duration of a call, milliseconds. */
  readonly workMs: number;
  readonly gate?: Gate;
  /** Whether a VM knows the current work of all VMs. */
  readonly isExact?: boolean;
  /** Calls that a call of rank 0 may have before it at a busy target, per slot. */
  readonly firstRankDepth?: number;
}

/** Calls of a VM that have the same rank, in order of arrival. */
interface Lane {
  readonly calls: QueuedCall[];
  first: number;
  rank: number;
  rankedAtMs: number;
}

interface Vm {
  readonly lanes: Map<string, Lane>;
  readonly rate: DispatchRate;
  size: number;
  isPolling: boolean;
  lastSentAtMs: number;
  /** Calls that the VM may send by its pace. */
  tokens: number;
  tokensAtMs: number;
}

/** Up to this many times its slots, a VM sends to a target at the rate of its share. */
const MAX_OVERLOAD_FACTOR = 2;
/** The fleet asks for more than the room from this part of it on. */
const CONTENTION_LOAD = 0.8;
/** Below this backlog, relative to the slots, paces are raised, so that no target idles. */
const LOW_BACKLOG = 1.25;
const RAISED_PACE = 1.1;
/** At a target with more calls than this many times its slots, paced VMs let their turns lapse. */
const MAX_PACED_FACTOR = 3;
/** Interval at which a VM with waiting calls looks for room, milliseconds. */
const POLL_MS = 10;

/** Queues of all VMs, and the targets. */
export class QueueSimulation {
  readonly #options: QueueSimulationOptions;
  readonly #targets: readonly SimulatedTarget[];
  readonly #work: LaggedWork;
  readonly #vms: readonly Vm[];
  readonly #demand: VmDemand;

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
      lastSentAtMs: -Infinity,
      tokens: random.drawUnit(),
      tokensAtMs: 0,
    }));
    this.#demand = new VmDemand(size.vms);
  }

  /** Adds a call to the queue of its VM. */
  submit(call: QueuedCall): void {
    const vm = this.#vms[call.vm];
    this.#demand.recordCall(call.vm, this.#options.events.nowMs);
    const key = `${call.account} ${call.kind} ${call.isClaimed}`;
    let lane = vm.lanes.get(key);
    if (lane === undefined) {
      lane = { calls: [], first: 0, rank: 0, rankedAtMs: -Infinity };
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
    const { events } = this.#options;
    const known = this.#copyKnown(index);
    this.#updateTokens(index, known);
    let isWaiting = false;
    while (vm.size > 0) {
      const lane = this.#findFirstLane(vm);
      if (lane === undefined) break;
      const call = lane.calls[lane.first];
      const target = this.#findTarget(index, known, lane.rank);
      if (target === undefined) {
        isWaiting = true;
        // A turn that can't be used lapses. VMs that kept it would all send at the same time later.
        if (vm.tokens >= 1) vm.tokens -= 1;
        break;
      }
      takeFirst(lane);
      if (this.#endsTooLate(call, known[target])) {
        this.#reject(vm, call);
        continue;
      }
      vm.size--;
      if (call.arrivedAtMs < events.nowMs) vm.rate.record(events.nowMs, 1);
      known[target]++;
      vm.lastSentAtMs = events.nowMs;
      vm.tokens = Math.max(-1, vm.tokens - 1);
      this.#send(call, target);
    }
    if (isWaiting) vm.rate.record(events.nowMs, 0);
  }

  #copyKnown(vm: number): Float64Array {
    if (this.#options.isExact === true) return this.#work.current.slice();
    const { size, events } = this.#options;
    return this.#work.copyKnown(vm, computeAgeMs(size, vm, events.nowMs));
  }

  /** Adds what a VM may send by its pace since the last time. */
  #updateTokens(index: number, known: Float64Array): void {
    if (this.#options.gate !== "paced") return;
    const vm = this.#vms[index];
    const { events: { nowMs }, workMs } = this.#options;
    const elapsedMs = nowMs - vm.tokensAtMs;
    vm.tokensAtMs = nowMs;
    const slots = this.#slots;
    const backlog = known.reduce((sum, calls) => sum + calls, 0);
    const factor = backlog < LOW_BACKLOG * slots ? RAISED_PACE : 1;
    const share = this.#demand.computeShare(index, nowMs);
    const perMs = share * slots / workMs * factor;
    vm.tokens = Math.min(
      Math.max(1, share * slots),
      vm.tokens + perMs * elapsedMs,
    );
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

  #findFirstLane(vm: Vm): Lane | undefined {
    let best: Lane | undefined;
    let bestRank = Infinity;
    for (const lane of vm.lanes.values()) {
      const call = lane.calls[lane.first];
      if (call === undefined) continue;
      const rank = this.#computeOrder(lane);
      const isBefore = rank < bestRank ||
        (rank === bestRank && best !== undefined &&
          call.arrivedAtMs < best.calls[best.first].arrivedAtMs);
      if (!isBefore) continue;
      best = lane;
      bestRank = rank;
    }
    return best;
  }

  /** Rank of the first call of a lane, lower by one for a claimed return. */
  #computeOrder(lane: Lane): number {
    const { events, handler } = this.#options;
    const call = lane.calls[lane.first];
    if (events.nowMs - lane.rankedAtMs >= POLL_MS) {
      lane.rank = handler.computeRank(call);
      lane.rankedAtMs = events.nowMs;
    }
    return call.isClaimed ? lane.rank - 1 : lane.rank;
  }

  /** Target to which a call of this rank may be sent now. */
  #findTarget(
    index: number,
    known: Float64Array,
    rank: number,
  ): number | undefined {
    const { random, slotsPerTarget: slots, gate, isExact, firstRankDepth } =
      this.#options;
    const depth = rank <= 0 ? firstRankDepth ?? 0 : 0;
    const first = random.drawInteger(0, known.length - 1);
    if (isExact !== true && gate === "paced" && this.#isContended) {
      const isTurn = depth > 0 || this.#vms[index].tokens >= 1;
      const limit = slots * (MAX_PACED_FACTOR + depth);
      // Turning to another target would send what all VMs hold back to the one that looks idle.
      return isTurn && known[first] < limit ? first : undefined;
    }
    const best = findLeast(known, first);
    if (known[best] < slots * (1 + (isExact === true ? 0 : depth))) return best;
    const mayExceed = isExact !== true && gate === "turns" &&
      known[best] < slots * MAX_OVERLOAD_FACTOR && this.#isTurn(index);
    return mayExceed ? best : undefined;
  }

  /** Whether a call would be served too late by a target with this many calls. */
  #endsTooLate(call: QueuedCall, known: number): boolean {
    const { slotsPerTarget: slots, workMs, events } = this.#options;
    const waitMs = Math.max(0, known - slots + 1) * workMs / slots;
    return events.nowMs + waitMs + call.workMs > call.timeoutAtMs;
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
      while (call !== undefined && this.#isTooLate(vm, call, lane, true)) {
        takeFirst(lane);
        this.#reject(vm, call);
        call = lane.calls[lane.first];
      }
      if (call === undefined) vm.lanes.delete(key);
    }
  }

  /** Whether the first or the last call of a lane can't be served in time. */
  #isTooLate(vm: Vm, call: QueuedCall, lane: Lane, isFirst = false): boolean {
    const { nowMs } = this.#options.events;
    const remainingMs = call.timeoutAtMs - nowMs - call.workMs;
    if (remainingMs < 0) return true;
    const ratePerMs = vm.rate.find();
    if (ratePerMs === undefined) return false;
    const order = this.#computeOrder(lane);
    let ahead = isFirst ? 0 : countCalls(lane) - 1;
    for (const other of vm.lanes.values()) {
      if (other === lane || countCalls(other) === 0) continue;
      const otherOrder = this.#computeOrder(other);
      const isAhead = otherOrder < order || (otherOrder === order && !isFirst);
      if (isAhead) ahead += countCalls(other);
    }
    return ahead / ratePerMs > remainingMs;
  }

  #reject(vm: Vm, call: QueuedCall): void {
    vm.size--;
    this.#options.handler.handleRejection(call, vm.rate.find());
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

function countCalls({ calls, first }: Lane): number {
  return calls.length - first;
}

function takeFirst(lane: Lane): void {
  lane.first++;
  if (lane.first * 2 < lane.calls.length) return;
  lane.calls.splice(0, lane.first);
  lane.first = 0;
}
