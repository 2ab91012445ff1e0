/**
 * Queues of plain calls, one for each service, and when a target has capacity for one of them.
 *
 * A target has free capacity while the calls in flight to it from all VMs, as far as known, are below
 * its slots. What a VM knows of the others is 30 to 250 ms old, which may be several times the time
 * of a call. If VMs relied on it alone, a slot that another VM's call has left would stay unused for
 * that time. Each VM therefore also sends at the rate of its share of the service's slots, unless a
 * target has twice as many calls as slots. A target queues the few calls that this is too many.
 *
 * @module
 */
import type { Clock } from "heatherarch-core";
import type { Target } from "../model.ts";
import { CallQueue } from "./call_queue.ts";
import type { CallPlacement, CallRanker } from "./queued_call.ts";

/** Target that is to run a plain call, with the predicted times. */
export interface PlainPlacement extends CallPlacement {
  readonly target: Target;
  /** Time for which the call occupies a slot, milliseconds; an assumption until it is learned. */
  readonly occupiedMs: number;
}

/** What is known about a target of a plain service. */
export interface PlainTargetLoad {
  /** Calls in flight from all VMs, as far as known. */
  readonly runs: number;
  readonly slots: number;
  /** Predicted time of a call at the target, milliseconds; 0 if it is unknown. */
  readonly workMs: number;
}

/** What a VM's turn to send depends on. */
export interface TurnOptions {
  readonly service: string;
  /** Predicted time of a call, milliseconds. */
  readonly workMs: number;
  /** Slots of all targets of the service. */
  readonly slots: number;
  /** This VM's share of the service's calls, above 0 and at most 1. */
  readonly share: number;
  /** Multiple of the rate of the share at which this VM may send; 1 by default. */
  readonly rateFactor?: number;
}

/** Options of {@linkcode PlainCallQueues}. */
export interface PlainCallQueuesOptions {
  readonly clock: Clock;
  /** Ranks the calls of all services; by default all calls have rank 0. */
  readonly ranker?: CallRanker;
}

/**
 * By its share of the rate, a VM sends to a target that has this many times its slots in flight. With
 * more, calls would wait at the target for longer than for one call, where they can't be reordered.
 */
const MAX_OVERLOAD_FACTOR = 2;
/**
 * The same for calls of accounts beyond their shares, so that a target's queue has room for calls of
 * rank 0 of all VMs. With little more than the slots, targets would be idle between two calls.
 */
const MAX_OVERLOAD_FACTOR_BEYOND_SHARE = 1.5;
/**
 * While calls wait here, calls probably wait at other VMs too, and all see the same free slots. So that
 * they don't all send to these slots, each VM then sends at most at this multiple of its share's rate.
 */
const CONTENDED_RATE_FACTOR = 3;
/**
 * The same while all slots are taken as far as known. The time of a call, as a VM measures it, includes
 * the network and delays of the VM, in which the slot is free. The rate of the share is computed from
 * that time, so it is lower than what the targets can take.
 */
const BUSY_RATE_FACTOR = 1.5;
/** Services change with the configuration. Above this number, idle queues are dropped. */
const MAX_SERVICES = 256;

interface ServiceQueue {
  readonly queue: CallQueue<PlainPlacement>;
  /** Time of this VM's next turn to send at the rate of its share. */
  turnAtMs: number;
}

/** Time until a target has a free slot, milliseconds; 0 if it has one or nothing is known. */
export function computePlainBacklogMs(
  { runs, slots, workMs }: PlainTargetLoad,
): number {
  const ahead = runs - slots + 1;
  return ahead <= 0 ? 0 : ahead * workMs / Math.max(1, slots);
}

/** Time between two calls of a VM at the rate of its share, milliseconds. */
function computeIntervalMs({ workMs, slots, share }: TurnOptions): number {
  return workMs / Math.max(1, slots) / share;
}

/** What decides when a call may be sent to a busy target. */
export interface PlainTurn {
  /** Rank of the call; 0 without an account. */
  readonly rank: number;
  /** Whether ranks mean shares of accounts. */
  readonly hasAccount: boolean;
  /** Whether calls wait at this VM; false by default. */
  readonly isContended?: boolean;
  /** Time until this VM may send at a multiple of the rate of its share of the slots, milliseconds. */
  readonly computeTurnInMs: (rateFactor: number) => number;
}

