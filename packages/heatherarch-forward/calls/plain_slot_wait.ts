/**
 * Waits in the queue of a plain service until a target has a slot for the call, and books it.
 *
 * @module
 */
import type { CallContext } from "./call_context.ts";
import type { Target } from "../model.ts";
import type { QueueOutcome } from "../scheduling/queued_call.ts";
import {
  computeCapacityInMs,
  computePlainBacklogMs,
  type PlainPlacement,
  type PlainTargetLoad,
  type TurnOptions,
} from "../scheduling/plain_call_queues.ts";
import { pickPlainTarget } from "../scheduling/plain_target_choice.ts";
import { computeLane } from "../scheduling/priority_lanes.ts";
import { listAvailableTargets } from "../scheduling/target_selection.ts";

/** Options of {@linkcode PlainSlotWait}. */
export interface PlainSlotWaitOptions {
  readonly context: CallContext;
  /** Targets that the call has tried already. */
  readonly tried: ReadonlySet<string>;
}

/**
 * While nothing is known of the work, a call is assumed to occupy a slot for this share of its latency
 * objective. Otherwise the first burst would be sent at once.
 */
const UNKNOWN_WORK_AIM_SHARE = 0.5;
/** A target whose slot is booked for the call. */
export interface BookedTarget {
  readonly placement: PlainPlacement;
  /** Whether the target had a free slot, as far as this VM knew. */
  readonly hadFreeSlot: boolean;
  /** Ends the booking. */
  readonly endRun: () => void;
}

type PlainOutcome = QueueOutcome<PlainPlacement>;
/** The call can't be complete in time. */
export type TooLate = Extract<PlainOutcome, { kind: "tooLate" }>;

/** Result of the wait for a target. */
export type PlainWait =
  | { readonly kind: "booked"; readonly booked: BookedTarget }
  | { readonly kind: "noTarget" }
  | TooLate
  /** The call ended, or this VM no longer reaches the targets. */
  | { readonly kind: "over" };

/** The waits of one call of a plain service. */
export class PlainSlotWait {
  readonly #context: CallContext;
  readonly #tried: ReadonlySet<string>;

  constructor(options: PlainSlotWaitOptions) {
    this.#context = options.context;
    this.#tried = options.tried;
  }

  /** Waits in the queue of the service until a target has a free slot, and books it. */
  await(): Promise<PlainWait> {
    const context = this.#context;
    const { plainCallQueues, pathMonitor } = context.dependencies;
    const enqueuedAtMs = context.nowMs;
    return new Promise((resolve, reject) => {
      let removeListener = (): void => undefined;
      let isQueued = false;
      const settle = (wait: PlainWait): void => {
        removeListener();
        resolve(wait);
      };
      const queue = plainCallQueues.getQueue(context.service.name);
      const cancel = queue.enqueue({
        lane: computeLane(context.priority),
        kind: context.route.name,
        service: context.service.name,
        account: context.accountName,
        isReturn: context.isReturn,
        waitStartedAtMs: context.call.arrivedAtMs,
        aimMs: context.route.aimMs,
        timeoutAtMs: context.deadlineAtMs,
        responseDelayMs: 0,
        predictMs: () => this.predictWorkMs(),
        findPlacement: (rank) => this.#findPlacement(rank),
        onOutcome: (outcome) => {
          if (isQueued) this.#logWait(outcome, context.nowMs - enqueuedAtMs);
          settle(this.#book(outcome, enqueuedAtMs));
        },
        onError: (thrown) => {
          reject(thrown);
          removeListener();
        },
      });
      isQueued = true;
      void context.ended.then(() => {
        cancel();
        settle({ kind: "over" });
      });
      removeListener = pathMonitor.registerLossListener(
        context.service.name,
        () => {
          cancel();
          settle({ kind: "over" });
        },
      );
    });
  }

  /** Books the slot of a placed call, so that the next call sees it as taken. */
  #book(outcome: PlainOutcome, enqueuedAtMs: number): PlainWait {
    if (outcome.kind !== "placed") return outcome;
    const { service, nowMs, dependencies } = this.#context;
    const { workTracker, plainCallQueues, metrics } = dependencies;
    const { placement } = outcome.placed;
    metrics.callWait.observe(
      { service: service.name },
      (nowMs - enqueuedAtMs) / 1000,
    );
    const { readyMs, costMs, occupiedMs } = placement;
    plainCallQueues.recordSend(this.#describeTurn(occupiedMs), nowMs);
    const hadFreeSlot = readyMs === costMs;
    const endRun = workTracker.beginRun(placement.target.id, 0);
    return { kind: "booked", booked: { placement, hadFreeSlot, endRun } };
  }

  #logWait(outcome: PlainOutcome, waitedMs: number): void {
    const { call, service, dependencies } = this.#context;
    const queue = dependencies.plainCallQueues.getQueue(service.name);
    const { placed } = outcome.kind === "placed" ? outcome : {};
    dependencies.log.write("info", "callWaited", {
      call: call.id,
      service: service.name,
      outcome: outcome.kind,
      target: placed?.placement.target.id,
      rank: placed?.rank,
      lane: placed?.lane,
      waitedMs: Math.round(waitedMs),
      waiting: queue.size,
      ratePerS: formatPerSecond(queue.measureRate()?.callsPerMs),
    });
  }

