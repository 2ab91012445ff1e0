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
const MAX_HANDLE_BYTES = 64 * 1024;
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
  readonly run: CallContext;
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
    this.#context = options.run;
    this.#prompt = options.prompt;
    this.#traits = options.traits;
    this.#prefixKey = options.run.dependencies.placer.findPrefixKey(
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
    const { placed, startedAtMs, endPrefill: endPrefill } = booking;
    const { placement } = placed;
    const context = this.#context;
    try {
      // The prompt may have been placed right after a standstill, before the list was known.
      await context.awaitTargetList();
      if (context.hasEnded) return { kind: "over" };
      if (this.#isRetry && !context.spendRetry()) {
        return { kind: "noAllowance" };
      }
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
  releaseCache({ engine: by, kvSource: source }: PrefilledPrompt): void {
    const { connections, codec, directory, log } = this.#context.dependencies;
    if (directory.findTarget(by.id) === undefined) return;
    connections.send(by, codec.encodeHandleRelease(source.handle), "release")
      .readBody(MAX_HANDLE_BYTES)
      .catch((error: Error) =>
        // It lapses by itself after some seconds.
        log.write("debug", "handleNotFreed", {
          call: this.#context.call.id,
          target: by.id,
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
      run: this.#context,
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
      const body = await exchange.readBody(MAX_HANDLE_BYTES);
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
    const { prefillQueue: readQueue, prefillTimeModel: readModel } =
      context.dependencies;
    const { aimMs, priority } = context.route;
    const { waitStartedAtMs: sinceMs, timeoutAtMs: leavesAtMs } =
      computeWaitLimits({
        arrivedAtMs: context.call.arrivedAtMs,
        deadlineAtMs: context.deadlineAtMs,
        aimMs,
        ...(isResumed ? { interruptedAtMs: context.nowMs } : {}),
      });
    return new Promise((resolve) => {
      const cancel = readQueue.enqueue({
        lane: computeLane(priority),
        kind: context.route.name,
        tokens: this.#prompt.promptTokens,
        waitStartedAtMs: sinceMs,
        aimMs,
        timeoutAtMs: leavesAtMs,
        firstTokenDelayMs: FIRST_TOKEN_MS + readModel.latencyMs,
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
    const { workTracker: ledger, prefillTimeModel: readModel, metrics } =
      this.#context.dependencies;
    const startedAtMs = this.#context.nowMs;
    const waitedMs = startedAtMs - this.#context.call.arrivedAtMs;
    metrics.readWait.observe({ lane }, waitedMs / 1000);
    this.#recordHolder(target, "reading");
    const latencyMs = readModel.latencyMs + RESPONSE_SLACK_MS;
    const read = { costMs, lane, latencyMs };
    const endPrefill = ledger.beginPrefill(target.id, read, startedAtMs);
    return { kind: "turn", placed, startedAtMs, endPrefill: endPrefill };
  }

  /** Late prompts, long ones above all, keep engines from calls that can be on time. */
  #mayPrefillLate(): boolean {
    const { workTracker: ledger } = this.#context.dependencies;
    const nowMs = this.#context.nowMs;
    const prefillEngines = listAvailableEngines(
      this.#context,
      "reading",
      this.#tried,
    );
    const busy = prefillEngines.filter(({ id }) =>
      ledger.hasLatePrefill(id, nowMs)
    );
    return busy.length <
      Math.max(1, Math.floor(prefillEngines.length * LATE_PREFILL_SHARE));
  }

  /** The engine that would read the prompt soonest now. */
  #findPlacement(): PromptPlacement | undefined {
    const context = this.#context;
    const { prefillCandidateCache: readerBoard, placer, engineJitter: spread } =
      context.dependencies;
    const nowMs = context.nowMs;
    const candidates = readerBoard.listCandidates(context, this.#tried);
    const prefillEngines = readerBoard.listPrefillEngines(context);
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
      prefillEngines: prefillEngines,
      ...holders,
      traits: this.#traits,
      drawJitterMs: (target) => spread.drawMs(target),
    });
  }

  #recordHolder(target: Target, state: "reading" | "read"): void {
    if (this.#prefixKey === undefined) return;
    const { prefixIndex: prompts } = this.#context.dependencies;
    prompts.recordHolder(
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
    const { prefillTimeModel: readModel, retention, log } =
      this.#context.dependencies;
    const {
      target,
      costMs,
      unloadedMs: aloneMs,
      backlogMs,
      isCold,
      fetchFrom,
    } = placement;
    const nowMs = this.#context.nowMs;
    const tookMs = nowMs - startedAtMs;
    this.#recordHolder(target, "read");
    // Of a long prompt it is not known how much of it the engine held.
    if (this.#prefixKey === undefined) {
      readModel.learn(target.id, { costMs, backlogMs, tookMs });
    } else {
      readModel.learnUnloaded(target.id, {
        unloadedMs: aloneMs,
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
      aloneMs: Math.round(aloneMs),
      tookMs: Math.round(tookMs),
      factor: Number(readModel.getSlowdown(target.id).toFixed(2)),
      latencyMs: Math.round(readModel.latencyMs),
    });
  }
}
