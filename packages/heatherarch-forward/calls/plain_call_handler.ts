/**
 * Handles a call to a plain service. Tries one target after another, as far as the kind of the
 * call, the retry budget and the time left permit.
 *
 * @module
 */
import {
  type BufferedResponse,
  getResponseFraming,
  type PartialResponse,
  readResponse,
  relayPartialResponse,
  StreamRelay,
  writeResponse,
} from "./response_relay.ts";
import type { CallContext } from "./call_context.ts";
import type { Target } from "../model.ts";
import {
  pickLeastLoaded,
  type TargetCandidate,
} from "../scheduling/least_loaded_target.ts";
import {
  findBackoffMs,
  listAvailableTargets,
  predictRateLimitDelayMs,
} from "../scheduling/target_selection.ts";
import { sleep } from "heatherarch-core";
import {
  computeRetryAfterMs,
  MAX_RATE_LIMIT_DELAY_MS,
} from "../scheduling/retry_after.ts";
import {
  computePlainBacklogMs,
  mayExceedSlots,
  type PlainPlacement,
  type PlainTargetLoad,
  type TurnOptions,
} from "../scheduling/plain_call_queues.ts";
import type { QueueOutcome } from "../scheduling/call_queue.ts";
import { computeLane } from "../scheduling/priority_lanes.ts";
import { ExchangeError, type TargetExchange } from "./target_exchange.ts";
import { awaitAttempt } from "./attempt_result.ts";
import { isSuccessStatus } from "./http_status.ts";
import { CallHandover, type HandoverResult } from "./call_handover.ts";

/** A retry is useless with less time left than this, milliseconds. */
const MIN_ATTEMPT_MS = 30;
/** Bounds the attempts that reach no target, which cost no retry budget. */
const MAX_ATTEMPTS = 6;
/**
 * If the call may be repeated, a silent target is given up this many times `aimMs` after the time at
 * which it is expected to have finished the call.
 */
const SILENCE_TIMEOUT_AIMS = 1;
/** `Retry-After` of a refusal, milliseconds. Jitter adds up to the same again. */
const RETRY_AFTER_MS = 250;
/** Interval at which a waiting call checks for room in a rate limit, milliseconds. */
const RATE_LIMIT_POLL_MS = 40;

/**
 * While nothing is known of the work, a call is assumed to occupy a slot for this share of its latency
 * objective. Otherwise the first burst would be sent at once.
 */
const UNKNOWN_WORK_AIM_SHARE = 0.5;
/** Shortest wait before a target that declined a call is tried again, milliseconds. */
const MIN_DECLINED_WAIT_MS = 20;

/**
 * While calls wait here, calls probably wait at other VMs too, and all see the same free slots. Each VM
 * then sends at most at this multiple of the rate of its share, so that they don't all fill them.
 */
const CONTENDED_RATE_FACTOR = 3;
/**
 * The same while all slots are taken as far as known. The time of a call includes the network and this
 * VM's own delays, in which its slot is free. At the rate that the slots have by this time, the targets
 * would be idle for that part.
 */
const BUSY_RATE_FACTOR = 1.5;

/** A target whose slot is booked for the call. */
interface BookedTarget {
  readonly placement: PlainPlacement;
  /** Whether the target had a free slot, as far as this VM knew. */
  readonly hadFreeSlot: boolean;
  /** Ends the booking. */
  readonly endRun: () => void;
}

type PlainOutcome = QueueOutcome<PlainPlacement>;
type TooLate = Extract<PlainOutcome, { kind: "tooLate" }>;

/** Result of the wait for a target. */
type PlainWait =
  | { readonly kind: "booked"; readonly booked: BookedTarget }
  | { readonly kind: "noTarget" }
  | TooLate
  /** The call ended, or this VM no longer reaches the targets. */
  | { readonly kind: "over" };

type PlainResult =
  | { readonly kind: "delivered" | "over" | "notSent" | "notRun" }
  | { readonly kind: "lost"; readonly reason: string }
  | { readonly kind: "answer"; readonly answer: BufferedResponse };

