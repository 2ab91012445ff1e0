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
  readFailure,
  readResponse,
  relayPartialResponse,
  StreamRelay,
  writeResponse,
} from "./response_relay.ts";
import type { CallContext } from "./call_context.ts";
import type { Target } from "../model.ts";
import {
  findBackoffMs,
  predictRateLimitDelayMs,
} from "../scheduling/target_selection.ts";
import { sleep } from "heatherarch-core";
import {
  computeRetryAfterMs,
  MAX_RATE_LIMIT_DELAY_MS,
} from "../scheduling/retry_after.ts";
import type { RejectedCall, ReturnDelay } from "../scheduling/return_times.ts";
import type { PlainPlacement } from "../scheduling/plain_call_queues.ts";
import {
  type BookedTarget,
  formatPerSecond,
  PlainSlotWait,
  type TooLate,
} from "./plain_slot_wait.ts";
import { type ResponseHead, type TargetExchange } from "./target_exchange.ts";
import {
  type AttemptResult,
  awaitAttempt,
  classifyThrown,
} from "./attempt_result.ts";
import { confirmResponseEnd, UNCONFIRMED_END } from "./end_confirmation.ts";
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

/** Shortest wait before a target that declined a call is tried again, milliseconds. */
const MIN_DECLINED_WAIT_MS = 20;

type PlainResult =
  | { readonly kind: "delivered" | "over" | "notSent" | "notRun" }
  | { readonly kind: "lost"; readonly reason: string }
  | { readonly kind: "answer"; readonly answer: BufferedResponse };

/** Serves one call of a plain service. */
export class PlainCallHandler {
  readonly #context: CallContext;
  readonly #slotWait: PlainSlotWait;
  readonly #tried = new Set<string>();
  /** Targets that did not run the call, and may be tried again. */
  readonly #declined = new Set<string>();
  /** Failure response of a target, sent to the client if there is no further attempt. */
  #failure: BufferedResponse | undefined;
  #reason = "";
  #attempts = 0;

