/**
 * Prefills a prompt on a separate engine: waits for an engine, sends the prefill, and records what
 * it tells about the engines and their caches. A prefill may be repeated.
 *
 * @module
 */
import type { CallContext } from "./call_context.ts";
import {
  computeWaitLimits,
  type WaitLimits,
} from "../scheduling/client_timeout.ts";
import { computeLateTimeoutAtMs } from "../scheduling/waiting_call.ts";
import {
  listAvailableEngines,
  listUsableEngines,
} from "../scheduling/engine_selection.ts";
import {
  computeEnginePriority,
  computeLane,
} from "../scheduling/priority_lanes.ts";
import type { EngineTraits, GenerationParams, Target } from "../model.ts";
import type { EncodedRequest, KvHandle } from "../ports.ts";
import type { HolderState } from "../state/prefix_index.ts";
import { runReported } from "../report_error.ts";
import { findHolders } from "../state/prefix_holders.ts";
import {
  type PromptPlacement,
  sumPrefixTokens,
} from "../scheduling/prompt_placement.ts";
import type { LanePlacement, QueueOutcome } from "../scheduling/queued_call.ts";
import type { TargetExchange } from "./target_exchange.ts";
import { awaitAttempt, classifyThrown } from "./attempt_result.ts";
import { readReplaceableBody } from "./replaceable_body.ts";
import { isSuccessStatus } from "./http_status.ts";

/** Time from prefill to the first token at the client: two hops, a KV transfer, a decode step. */
const FIRST_TOKEN_MS = 35;
/** A prefill times out after this many times its predicted time, plus the slack. */
const PREFILL_TIMEOUT_FACTOR = 3;
const PREFILL_TIMEOUT_SLACK_MS = 500;
/** Slack after which a prefill without a response makes this VM check its path, milliseconds. */
const EXPECTED_SLACK_MS = 150;
/** A response is overdue when it is this much later than latency and prefill time predict. */
const RESPONSE_SLACK_MS = 10;
/**
 * Share of the prefill engines, at least one, that may serve late calls at the same time. A long
 * prompt that is late anyway occupies an engine for up to a second.
 */
const LATE_PREFILL_SHARE = 0.25;
/** Bounds of the response to a prefill, which an engine sends in one piece. */
const HANDLE_LIMITS = { maxBytes: 64 * 1024, timeoutMs: 500 };
/** Requests that replace a prefill that is given up: another prefill, and the run that follows it. */
const REPLACEMENT = {
  purpose: "prefill",
  requests: 2,
  beginsWithPrefill: true,
} as const;

/** A prompt that an engine has prefilled, and the handle of its KV cache. */
export interface PrefilledPrompt {
  readonly engine: Target;
  readonly kvSource: KvHandle;
}

/** Result of an attempt to prefill a prompt. */
export type PrefillResult =
  | { readonly kind: "read"; readonly prompt: PrefilledPrompt }
  /** There is no prefill engine now. */
  | { readonly kind: "noTarget" }
  /** No engine can finish before the deadline of the call. */
  | Extract<QueueOutcome, { kind: "tooLate" }>
  /** The fleet's retry budget is exhausted. */
  | { readonly kind: "noAllowance" }
  | { readonly kind: "failed"; readonly reason: string }
  /** The call ended in the meantime. */
  | { readonly kind: "over" };

/** A prefill that is booked on an engine and about to be sent. */
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

/** Prefills the prompt of one call. */
export class PromptPrefill {
  readonly #context: CallContext;
  readonly #prompt: GenerationParams;
  readonly #traits: EngineTraits;
  /** Key of the prompt's shared prefix; undefined if the prefix is short. */
  readonly #prefixKey: string | undefined;
  readonly #tried = new Set<string>();