  /** Predicts the time of the call at any target; 0 if nothing is known. */
  predictWorkMs(): number {
    const { route, nowMs, dependencies } = this.#context;
    return dependencies.plainWorkModel.predictRouteMs(route.name, nowMs);
  }

  /** Finds the target that would be tried now, and when it has capacity. */
  #findPlacement(rank: number): PlainPlacement | undefined {
    const target = this.pickTarget();
    if (target === undefined) return undefined;
    const { route, nowMs, dependencies } = this.#context;
    const { plainWorkModel, workTracker } = dependencies;
    const workMs = plainWorkModel.predictMs(route.name, target.id, nowMs);
    const { runs } = workTracker.getRunLoad(target.id, nowMs);
    const occupiedMs = workMs || route.aimMs * UNKNOWN_WORK_AIM_SHARE;
    const load = { runs, slots: target.slots, workMs: occupiedMs };
    return {
      target,
      occupiedMs,
      costMs: workMs,
      unloadedMs: workMs,
      backlogMs: this.#computeCapacityInMs(load, rank),
      readyMs: computePlainBacklogMs(load) + workMs,
    };
  }

  /** Time until this VM may send a call to a target, milliseconds. */
  #computeCapacityInMs(load: PlainTargetLoad, rank: number): number {
    const { service, accountName, nowMs, dependencies } = this.#context;
    const { plainCallQueues } = dependencies;
    return computeCapacityInMs(load, {
      rank,
      hasAccount: accountName !== undefined,
      isContended: plainCallQueues.getQueue(service.name).isBusy,
      computeTurnInMs: (rateFactor) =>
        plainCallQueues.computeTurnInMs(
          { ...this.#describeTurn(load.workMs), rateFactor },
          nowMs,
        ),
    });
  }

  #describeTurn(workMs: number): TurnOptions {
    const { service: { name: service }, nowMs, dependencies } = this.#context;
    const { directory, fleetDemand } = dependencies;
    const slots = directory.listServing(service)
      .reduce((sum, target) => sum + target.slots, 0);
    return { service, workMs, slots, share: fleetDemand.computeShare(nowMs) };
  }

  /** Returns the target that would be tried now; undefined if there is none. */
  pickTarget(): Target | undefined {
    const context = this.#context;
    const targets = listAvailableTargets({ context, tried: this.#tried });
    return pickPlainTarget(context.dependencies, targets, context.nowMs);
  }

  /**
   * Whether calls probably wait at a target: it has as many in flight as slots, or calls wait here
   * because all targets have.
   */
  isBusy({ id, slots }: Target): boolean {
    const { service, nowMs, dependencies } = this.#context;
    const { workTracker, plainCallQueues } = dependencies;
    if (plainCallQueues.getQueue(service.name).isBusy) return true;
    return workTracker.getRunLoad(id, nowMs).runs >= slots;
  }
}

/** Formats a rate for logs. */
export function formatPerSecond(perMs: number | undefined): number | undefined {
  return perMs === undefined ? undefined : Math.round(perMs * 10_000) / 10;
}
