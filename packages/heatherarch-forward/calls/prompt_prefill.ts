/**
 * Having a prompt read apart: waiting for an engine, sending the reading, and noting what it tells
 * of engines and their caches. A reading may be repeated.
 *
 * @module
 */
import type { CallContext } from "./call_context.ts";
import { computeWaitLimits } from "../scheduling/caller_timeout.ts";
import { listAvailableEngines } from "../scheduling/engine_selection.ts";
import {
  computeEnginePriority,
  computeLane,
} from "../scheduling/priority_lanes.ts";
import type { EngineTraits, GenerationParams, Target } from "../model.ts";
import type { KvHandle } from "../ports.ts";
import { findHolders } from "../state/prefix_holders.ts";
import {
  type PromptPlacement,
  sumPrefixTokens,
} from "../scheduling/prompt_placement.ts";
import type {
  LanePlacement,
  PrefillOutcome,
} from "../scheduling/prefill_queue.ts";
import { ExchangeError, type TargetExchange } from "./target_exchange.ts";
import { awaitAttempt, isSuccessStatus } from "./attempt_result.ts";

/** From the read prompt to the first token at the client: two hops, a transfer, a step. */
const FIRST_TOKEN_MS = 35;
/** A reading is given up after this many times its predicted time, and the slack. */
const PREFILL_TIMEOUT_FACTOR = 3;
const PREFILL_TIMEOUT_SLACK_MS = 500;
/** An answer is overdue when it comes this much later than latency and reading say. */
const RESPONSE_SLACK_MS = 10;
/**
 * Share of the reading engines that read for late calls at a time, one at least: a long prompt
 * that is late anyway holds an engine for up to a second.
 */
const LATE_PREFILL_SHARE = 0.25;
/** Longest answer to a reading; it holds a handle and two numbers. */
const MAX_RESPONSE_BYTES = 64 * 1024;
/** A prompt that an engine has read, and how to take its cache over. */
export interface PrefilledPrompt {
  readonly engine: Target;
  readonly kvSource: KvHandle;
}

/** How an attempt to have a prompt read ended. */
export type PrefillResult =
  | { readonly kind: "read"; readonly prompt: PrefilledPrompt }
  /** No engine reads prompts apart now. */
  | { readonly kind: "noReader" }
  /** No engine can be done with it in the time that the call has left. */
  | Extract<PrefillOutcome, { kind: "tooLate" }>
  /** The fleet's allowance for further tries is spent. */
  | { readonly kind: "noAllowance" }
  | { readonly kind: "failed"; readonly reason: string }
  /** The call ended meanwhile. */
  | { readonly kind: "over" };

/** A booked reading that is about to be sent. */
interface BookedPrefill {
  readonly kind: "turn";
  readonly placed: LanePlacement;
  readonly startedAtMs: number;
  /** Ends the booking. */
  readonly endPrefill: () => void;
}

/** Options of {@linkcode PromptPrefill}. */
export interface PromptPrefillOptions {
  readonly context: CallContext;
  readonly prompt: GenerationParams;
  readonly traits: EngineTraits;
}

/** Readings of one call's prompt. */
export class PromptPrefill {
  readonly #context: CallContext;
  readonly #prompt: GenerationParams;
  readonly #traits: EngineTraits;
  /** Key of the prompt's beginning; undefined where it is short. */
  readonly #prefixKey: string | undefined;
  readonly #tried = new Set<string>();
  /** An earlier reading reached an engine: the next one is a further try. */
  #isRetry = false;

