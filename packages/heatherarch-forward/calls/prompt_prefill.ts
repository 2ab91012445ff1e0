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
const READ_PATIENCE = 3;
const READ_SLACK_MS = 500;
/** An answer is overdue when it comes this much later than latency and reading say. */
const ANSWER_SLACK_MS = 10;
/**
 * Share of the reading engines that read for late calls at a time, one at least: a long prompt
 * that is late anyway holds an engine for up to a second.
 */
const LATE_SHARE = 0.25;
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
interface ReadTurn {
  readonly kind: "turn";
  readonly placed: LanePlacement;
  readonly startedAtMs: number;
  /** Ends the booking. */
  readonly endRead: () => void;
}

/** Options of {@linkcode PromptPrefill}. */
export interface PromptPrefillOptions {
  readonly run: CallContext;
  readonly prompt: GenerationParams;
  readonly traits: EngineTraits;
}

/** Readings of one call's prompt. */
export class PromptPrefill {
  readonly #run: CallContext;
  readonly #prompt: GenerationParams;
  readonly #traits: EngineTraits;
  /** Key of the prompt's beginning; undefined where it is short. */
  readonly #key: string | undefined;
  readonly #tried = new Set<string>();
  /** An earlier reading reached an engine: the next one is a further try. */
  #isFurther = false;

  constructor(options: PromptPrefillOptions) {
    this.#run = options.run;
    this.#prompt = options.prompt;
    this.#traits = options.traits;
    this.#key = options.run.dependencies.placer.findPrefixKey(options.prompt);
  }

  /** Whether a next send to an engine repeats one that reached an engine. */
  get isRetry(): boolean {
    return this.#isFurther;
  }

  /** The call has been tried before, beyond readings. */
  markAsRetry(): void {
    this.#isFurther = true;
  }

  /** Has the prompt read by the engine that is soonest done with it. */
  async prefill(lastEventId: string | undefined): Promise<PrefillResult> {
    const turn = await this.#awaitTurn(lastEventId !== undefined);
    if (turn.kind !== "turn") return turn;
    const { placed, startedAtMs, endRead } = turn;
    const { placement } = placed;
    const run = this.#run;
    try {
      // The prompt may have been placed right after a standstill, before the list was known.
      await run.awaitTargetList();
      if (run.hasEnded) return { kind: "over" };
      if (this.#isFurther && !run.spendRetry()) return { kind: "noAllowance" };
      const exchange = this.#send(placed, lastEventId);
      const source = await this.#awaitHandle(placement, exchange);
      if ("kind" in source) return source;
      this.#noteReading(placed, startedAtMs);
      return this.#hand({ engine: placement.target, kvSource: source });
    } finally {
      endRead();
    }
  }

  /** Frees a cache that nobody will take over. */
  releaseCache({ engine: by, kvSource: source }: PrefilledPrompt): void {
    const { connections, codec, directory, log } = this.#run.dependencies;
    if (directory.findTarget(by.id) === undefined) return;
    connections.send(by, codec.encodeHandleRelease(source.handle), "release")
      .readBody(MAX_HANDLE_BYTES)
      .catch((error: Error) =>
        // It lapses by itself after some seconds.
        log.write("debug", "handleNotFreed", {
          call: this.#run.call.id,
          target: by.id,
          reason: error.message,
        })
      );
  }

  #send(
    { placement, lane }: LanePlacement,
    lastEventId: string | undefined,
  ): TargetExchange {
    const run = this.#run;
    const { target, fetchFrom } = placement;
    const request = run.dependencies.codec.encodeAttempt(run.call, {
      target,
      timeoutMs: run.remainingMs,
      stage: "readPrompt",
      fetchFrom: fetchFrom?.address,
      enginePriority: computeEnginePriority(lane),
      lastEventId,
    });
    return run.send(target, request);
  }

