/**
 * Handles one generation. Each call to an engine is a leg. One or several legs, on one or several
 * engines, together produce one complete response. When a leg fails, another leg continues from the
 * tokens already delivered.
 *
 * @module
 */
import {
  assertInvariant,
  createId,
  Err,
  Ok,
  type Result,
  ServeError,
} from "heatherarch-core";
import {
  AdaptiveRouter,
  type Candidate,
  checkAdmission,
  computePrefixKey,
  type RoutePlan,
  type TrackedWork,
} from "heatherarch-policy";
import type { Profile } from "heatherarch-settings";
import type {
  EngineAttempt,
  EngineCall,
  EngineFailure,
  EngineResult,
  KvHandle,
} from "heatherarch-targets";
import { buildShutdownRefusal } from "./request_ending.ts";
import type { AdmittedRequest } from "./request_watch.ts";
import type { GatewayHost } from "./gateway_host.ts";
import type { Usage } from "./openai_format.ts";

/** Safety rules of a generation. The proofs disable them one at a time. */
export const GENERATION_GUARDS = [
  "ignoreAbandonedLeg",
  "missingTokens",
] as const;
/** Name of a guard. */
export type GenerationGuard = typeof GENERATION_GUARDS[number];

/** Receives the response. Exactly one of `onEnd` and `onError` is called last. */
export interface GenerationSink {
  onTokens(texts: readonly string[]): void;
  onEnd(reason: string, usage: Usage): void;
  onError(error: ServeError): void;
}

/** Options of {@linkcode Generation}. */
export interface GenerationOptions {
  readonly host: GatewayHost;
  readonly requestId: string;
  readonly service: string;
  readonly model: string;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly profile: Profile;
  /** Monotonic time by which the response must be complete. */
  readonly deadlineAtMs: number;
  readonly sink: GenerationSink;
  readonly admitted: AdmittedRequest;
  readonly disabledGuards?: ReadonlySet<GenerationGuard>;
}

/** One call to an engine, as part of a generation. */
interface Leg {
  readonly target: string;
  readonly call: EngineCall;
  readonly work: TrackedWork;
  readonly startedAtMs: number;
  readonly predictedFirstTokenMs: number;
  readonly role: Candidate["role"];
  /** Whether the leg only prefills the prompt, and another engine decodes. */
  readonly isPrefillOnly: boolean;
  attempt: EngineAttempt | undefined;
  /** Number of tokens received. */
  received: number;
  /** Monotonic time of the latest tokens. */
  lastAtMs: number;
  resumed: boolean;
}

/** Engine priorities of the profiles' priority classes. */
const PRIORITY_NUMBERS = { lookup: 0, interactive: 1, batch: 2 } as const;
/** Delay before the search for a target is repeated when a partly delivered response has none. */
const NO_TARGET_RETRY_DELAY_MS = 100;

/** Runs one generation. */
export class Generation {
  readonly #options: GenerationOptions;
  readonly #host: GatewayHost;
  readonly #prefixKey: string;
  readonly #startedAtMs: number;
  readonly #failedTargets = new Set<string>();
  readonly #disabledGuards: ReadonlySet<GenerationGuard>;
  #delivered: string[] = [];
  #leg: Leg | undefined;
  #plannedDecode: { target: Candidate; work: TrackedWork } | undefined;
  #tries = 0;
  #hasSentRequest = false;
  #isFinished = false;
  #promptTokens = 0;
  #cachedTokens = 0;
  #firstTokenAtMs: number | undefined;
  #lastTokenAtMs = 0;
  #deadlineTimer: NodeJS.Timeout | undefined;
  #retryTimer: NodeJS.Timeout | undefined;

  constructor(options: GenerationOptions) {
    this.#options = options;
    this.#host = options.host;
    this.#disabledGuards = options.disabledGuards ?? new Set();
    this.#prefixKey = computePrefixKey(options.prompt);
    this.#startedAtMs = this.#host.clock.readMonotonicMs();
  }

  /** Tokens delivered so far. */
  get delivered(): readonly string[] {
    return this.#delivered;
  }

  /** Time from the start to the first token in milliseconds; undefined before the first token. */
  get firstTokenMs(): number | undefined {
    return this.#firstTokenAtMs === undefined
      ? undefined
      : this.#firstTokenAtMs - this.#startedAtMs;
  }

