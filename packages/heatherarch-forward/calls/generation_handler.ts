/**
 * Life of a generation: an engine reads the prompt, another takes the KV cache over and
 * streams. A reading may be repeated; a run only where the route's streams may be resumed.
 *
 * @module
 */
import { sleep } from "heatherarch-core";
import { type RelayResult, StreamRelay } from "./response_relay.ts";
import type { CallContext } from "./call_context.ts";
import {
  findEngineBackoffMs,
  type InferencePhase,
  listAvailableEngines,
} from "../scheduling/engine_selection.ts";
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
import { computeRetryAfterMs } from "../scheduling/retry_after.ts";
import {
  pickLeastLoaded,
  type TargetCandidate,
} from "../scheduling/least_loaded_target.ts";
import {
  isWorthWaiting,
  predictDecodeReadyMs,
} from "../scheduling/decode_wait.ts";
import type { TargetExchange } from "./target_exchange.ts";
import {
  type AttemptResult,
  awaitAttempt,
  isSuccessStatus,
} from "./attempt_result.ts";

/** Tries of either stage for one call. */
const MAX_ROUNDS = 5;
/** With less time left than this a first token can't reach the client, milliseconds. */
const MIN_ROUND_MS = 40;
/** A resumable run that is silent for this long goes on elsewhere, milliseconds. */
const RUN_SILENCE_MS = 900;
/** Pause between looks for an engine that generates, milliseconds. */
const RUNNER_LOOK_MS = 40;
/** Wait that a refused caller is told at least, milliseconds. */
const MIN_RETRY_AFTER_MS = 200;

type Answer = Extract<AttemptResult, { kind: "answer" }>;
type TooLate = Extract<PrefillResult, { kind: "tooLate" }>;

/** Serves one generation. */
export class GenerationHandler {
  readonly #run: CallContext;
  readonly #prompt: GenerationParams;
  readonly #traits: EngineTraits;
  readonly #reading: PromptPrefill;
  readonly #relay: StreamRelay;
  readonly #tried = new Set<string>();
  #reason = "no engine took the call";