  /** The handle of the cache, or why there is none. */
  async #awaitHandle(
    { target, readyMs }: PromptPlacement,
    exchange: TargetExchange,
  ): Promise<KvHandle | PrefillResult> {
    const end = await awaitAttempt({
      run: this.#run,
      target,
      exchange,
      stage: "readPrompt",
      timeoutMs: readyMs * READ_PATIENCE + READ_SLACK_MS,
      extendsWhileAlive: true,
    });
    if (end.kind === "over") return { kind: "over" };
    if (end.kind !== "answer") {
      return this.#miss(target, end.reason, end.kind !== "notSent");
    }
    try {
      const body = await exchange.readBody(MAX_HANDLE_BYTES);
      const { status } = end.head;
      const handle = isSuccessStatus(status)
        ? this.#run.dependencies.codec.decodeKvHandle(body)
        : undefined;
      if (handle !== undefined) return { address: target.address, handle };
      return this.#miss(target, `status ${status}`, true);
    } catch (error) {
      if (!(error instanceof ExchangeError)) throw error;
      return this.#miss(target, error.message, true);
    }
  }

  /** Hands a read prompt over, unless its call has ended. */
  #hand(prompt: PrefilledPrompt): PrefillResult {
    if (!this.#run.hasEnded) return { kind: "read", prompt };
    this.releaseCache(prompt);
    return { kind: "over" };
  }

  #miss(target: Target, reason: string, isSent: boolean): PrefillResult {
    this.#tried.add(target.id);
    if (isSent) this.#isFurther = true;
    if (this.#key !== undefined) {
      this.#run.dependencies.prefixIndex.forgetHolder(this.#key, target.id);
    }
    return { kind: "failed", reason: `prompt not read: ${reason}` };
  }

  /** Waits until an engine is about to be free, and books the reading there. */
  #awaitTurn(isResumed: boolean): Promise<ReadTurn | PrefillResult> {
    const run = this.#run;
    const { prefillQueue: readQueue, prefillTimeModel: readModel } =
      run.dependencies;
    const { aimMs, priority } = run.route;
    const { waitStartedAtMs: sinceMs, timeoutAtMs: leavesAtMs } =
      computeWaitLimits({
        arrivedAtMs: run.call.arrivedAtMs,
        deadlineAtMs: run.deadlineAtMs,
        aimMs,
        ...(isResumed ? { interruptedAtMs: run.nowMs } : {}),
      });
    return new Promise((resolve) => {
      const undo = readQueue.enqueue({
        lane: computeLane(priority),
        kind: run.route.name,
        tokens: this.#prompt.promptTokens,
        waitStartedAtMs: sinceMs,
        aimMs,
        timeoutAtMs: leavesAtMs,
        firstTokenDelayMs: FIRST_TOKEN_MS + readModel.latencyMs,
        findPlacement: () => this.#place(),
        mayPrefillLate: () => this.#mayReadLate(),
        onOutcome: (verdict) =>
          resolve(
            verdict.kind === "placed" ? this.#begin(verdict.placed) : verdict,
          ),
      });
      void run.ended.then(() => {
        undo();
        resolve({ kind: "over" });
      });
    });
  }

  #begin(placed: LanePlacement): ReadTurn {
    const { placement: { target, costMs }, lane } = placed;
    const { workTracker: ledger, prefillTimeModel: readModel, metrics } =
      this.#run.dependencies;
    const startedAtMs = this.#run.nowMs;
    const waitedMs = startedAtMs - this.#run.call.arrivedAtMs;
    metrics.readWait.observe({ lane }, waitedMs / 1000);
    this.#noteHolder(target, "reading");
    const latencyMs = readModel.latencyMs + ANSWER_SLACK_MS;
    const read = { costMs, lane, latencyMs };
    const endRead = ledger.beginPrefill(target.id, read, startedAtMs);
    return { kind: "turn", placed, startedAtMs, endRead };
  }

  /** Late prompts, long ones above all, keep engines from calls that can be on time. */
  #mayReadLate(): boolean {
    const { workTracker: ledger } = this.#run.dependencies;
    const nowMs = this.#run.nowMs;
    const readers = listAvailableEngines(this.#run, "reading", this.#tried);
    const busy = readers.filter(({ id }) => ledger.hasLatePrefill(id, nowMs));
    return busy.length < Math.max(1, Math.floor(readers.length * LATE_SHARE));
  }

  /** The engine that would read the prompt soonest now. */
  #place(): PromptPlacement | undefined {
    const run = this.#run;
    const { prefillCandidateCache: readerBoard, placer, engineJitter: spread } =
      run.dependencies;
    const nowMs = run.nowMs;
    const candidates = readerBoard.listCandidates(run, this.#tried);
    const readers = readerBoard.listPrefillEngines(run);
    const holders = this.#key === undefined
      ? { prefixHolders: [], prefixSources: [] }
      : findHolders(run.dependencies, this.#key, readers, this.#traits, nowMs);
    return placer.pickEngine(this.#prompt, {
      candidates,
      prefillEngines: readers,
      ...holders,
      traits: this.#traits,
      drawJitterMs: (target) => spread.drawMs(target),
    });
  }

  #noteHolder(target: Target, state: "reading" | "read"): void {
    if (this.#key === undefined) return;
    const { prefixIndex: prompts } = this.#run.dependencies;
    prompts.recordHolder(this.#key, target.id, state, this.#run.nowMs);
  }

  /** Notes who holds the beginning now, and how fast the engine was. */
  #noteReading({ placement, lane }: LanePlacement, startedAtMs: number): void {
    const { prefillTimeModel: readModel, retention, log } =
      this.#run.dependencies;
    const {
      target,
      costMs,
      unloadedMs: aloneMs,
      backlogMs,
      isCold,
      fetchFrom,
    } = placement;
    const nowMs = this.#run.nowMs;
    const tookMs = nowMs - startedAtMs;
    this.#noteHolder(target, "read");
    // Of a long prompt it is not known how much of it the engine held.
    if (this.#key === undefined) {
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
      call: this.#run.call.id,
      target: target.id,
      route: this.#run.route.name,
      tokens: promptTokens,
      sharedTokens: sumPrefixTokens(this.#prompt),
      lane,
      isCold,
      fetchFrom: fetchFrom?.id,
      waitedMs: Math.round(startedAtMs - this.#run.call.arrivedAtMs),
      backlogMs: Math.round(backlogMs),
      costMs: Math.round(costMs),
      aloneMs: Math.round(aloneMs),
      tookMs: Math.round(tookMs),
      factor: Number(readModel.getSlowdown(target.id).toFixed(2)),
      latencyMs: Math.round(readModel.latencyMs),
    });
  }
}