  constructor(context: CallContext) {
    this.#context = context;
    this.#slotWait = new PlainSlotWait({ context, tried: this.#tried });
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
      await context.awaitSendable();
      if (context.hasEnded) return;
      const booked = await this.#awaitTarget();
      if (booked === undefined) return;
      const result = await this.#attemptBooked(booked);
      if (result === undefined) return;
      if (context.hasEnded || result.kind === "delivered") return;
      this.#recordResult(result);
      if (!context.mayRunAgain || context.remainingMs < MIN_ATTEMPT_MS) return;
      if (!await context.mayRetry()) return;
    }
  }

  /** Hands the call over to a peer if it could not be sent. */
  async #handOver(): Promise<HandoverResult | "kept"> {
    const context = this.#context;
    // An attempt after the failure was given up for a peer whose response has begun.
    const { hasHedge } = context.peerOffer;
    if (this.#failure !== undefined && !hasHedge) return "kept";
    if (!await context.mayPeersServe()) return "kept";
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
      // The call may have been placed right after a stall, before the target list was refreshed and the
      // client's disconnect was read.
      await context.awaitSendable();
      if (!context.admitSend()) return undefined;
      if (!context.reserve({ purpose: "run", requests: 1 })) return undefined;
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
    const { codec, workTracker, plainTimeModel } = context.dependencies;
    const { target } = booked.placement;
    const sentAtMs = context.nowMs;
    this.#tried.add(target.id);
    const exchange = context.send(
      target,
      () =>
        codec.encodeAttempt(context.call, {
          target,
          timeoutMs: context.remainingMs,
          stage: "whole",
        }),
    );
    try {
      // The booking counts as one of the runs.
      const { runs } = workTracker.getRunLoad(target.id, sentAtMs);
      const recordDuration = plainTimeModel.beginWork({
        target: target.id,
        route: context.route.name,
        runs: runs - 1,
        slots: target.slots,
      }, sentAtMs);
      const result = await awaitAttempt({
        context,
        target,
        exchange,
        stage: "whole",
        timeoutMs: this.#computeSilenceTimeoutMs(booked.placement),
        extendsWhileAlive: () => this.#slotWait.isBusy(target),
        mayGiveUp: () => this.#mayGiveUp(),
        replacement: { purpose: "run", requests: 1 },
      });
      if (result.kind === "over") return { kind: "over" };
      if (result.kind === "notSent" || result.kind === "notRun") {
        // Nothing was written as this VM had stalled; whether the target leaves or rests is asked again.
        if (result.kind === "notSent" && result.isWithheld) {
          this.#tried.delete(target.id);
        }
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
      if (isSuccessStatus(result.head.status)) recordDuration(context.nowMs);
      const read = isSuccessStatus(result.head.status)
        ? await readResponse(exchange, result.head)
        : {
          kind: "whole" as const,
          response: await this.#readFailure(exchange, result.head, target),
        };
      if (context.hasEnded) {
        exchange.abandon();
        return { kind: "over" };
      }
      this.#learnWork(booked, sentAtMs);
      if (read.kind === "partial") {
        return await this.#relayPartial(exchange, read.response, target);
      }
      if (!await confirmResponseEnd(context, target, result.head)) {
        return context.hasEnded
          ? { kind: "over" }
          : { kind: "lost", reason: UNCONFIRMED_END };
      }
      if (context.hasEnded) return { kind: "over" };
      const answer = read.response;
      if (this.#mayRetry(result.head.status)) return { kind: "answer", answer };
      this.#deliver(answer, target);
      return { kind: "delivered" };
    } catch (error) {
      return this.#endAttempt(
        classifyThrown({ context, target, exchange }, error),
      );
    }
  }

  /** Ends an attempt without a response that may be used. */
  #endAttempt(
    end: Extract<AttemptResult, { kind: "lost" | "notSent" }>,
  ): PlainResult {
    const context = this.#context;
    if (context.hasEnded) return { kind: "over" };
    if (end.kind === "notSent") {
      context.undoRun();
      return { kind: "notSent" };
    }
    if (!context.clientResponse.isHeadSent) return end;
    // What has been sent can't be continued with another response.
    context.fail("answerIncomplete", end.reason);
    return { kind: "over" };
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

  /** Whether a silent target may be given up: another one can run the call. */
  async #mayGiveUp(): Promise<boolean> {
    const context = this.#context;
    if (!context.mayRunAgain || context.remainingMs < MIN_ATTEMPT_MS) {
      return false;
    }
    const { pathMonitor } = context.dependencies;
    if (!await pathMonitor.confirmPath(context.service.name)) return false;
    return this.#slotWait.pickTarget() !== undefined;
  }

  /** Whether a retry may turn a target's failure into a success. */
  #mayRetry(status: number): boolean {
    return status >= 500 && this.#context.mayRunAgain &&
      this.#context.remainingMs >= MIN_ATTEMPT_MS;
  }

  #readFailure(
    exchange: TargetExchange,
    head: ResponseHead,
    target: Target,
  ): Promise<BufferedResponse> {
    return readFailure(head, {
      context: this.#context,
      target,
      exchange,
      isRepeatable: this.#mayRetry(head.status),
      mayGiveUp: () => this.#mayGiveUp(),
      replacement: { purpose: "run", requests: 1 },
    });
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
    const isComplete = result === "whole" &&
      await confirmResponseEnd(context, target, response.head);
    if (context.hasEnded) return { kind: "over" };
    if (!isComplete) {
      const reason = result === "whole" ? UNCONFIRMED_END : result.message;
      context.fail("answerIncomplete", reason);
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
    const { delayMs, detail } = this.#computeReturn({
      blockedMs: waitMs,
      unbookedMs: Math.max(RETRY_AFTER_MS, waitMs) * jitter,
    });
    context.refuse("noTarget", "no target accepted the call", {
      retryAfterMs: delayMs,
      detail: {
        ...detail,
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
  #computeSilenceTimeoutMs(
    { readyMs, occupiedMs }: PlainPlacement,
  ): number | undefined {
    const { route, mayRunAgain, remainingMs } = this.#context;
    if (route.kind !== "idempotent" || !mayRunAgain) return undefined;
    // Until the time of the work is known, only the assumed time counts.
    const finishMs = Math.max(readyMs, occupiedMs);
    const timeoutMs = finishMs + route.aimMs * SILENCE_TIMEOUT_AIMS;
    // Another attempt would have too little time, so this is the last one. It ends with the call.
    if (remainingMs - timeoutMs < MIN_ATTEMPT_MS) return remainingMs;
    return timeoutMs;
  }

  /** Books a target; undefined if there is none, or the call ended or was rejected. */
  async #awaitTarget(): Promise<BookedTarget | undefined> {
    for (;;) {
      const wait = await this.#slotWait.await();
      if (wait.kind === "booked") return wait.booked;
      if (wait.kind === "tooLate") this.#rejectTooLate(wait);
      if (wait.kind !== "noTarget" || this.#context.hasEnded) return undefined;
      if (!await this.#awaitRateLimit() && !await this.#awaitDeclined()) {
        return undefined;
      }
    }
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
    const { delayMs, detail } = this.#computeReturn({
      unbookedMs: computeRetryAfterMs(waitedMs, excessMs, drawUnit),
    });
    context.refuse("overloaded", "the call can't be complete in time", {
      retryAfterMs: delayMs,
      detail: {
        ...detail,
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

  #computeReturn(
    delays: Pick<RejectedCall, "blockedMs" | "unbookedMs">,
  ): ReturnDelay {
    const {
      service,
      accountName,
      returnKind,
      remainingMs,
      nowMs,
      dependencies,
    } = this.#context;
    const { returnTimes, plainCallQueues } = dependencies;
    return returnTimes.computeDelay({
      ...delays,
      service: service.name,
      account: accountName,
      kind: returnKind,
      queue: plainCallQueues.getQueue(service.name).readForReturn(),
      remainingMs,
    }, nowMs);
  }

  /**
   * Waits until a target that declined the call may have a free slot, and lets it be tried again.
   * Returns whether there is such a target and time is left.
   */
  async #awaitDeclined(): Promise<boolean> {
    const context = this.#context;
    if (this.#declined.size === 0) return false;
    if (findBackoffMs(context) !== undefined) return false;
    const workMs = this.#slotWait.predictWorkMs();
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
        if (this.#slotWait.pickTarget() !== undefined) return true;
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
}
