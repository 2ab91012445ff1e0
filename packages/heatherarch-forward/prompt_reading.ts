/**
 * Having a prompt read apart: choosing the engine, sending the reading, and noting what it
 * tells of engines and their caches. A reading may be repeated.
 *
 * @module
 */
import type { CallRun } from "./call_run.ts";
import { listEngines } from "./engine_choice.ts";
import { computeEnginePriority, computeLane, LATE_LANE } from "./lanes.ts";
import type { EngineTraits, GenerationFacts, Target } from "./model.ts";
import type { KvHandle } from "./ports.ts";
import {
  type PlacementView,
  type PromptPlacement,
  sumShared,
} from "./prompt_placement.ts";
import { ExchangeError, type TargetExchange } from "./target_exchange.ts";
import { awaitHead, isSuccess } from "./try_judge.ts";

/** From the read prompt to the first token at the client: two hops, a transfer, a step. */
const FIRST_TOKEN_MS = 35;
/** A reading is given up after this many times its predicted time, and the slack. */
const READ_PATIENCE = 3;
const READ_SLACK_MS = 500;
/** Longest answer to a reading; it holds a handle and two numbers. */
const MAX_HANDLE_BYTES = 64 * 1024;
/** A beginning is fetched only from engines that used it in this part of the time it is kept. */
const SOURCE_PART = 0.6;

/** A prompt that an engine has read, and how to take its cache over. */
export interface ReadPrompt {
  readonly by: Target;
  readonly source: KvHandle;
}

/** How an attempt to have a prompt read ended. */
export type ReadEnd =
  | { readonly kind: "read"; readonly prompt: ReadPrompt }
  /** No engine reads prompts apart now. */
  | { readonly kind: "noReader" }
  /** No engine can be done with it in the time that the call has left. */
  | { readonly kind: "tooLate"; readonly placement: PromptPlacement }
  /** The fleet's allowance for further tries is spent. */
  | { readonly kind: "noAllowance" }
  | { readonly kind: "failed"; readonly reason: string }
  /** The call ended meanwhile. */
  | { readonly kind: "over" };

/** A placement in the lane that it was made for. */
interface LanePlacement {
  readonly placement: PromptPlacement;
  readonly lane: number;
}

/** Options of {@linkcode PromptReading}. */
export interface PromptReadingOptions {
  readonly run: CallRun;
  readonly prompt: GenerationFacts;
  readonly traits: EngineTraits;
}

/** Readings of one call's prompt. */
export class PromptReading {
  readonly #run: CallRun;
  readonly #prompt: GenerationFacts;
  readonly #traits: EngineTraits;
  /** Key of the prompt's beginning; undefined where it is short. */
  readonly #key: string | undefined;
  readonly #tried = new Set<string>();
  /** An earlier reading reached an engine: the next one is a further try. */
  #isFurther = false;

  constructor(options: PromptReadingOptions) {
    this.#run = options.run;
    this.#prompt = options.prompt;
    this.#traits = options.traits;
    this.#key = options.run.serving.placer.findKey(options.prompt);
  }

  /** Whether a next send to an engine repeats one that reached an engine. */
  get isFurther(): boolean {
    return this.#isFurther;
  }

  /** The call has been tried before, beyond readings. */
  noteFurther(): void {
    this.#isFurther = true;
  }