/** Serves one call of a plain service. */
export class PlainCallHandler {
  readonly #context: CallContext;
  readonly #tried = new Set<string>();
  /** Targets that did not run the call, and may be tried again. */
  readonly #declined = new Set<string>();
  /** Failure response of a target, sent to the client if there is no further attempt. */
  #failure: BufferedResponse | undefined;
  #reason = "";
  #attempts = 0;
  /** Whether the next attempt is a retry. */
  #isRetry = false;

  constructor(context: CallContext) {
    this.#context = context;
  }

  /** Serves the call to its end. */
  async serve(): Promise<void> {
    const context = this.#context;
    await this.#attemptTargets();
    const isDeclined = await this.#handOver() === "declined";
    // A VM that reaches some of the targets goes on with those that it has not tried.
    if (isDeclined && context.hasPath) {
      context.forgetUnreachable();
      await this.#attemptTargets();
    }
    this.#conclude();
  }

  /** Tries targets until the call has ended, may not be retried, or should be handed over. */
  async #attemptTargets(): Promise<void> {
    const context = this.#context;
    while (
      this.#attempts < MAX_ATTEMPTS && !context.hasEnded &&
      !context.mustHandOver
    ) {
      this.#attempts++;
      await context.awaitTargetList();
      if (context.hasEnded) return;
      const booked = await this.#awaitTarget();
      if (booked === undefined) return;
      const result = await this.#attemptBooked(booked);
      if (result === undefined) return;
      if (context.hasEnded || result.kind === "delivered") return;
      if (result.kind !== "notSent") this.#isRetry = true;
      this.#recordResult(result);
      if (!context.mayRunAgain || context.remainingMs < MIN_ATTEMPT_MS) return;
      if (!await context.mayRetry()) return;
    }
  }

  /** Hands the call over to a peer if it could not be sent. */
  async #handOver(): Promise<HandoverResult | "kept"> {
    const context = this.#context;
    if (this.#failure !== undefined) return "kept";
    if (!await context.mayPeersServe()) return "kept";
    if (context.mayHaveRun && !context.takeRetry()) return "kept";
    const relay = new StreamRelay({
      clientResponse: context.clientResponse,
      isResumable: false,
      onFirstByte: () => this.#recordFirstByte(),
    });
    return await new CallHandover({ context, relay }).serve();
  }

  #recordResult(result: PlainResult): void {
    if (result.kind === "answer") this.#failure = result.answer;
    else if (result.kind === "lost") this.#reason = result.reason;
  }

  /** Makes an attempt at a booked target; undefined if the call ended or no retry is left. */
  async #attemptBooked(
    booked: BookedTarget,
  ): Promise<PlainResult | undefined> {
    const context = this.#context;
    const { target } = booked.placement;
    try {
      // The call may have been placed right after a stall, before the target list was refreshed.
      await context.awaitTargetList();
      if (context.hasEnded) return undefined;
      if (this.#isRetry && !context.takeRetry()) return undefined;
      const result = await this.#attempt(booked);
      if (result.kind === "notRun") this.#declined.add(target.id);
      if (result.kind === "lost") this.#holdSlot(booked.placement);
      return result;
    } finally {
      booked.endRun();
      context.dependencies.plainCallQueues.dispatch(context.service.name);
    }
  }

  /**
   * Counts a lost run as in flight until its target has probably ended it. A target that was given up
   * still runs or queues the call, and would otherwise look idle.
   */
  #holdSlot({ target, occupiedMs }: PlainPlacement): void {
    const { workTracker } = this.#context.dependencies;
    setTimeout(workTracker.beginRun(target.id, 0), occupiedMs).unref();
  }

  async #attempt(booked: BookedTarget): Promise<PlainResult> {
    const context = this.#context;
    const { codec } = context.dependencies;
    const { target } = booked.placement;
    const sentAtMs = context.nowMs;
    this.#tried.add(target.id);
    const exchange = context.send(
      target,
      codec.encodeAttempt(context.call, {
        target,
        timeoutMs: context.remainingMs,
        stage: "whole",
      }),
    );
    context.recordRun();
    try {
      const result = await awaitAttempt({
        context,
        target,
        exchange,
        stage: "whole",
        timeoutMs: this.#computeSilenceTimeoutMs(booked.placement),
        extendsWhileAlive: () => this.#isBusy(target),
      });
      if (result.kind === "over") return { kind: "over" };
      if (result.kind === "notSent" || result.kind === "notRun") {
        context.undoRun();
        return { kind: result.kind };
      }
      if (result.kind === "lost") return result;
      if (isSuccessStatus(result.head.status) && !result.metadata.signed) {
        exchange.abort("successful response without a signature");
        return {
          kind: "lost",
          reason: "successful response without a signature",
        };
      }
      const read = await readResponse(exchange, result.head);
      if (context.hasEnded) return { kind: "over" };
      this.#learnWork(booked, sentAtMs);
      if (read.kind === "partial") {
        return await this.#relayPartial(exchange, read.response, target);
      }
      const answer = read.response;
      if (this.#mayRetry(result.head.status)) return { kind: "answer", answer };
      this.#deliver(answer, target);
      return { kind: "delivered" };
    } catch (error) {
      if (!(error instanceof ExchangeError)) throw error;
      return { kind: "lost", reason: error.message };
    }
  }

  /** Learns the time of the work. A call that had to wait at its target shows only a shorter time. */
  #learnWork({ placement, hadFreeSlot }: BookedTarget, sentAtMs: number): void {
    const { route, nowMs, dependencies } = this.#context;
    const { target, costMs } = placement;
    const isLonger = costMs > 0 && nowMs - sentAtMs > costMs;
    if (!hadFreeSlot && isLonger) return;
    dependencies.plainWorkModel.learn({
      route: route.name,
      target: target.id,
      tookMs: nowMs - sentAtMs,
    }, nowMs);
  }

  /** Whether a retry may turn a target's failure into a success. */
  #mayRetry(status: number): boolean {
    return status >= 500 && this.#context.mayRunAgain &&
      this.#context.remainingMs >= MIN_ATTEMPT_MS;
  }

  /** Relays a large response. It is not retried, whatever its status. */
  async #relayPartial(
    exchange: TargetExchange,
    response: PartialResponse,
    target: Target,
  ): Promise<PlainResult> {
    const context = this.#context;
    const { clientResponse } = context;
    const result = await relayPartialResponse(
      clientResponse,
      exchange,
      response,
    );
    if (context.hasEnded) return { kind: "over" };
    if (result !== "whole") {
      context.fail("answerIncomplete", result.message);
      return { kind: "over" };
    }
    clientResponse.end();
    context.finish("delivered", {
      status: response.head.status,
      target: target.id,
      aimMs: context.route.aimMs,
      framing: getResponseFraming(response.head),
    });
    return { kind: "delivered" };
  }

  #deliver(response: BufferedResponse, target?: Target): void {
    const context = this.#context;
    this.#recordFirstByte();
    writeResponse(context.clientResponse, context.call.method, response);
    context.finish("delivered", {
      status: response.head.status,
      target: target?.id,
      aimMs: context.route.aimMs,
      framing: getResponseFraming(response.head),
    });
  }

  #recordFirstByte(): void {
    const { call, route, nowMs, dependencies } = this.#context;
    dependencies.metrics.firstByte.observe(
      { kind: route.kind },
      (nowMs - call.arrivedAtMs) / 1000,
    );
  }

  #conclude(): void {
    const context = this.#context;
    if (context.hasEnded) return;
    if (this.#failure !== undefined) return this.#deliver(this.#failure);
    if (context.mayHaveRun) return context.fail("targetFailed", this.#reason);
    const backoffMs = findBackoffMs(context);
    if (backoffMs !== undefined) return context.refuseForBackoff(backoffMs);
    const jitter = 1 + context.dependencies.drawUnit();
    const rateLimitDelayMs = this.#predictRateLimitDelayMs() ?? 0;
    const waitMs = Math.min(rateLimitDelayMs, MAX_RATE_LIMIT_DELAY_MS);
    context.refuse("noTarget", "no target accepted the call", {
      retryAfterMs: Math.max(RETRY_AFTER_MS, waitMs) * jitter,
      detail: {
        tried: [...this.#tried],
        listed: context.dependencies.directory.listServing(context.service.name)
          .length,
      },
    });
  }

  /**
   * Time after which a silent target is given up: the latency objective, counted from when the target
   * is expected to have finished. A busy target is late, not silent.
   */
  #computeSilenceTimeoutMs({ readyMs }: PlainPlacement): number | undefined {
    const { route, mayRunAgain, remainingMs } = this.#context;
    if (route.kind !== "idempotent" || !mayRunAgain) return undefined;
    const timeoutMs = readyMs + route.aimMs * SILENCE_TIMEOUT_AIMS;
    // Another attempt would have too little time, so this is the last one. It ends with the call.
    if (remainingMs - timeoutMs < MIN_ATTEMPT_MS) return remainingMs;
    return timeoutMs;
  }

  /**
   * Whether calls probably wait at a target: it has as many in flight as slots, or calls wait here
   * because all targets have.
   */
  #isBusy({ id, slots }: Target): boolean {
    const { service, nowMs, dependencies } = this.#context;
    const { workTracker, plainCallQueues } = dependencies;
    if (plainCallQueues.getQueue(service.name).isBusy) return true;
    return workTracker.getRunLoad(id, nowMs).runs >= slots;
  }

  /** Books a target; undefined if there is none, or the call ended or was rejected. */
  async #awaitTarget(): Promise<BookedTarget | undefined> {
    for (;;) {
      const wait = await this.#awaitSlot();
      if (wait.kind === "booked") return wait.booked;
      if (wait.kind === "tooLate") this.#rejectTooLate(wait);
      if (wait.kind !== "noTarget" || this.#context.hasEnded) return undefined;
      if (!await this.#awaitRateLimit() && !await this.#awaitDeclined()) {
        return undefined;
      }
    }
  }

  /** Waits in the queue of the service until a target has a free slot, and books it. */
  #awaitSlot(): Promise<PlainWait> {
    const context = this.#context;
    const { plainCallQueues, pathMonitor } = context.dependencies;
    const enqueuedAtMs = context.nowMs;
    return new Promise((resolve) => {
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
        waitStartedAtMs: context.call.arrivedAtMs,
        aimMs: context.route.aimMs,
        timeoutAtMs: context.deadlineAtMs,
        responseDelayMs: 0,
        predictMs: () => this.#predictWorkMs(),
        findPlacement: () => this.#findPlacement(),
        onOutcome: (outcome) => {
          if (isQueued) this.#logWait(outcome, context.nowMs - enqueuedAtMs);
          settle(this.#book(outcome, enqueuedAtMs));
        },
      });
      isQueued = true;
      removeListener = pathMonitor.registerLossListener(
        context.service.name,
        () => {
          cancel();
          settle({ kind: "over" });
        },
      );
      void context.ended.then(() => {
        cancel();
        settle({ kind: "over" });
      });
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

  /** Rejects a call that no target can complete in time. It has not run, or its failure is sent. */
  #rejectTooLate({ forecast, readyMs }: TooLate): void {
    const context = this.#context;
    if (context.hasEnded || context.mayHaveRun) return;
    if (this.#failure !== undefined) return;
    const { drawUnit, metrics } = context.dependencies;
    const { rank, callsAhead, rate, predictedWaitMs } = forecast;
    const waitedMs = context.nowMs - context.call.arrivedAtMs;
    const excessMs = readyMs - context.remainingMs;
    metrics.callsRejectedEarly.inc({ service: context.service.name });
    context.refuse("overloaded", "the call can't be complete in time", {
      retryAfterMs: computeRetryAfterMs(waitedMs, excessMs, drawUnit),
      detail: {
        rank,
        callsAhead,
        ratePerS: formatPerSecond(rate?.callsPerMs),
        predictedWaitMs: Math.round(predictedWaitMs ?? 0),
        readyMs: Math.round(readyMs),
        waitedMs: Math.round(waitedMs),
        remainingMs: Math.round(context.remainingMs),
      },
    });
  }

  #predictWorkMs(): number {
    const { route, nowMs, dependencies } = this.#context;
    return dependencies.plainWorkModel.predictRouteMs(route.name, nowMs);
  }

  /** Finds the target that would be tried now, and when it has capacity. */
  #findPlacement(): PlainPlacement | undefined {
    const target = this.#pickTarget();
    if (target === undefined) return undefined;
    const { route, nowMs, dependencies } = this.#context;
    const { plainWorkModel, workTracker } = dependencies;
    const workMs = plainWorkModel.predictMs(route.name, target.id, nowMs);
    const { runs } = workTracker.getRunLoad(target.id, nowMs);
    const occupiedMs = workMs || route.aimMs * UNKNOWN_WORK_AIM_SHARE;
    const load = { runs, slots: target.slots, workMs: occupiedMs };
    const slotInMs = computePlainBacklogMs(load);
    return {
      target,
      occupiedMs,
      costMs: workMs,
      unloadedMs: workMs,
      backlogMs: this.#predictCapacityInMs(load, slotInMs),
      readyMs: slotInMs + workMs,
    };
  }

  /** Time until this VM may send a call to a target, milliseconds. */
  #predictCapacityInMs(load: PlainTargetLoad, slotInMs: number): number {
    const { service: { name }, dependencies } = this.#context;
    if (slotInMs === 0) {
      const { isBusy } = dependencies.plainCallQueues.getQueue(name);
      return isBusy ? this.#computeTurnInMs(load, CONTENDED_RATE_FACTOR) : 0;
    }
    if (!mayExceedSlots(load)) return slotInMs;
    return Math.min(slotInMs, this.#computeTurnInMs(load, BUSY_RATE_FACTOR));
  }

  /** Time until this VM may send at a multiple of the rate of its share of the service's slots. */
  #computeTurnInMs({ workMs }: PlainTargetLoad, rateFactor: number): number {
    const { nowMs, dependencies } = this.#context;
    return dependencies.plainCallQueues.computeTurnInMs(
      { ...this.#describeTurn(workMs), rateFactor },
      nowMs,
    );
  }

  #describeTurn(workMs: number): TurnOptions {
    const { service: { name: service }, nowMs, dependencies } = this.#context;
    const { directory, fleetDemand } = dependencies;
    const slots = directory.listServing(service)
      .reduce((sum, target) => sum + target.slots, 0);
    return { service, workMs, slots, share: fleetDemand.computeShare(nowMs) };
  }

  /**
   * Waits until a target that declined the call may have a free slot, and lets it be tried again.
   * Returns whether there is such a target and time is left.
   */
  async #awaitDeclined(): Promise<boolean> {
    const context = this.#context;
    if (this.#declined.size === 0) return false;
    if (findBackoffMs(context) !== undefined) return false;
    const workMs = this.#predictWorkMs();
    const waitMs = Math.max(MIN_DECLINED_WAIT_MS, workMs);
    if (context.remainingMs < waitMs + workMs + MIN_ATTEMPT_MS) return false;
    await Promise.race([sleep(waitMs), context.ended]);
    for (const target of this.#declined) this.#tried.delete(target);
    this.#declined.clear();
    return !context.hasEnded;
  }

  /**
   * Waits while rate limits keep all targets from taking the call but will not do so until its latency
   * objective is missed. Returns whether a target has room then.
   */
  async #awaitRateLimit(): Promise<boolean> {
    const context = this.#context;
    const endWait = context.dependencies.rateLimits.beginWait(
      context.service.name,
    );
    try {
      while (!context.hasEnded && this.#mayWait()) {
        await sleep(RATE_LIMIT_POLL_MS);
        if (this.#pickTarget() !== undefined) return true;
      }
      return false;
    } finally {
      endWait();
    }
  }

  #mayWait(): boolean {
    const delayMs = this.#predictRateLimitDelayMs();
    return delayMs !== undefined && delayMs <= this.#context.timeToAimMs;
  }

  #predictRateLimitDelayMs(): number | undefined {
    return predictRateLimitDelayMs(
      { context: this.#context, tried: this.#tried },
      this.#context.service.name,
    );
  }

  #pickTarget(): Target | undefined {
    const { workTracker, drawUnit } = this.#context.dependencies;
    const nowMs = this.#context.nowMs;
    const candidates = listAvailableTargets({
      context: this.#context,
      tried: this.#tried,
    })
      .map((target): TargetCandidate => ({
        target,
        runs: workTracker.getRunLoad(target.id, nowMs).runs,
        kvTokens: 0,
        maxKvTokens: 0,
      }));
    return pickLeastLoaded(candidates, undefined, drawUnit)?.target;
  }
}

function formatPerSecond(perMs: number | undefined): number | undefined {
  return perMs === undefined ? undefined : Math.round(perMs * 10_000) / 10;
}