/**
 * Time until a target has capacity for a call, milliseconds. A call within the share of its account
 * does not wait for its VM's turn, so that it is served although other VMs have all slots.
 */
export function computeCapacityInMs(
  load: PlainTargetLoad,
  { rank, hasAccount, isContended = false, computeTurnInMs }: PlainTurn,
): number {
  const isBeyondShare = hasAccount && rank > 0;
  const isWithinShare = hasAccount && !isBeyondShare;
  const slotInMs = computePlainBacklogMs(load);
  if (slotInMs === 0) {
    const mustPace = isContended && !isWithinShare;
    return mustPace ? computeTurnInMs(CONTENDED_RATE_FACTOR) : 0;
  }
  if (!mayExceedSlots(load, isBeyondShare)) return slotInMs;
  return isWithinShare
    ? 0
    : Math.min(slotInMs, computeTurnInMs(BUSY_RATE_FACTOR));
}

/** Whether a VM may send to a busy target at the rate of its share. */
export function mayExceedSlots(
  { runs, slots }: PlainTargetLoad,
  isBeyondShare = false,
): boolean {
  const factor = isBeyondShare
    ? MAX_OVERLOAD_FACTOR_BEYOND_SHARE
    : MAX_OVERLOAD_FACTOR;
  return runs < slots * factor;
}

/** The queues of one VM's plain calls. */
export class PlainCallQueues {
  readonly #options: PlainCallQueuesOptions;
  readonly #byService = new Map<string, ServiceQueue>();

  constructor(options: PlainCallQueuesOptions) {
    this.#options = options;
  }

  /** Returns the queue of a service. */
  getQueue(service: string): CallQueue<PlainPlacement> {
    return this.#getOrCreate(service).queue;
  }

  /**
   * Records a call that is sent to a target of a service. A turn that was used late, as timers are on a
   * busy machine, does not delay the next one.
   */
  recordSend(options: TurnOptions, nowMs: number): void {
    const intervalMs = computeIntervalMs(options);
    const entry = this.#getOrCreate(options.service);
    const earliestMs = Math.max(entry.turnAtMs, nowMs - intervalMs);
    entry.turnAtMs = Math.min(earliestMs, nowMs) + intervalMs;
  }

  /** Time until this VM may send at the rate of its share of the slots, milliseconds. */
  computeTurnInMs(options: TurnOptions, nowMs: number): number {
    const { service, rateFactor = 1 } = options;
    const { turnAtMs } = this.#getOrCreate(service);
    const earlierMs = computeIntervalMs(options) * (1 - 1 / rateFactor);
    return Math.max(0, turnAtMs - earlierMs - nowMs);
  }

  /** Dispatches the calls that wait for a service, because a slot was freed. */
  dispatch(service: string): void {
    const entry = this.#byService.get(service);
    if (entry !== undefined && entry.queue.size > 0) entry.queue.dispatch();
  }

  /** Lists the services that have had calls, with their queues. */
  listQueues(): { service: string; queue: CallQueue<PlainPlacement> }[] {
    return [...this.#byService]
      .map(([service, { queue }]) => ({ service, queue }));
  }

  #getOrCreate(service: string): ServiceQueue {
    let entry = this.#byService.get(service);
    if (entry === undefined) {
      entry = { queue: this.#createQueue(), turnAtMs: -Infinity };
      this.#dropIdle();
      this.#byService.set(service, entry);
    }
    return entry;
  }

  #createQueue(): CallQueue<PlainPlacement> {
    const { clock, ranker } = this.#options;
    return new CallQueue<PlainPlacement>({
      clock,
      maxBacklogMs: 0,
      maxLateBacklogMs: 0,
      latePolicy: "behind",
      rejectsEarly: true,
      ranker,
    });
  }

  #dropIdle(): void {
    if (this.#byService.size < MAX_SERVICES) return;
    for (const [service, { queue }] of this.#byService) {
      if (queue.size === 0) this.#byService.delete(service);
    }
  }
}
