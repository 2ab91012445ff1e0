/**
 * Handles a generation call: one engine prefills the prompt, another takes over the KV cache,
 * decodes and streams the response. A prefill may be repeated. A run is repeated only if the
 * route's streams are resumable.
 *
 * @module
 */
import {
  readFailure,
  type RelayResult,
  StreamRelay,
  writeResponse,
} from "./response_relay.ts";
import type { CallContext, StreamPosition } from "./call_context.ts";
import { DecodeEnginePicker } from "./decode_engine_picker.ts";
import { findEngineBackoffMs } from "../scheduling/engine_selection.ts";
import { findStreamVersion, recordStreamVersion } from "./resumable_stream.ts";
import {
  computeEnginePriority,
  computeLane,
} from "../scheduling/priority_lanes.ts";
import type { EngineTraits, GenerationParams, Target } from "../model.ts";
import { sumPrefixTokens } from "../scheduling/prompt_placement.ts";
import {
  type PrefilledPrompt,
  type PrefillResult,
  PromptPrefill,
} from "./prompt_prefill.ts";
import {
  computeRetryAfterMs,
  MAX_RATE_LIMIT_DELAY_MS,
} from "../scheduling/retry_after.ts";
import { CallHandover } from "./call_handover.ts";
import {
  ExchangeError,
  type ResponseHead,
  type TargetExchange,
} from "./target_exchange.ts";
import {
  type AttemptResult,
  awaitAttempt,
  classifyThrown,
} from "./attempt_result.ts";
import { confirmResponseEnd, UNCONFIRMED_END } from "./end_confirmation.ts";
import { confirmIncarnation } from "./incarnation_check.ts";
import { runReported } from "../report_error.ts";
import { watchPathLoss } from "./path_loss_watch.ts";
import { isSuccessStatus } from "./http_status.ts";

/** Attempts of each stage for one call. */
const MAX_ROUNDS = 5;
/** Decode engines that are tried in turn for one KV cache while none takes it over. */
const MAX_DECODE_ENGINES = 4;
/** With less time left, a first token can't reach the client before the deadline, milliseconds. */
const MIN_ROUND_MS = 40;
/** A resumable run without a response head for this long is retried elsewhere, milliseconds. */
const RUN_SILENCE_TIMEOUT_MS = 900;
/** A run that goes on for this long after its first event does not crash its engine, milliseconds. */
const SOUND_RUN_MS = 1000;
/** No engine is listed with it, so a stream that an unknown version began does not go on. */
const UNKNOWN_SOFTWARE_VERSION = "";
/** Shortest `Retry-After` of a refusal, before jitter, milliseconds. */
const MIN_RETRY_AFTER_MS = 200;

/** Whether the next decode engine takes over the same KV cache. */
type DecodeResult = "done" | "useCacheAgain";
type AttemptResponse = Extract<AttemptResult, { kind: "answer" }>;
type TooLate = Extract<PrefillResult, { kind: "tooLate" }>;

/** Serves one generation call. */
export class GenerationHandler {
  readonly #context: CallContext;
  readonly #prompt: GenerationParams;
  readonly #traits: EngineTraits;
  readonly #prefill: PromptPrefill;
  readonly #relay: StreamRelay;
  readonly #decodeEngines: DecodeEnginePicker;
  #reason = "no engine accepted the call";
  /** Engine whose response is being relayed. */
  #respondingEngine: Target | undefined;
  #isResponseSuccessful = false;