  /** Mean gap between tokens in milliseconds; undefined for fewer than two tokens. */
  get meanGapMs(): number | undefined {
    const gaps = this.#delivered.length - 1;
    if (this.#firstTokenAtMs === undefined || gaps < 1) return undefined;
    return (this.#lastTokenAtMs - this.#firstTokenAtMs) / gaps;
  }

  /** Plans and starts the first leg, or returns the error if the request is rejected. */
  start(): Result<void, ServeError> {
    const planned = this.#planFirstLeg();
    if (!planned.ok) return Err(planned.val as ServeError);
    const remainingMs = this.#options.deadlineAtMs - this.#startedAtMs;
    this.#deadlineTimer = setTimeout(() => this.#handleDeadline(), remainingMs);
    this.#startPlan(planned.val as RoutePlan);
    return Ok(undefined);
  }

  /** Ends the generation as the VM ends. */
  endForShutdown(): void {
    if (this.#delivered.length > 0) {
      const message = `the VM shut down after ${this.#delivered.length} tokens`;
      return this.#fail(new ServeError("answerIncomplete", message));
    }
    if (!this.#mayHaveRun) return this.#fail(buildShutdownRefusal());
    const message = "the VM shut down before the response began";
    this.#fail(new ServeError("targetFailed", message));
  }

  /** Stops all work after the client has disconnected. */
  cancel(): void {
    this.#close();
  }

  #planFirstLeg(): Result<RoutePlan, ServeError> {
    const plan = this.#planRoute();
    if (plan === undefined) {
      const hasTargets =
        this.#host.targets.listCandidates(this.#options.service).length > 0;
      return hasTargets
        ? Err(
          new ServeError("overloaded", "every target is at capacity", {
            run: "no",
          }),
        )
        : Err(
          new ServeError("noTarget", "no target is in service", { run: "no" }),
        );
    }
    if (this.#options.profile.routing !== "prefixAffinity") return Ok(plan);
    return checkAdmission({
      remainingMs: this.#options.deadlineAtMs - this.#startedAtMs,
      outputTokens: this.#options.maxTokens,
    }, plan);
  }

  #planRoute(): RoutePlan | undefined {
    const { service, profile, maxTokens, promptTokens } = this.#options;
    const candidates = this.#host.targets.listCandidates(service);
    const untried = candidates.filter((candidate) =>
      !this.#failedTargets.has(candidate.id)
    );
    const router = this.#host.getRouter(profile.routing);
    const nowMs = this.#host.clock.readMonotonicMs();
    const isLookup = profile.priority === "lookup";
    if (isLookup) this.#host.lookupReserve.recordLookup(service, nowMs);
    return router.planRoute({
      promptTokens: promptTokens + this.#delivered.length,
      outputTokens: maxTokens - this.#delivered.length,
      prefixKey: this.#prefixKey,
      kvTransferMinTokens: profile.kvTransferMinTokens,
      remainingMs: this.#options.deadlineAtMs - nowMs,
      tokenGapMs: profile.tokenGapMs,
      tieBreakKey: this.#options.requestId,
      reserveShare: isLookup
        ? 0
        : this.#host.lookupReserve.readShare(service, nowMs),
    }, untried.length > 0 ? untried : candidates);
  }

  #startPlan(plan: RoutePlan): void {
    const nowMs = this.#host.clock.readMonotonicMs();
    const { decode } = plan;
    if (decode !== undefined) {
      this.#plannedDecode?.work.end(nowMs);
      const work = this.#host.loadTracker.begin(decode.id, 0, nowMs);
      this.#plannedDecode = { target: decode, work };
    }
    this.#startLeg(plan.primary, {
      firstTokenMs: plan.firstTokenMs,
      isPrefillOnly: decode !== undefined,
    });
  }

  #startLeg(
    candidate: Candidate,
    options: {
      firstTokenMs: number;
      isPrefillOnly: boolean;
      kvImport?: KvHandle;
    },
  ): void {
    const target = this.#host.targets.findTarget(candidate.id);
    if (target === undefined) return this.#retry("refused", candidate.id);
    const nowMs = this.#host.clock.readMonotonicMs();
    const { promptTokens, maxTokens, model, prompt, profile } = this.#options;
    const { isPrefillOnly, kvImport } = options;
    const call: EngineCall = {
      tryId: createId("try"),
      model,
      prompt: this.#delivered.length === 0
        ? prompt
        : prompt + this.#delivered.join(""),
      maxTokens: isPrefillOnly ? 1 : maxTokens - this.#delivered.length,
      priority: PRIORITY_NUMBERS[profile.priority],
      kvExport: isPrefillOnly,
      ...(kvImport === undefined ? {} : { kvImport }),
    };
    const prefillTokens = kvImport === undefined
      ? promptTokens + this.#delivered.length
      : 0;
    const leg: Leg = {
      target: target.id,
      call,
      work: this.#host.loadTracker.begin(target.id, prefillTokens, nowMs),
      startedAtMs: nowMs,
      predictedFirstTokenMs: options.firstTokenMs,
      role: candidate.role,
      isPrefillOnly,
      attempt: undefined,
      received: 0,
      lastAtMs: 0,
      resumed: false,
    };
    this.#leg = leg;
    this.#tries++;
    leg.attempt = this.#host.targets.getEngine(target).generate(call, {
      onTokens: (texts) => this.#handleTokens(leg, texts),
      onEnd: (result) => this.#handleEnd(leg, result),
      onFailure: (failure) => this.#handleFailure(leg, failure),
    });
  }

  #handleTokens(leg: Leg, texts: readonly string[]): void {
    if (this.#isAbandoned(leg)) return;
    const nowMs = this.#host.clock.readMonotonicMs();
    if (leg.received === 0) this.#recordFirstToken(leg, nowMs);
    else leg.work.recordTokenGap((nowMs - leg.lastAtMs) / texts.length, nowMs);
    leg.received += texts.length;
    leg.lastAtMs = nowMs;
    assertInvariant(
      this.#delivered.length + texts.length <= this.#options.maxTokens,
      "no-surplus-tokens",
      this.#options.requestId,
    );
    this.#firstTokenAtMs ??= nowMs;
    this.#lastTokenAtMs = nowMs;
    for (const text of texts) this.#delivered.push(text);
    this.#options.sink.onTokens(texts);
  }

  #isAbandoned(leg: Leg): boolean {
    if (this.#isFinished) return true;
    return leg !== this.#leg && !this.#disabledGuards.has("ignoreAbandonedLeg");
  }

  #recordFirstToken(leg: Leg, nowMs: number): void {
    leg.work.recordFirstToken(nowMs);
    if (leg.call.kvImport !== undefined || leg.resumed) return;
    const observedMs = nowMs - leg.startedAtMs;
    this.#host.model.observeFirstToken(
      leg.role,
      leg.predictedFirstTokenMs,
      observedMs,
    );
  }

  #handleEnd(leg: Leg, result: EngineResult): void {
    if (this.#isAbandoned(leg)) return;
    const nowMs = this.#host.clock.readMonotonicMs();
    this.#closeLeg(leg, nowMs);
    this.#host.targets.recordSuccess(leg.target);
    this.#recordUsage(result);
    const remainingTokens = this.#options.maxTokens - this.#delivered.length;
    if (
      leg.isPrefillOnly && leg.received === 1 && remainingTokens > 0 &&
      result.reason !== "stop"
    ) {
      return this.#startDecodeLeg(leg, result);
    }
    const isTruncated = result.reason === "length" && remainingTokens > 0;
    if (isTruncated && !this.#disabledGuards.has("missingTokens")) {
      return this.#retry("broken", leg.target);
    }
    this.#finish(remainingTokens === 0 ? "length" : "stop");
  }

  #recordUsage(result: EngineResult): void {
    if (this.#promptTokens === 0) {
      this.#promptTokens = result.promptTokens;
      this.#cachedTokens = result.cachedTokens;
      const router = this.#host.getRouter(this.#options.profile.routing);
      if (router instanceof AdaptiveRouter && result.promptTokens > 0) {
        router.observeCacheHit(result.cachedTokens / result.promptTokens);
      }
    }
  }

  /** Starts the decode leg after the prefill. The planned engine fetches the KV cache. */
  #startDecodeLeg(leg: Leg, result: EngineResult): void {
    const planned = this.#plannedDecode;
    this.#plannedDecode = undefined;
    const nowMs = this.#host.clock.readMonotonicMs();
    planned?.work.end(nowMs);
    const source = this.#host.targets.findTarget(leg.target);
    const decodeTarget = this.#host.targets.listCandidates(
      this.#options.service,
    )
      .find((candidate) => candidate.id === planned?.target.id);
    if (decodeTarget === undefined || source === undefined) {
      return this.#retry("refused", "");
    }
    this.#startLeg(decodeTarget, {
      firstTokenMs: 0,
      isPrefillOnly: false,
      ...(result.kvHandle === undefined
        ? {}
        : { kvImport: { address: source.address, handle: result.kvHandle } }),
    });
  }

  #handleFailure(leg: Leg, failure: EngineFailure): void {
    if (this.#isAbandoned(leg)) return;
    if (leg.attempt === undefined) {
      // The adapter reported the failure before `generate` returned, so it is handled later.
      setImmediate(() => this.#handleFailure(leg, failure));
      return;
    }
    if (leg.attempt.isSent) this.#hasSentRequest = true;
    const nowMs = this.#host.clock.readMonotonicMs();
    if (failure === "broken") this.#recordLoss(leg);
    if (
      (failure === "broken" || failure === "silent") && this.#tryResume(leg)
    ) return;
    this.#closeLeg(leg, nowMs);
    if (failure !== "kvGone") this.#host.targets.recordFailure(leg.target);
    // All tokens are delivered, and only the engine's end marker is missing.
    if (this.#delivered.length === this.#options.maxTokens) {
      return this.#finish("length");
    }
    if (failure === "invalid") {
      return this.#fail(
        new ServeError(
          "targetFailed",
          "the engine rejected the request as invalid",
        ),
      );
    }
    this.#retry(failure, failure === "kvGone" ? "" : leg.target);
  }

  #recordLoss({ target: id, attempt }: Leg): void {
    const target = this.#host.targets.findTarget(id);
    if (target === undefined || attempt?.isSent !== true) return;
    this.#options.admitted.recordLoss(target, "the response was interrupted");
  }

  /** Requests the rest of the response from the same engine, at most once per leg. */
  #tryResume(leg: Leg): boolean {
    const target = this.#host.targets.findTarget(leg.target);
    if (leg.resumed || leg.received === 0 || target === undefined) return false;
    const engine = this.#host.targets.getEngine(target);
    if (engine.resume === undefined) return false;
    leg.resumed = true;
    this.#host.events.recordContinuation("resume");
    leg.attempt = engine.resume(leg.call, leg.received, {
      onTokens: (texts) => this.#handleTokens(leg, texts),
      onEnd: (result) => this.#handleEnd(leg, result),
      onFailure: (failure) => {
        this.#handleFailure(leg, failure === "invalid" ? "broken" : failure);
      },
    });
    return true;
  }

  /** Continues on another target, within the maximum of attempts, retry budget and deadline. */
  #retry(reason: EngineFailure, target: string): void {
    if (target !== "") this.#failedTargets.add(target);
    const empty = this.#delivered.length === 0;
    if (!this.#options.admitted.mayRetry()) return this.#giveUp(reason);
    if (this.#tries >= this.#host.limits.maxTries) return this.#giveUp(reason);
    if (empty && !this.#host.retries.spendRetry()) return this.#giveUp(reason);
    if (empty) this.#host.events.recordRetry(reason);
    else this.#host.events.recordContinuation(reason);
    this.#continue(reason);
  }

  #continue(reason: EngineFailure): void {
    if (this.#isFinished) return;
    const plan = this.#planRoute();
    if (plan !== undefined) return this.#startPlan(plan);
    if (this.#delivered.length === 0) return this.#giveUp(reason);
    this.#retryTimer = setTimeout(
      () => this.#continue(reason),
      NO_TARGET_RETRY_DELAY_MS,
    );
  }

  #giveUp(reason: EngineFailure): void {
    if (this.#delivered.length > 0) {
      const message =
        `the response was interrupted after ${this.#delivered.length} tokens (${reason})`;
      return this.#fail(new ServeError("answerIncomplete", message));
    }
    const run = this.#hasSentRequest ? "unknown" : "no";
    if (reason === "refused" || reason === "notSent") {
      return this.#fail(
        new ServeError("noTarget", "no target accepted the request", { run }),
      );
    }
    this.#fail(
      new ServeError("targetFailed", `the target failed (${reason})`, { run }),
    );
  }

  get #mayHaveRun(): boolean {
    return this.#hasSentRequest || (this.#leg?.attempt?.isSent ?? false);
  }

  #handleDeadline(): void {
    const run = this.#mayHaveRun ? "unknown" : "no";
    this.#fail(
      new ServeError("deadlineExceeded", "the deadline has passed", { run }),
    );
  }

  #finish(reason: string): void {
    if (this.#isFinished) return;
    const { maxTokens, requestId } = this.#options;
    const isComplete = reason === "stop" ||
      this.#delivered.length === maxTokens ||
      this.#disabledGuards.has("missingTokens");
    assertInvariant(isComplete, "whole-answer", requestId);
    this.#close();
    this.#options.sink.onEnd(reason, {
      promptTokens: this.#promptTokens || this.#options.promptTokens,
      outputTokens: this.#delivered.length,
      cachedTokens: this.#cachedTokens,
    });
  }

  #fail(error: ServeError): void {
    if (this.#isFinished) return;
    this.#close();
    this.#options.sink.onError(error);
  }

  #closeLeg(leg: Leg, nowMs: number): void {
    leg.work.end(nowMs);
    if (this.#leg === leg) this.#leg = undefined;
  }

  #close(): void {
    this.#isFinished = true;
    clearTimeout(this.#deadlineTimer);
    clearTimeout(this.#retryTimer);
    const nowMs = this.#host.clock.readMonotonicMs();
    this.#plannedDecode?.work.end(nowMs);
    this.#plannedDecode = undefined;
    const leg = this.#leg;
    if (leg === undefined) return;
    this.#closeLeg(leg, nowMs);
    leg.attempt?.abort();
  }
}