  /** Has the prompt read by the engine that is soonest done with it. */
  async read(lastEventId: string | undefined): Promise<ReadEnd> {
    const run = this.#run;
    const placed = this.#place();
    if (placed === undefined) return { kind: "noReader" };
    const { placement } = placed;
    if (placement.readyMs + FIRST_TOKEN_MS > run.remainingMs) {
      return { kind: "tooLate", placement };
    }
    if (this.#isFurther && !run.spendTry()) return { kind: "noAllowance" };
    const startedAtMs = run.nowMs;
    this.#noteHolder(placement.target, "reading");
    const endRead = run.serving.ledger.beginRead(
      placement.target.id,
      placement.costMs,
      placed.lane,
      startedAtMs,
    );
    try {
      const exchange = this.#send(placed, lastEventId);
      const source = await this.#awaitHandle(placement, exchange);
      if (typeof source === "object" && "handle" in source) {
        this.#noteReading(placed, run.nowMs - startedAtMs);
        return this.#hand({ by: placement.target, source });
      }
      return source;
    } finally {
      endRead();
    }
  }

  /** Frees a cache that nobody will take over. */
  free({ by, source }: ReadPrompt): void {
    const { connections, codec, directory, log } = this.#run.serving;
    if (directory.findTarget(by.id) === undefined) return;
    connections.open(by, codec.encodeFree(source.handle))
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
    const request = run.serving.codec.encodeTry(run.call, {
      target,
      patienceMs: run.remainingMs,
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
  ): Promise<KvHandle | ReadEnd> {
    const end = await awaitHead({
      run: this.#run,
      target,
      exchange,
      stage: "readPrompt",
      timeoutMs: readyMs * READ_PATIENCE + READ_SLACK_MS,
      isPatient: true,
    });
    if (end.kind === "over") return { kind: "over" };
    if (end.kind !== "answer") {
      return this.#miss(target, end.reason, end.kind !== "notSent");
    }
    try {
      const body = await exchange.readBody(MAX_HANDLE_BYTES);
      const { status } = end.head;
      const handle = isSuccess(status)
        ? this.#run.serving.codec.decodeHandle(body)
        : undefined;
      if (handle !== undefined) return { address: target.address, handle };
      return this.#miss(target, `status ${status}`, true);
    } catch (error) {
      if (!(error instanceof ExchangeError)) throw error;
      return this.#miss(target, error.message, true);
    }
  }

  /** Hands a read prompt over, unless its call has ended. */
  #hand(prompt: ReadPrompt): ReadEnd {
    if (!this.#run.isOver) return { kind: "read", prompt };
    this.free(prompt);
    return { kind: "over" };
  }

  #miss(target: Target, reason: string, isSent: boolean): ReadEnd {
    this.#tried.add(target.id);
    if (isSent) this.#isFurther = true;
    if (this.#key !== undefined) {
      this.#run.serving.prompts.forgetHolder(this.#key, target.id);
    }
    return { kind: "failed", reason: `prompt not read: ${reason}` };
  }

  /** The place in the call's own lane, or in the lane of late calls where it can't be on time. */
  #place(): LanePlacement | undefined {
    const readers = listEngines(this.#run, "reading", this.#tried);
    const lane = computeLane(this.#run.route.priority);
    const placement = this.#placeInLane(readers, lane);
    if (placement === undefined) return undefined;
    if (placement.readyMs + FIRST_TOKEN_MS <= this.#run.aimLeftMs) {
      return { placement, lane };
    }
    const late = this.#placeInLane(readers, LATE_LANE) ?? placement;
    return { placement: late, lane: LATE_LANE };
  }

  #placeInLane(
    readers: readonly Target[],
    lane: number,
  ): PromptPlacement | undefined {
    const run = this.#run;
    const { ledger, placer, directory } = run.serving;
    const nowMs = run.nowMs;
    const candidates = readers.map((target) => ({
      target,
      backlogMs: ledger.getReadMs(target.id, lane, nowMs),
    }));
    const listed = directory.listServing(run.service.name)
      .filter((target) => target.role === "prefill");
    return placer.pickReader(this.#prompt, {
      candidates,
      readers: listed,
      ...this.#findHolders(listed),
      traits: this.#traits,
    });
  }

  /** What is known of the engines that hold the prompt's beginning. */
  #findHolders(
    readers: readonly Target[],
  ): Pick<PlacementView, "holders" | "sources" | "lastHolder"> {
    const holders: Target[] = [];
    const sources: Target[] = [];
    if (this.#key === undefined) return { holders, sources };
    const { prompts, retention, countVms } = this.#run.serving;
    const nowMs = this.#run.nowMs;
    const keptMs = retention.estimateMs(
      this.#traits.kvTokens,
      readers.length,
      countVms(),
      nowMs,
    );
    let lastHolder: Target | undefined;
    for (const holder of prompts.listHolders(this.#key)) {
      const target = readers.find(({ id }) => id === holder.target);
      if (target === undefined) continue;
      lastHolder = target;
      const unusedMs = nowMs - holder.usedAtMs;
      if (unusedMs > keptMs) continue;
      holders.push(target);
      if (holder.state === "reading") continue;
      if (unusedMs <= keptMs * SOURCE_PART) sources.unshift(target);
    }
    return { holders, sources, lastHolder };
  }

  #noteHolder(target: Target, state: "reading" | "read"): void {
    if (this.#key === undefined) return;
    const { prompts } = this.#run.serving;
    prompts.noteHolder(this.#key, target.id, state, this.#run.nowMs);
  }

  /** Notes who holds the beginning now; short prompts show an engine's own speed. */
  #noteReading({ placement, lane }: LanePlacement, tookMs: number): void {
    const { readModel, retention, log } = this.#run.serving;
    const { target, costMs, readyMs, isCold, fetchFrom } = placement;
    this.#noteHolder(target, "read");
    if (this.#key === undefined && readyMs === costMs) {
      // Nothing else was being read there: this is the engine's own speed.
      readModel.learn(target.id, costMs, tookMs);
    }
    const { promptTokens } = this.#prompt;
    const isHeld = !isCold && fetchFrom === undefined;
    const heldTokens = isHeld ? sumShared(this.#prompt) : 0;
    retention.noteRead(promptTokens - heldTokens, this.#run.nowMs);
    log.write("info", "promptRead", {
      call: this.#run.call.id,
      target: target.id,
      tokens: promptTokens,
      lane,
      isCold,
      fetchFrom: fetchFrom?.id,
      costMs: Math.round(costMs),
      readyMs: Math.round(readyMs),
      tookMs: Math.round(tookMs),
    });
  }
}