  constructor(options: PromptPrefillOptions) {
    this.#context = options.context;
    this.#prompt = options.prompt;
    this.#traits = options.traits;
    this.#prefixKey = options.context.dependencies.placer.findPrefixKey(
      options.prompt,
    );
  }

  /** Whether a next send to an engine repeats one that reached an engine. */
  get isRetry(): boolean {
    return this.#isRetry;
  }

  /** The call has been tried before, beyond readings. */
  markAsRetry(): void {
    this.#isRetry = true;
  }

  /** Has the prompt read by the engine that is soonest done with it. */
  async prefill(lastEventId: string | undefined): Promise<PrefillResult> {
    const booking = await this.#awaitBooking(lastEventId !== undefined);
    if (booking.kind !== "turn") return booking;
    const { placed, startedAtMs, endPrefill } = booking;
    const { placement } = placed;
    const context = this.#context;
    try {
      // The prompt may have been placed right after a standstill, before the list was known.
      await context.awaitTargetList();
      if (context.hasEnded) return { kind: "over" };
      if (this.#isRetry && !context.takeRetry()) return { kind: "noAllowance" };
      const exchange = this.#send(placed, lastEventId);
      const source = await this.#awaitHandle(placement, exchange);
      if ("kind" in source) return source;
      this.#recordPrefill(placed, startedAtMs);
      return this.#deliver({ engine: placement.target, kvSource: source });
    } finally {
      endPrefill();
    }
  }

  /** Frees a cache that nobody will take over. */
  releaseCache({ engine, kvSource }: PrefilledPrompt): void {
    const { connections, codec, directory, log } = this.#context.dependencies;
    if (directory.findTarget(engine.id) === undefined) return;
    connections.send(
      engine,
      codec.encodeHandleRelease(kvSource.handle),
      "release",
    )
      .readBody(MAX_RESPONSE_BYTES)
      .catch((error: Error) =>
        // It lapses by itself after some seconds.
        log.write("debug", "handleNotFreed", {
          call: this.#context.call.id,
          target: engine.id,
          reason: error.message,
        })
      );
  }

  #send(
    { placement, lane }: LanePlacement,
    lastEventId: string | undefined,
  ): TargetExchange {
    const context = this.#context;
    const { target, fetchFrom } = placement;
    const request = context.dependencies.codec.encodeAttempt(context.call, {
      target,
      timeoutMs: context.remainingMs,
      stage: "readPrompt",
      fetchFrom: fetchFrom?.address,
      enginePriority: computeEnginePriority(lane),
      lastEventId,
    });
    return context.send(target, request);
  }

  /** The handle of the cache, or why there is none. */
  async #awaitHandle(
    { target, readyMs }: PromptPlacement,
    exchange: TargetExchange,
  ): Promise<KvHandle | PrefillResult> {
    const result = await awaitAttempt({
      context: this.#context,
      target,
      exchange,
      stage: "readPrompt",
      timeoutMs: readyMs * PREFILL_TIMEOUT_FACTOR + PREFILL_TIMEOUT_SLACK_MS,
      extendsWhileAlive: true,
    });
    if (result.kind === "over") return { kind: "over" };
    if (result.kind !== "answer") {
      return this.#recordFailure(
        target,
        result.reason,
        result.kind !== "notSent",
      );
    }
    try {
      const body = await exchange.readBody(MAX_RESPONSE_BYTES);
      const { status } = result.head;
      const handle = isSuccessStatus(status)
        ? this.#context.dependencies.codec.decodeKvHandle(body)
        : undefined;
      if (handle !== undefined) return { address: target.address, handle };
      return this.#recordFailure(target, `status ${status}`, true);
    } catch (error) {
      if (!(error instanceof ExchangeError)) throw error;
      return this.#recordFailure(target, error.message, true);
    }
  }

  /** Hands a read prompt over, unless its call has ended. */
  #deliver(prompt: PrefilledPrompt): PrefillResult {
    if (!this.#context.hasEnded) return { kind: "read", prompt };
    this.releaseCache(prompt);
    return { kind: "over" };
  }

  #recordFailure(
    target: Target,
    reason: string,
    isSent: boolean,
  ): PrefillResult {
    this.#tried.add(target.id);
    if (isSent) this.#isRetry = true;
    if (this.#prefixKey !== undefined) {
      this.#context.dependencies.prefixIndex.forgetHolder(
        this.#prefixKey,
        target.id,
      );
    }
    return { kind: "failed", reason: `prompt not read: ${reason}` };
  }

  /** Waits until an engine is about to be free, and books the reading there. */
  #awaitBooking(isResumed: boolean): Promise<BookedPrefill | PrefillResult> {
    const context = this.#context;
    const { prefillQueue, prefillTimeModel } = context.dependencies;
    const { aimMs, priority } = context.route;
    const { waitStartedAtMs, timeoutAtMs } = computeWaitLimits({
      arrivedAtMs: context.call.arrivedAtMs,
      deadlineAtMs: context.deadlineAtMs,
      aimMs,
      ...(isResumed ? { interruptedAtMs: context.nowMs } : {}),
    });
    return new Promise((resolve) => {
      const cancel = prefillQueue.enqueue({
        lane: computeLane(priority),
        kind: context.route.name,
        tokens: this.#prompt.promptTokens,
        waitStartedAtMs,
        aimMs,
        timeoutAtMs,
        firstTokenDelayMs: FIRST_TOKEN_MS + prefillTimeModel.latencyMs,
        findPlacement: () => this.#findPlacement(),
        mayPrefillLate: () => this.#mayPrefillLate(),
        onOutcome: (verdict) =>
          resolve(
            verdict.kind === "placed"
              ? this.#beginPrefill(verdict.placed)
              : verdict,
          ),
      });
      void context.ended.then(() => {
        cancel();
        resolve({ kind: "over" });
      });
    });
  }

  #beginPrefill(placed: LanePlacement): BookedPrefill {
    const { placement: { target, costMs }, lane } = placed;
    const { workTracker, prefillTimeModel, metrics } =
      this.#context.dependencies;
    const startedAtMs = this.#context.nowMs;
    const waitedMs = startedAtMs - this.#context.call.arrivedAtMs;
    metrics.readWait.observe({ lane }, waitedMs / 1000);
    this.#recordHolder(target, "reading");
    const latencyMs = prefillTimeModel.latencyMs + RESPONSE_SLACK_MS;
    const read = { costMs, lane, latencyMs };
    const endPrefill = workTracker.beginPrefill(target.id, read, startedAtMs);
    return { kind: "turn", placed, startedAtMs, endPrefill };
  }

  /** Late prompts, long ones above all, keep engines from calls that can be on time. */
  #mayPrefillLate(): boolean {
    const { workTracker } = this.#context.dependencies;
    const nowMs = this.#context.nowMs;
    const prefillEngines = listAvailableEngines(
      this.#context,
      "reading",
      this.#tried,
    );
    const busy = prefillEngines.filter(({ id }) =>
      workTracker.hasLatePrefill(id, nowMs)
    );
    return busy.length <
      Math.max(1, Math.floor(prefillEngines.length * LATE_PREFILL_SHARE));
  }

  /** The engine that would read the prompt soonest now. */
  #findPlacement(): PromptPlacement | undefined {
    const context = this.#context;
    const { prefillCandidateCache, placer, engineJitter } =
      context.dependencies;
    const nowMs = context.nowMs;
    const candidates = prefillCandidateCache.listCandidates(
      context,
      this.#tried,
    );
    const prefillEngines = prefillCandidateCache.listPrefillEngines(context);
    const holders = this.#prefixKey === undefined
      ? { prefixHolders: [], prefixSources: [] }
      : findHolders(
        context.dependencies,
        this.#prefixKey,
        prefillEngines,
        this.#traits,
        nowMs,
      );
    return placer.pickEngine(this.#prompt, {
      candidates,
      prefillEngines,
      ...holders,
      traits: this.#traits,
      drawJitterMs: (target) => engineJitter.drawMs(target),
    });
  }

  #recordHolder(target: Target, state: "reading" | "read"): void {
    if (this.#prefixKey === undefined) return;
    const { prefixIndex } = this.#context.dependencies;
    prefixIndex.recordHolder(
      this.#prefixKey,
      target.id,
      state,
      this.#context.nowMs,
    );
  }

  /** Notes who holds the beginning now, and how fast the engine was. */
  #recordPrefill(
    { placement, lane }: LanePlacement,
    startedAtMs: number,
  ): void {
    const { prefillTimeModel, retention, log } = this.#context.dependencies;
    const {
      target,
      costMs,
      unloadedMs,
      backlogMs,
      isCold,
      fetchFrom,
    } = placement;
    const nowMs = this.#context.nowMs;
    const tookMs = nowMs - startedAtMs;
    this.#recordHolder(target, "read");
    // Of a long prompt it is not known how much of it the engine held.
    if (this.#prefixKey === undefined) {
      prefillTimeModel.learn(target.id, { costMs, backlogMs, tookMs });
    } else {
      prefillTimeModel.learnUnloaded(target.id, {
        unloadedMs,
        backlogMs,
        tookMs,
      });
    }
    const { promptTokens } = this.#prompt;
    const isHeld = !isCold && fetchFrom === undefined;
    const heldTokens = isHeld ? sumPrefixTokens(this.#prompt) : 0;
    retention.recordPrefill(promptTokens - heldTokens, nowMs);
    log.write("info", "promptRead", {
      call: this.#context.call.id,
      target: target.id,
      route: this.#context.route.name,
      tokens: promptTokens,
      sharedTokens: sumPrefixTokens(this.#prompt),
      lane,
      isCold,
      fetchFrom: fetchFrom?.id,
      waitedMs: Math.round(startedAtMs - this.#context.call.arrivedAtMs),
      backlogMs: Math.round(backlogMs),
      costMs: Math.round(costMs),
      aloneMs: Math.round(unloadedMs),
      tookMs: Math.round(tookMs),
      factor: Number(prefillTimeModel.getSlowdown(target.id).toFixed(2)),
      latencyMs: Math.round(prefillTimeModel.latencyMs),
    });
  }
}