  constructor(
    run: CallContext,
    prompt: GenerationParams,
    traits: EngineTraits,
  ) {
    this.#run = run;
    this.#prompt = prompt;
    this.#traits = traits;
    this.#reading = new PromptPrefill({ run, prompt, traits });
    this.#relay = new StreamRelay({
      clientResponse: run.clientResponse,
      isResumable: run.route.kind === "resumableStream",
      onFirstByte: () => this.#noteFirstByte(),
    });
  }

  async serve(): Promise<void> {
    for (let round = 0; round < MAX_ROUNDS && this.#mayGoOn(); round++) {
      if (round > 0 && !await this.#run.mayRetry()) break;
      await this.#run.awaitTargetList();
      if (this.#run.hasEnded) return;
      if (this.#pickRunner(undefined) === undefined && !this.#mayWait()) {
        return this.#refuseIdle(undefined);
      }
      if (this.#endIfResting("reading")) return;
      const read = await this.#reading.prefill(this.#relay.lastEventId);
      if (this.#run.hasEnded) return;
      switch (read.kind) {
        case "read":
          await this.#generate(read.prompt);
          break;
        case "noReader":
          if (this.#endIfResting("reading")) return;
          await this.#generate(undefined);
          break;
        case "failed":
          this.#reason = read.reason;
          break;
        case "tooLate":
          return this.#refuseLate(read);
        default:
          return this.#conclude();
      }
    }
    this.#conclude();
  }

  #mayGoOn(): boolean {
    const { hasEnded: isOver, remainingMs, mayRunAgain } = this.#run;
    return !isOver && mayRunAgain && remainingMs >= MIN_ROUND_MS;
  }

  /** Runs the call at an engine that generates, from a KV cache or from the prompt itself. */
  async #generate(read: PrefilledPrompt | undefined): Promise<void> {
    const run = this.#run;
    const target = await this.#awaitRunner(read?.engine.availabilityZone);
    if (target === undefined) return this.#refuseIdle(read);
    const isUnpaid = read === undefined && this.#reading.isRetry;
    if (isUnpaid && !run.spendRetry()) return this.#conclude();
    const { workTracker: ledger } = run.dependencies;
    const endRun = ledger.beginRun(target.id, this.#prompt.promptTokens);
    try {
      const exchange = this.#send(target, read);
      const end = await awaitAttempt({
        run,
        target,
        exchange,
        stage: read === undefined ? "whole" : "takeOver",
        timeoutMs: this.#getSilenceMs(),
      });
      await this.#takeEnd(target, read, exchange, end);
    } finally {
      endRun();
    }
  }

  #send(target: Target, read: PrefilledPrompt | undefined): TargetExchange {
    const run = this.#run;
    const request = run.dependencies.codec.encodeAttempt(run.call, {
      target,
      timeoutMs: run.remainingMs,
      stage: read === undefined ? "whole" : "takeOver",
      kvSource: read?.kvSource,
      enginePriority: computeEnginePriority(computeLane(run.route.priority)),
      lastEventId: this.#relay.lastEventId,
    });
    const exchange = run.send(target, request);
    run.recordRun();
    return exchange;
  }

  async #takeEnd(
    target: Target,
    read: PrefilledPrompt | undefined,
    exchange: TargetExchange,
    end: AttemptResult,
  ): Promise<void> {
    switch (end.kind) {
      case "over":
        return;
      case "answer":
        return await this.#takeAnswer(target, exchange, end);
      case "lost":
        this.#tried.add(target.id);
        return this.#miss(end.reason);
      case "notRun":
      case "notSent":
        this.#run.undoRun();
        this.#tried.add(target.id);
        return this.#miss(
          end.reason,
          end.kind === "notSent" ? read : undefined,
        );
    }
  }

  async #takeAnswer(
    target: Target,
    exchange: TargetExchange,
    { head, facts }: Answer,
  ): Promise<void> {
    const isWhole = isSuccessStatus(head.status);
    const fault = isWhole && !facts.signed
      ? "success without a signature"
      : !isWhole && this.#relay.isStarted
      ? `no stream to go on with: status ${head.status}`
      : undefined;
    if (fault !== undefined) {
      exchange.abort(fault);
      this.#tried.add(target.id);
      return this.#miss(fault);
    }
    const end = await this.#relay.relay(exchange, head);
    this.#takeRelayEnd(target, head.status, end);
  }

  #takeRelayEnd(target: Target, status: number, end: RelayResult): void {
    const run = this.#run;
    if (run.hasEnded) return;
    if (end === "whole") {
      run.clientResponse.end();
      run.finish("delivered", { status, target: target.id });
      return;
    }
    this.#tried.add(target.id);
    run.dependencies.health.recordOutcome(target.id, "failed", run.nowMs);
    run.dependencies.log.write("info", "streamBroken", {
      call: run.call.id,
      target: target.id,
      reason: end.message,
      lastEventId: this.#relay.lastEventId,
      mayResume: run.mayRunAgain,
    });
    this.#miss(`stream broke off: ${end.message}`);
  }

  /** A round ended without an answer; the next one reads the prompt again, as a further try. */
  #miss(reason: string, unused?: PrefilledPrompt): void {
    this.#reason = `not generated: ${reason}`;
    this.#reading.markAsRetry();
    if (unused !== undefined) this.#reading.releaseCache(unused);
  }

  #conclude(): void {
    const run = this.#run;
    if (run.hasEnded) return;
    if (run.mayHaveRun) return run.fail("answerIncomplete", this.#reason);
    if (this.#endIfResting("generating") || this.#endIfResting("reading")) {
      return;
    }
    run.refuse("noTarget", this.#reason, {
      retryAfterMs: MIN_RETRY_AFTER_MS * (1 + run.dependencies.drawUnit()),
      detail: { tried: [...this.#tried] },
    });
  }

  /** Ends the call where all engines for a use rest; returns whether it did. */
  #endIfResting(use: InferencePhase): boolean {
    const run = this.#run;
    const restMs = findEngineBackoffMs(run, use);
    if (restMs === undefined) return false;
    if (run.mayHaveRun) run.fail("answerIncomplete", "all engines rest");
    else run.refuseForBackoff(restMs);
    return true;
  }

  /** Ends a call for which no engine generates and none is about to. */
  #refuseIdle(read: PrefilledPrompt | undefined): void {
    const run = this.#run;
    if (read !== undefined) this.#reading.releaseCache(read);
    if (run.hasEnded) return;
    if (this.#endIfResting("generating")) return;
    const reason = "no engine generates";
    if (run.mayHaveRun) return run.fail("answerIncomplete", reason);
    const comesInMs = this.#predictRunnerMs();
    const waitMs = comesInMs ?? this.#traits.roleChangeMs;
    const spread = 1 + run.dependencies.drawUnit() / 4;
    run.refuse("noTarget", reason, {
      retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, waitMs) * spread,
      detail: { tried: [...this.#tried], comesInMs },
    });
  }

  /** Ends a call at once that can't begin in its time. */
  #refuseLate({ placement, prefillDeadlineMs: readByMs }: TooLate): void {
    const run = this.#run;
    const { target, readyMs, costMs, unloadedMs: aloneMs, backlogMs, isCold } =
      placement;
    if (run.mayHaveRun) {
      return run.fail("answerIncomplete", "no time to go on elsewhere");
    }
    const waitedMs = run.nowMs - run.call.arrivedAtMs;
    const excessMs = readyMs - run.route.aimMs;
    const { drawUnit } = run.dependencies;
    run.refuse("overloaded", "the prompt can't be read in the time left", {
      retryAfterMs: computeRetryAfterMs(waitedMs, excessMs, drawUnit),
      detail: {
        target: target.id,
        tokens: this.#prompt.promptTokens,
        sharedTokens: sumPrefixTokens(this.#prompt),
        isCold,
        factor: Number(
          run.dependencies.prefillTimeModel.getSlowdown(target.id).toFixed(2),
        ),
        waitedMs: Math.round(waitedMs),
        costMs: Math.round(costMs),
        aloneMs: Math.round(aloneMs),
        backlogMs: Math.round(backlogMs),
        readyMs: Math.round(readyMs),
        readInMs: Math.round(readByMs - run.nowMs),
        remainingMs: Math.round(run.remainingMs),
      },
    });
  }

  /** An engine that generates; where there is none, one that comes while the caller waits. */
  async #awaitRunner(zone: string | undefined): Promise<Target | undefined> {
    await this.#run.awaitTargetList();
    while (!this.#run.hasEnded) {
      const target = this.#pickRunner(zone);
      if (target !== undefined) return target;
      if (!this.#mayWait()) return undefined;
      await sleep(RUNNER_LOOK_MS);
    }
    return undefined;
  }

  #mayWait(): boolean {
    const { nowMs, call, route, remainingMs } = this.#run;
    if (remainingMs < MIN_ROUND_MS) return false;
    return isWorthWaiting(
      this.#predictRunnerMs(),
      nowMs - call.arrivedAtMs,
      route.aimMs,
    );
  }

  /** Time until an engine has taken the role; undefined where none is about to. */
  #predictRunnerMs(): number | undefined {
    const { dependencies: serving, service, nowMs } = this.#run;
    const { directory } = serving;
    const since = directory.listServing(service.name)
      .filter((engine) => engine.role === "prefill")
      .map((engine) => directory.findRoleChangeStartMs(engine.id, nowMs))
      .filter((sinceMs) => sinceMs !== undefined);
    return predictDecodeReadyMs(since, this.#traits.roleChangeMs, nowMs);
  }

  #pickRunner(zone: string | undefined): Target | undefined {
    const { workTracker: ledger, drawUnit } = this.#run.dependencies;
    const nowMs = this.#run.nowMs;
    const kvRoom = this.#traits.kvTokens;
    const candidates = listAvailableEngines(
      this.#run,
      "generating",
      this.#tried,
    )
      .map((target): TargetCandidate => {
        const { runs, kvTokens } = ledger.getRunLoad(target.id, nowMs);
        return { target, runs, kvTokens, kvCapacityTokens: kvRoom };
      });
    return pickLeastLoaded(candidates, zone, drawUnit)?.target;
  }

  #getSilenceMs(): number | undefined {
    const { kind, maxTargets } = this.#run.route;
    return kind === "resumableStream" && maxTargets > 1
      ? RUN_SILENCE_MS
      : undefined;
  }

  #noteFirstByte(): void {
    const run = this.#run;
    const tookMs = run.nowMs - run.call.arrivedAtMs;
    run.dependencies.metrics.firstByte.observe(
      { kind: run.route.kind },
      tookMs / 1000,
    );
    run.dependencies.log.write("debug", "firstByte", {
      call: run.call.id,
      tookMs: Math.round(tookMs),
      aimMs: run.route.aimMs,
    });
  }
}
