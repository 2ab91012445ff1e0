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
import { MAX_RATE_LIMIT_DELAY_MS } from "../scheduling/retry_after.ts";
import { ExchangeError, type TargetExchange } from "./target_exchange.ts";
import { awaitAttempt } from "./attempt_result.ts";
import { isSuccessStatus } from "./http_status.ts";
import { CallHandover, type HandoverResult } from "./call_handover.ts";

/** A retry is useless with less time left than this, milliseconds. */
const MIN_ATTEMPT_MS = 30;
/** Bounds the attempts that reach no target, which cost no retry budget. */
const MAX_ATTEMPTS = 6;
/** If the call may be repeated, a silent target is given up after this many times `aimMs`. */
const SILENCE_TIMEOUT_AIMS = 1;
/** `Retry-After` of a refusal, milliseconds. Jitter adds up to the same again. */
const RETRY_AFTER_MS = 250;
/** Interval at which a waiting call checks for room in a rate limit, milliseconds. */
const RATE_LIMIT_POLL_MS = 40;

type PlainResult =
  | { readonly kind: "delivered" | "over" | "notSent" | "notRun" }
  | { readonly kind: "lost"; readonly reason: string }
  | { readonly kind: "answer"; readonly answer: BufferedResponse };

/** Serves one call of a plain service. */
export class PlainCallHandler {
  readonly #context: CallContext;
  readonly #tried = new Set<string>();
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
      const target = await this.#awaitTarget();
      if (context.hasEnded || target === undefined) return;
      if (this.#isRetry && !context.takeRetry()) return;
      const result = await this.#attempt(target);
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

  async #attempt(target: Target): Promise<PlainResult> {
    const context = this.#context;
    const { codec, workTracker } = context.dependencies;
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
    const endRun = workTracker.beginRun(target.id, 0);
    try {
      const result = await awaitAttempt({
        context,
        target,
        exchange,
        stage: "whole",
        timeoutMs: this.#getSilenceTimeoutMs(),
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
    } finally {
      endRun();
    }
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
    const { delayMs, detail } = context.dependencies.returnTimes.computeDelay({
      service: context.service.name,
      kind: context.returnKind,
      remainingMs: context.remainingMs,
      blockedMs: waitMs,
      unbookedMs: Math.max(RETRY_AFTER_MS, waitMs) * jitter,
    }, context.nowMs);
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

  #getSilenceTimeoutMs(): number | undefined {
    const { route, mayRunAgain } = this.#context;
    if (route.kind !== "idempotent" || !mayRunAgain) return undefined;
    return route.aimMs * SILENCE_TIMEOUT_AIMS;
  }

  /**
   * Returns a target. Waits while rate limits keep all targets from taking the call but will not do
   * so until its latency objective is missed.
   */
  async #awaitTarget(): Promise<Target | undefined> {
    const target = this.#pickTarget();
    if (target !== undefined) return target;
    const context = this.#context;
    const endWait = context.dependencies.rateLimits.beginWait(
      context.service.name,
    );
    try {
      while (!context.hasEnded && this.#mayWait()) {
        await sleep(RATE_LIMIT_POLL_MS);
        const picked = this.#pickTarget();
        if (picked !== undefined) return picked;
      }
      return undefined;
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