  constructor(
    context: CallContext,
    prompt: GenerationParams,
    traits: EngineTraits,
  ) {
    this.#context = context;
    this.#prompt = prompt;
    this.#traits = traits;
    this.#prefill = new PromptPrefill({ context, prompt, traits });
    this.#decodeEngines = new DecodeEnginePicker({
      context,
      traits,
      minRemainingMs: MIN_ROUND_MS,
    });
    this.#relay = new StreamRelay({
      clientResponse: context.clientResponse,
      isResumable: context.route.kind === "resumableStream",
      isEventStream: true,
      eventBuffers: context.dependencies.eventBuffers,
      // A peer may have sent the beginning of the stream to the client.
      lastEventId: context.call.handover === undefined
        ? undefined
        : context.call.lastEventId,
      onFirstByte: () => this.#recordFirstByte(),
    });
    context.setStreamPosition(this.#describePosition());
  }

  /** Serves the call to its end. */
  async serve(): Promise<void> {
    try {
      await this.#serve();
    } finally {
      this.#decodeEngines.endWait();
    }
  }

  #describePosition(): StreamPosition {
    const relay = this.#relay;
    const decodeEngines = this.#decodeEngines;
    return {
      get lastEventId() {
        return relay.lastEventId;
      },
      get softwareVersion() {
        return decodeEngines.softwareVersion;
      },
      setSoftwareVersion: (version) =>
        decodeEngines.setSoftwareVersion(version),
    };
  }

  async #serve(): Promise<void> {
    if (!await this.#findSoftwareVersion()) return;
    for (let round = 0; round < MAX_ROUNDS && this.#mayContinue(); round++) {
      if (this.#context.peerOffer.hasHedge) break;
      if (round > 0 && !await this.#context.mayRetry()) break;
      if (this.#context.mustHandOver && await this.#handOver()) return;
      if (!await this.#runRound()) return;
    }
    if (await this.#handOver()) return;
    this.#conclude();
  }

  /** Prefills the prompt and decodes from it. Returns whether another round may follow. */
  async #runRound(): Promise<boolean> {
    await this.#context.awaitSendable();
    if (!this.#context.admitSend()) return false;
    if (this.#decodeEngines.pick(undefined) === undefined) {
      this.#decodeEngines.beginWait();
      if (!this.#decodeEngines.mayWait()) {
        this.#refuseNoDecodeEngine(undefined);
        return false;
      }
    }
    if (this.#endIfPrefillInBackoff()) return false;
    const prefilled = await this.#prefill.prefill(this.#relay.lastEventId);
    if (this.#context.hasEnded) return false;
    switch (prefilled.kind) {
      case "read":
        await this.#decode(prefilled.prompt);
        return true;
      case "noTarget":
        if (this.#endIfPrefillInBackoff()) return false;
        await this.#decode(undefined);
        return true;
      case "failed":
        this.#reason = prefilled.reason;
        return true;
      case "tooLate":
        this.#refuseLate(prefilled);
        return false;
      default:
        this.#conclude();
        return false;
    }
  }

  /**
   * Hands the call over to a peer if it could not be sent. `onBegun` is called when the response of a peer has
   * begun. Returns whether the call has ended.
   */
  async #handOver(onBegun?: () => void): Promise<boolean> {
    const context = this.#context;
    if (!await context.mayPeersServe()) return context.hasEnded;
    // The engine that responded last has not begun the stream, and the peer picks another one.
    this.#respondingEngine = undefined;
    const result = await new CallHandover({
      context,
      relay: this.#relay,
      onBegun,
    }).serve();
    if (result === "ended") return true;
    if (context.hasPath) context.forgetUnreachable();
    else {
      this.#reason = "neither this VM nor a peer reaches an engine";
      this.#conclude();
    }
    return context.hasEnded;
  }

  /** Whether another engine can begin the stream in time. If not, a silent one is kept as long as the call. */
  #canRunAgainInTime(): boolean {
    return this.#prefill.canPrefillInTime(this.#relay.lastEventId);
  }

  #mayContinue(): boolean {
    const { hasEnded, remainingMs, mayRunAgain } = this.#context;
    return !hasEnded && mayRunAgain && remainingMs >= MIN_ROUND_MS;
  }

  /** Runs the call on a decode engine, from a KV cache or, without one, from the prompt itself. */
  async #decode(prefilled: PrefilledPrompt | undefined): Promise<void> {
    for (let engines = 0; engines < MAX_DECODE_ENGINES; engines++) {
      const next = await this.#decodeOnce(prefilled);
      if (next !== "useCacheAgain") return;
      if (prefilled !== undefined && !await this.#keepCache(prefilled)) return;
    }
    this.#recordFailure("no engine took the KV cache over", prefilled);
  }

  /**
   * Offers the call to peers if it should be handed over. Returns whether it goes on here with its KV
   * cache, which is released only when the response of a peer, which prefills the prompt itself, has begun: a
   * peer that accepts the call may still refuse it.
   */
  async #keepCache(prefilled: PrefilledPrompt): Promise<boolean> {
    if (!this.#context.mustHandOver) return true;
    let isKept = true;
    const release = (): void => {
      if (isKept) this.#prefill.releaseCache(prefilled);
      isKept = false;
    };
    const hasEnded = await this.#handOver(release);
    if (hasEnded) release();
    return isKept;
  }

  async #decodeOnce(
    prefilled: PrefilledPrompt | undefined,
  ): Promise<DecodeResult> {
    const context = this.#context;
    const target = await this.#decodeEngines.awaitEngine(
      prefilled?.engine.availabilityZone,
    );
    if (target === undefined && !context.hasPath) {
      this.#recordFailure("path lost", prefilled);
      return "done";
    }
    if (target === undefined) {
      this.#refuseNoDecodeEngine(prefilled);
      return "done";
    }
    if (!context.admitRun()) {
      if (prefilled !== undefined) this.#prefill.releaseCache(prefilled);
      return "done";
    }
    if (!context.reserve({ purpose: "run", requests: 1 })) {
      if (prefilled !== undefined) this.#prefill.releaseCache(prefilled);
      this.#conclude();
      return "done";
    }
    const { workTracker } = context.dependencies;
    const endRun = workTracker.beginRun(target.id, this.#prompt.promptTokens);
    try {
      return await this.#attempt(target, prefilled);
    } finally {
      endRun();
    }
  }

  async #attempt(
    target: Target,
    prefilled: PrefilledPrompt | undefined,
  ): Promise<DecodeResult> {
    const context = this.#context;
    const exchange = this.#send(target, prefilled);
    try {
      this.#logResumption(target);
      const result = await awaitAttempt({
        context,
        target,
        exchange,
        stage: prefilled === undefined ? "whole" : "takeOver",
        timeoutMs: this.#getSilenceTimeoutMs(),
        mayGiveUp: () => this.#mayGiveUp(target),
        replacement: {
          purpose: "prefill",
          requests: 2,
          beginsWithPrefill: true,
        },
      });
      return await this.#handleResult(target, prefilled, exchange, result);
    } catch (error) {
      const end = classifyThrown({ context, target, exchange }, error);
      if (context.hasEnded) return "done";
      if (context.clientResponse.isHeadSent && !this.#relay.isStarted) {
        // No stream can follow the head of a failure.
        context.fail("answerIncomplete", end.reason);
        return "done";
      }
      return await this.#handleResult(target, prefilled, exchange, end);
    }
  }

  #send(
    target: Target,
    prefilled: PrefilledPrompt | undefined,
  ): TargetExchange {
    const context = this.#context;
    return context.send(
      target,
      () =>
        context.dependencies.codec.encodeAttempt(context.call, {
          target,
          timeoutMs: context.remainingMs,
          stage: prefilled === undefined ? "whole" : "takeOver",
          kvSource: prefilled?.kvSource,
          enginePriority: computeEnginePriority(
            computeLane(context.priority),
          ),
          lastEventId: this.#relay.lastEventId,
        }),
    );
  }

  /** Logs which software version continues a stream, and which attempt began it. */
  #logResumption({ id, softwareVersion }: Target): void {
    const { call, dependencies } = this.#context;
    const lastEventId = this.#relay.lastEventId ?? call.lastEventId;
    if (lastEventId === undefined) return;
    dependencies.log.write("info", "streamResumed", {
      call: call.id,
      begunBy: call.resumedAttemptId ?? call.id,
      lastEventId,
      target: id,
      softwareVersion,
    });
  }

  async #handleResult(
    target: Target,
    prefilled: PrefilledPrompt | undefined,
    exchange: TargetExchange,
    result: AttemptResult,
  ): Promise<DecodeResult> {
    switch (result.kind) {
      case "over":
        break;
      case "answer":
        if (prefilled !== undefined) this.#prefill.recordCopy(target);
        await this.#handleResponse(target, exchange, result);
        break;
      case "lost":
        this.#decodeEngines.addTried(target.id);
        this.#recordFailure(result.reason);
        break;
      case "notRun":
        this.#context.undoRun();
        this.#decodeEngines.addTried(target.id);
        this.#reason = `decode failed: ${result.reason}`;
        if (result.refusal === "declined" && this.#hasFreeSlot(target)) {
          this.#recordLostCache(prefilled);
        } else if (prefilled !== undefined && this.#mayContinue()) {
          return "useCacheAgain";
        }
        this.#recordFailure(result.reason, prefilled);
        break;
      case "notSent":
        this.#context.undoRun();
        this.#decodeEngines.addTried(target.id);
        this.#reason = `decode failed: ${result.reason}`;
        if (prefilled !== undefined && this.#mayContinue()) {
          return "useCacheAgain";
        }
        this.#recordFailure(result.reason, prefilled);
        break;
    }
    return "done";
  }

  #hasFreeSlot({ id, slots }: Target): boolean {
    const { dependencies, nowMs } = this.#context;
    return dependencies.workTracker.getRunLoad(id, nowMs).runs < slots;
  }

  /**
   * Records that a decode engine with free slots could not take a KV cache over. The engine that holds
   * it has probably dropped it, so the failure counts against that engine.
   */
  #recordLostCache(prefilled: PrefilledPrompt | undefined): void {
    if (prefilled === undefined) return;
    const { dependencies, nowMs } = this.#context;
    const { id } = prefilled.engine;
    dependencies.health.recordOutcome(id, "failed", nowMs);
  }

  async #handleResponse(
    target: Target,
    exchange: TargetExchange,
    { head, metadata }: AttemptResponse,
  ): Promise<void> {
    const isSuccess = isSuccessStatus(head.status);
    const fault = await this.#findFault(target, exchange, head, metadata);
    if (this.#context.hasEnded) return;
    if (fault !== undefined) {
      exchange.abort(fault);
      this.#decodeEngines.addTried(target.id);
      return this.#recordFailure(fault);
    }
    this.#respondingEngine = target;
    this.#isResponseSuccessful = isSuccess;
    if (!isSuccess) return await this.#deliverFailure(target, exchange, head);
    const stopWatch = this.#resumeIfPathLost(target, exchange);
    let relayed: RelayResult;
    try {
      relayed = await this.#relay.relay(exchange, head);
    } finally {
      stopWatch();
    }
    const isComplete = relayed !== "whole" ||
      await confirmResponseEnd(this.#context, target, head);
    this.#handleRelayResult(
      target,
      head.status,
      isComplete ? relayed : new ExchangeError("lost", UNCONFIRMED_END),
    );
  }

  /** Delivers an engine's failure, or records why it is not passed on. */
  async #deliverFailure(
    target: Target,
    exchange: TargetExchange,
    head: ResponseHead,
  ): Promise<void> {
    const context = this.#context;
    try {
      const response = await readFailure(head, {
        context,
        target,
        exchange,
        isRepeatable: this.#mayContinue(),
        mayGiveUp: () => this.#mayGiveUp(target),
        replacement: {
          purpose: "prefill",
          requests: 2,
          beginsWithPrefill: true,
        },
      });
      if (!await confirmResponseEnd(context, target, head)) {
        throw new ExchangeError("lost", UNCONFIRMED_END);
      }
      if (context.hasEnded) return;
      this.#recordFirstByte();
      writeResponse(context.clientResponse, context.call.method, response);
      context.finish("delivered", { status: head.status, target: target.id });
    } catch (error) {
      if (!(error instanceof ExchangeError)) throw error;
      this.#handleRelayResult(target, head.status, error);
    }
  }

  /** Returns why a response may not be relayed; undefined if it may. */
  async #findFault(
    target: Target,
    exchange: TargetExchange,
    { status }: AttemptResponse["head"],
    { signed }: AttemptResponse["metadata"],
  ): Promise<string | undefined> {
    if (!isSuccessStatus(status)) {
      return this.#relay.isStarted
        ? `the stream could not be resumed: status ${status}`
        : undefined;
    }
    if (!signed) return "successful response without a signature";
    if (this.#context.route.kind !== "resumableStream") return undefined;
    const isListed = await confirmIncarnation(this.#context, target, exchange, {
      canGoElsewhere: () => this.#canRunAgainInTime(),
    });
    return isListed ? undefined : "the engine may be another incarnation";
  }

  /** Has a peer resume a stream if the path is lost. Returns a function that stops this. */
  #resumeIfPathLost(target: Target, exchange: TargetExchange): () => void {
    const { route } = this.#context;
    if (route.kind !== "resumableStream") return () => undefined;
    return watchPathLoss({ context: this.#context, target, exchange });
  }

  /** Whether a silent engine may be given up: another one can run the call. */
  async #mayGiveUp(target: Target): Promise<boolean> {
    const context = this.#context;
    if (!this.#mayContinue()) return false;
    const { pathMonitor } = context.dependencies;
    if (!await pathMonitor.confirmPath(context.service.name)) return false;
    return this.#decodeEngines.hasOther(target.id) && this.#canRunAgainInTime();
  }

  #handleRelayResult(
    target: Target,
    status: number,
    result: RelayResult,
  ): void {
    const context = this.#context;
    if (context.hasEnded) return;
    if (result === "whole") {
      if (isSuccessStatus(status) && this.#relay.isStarted) {
        context.recordGenerated();
      }
      context.clientResponse.end();
      context.finish("delivered", { status, target: target.id });
      return;
    }
    if (result.fault === "lost") context.recordLoss("connection");
    this.#decodeEngines.addTried(target.id);
    context.dependencies.health.recordOutcome(
      target.id,
      "failed",
      context.nowMs,
    );
    context.dependencies.log.write("info", "streamBroken", {
      call: context.call.id,
      target: target.id,
      softwareVersion: target.softwareVersion,
      reason: result.message,
      lastEventId: this.#relay.lastEventId,
      mayResume: context.mayRunAgain,
    });
    this.#recordFailure(`stream interrupted: ${result.message}`);
  }

  /** Records a round without a response. The next round prefills the prompt again. */
  #recordFailure(reason: string, unused?: PrefilledPrompt): void {
    this.#reason = `decode failed: ${reason}`;
    if (unused !== undefined) this.#prefill.releaseCache(unused);
  }

  #conclude(): void {
    const call = this.#context;
    if (call.hasEnded) return;
    if (call.mayHaveRun) return call.fail("answerIncomplete", this.#reason);
    if (this.#endIfDecodeInBackoff() || this.#endIfPrefillInBackoff()) return;
    call.refuse("noTarget", this.#reason, {
      retryAfterMs: MIN_RETRY_AFTER_MS * (1 + call.dependencies.drawUnit()),
      detail: { tried: this.#decodeEngines.listTried() },
    });
  }

  #endIfDecodeInBackoff(): boolean {
    return this.#endIfInBackoff(this.#decodeEngines.findBackoffMs());
  }

  #endIfPrefillInBackoff(): boolean {
    return this.#endIfInBackoff(
      findEngineBackoffMs(this.#context, { phase: "reading" }),
    );
  }

  /** Ends the call if all engines are in backoff, of which the first one ends in `backoffMs`. */
  #endIfInBackoff(backoffMs: number | undefined): boolean {
    const call = this.#context;
    if (backoffMs === undefined) return false;
    if (call.mayHaveRun) call.fail("answerIncomplete", "all engines back off");
    else call.refuseForBackoff(backoffMs);
    return true;
  }

  /** Ends a call for which there is no decode engine and none is expected soon enough. */
  #refuseNoDecodeEngine(prefilled: PrefilledPrompt | undefined): void {
    const context = this.#context;
    if (prefilled !== undefined) this.#prefill.releaseCache(prefilled);
    if (context.hasEnded) return;
    if (this.#endIfDecodeInBackoff()) return;
    const { softwareVersion } = this.#decodeEngines;
    const reason = softwareVersion === undefined
      ? "no decode engine"
      : `no decode engine of ${softwareVersion}, which began the stream`;
    if (context.mayHaveRun) return context.fail("answerIncomplete", reason);
    const decodeReadyMs = this.#decodeEngines.predictReadyMs();
    const waitMs = decodeReadyMs === undefined
      ? this.#traits.roleChangeMs
      : this.#decodeEngines.predictRoleChangeMs() ??
        Math.min(decodeReadyMs, MAX_RATE_LIMIT_DELAY_MS);
    const jitter = 1 + context.dependencies.drawUnit() / 4;
    context.refuse("noTarget", reason, {
      retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, waitMs) * jitter,
      detail: {
        tried: this.#decodeEngines.listTried(),
        comesInMs: decodeReadyMs,
      },
    });
  }

  /** Ends a call immediately if its prompt can't be prefilled before its deadline. */
  #refuseLate(tooLate: TooLate): void {
    const { placement, forecast, readyMs, readyDeadlineMs } = tooLate;
    const context = this.#context;
    if (context.mayHaveRun) {
      return context.fail(
        "answerIncomplete",
        "no time left to resume at another engine",
      );
    }
    const waitedMs = context.nowMs - context.call.arrivedAtMs;
    const excessMs = readyMs - context.route.aimMs;
    const { drawUnit, returnTimes, prefillQueue } = context.dependencies;
    const { delayMs, detail } = returnTimes.computeDelay({
      service: context.service.name,
      account: context.accountName,
      kind: context.returnKind,
      queue: prefillQueue.readForReturn(),
      workMs: placement?.costMs,
      remainingMs: context.remainingMs,
      unbookedMs: computeRetryAfterMs(waitedMs, excessMs, drawUnit),
    }, context.nowMs);
    context.refuse(
      "overloaded",
      "the prompt can't be prefilled in the time left",
      {
        retryAfterMs: delayMs,
        detail: {
          ...detail,
          ...this.#describePlacement(placement),
          tokens: this.#prompt.promptTokens,
          sharedTokens: sumPrefixTokens(this.#prompt),
          rank: forecast.rank,
          callsAhead: forecast.callsAhead,
          waitedMs: Math.round(waitedMs),
          readyMs: Math.round(readyMs),
          readInMs: Math.round(readyDeadlineMs - context.nowMs),
          remainingMs: Math.round(context.remainingMs),
        },
      },
    );
  }

  #describePlacement(placement: TooLate["placement"]): Record<string, unknown> {
    if (placement === undefined) return {};
    const { target, isCold, costMs, unloadedMs, backlogMs } = placement;
    const { prefillTimeModel } = this.#context.dependencies;
    return {
      target: target.id,
      isCold,
      factor: Number(prefillTimeModel.getSlowdown(target.id).toFixed(2)),
      costMs: Math.round(costMs),
      aloneMs: Math.round(unloadedMs),
      backlogMs: Math.round(backlogMs),
    };
  }

  #getSilenceTimeoutMs(): number | undefined {
    const { kind, maxTargets } = this.#context.route;
    return kind === "resumableStream" && maxTargets > 1
      ? RUN_SILENCE_TIMEOUT_MS
      : undefined;
  }

  /**
   * Finds out at which software version a stream has to go on that the client, or the peer that
   * handed the call over, has begun to receive. Returns false if the call has ended, as it can't go on.
   */
  async #findSoftwareVersion(): Promise<boolean> {
    const context = this.#context;
    const result = await findStreamVersion(context);
    if (context.hasEnded) return false;
    if (result.kind === "required") {
      this.#decodeEngines.setSoftwareVersion(result.softwareVersion);
    }
    if (result.kind !== "unknown") return true;
    const reason = "it is not known which software version began the stream";
    if (context.mayHaveRun) context.fail("answerIncomplete", reason);
    else {
      const jitter = 1 + context.dependencies.drawUnit();
      const retryAfterMs = MIN_RETRY_AFTER_MS * jitter;
      context.refuse("noTarget", reason, { retryAfterMs });
    }
    return false;
  }

  /** Makes the stream go on only at engines of the software version that begins it. */
  #recordSoftwareVersion(): void {
    const engine = this.#respondingEngine;
    if (engine === undefined) return;
    recordStreamVersion(this.#context, engine);
    this.#decodeEngines.setSoftwareVersion(
      engine.softwareVersion ?? UNKNOWN_SOFTWARE_VERSION,
    );
  }

  /** An engine that still writes some time after the first event does not crash on the prompt. */
  #recordGeneratedSoon(): void {
    if (!this.#isResponseSuccessful) return;
    setTimeout(() => {
      if (this.#context.hasEnded) return;
      const record = (): void => this.#context.recordGenerated();
      runReported(this.#context.dependencies, "watch", record);
    }, SOUND_RUN_MS).unref();
  }

  #recordFirstByte(): void {
    const context = this.#context;
    this.#recordSoftwareVersion();
    this.#recordGeneratedSoon();
    context.recordUsage();
    const tookMs = context.nowMs - context.call.arrivedAtMs;
    context.dependencies.metrics.firstByte.observe(
      { kind: context.route.kind },
      tookMs / 1000,
    );
    context.dependencies.log.write("debug", "firstByte", {
      call: context.call.id,
      tookMs: Math.round(tookMs),
      aimMs: context.route.aimMs,
    });
  }
}