  constructor(options: PromptPrefillOptions) {
    this.#context = options.context;
    this.#prompt = options.prompt;
    this.#traits = options.traits;
    this.#prefixKey = options.context.dependencies.placer.findPrefixKey(
      options.prompt,
    );
  }

  /** Prefills the prompt on the engine that is expected to finish it first. */
  async prefill(lastEventId: string | undefined): Promise<PrefillResult> {
    const booking = await this.#awaitBooking(lastEventId !== undefined);
    if (booking.kind !== "turn") return booking;
    const { placed, startedAtMs, endPrefill } = booking;
    const { placement } = placed;
    const context = this.#context;
    try {
      // The prompt may have been placed right after a stall, before the target list was refreshed and the
      // client's disconnect was read.
      await context.awaitSendable();
      if (context.hasEnded) return { kind: "over" };
      // A prefill without the run that follows it would be in vain, so both are taken together.
      const round = { requests: 2, beginsWithPrefill: true } as const;
      if (!context.reserve({ purpose: "prefill", ...round })) {
        return { kind: "noAllowance" };
      }
      const exchange = this.#send(placed, lastEventId);
      try {
        const kvSource = await this.#awaitHandle(placement, exchange);
        if ("kind" in kvSource) return kvSource;
        this.#recordPrefill(placed, startedAtMs);
        return this.#deliver({ engine: placement.target, kvSource });
      } catch (error) {
        const { target } = placement;
        const end = classifyThrown({ context, target, exchange }, error);
        return this.#recordFailure(target, end.reason);
      }
    } finally {
      endPrefill();
    }
  }

  /**
   * Whether the queue would still accept the prompt. It refuses one whose stream would begin after its client
   * is expected to have left. Without a prefill engine, a decode engine can take the prompt at any time.
   */
  canPrefillInTime(lastEventId: string | undefined): boolean {
    const placement = this.#findPlacement();
    if (placement === undefined) return true;
    const { nowMs, route: { aimMs } } = this.#context;
    const limits = { aimMs, ...this.#computeLimits(lastEventId !== undefined) };
    const timeoutAtMs = computeLateTimeoutAtMs(limits, placement);
    return nowMs + placement.readyMs <= timeoutAtMs - this.#responseDelayMs;
  }

  /** Releases a KV cache that no engine will take over. */
  releaseCache({ engine, kvSource }: PrefilledPrompt): void {
    const { connections, codec, directory, log } = this.#context.dependencies;
    if (directory.findTarget(engine.id) === undefined) return;
    runReported(this.#context.dependencies, "attempt", async () => {
      const request = codec.encodeHandleRelease(kvSource.handle);
      try {
        await connections.send(engine, request, { purpose: "release" })
          .readBody(HANDLE_LIMITS);
      } catch (error) {
        // The engine drops the cache by itself after some seconds.
        log.write("debug", "handleNotFreed", {
          call: this.#context.call.id,
          target: engine.id,
          reason: (error as Error).message,
        });
      }
    });
  }

  #send(
    { placement, lane }: LanePlacement,
    lastEventId: string | undefined,
  ): TargetExchange {
    const context = this.#context;
    const { target, fetchFrom } = placement;
    const encode = (): EncodedRequest =>
      context.dependencies.codec.encodeAttempt(context.call, {
        target,
        timeoutMs: context.remainingMs,
        stage: "readPrompt",
        fetchFrom: fetchFrom?.address,
        enginePriority: computeEnginePriority(lane),
        lastEventId,
      });
    return context.send(target, encode, { isRun: false });
  }

  /** Returns the handle of the KV cache, or why there is none. */
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
      expectedMs: readyMs + EXPECTED_SLACK_MS,
      extendsWhileAlive: () => true,
      mayGiveUp: () => this.#mayGiveUp(target),
      replacement: REPLACEMENT,
      isPrefill: true,
    });
    if (result.kind === "over") return { kind: "over" };
    if (result.kind !== "answer") {
      return this.#recordFailure(target, result.reason);
    }
    const body = await readReplaceableBody({
      context: this.#context,
      target,
      exchange,
      limits: HANDLE_LIMITS,
      isRepeatable: true,
      mayGiveUp: () => this.#mayGiveUp(target),
      replacement: REPLACEMENT,
      isPrefill: true,
    });
    const { status } = result.head;
    const handle = isSuccessStatus(status)
      ? this.#context.dependencies.codec.decodeKvHandle(body)
      : undefined;
    if (handle === undefined) {
      return this.#recordFailure(target, `status ${status}`);
    }
    this.#context.recordPrefilled();
    return { address: target.address, handle };
  }

  /**
   * Whether a silent engine may be given up: others respond, and one that was not tried may take the
   * prefill. The path to an only engine counts as open for a while although it is silent.
   */
  async #mayGiveUp({ id }: Target): Promise<boolean> {
    const context = this.#context;
    const { pathMonitor } = context.dependencies;
    if (!await pathMonitor.confirmPath(context.service.name)) return false;
    const tried = new Set([...this.#tried, id]);
    const selection = { phase: "reading", tried } as const;
    return listAvailableEngines(context, selection).length > 0;
  }

  /** Returns a prefilled prompt, or releases its cache if the call has ended. */
  #deliver(prompt: PrefilledPrompt): PrefillResult {
    if (!this.#context.hasEnded) return { kind: "read", prompt };
    this.releaseCache(prompt);
    return { kind: "over" };
  }

  #recordFailure(target: Target, reason: string): PrefillResult {
    this.#tried.add(target.id);
    if (this.#prefixKey !== undefined) {
      this.#context.dependencies.prefixIndex.forgetHolder(
        this.#prefixKey,
        target.id,
      );
    }
    return { kind: "failed", reason: `prefill failed: ${reason}` };
  }

  /** Waits until an engine is about to be free, and books the prefill there. */
  #awaitBooking(isResumed: boolean): Promise<BookedPrefill | PrefillResult> {
    const context = this.#context;
    const { prefillQueue, pathMonitor } = context.dependencies;
    const { priority, route: { aimMs } } = context;
    const { waitStartedAtMs, timeoutAtMs } = this.#computeLimits(isResumed);
    return new Promise((resolve, reject) => {
      let removeListener = (): void => undefined;
      const settle = (result: BookedPrefill | PrefillResult): void => {
        removeListener();
        resolve(result);
      };
      const cancel = prefillQueue.enqueue({
        lane: computeLane(priority),
        kind: context.route.name,
        service: context.service.name,
        account: context.accountName,
        isReturn: context.isReturn,
        tokens: this.#prompt.promptTokens,
        waitStartedAtMs,
        aimMs,
        timeoutAtMs,
        responseDelayMs: this.#responseDelayMs,
        findPlacement: () => this.#findPlacement(),
        mayPlaceLate: () => this.#mayPrefillLate(),
        onOutcome: (outcome) =>
          settle(
            outcome.kind === "placed"
              ? this.#beginPrefill(outcome.placed)
              : outcome,
          ),
        onError: (thrown) => {
          reject(thrown);
          removeListener();
        },
      });
      void context.ended.then(() => {
        cancel();
        settle({ kind: "over" });
      });
      removeListener = pathMonitor.registerLossListener(
        context.service.name,
        () => {
          cancel();
          settle({ kind: "failed", reason: "path lost" });
        },
      );
    });
  }

  #computeLimits(isResumed: boolean): WaitLimits {
    const { call, deadlineAtMs, route: { aimMs }, nowMs } = this.#context;
    return computeWaitLimits({
      arrivedAtMs: call.arrivedAtMs,
      deadlineAtMs,
      aimMs,
      ...(isResumed ? { interruptedAtMs: nowMs } : {}),
    });
  }

  /** Time from the end of a prefill to the first event, milliseconds. */
  get #responseDelayMs(): number {
    const { prefillTimeModel } = this.#context.dependencies;
    return FIRST_TOKEN_MS + prefillTimeModel.latencyMs;
  }

  #beginPrefill(placed: LanePlacement): BookedPrefill {
    const { placement: { target, costMs }, lane } = placed;
    const { workTracker, prefillTimeModel, metrics } =
      this.#context.dependencies;
    const startedAtMs = this.#context.nowMs;
    const waitedMs = startedAtMs - this.#context.call.arrivedAtMs;
    metrics.readWait.observe({ lane }, waitedMs / 1000);
    const service = this.#context.service.name;
    metrics.callWait.observe({ service }, waitedMs / 1000);
    this.#recordHolder(target, "reading");
    const latencyMs = prefillTimeModel.latencyMs + RESPONSE_SLACK_MS;
    const work = { costMs, lane, latencyMs };
    const endPrefill = workTracker.beginPrefill(target.id, work, startedAtMs);
    return { kind: "turn", placed, startedAtMs, endPrefill };
  }

  /**
   * Limits late prompts, above all long ones, because they delay calls that can still be on time.
   */
  #mayPrefillLate(): boolean {
    const { workTracker } = this.#context.dependencies;
    const nowMs = this.#context.nowMs;
    const prefillEngines = listUsableEngines(this.#context, {
      phase: "reading",
      tried: this.#tried,
    });
    const busy = prefillEngines.filter(({ id }) =>
      workTracker.hasLatePrefill(id, nowMs)
    );
    return busy.length <
      Math.max(1, Math.floor(prefillEngines.length * LATE_PREFILL_SHARE));
  }

  /** Returns the engine that would finish the prefill first if it were sent now. */
  #findPlacement(): PromptPlacement | undefined {
    const context = this.#context;
    const {
      prefillCandidateCache,
      placer,
      engineJitter,
      connectionPreference,
    } = context.dependencies;
    const nowMs = context.nowMs;
    const candidates = prefillCandidateCache.listCandidates(
      context,
      this.#tried,
    );
    const prefillEngines = prefillCandidateCache.listPrefillEngines(context);
    const holders = this.#prefixKey === undefined
      ? { prefixHolders: [], prefixSources: [] }
      : findHolders(context.dependencies, {
        key: this.#prefixKey,
        prefillEngines,
        decodeEngines: prefillCandidateCache.listDecodeEngines(context),
        leavingEngines: prefillCandidateCache.listLeavingEngines(context),
        traits: this.#traits,
        nowMs,
      });
    return placer.pickEngine(this.#prompt, {
      candidates,
      prefillEngines,
      ...holders,
      traits: this.#traits,
      drawJitterMs: (target) => engineJitter.drawMs(target),
      needsConnection: connectionPreference.buildCheck(
        prefillEngines.length,
        nowMs,
      ),
    });
  }

  /** Records that a decode engine has taken the prompt over. */
  recordCopy(target: Target): void {
    this.#recordHolder(target, "copied");
  }

  #recordHolder(target: Target, state: HolderState): void {
    if (this.#prefixKey === undefined) return;
    const { prefixIndex } = this.#context.dependencies;
    prefixIndex.recordHolder(
      this.#prefixKey,
      target.id,
      state,
      this.#context.nowMs,
    );
  }

  /** Records which engine holds the prefix, and how fast the prefill was. */
  #recordPrefill(
    { placement, lane }: LanePlacement,
    startedAtMs: number,
  ): void {
    const { prefillTimeModel, retention, targetLoads, log } =
      this.#context.dependencies;
    const {
      target,
      costMs,
      unloadedMs,
      backlogMs,
      isCold,
      fetchFrom,
      slowdown = 1,
    } = placement;
    const nowMs = this.#context.nowMs;
    const tookMs = nowMs - startedAtMs;
    this.#recordHolder(target, "read");
    // The response has just told the slowdown at the end of the prefill.
    const endSlowdown = targetLoads.estimateSlowdown(target.id, nowMs);
    const slowdownChange = (slowdown + endSlowdown) / 2 / slowdown;
    // For a prompt with a prefix key it is not known how much of the prefix the engine had cached.
    if (this.#prefixKey === undefined) {
      this.#checkReports(placement, { tookMs, slowdownChange });
      prefillTimeModel.learn(target.id, {
        costMs,
        backlogMs,
        tookMs,
        slowdownChange,
      });
    } else {
      prefillTimeModel.learnUnloaded(target.id, {
        unloadedMs,
        backlogMs,
        tookMs,
        slowdownChange,
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
      slowdown: Number(slowdown.toFixed(2)),
      factor: Number(prefillTimeModel.getSlowdown(target.id).toFixed(2)),
      latencyMs: Math.round(prefillTimeModel.latencyMs),
    });
  }

  /** Checks whether the engine's prefills contradict the slowdowns that it reports. */
  #checkReports(
    { target, readyMs }: PromptPlacement,
    { tookMs, slowdownChange }: { tookMs: number; slowdownChange: number },
  ): void {
    const { targetLoads, reportTrust, prefillTimeModel, log } =
      this.#context.dependencies;
    if (!targetLoads.reportsSlowdown(target.id)) return;
    const indicatedMs = readyMs * slowdownChange + prefillTimeModel.latencyMs;
    const work = { tookMs, indicatedMs };
    if (reportTrust.recordWork(target.id, work, this.#context.nowMs)) {
      log.write("warn", "targetLoadIgnored", { target: target.id });
    }
  }
}
