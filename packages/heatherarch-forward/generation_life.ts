/**
 * Life of a generation: an engine reads the prompt, another takes the KV cache over and
 * streams. A reading may be repeated; a run only where the route's streams may be resumed.
 *
 * @module
 */
import { type RelayEnd, StreamRelay } from "./answer_relay.ts";
import type { CallRun } from "./call_run.ts";
import { computeEnginePriority, computeLane, LATE_LANE } from "./lanes.ts";
import type { EngineTraits, GenerationFacts, Target } from "./model.ts";
import type { KvHandle } from "./ports.ts";
import {
  type PlacementView,
  type PromptPlacement,
  sumShared,
} from "./prompt_placement.ts";
import { pickRunner, type RunCandidate } from "./run_placement.ts";
import { ExchangeError } from "./target_exchange.ts";
import { awaitHead, isSuccess } from "./try_judge.ts";

/** Tries of either stage for one call. */
const MAX_ROUNDS = 5;
/** With less time left than this a first token can't reach the client, milliseconds. */
const MIN_ROUND_MS = 40;
/** From the read prompt to the first token at the client: two hops, a transfer, a step. */
const FIRST_TOKEN_MS = 35;
/** A reading is given up after this many times its predicted time, and the slack. */
const READ_PATIENCE = 3;
const READ_SLACK_MS = 500;
/** A resumable run that is silent for this long goes on elsewhere, milliseconds. */
const RUN_SILENCE_MS = 900;
/** Longest answer to a reading; it holds a handle and two numbers. */
const MAX_HANDLE_BYTES = 64 * 1024;
/** A beginning is fetched only from engines that used it in this part of the time it is kept. */
const SOURCE_PART = 0.6;
/** Wait that a refused caller is told at least, milliseconds. */
const MIN_RETRY_AFTER_MS = 200;

type ReadResult =
  | { readonly kind: "read"; readonly source: KvHandle; readonly by: Target }
  /** No engine reads prompts apart; the generating engine reads this one. */
  | { readonly kind: "apart" }
  | { readonly kind: "again" | "over" };

type RoundEnd = "ended" | "again";

/** Serves one generation. */
export class GenerationLife {
  readonly #run: CallRun;
  readonly #prompt: GenerationFacts;
  readonly #traits: EngineTraits;
  readonly #relay: StreamRelay;
  readonly #tried = new Set<string>();
  /** The next send repeats one that reached a target. */
  #isFurther = false;
  #reason = "no engine took the call";

  constructor(run: CallRun, prompt: GenerationFacts, traits: EngineTraits) {
    this.#run = run;
    this.#prompt = prompt;
    this.#traits = traits;
    this.#relay = new StreamRelay({
      caller: run.caller,
      isResumable: run.route.kind === "resumableStream",
      onFirstByte: () => this.#noteFirstByte(),
    });
  }

  async serve(): Promise<void> {
    const run = this.#run;
    for (let round = 0; round < MAX_ROUNDS && !run.isOver; round++) {
      if (run.remainingMs < MIN_ROUND_MS || !run.mayRunAgain) break;
      const read = await this.#readPrompt();
      if (run.isOver || read.kind === "over") break;
      if (read.kind === "again") continue;
      const source = read.kind === "read" ? read.source : undefined;
      const by = read.kind === "read" ? read.by : undefined;
      if (await this.#generate(source, by) === "ended") return;
    }
    this.#conclude();
  }

  /** Has the prompt read by the engine that is soonest done with it. */
  async #readPrompt(): Promise<ReadResult> {
    const run = this.#run;
    const { ledger, codec } = run.serving;
    const readers = this.#listEngines("prefill");
    if (readers.length === 0) return { kind: "apart" };
    const placed = this.#placeOnTime(readers);
    if (placed === undefined) return { kind: "apart" };
    const { placement, lane } = placed;
    if (!this.#admit(placement)) return { kind: "over" };
    if (this.#isFurther && !run.spendTry()) return { kind: "over" };
    const { target } = placement;
    const startedAtMs = run.nowMs;
    const key = run.serving.placer.findKey(this.#prompt);
    if (key !== undefined) {
      run.serving.prompts.noteHolder(key, target.id, "reading", startedAtMs);
    }
    const endRead = ledger.beginRead(
      target.id,
      placement.costMs,
      lane,
      startedAtMs,
    );
    const exchange = run.send(
      target,
      codec.encodeTry(run.call, {
        target,
        patienceMs: run.remainingMs,
        stage: "readPrompt",
        fetchFrom: placement.fetchFrom?.address,
        enginePriority: computeEnginePriority(lane),
        lastEventId: this.#relay.lastEventId,
      }),
    );
    try {
      const end = await awaitHead({
        run,
        target,
        exchange,
        stage: "readPrompt",
        timeoutMs: placement.readyMs * READ_PATIENCE + READ_SLACK_MS,
        isPatient: true,
      });
      if (end.kind === "over") return { kind: "over" };
      if (end.kind !== "answer") {
        return this.#missRead(target, end.kind, end.reason);
      }
      const body = await exchange.readBody(MAX_HANDLE_BYTES);
      const handle = isSuccess(end.head.status)
        ? codec.decodeHandle(body)
        : undefined;
      if (handle === undefined) {
        return this.#missRead(target, "lost", `status ${end.head.status}`);
      }
      this.#noteReading(placement, lane, run.nowMs - startedAtMs);
      const source = { address: target.address, handle };
      if (run.isOver) {
        this.#freeHandle(source, target);
        return { kind: "over" };
      }
      return { kind: "read", source, by: target };
    } catch (error) {
      if (!(error instanceof ExchangeError)) throw error;
      return this.#missRead(target, "lost", error.message);
    } finally {
      endRead();
    }
  }

  #missRead(
    target: Target,
    kind: "notSent" | "notRun" | "lost",
    reason: string,
  ): ReadResult {
    this.#tried.add(target.id);
    const { placer, prompts } = this.#run.serving;
    const key = placer.findKey(this.#prompt);
    if (key !== undefined) prompts.forgetHolder(key, target.id);
    this.#reason = `prompt not read: ${reason}`;
    if (kind !== "notSent") this.#isFurther = true;
    return { kind: "again" };
  }

  /** Runs the call at an engine that generates, from a KV cache or from the prompt itself. */
  async #generate(
    source: KvHandle | undefined,
    reader: Target | undefined,
  ): Promise<RoundEnd> {
    const run = this.#run;
    const { codec, ledger } = run.serving;
    const target = this.#pickRunner(reader?.availabilityZone);
    if (target === undefined) {
      this.#reason = "no engine generates";
      this.#freeHandle(source, reader);
      this.#isFurther = true;
      return "again";
    }
    if (source === undefined && this.#isFurther && !run.spendTry()) {
      this.#conclude();
      return "ended";
    }
    const endRun = ledger.beginRun(target.id, this.#prompt.promptTokens);
    const exchange = run.send(
      target,
      codec.encodeTry(run.call, {
        target,
        patienceMs: run.remainingMs,
        stage: source === undefined ? "whole" : "takeOver",
        kvSource: source,
        enginePriority: computeEnginePriority(
          computeLane(run.route.priority),
        ),
        lastEventId: this.#relay.lastEventId,
      }),
    );
    run.noteRun();
    try {
      const end = await awaitHead({
        run,
        target,
        exchange,
        stage: source === undefined ? "whole" : "takeOver",
        timeoutMs: this.#getSilenceMs(),
      });
      if (end.kind === "over") return "ended";
      if (end.kind === "notSent" || end.kind === "notRun") {
        run.noteNotRun();
        return this.#missRun(target, source, reader, end.kind, end.reason);
      }
      if (end.kind === "lost") {
        return this.#missRun(target, source, reader, "lost", end.reason);
      }
      const { status } = end.head;
      if (isSuccess(status) && !end.facts.signed) {
        exchange.abort("unsigned success");
        return this.#missRun(
          target,
          source,
          reader,
          "lost",
          "success without a signature",
        );
      }
      if (!isSuccess(status) && this.#relay.isStarted) {
        exchange.abort("no stream to go on with");
        return this.#missRun(
          target,
          source,
          reader,
          "lost",
          `status ${status}`,
        );
      }
      const relayEnd = await this.#relayFrom(exchange, end.head);
      return this.#takeRelayEnd(target, status, relayEnd);
    } finally {
      endRun();
    }
  }

  async #relayFrom(
    exchange: Parameters<StreamRelay["relay"]>[0],
    head: Parameters<StreamRelay["relay"]>[1],
  ): Promise<RelayEnd> {
    return await this.#relay.relay(exchange, head);
  }

  #takeRelayEnd(target: Target, status: number, end: RelayEnd): RoundEnd {
    const run = this.#run;
    if (run.isOver) return "ended";
    if (end === "whole") {
      run.caller.end();
      run.finish("delivered", { status, target: target.id });
      return "ended";
    }
    this.#reason = `stream broke off: ${end.message}`;
    this.#tried.add(target.id);
    run.serving.health.noteOutcome(target.id, "failed", run.nowMs);
    run.serving.log.write("info", "streamBroken", {
      call: run.call.id,
      target: target.id,
      reason: end.message,
      lastEventId: this.#relay.lastEventId,
      mayResume: run.mayRunAgain,
    });
    this.#isFurther = true;
    return "again";
  }

  #missRun(
    target: Target,
    source: KvHandle | undefined,
    reader: Target | undefined,
    kind: "notSent" | "notRun" | "lost",
    reason: string,
  ): RoundEnd {
    this.#tried.add(target.id);
    this.#reason = `not generated: ${reason}`;
    if (kind === "notSent") this.#freeHandle(source, reader);
    // A new round reads the prompt again: a further try either way.
    this.#isFurther = true;
    return "again";
  }

  #conclude(): void {
    const run = this.#run;
    if (run.isOver) return;
    if (run.mayHaveRun) return run.fail("answerIncomplete", this.#reason);
    const { drawUnit } = run.serving;
    run.refuse("noTarget", this.#reason, {
      retryAfterMs: MIN_RETRY_AFTER_MS * (1 + drawUnit()),
      detail: { tried: [...this.#tried] },
    });
  }

  /** Refuses at once what can't begin in its time. */
  #admit(placement: PromptPlacement): boolean {
    const run = this.#run;
    const neededMs = placement.readyMs + FIRST_TOKEN_MS;
    if (neededMs <= run.remainingMs) return true;
    if (run.mayHaveRun) {
      run.fail("answerIncomplete", "no time is left to go on elsewhere");
      return false;
    }
    const spread = 1 + run.serving.drawUnit() / 2;
    const excessMs = placement.readyMs - run.route.aimMs;
    run.refuse("overloaded", "the prompt can't be read in the time left", {
      retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, excessMs) * spread,
      detail: {
        target: placement.target.id,
        readyMs: Math.round(placement.readyMs),
        remainingMs: Math.round(run.remainingMs),
      },
    });
    return false;
  }

  /** The place in the call's own lane, or in the lane of late calls where it can't be on time. */
  #placeOnTime(
    readers: readonly Target[],
  ): { placement: PromptPlacement; lane: number } | undefined {
    const lane = computeLane(this.#run.route.priority);
    const placement = this.#placePrompt(readers, lane);
    if (placement === undefined) return undefined;
    if (placement.readyMs + FIRST_TOKEN_MS <= this.#run.aimLeftMs) {
      return { placement, lane };
    }
    const late = this.#placePrompt(readers, LATE_LANE) ?? placement;
    return { placement: late, lane: LATE_LANE };
  }

  #placePrompt(
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
    const serving = directory.listServing(run.service.name);
    const listed = serving.filter((target) => target.role === "prefill");
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
    const { placer, prompts, retention, countVms } = this.#run.serving;
    const key = placer.findKey(this.#prompt);
    if (key === undefined) return { holders: [], sources: [] };
    const nowMs = this.#run.nowMs;
    const keptMs = retention.estimateMs(
      this.#traits.kvTokens,
      readers.length,
      countVms(),
      nowMs,
    );
    const holders: Target[] = [];
    const sources: Target[] = [];
    let lastHolder: Target | undefined;
    for (const holder of prompts.listHolders(key)) {
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

  /** Engines of a role that may be tried; avoided ones only where there is no other. */
  #listEngines(role: "prefill" | "decode"): Target[] {
    const run = this.#run;
    const { directory, health, connections } = run.serving;
    const nowMs = run.nowMs;
    const open = directory.listServing(run.service.name)
      .filter((target) => (target.role === "prefill") === (role === "prefill"))
      .filter((target) => !this.#tried.has(target.id))
      .filter((target) => !directory.isChanging(target.id, nowMs))
      .filter((target) =>
        connections.hasRoom(target, run.service.maxConnections)
      );
    const sound = open.filter((target) => !health.isAvoided(target.id, nowMs));
    return sound.length > 0 ? sound : open;
  }

  #pickRunner(zone: string | undefined): Target | undefined {
    const { ledger, drawUnit } = this.#run.serving;
    const nowMs = this.#run.nowMs;
    const candidates = this.#listEngines("decode")
      .map((target): RunCandidate => {
        const { runs, kvTokens } = ledger.getRuns(target.id, nowMs);
        const kvRoom = this.#traits.kvTokens;
        return { target, runs, kvTokens, kvRoom };
      });
    return pickRunner(candidates, zone, drawUnit)?.target;
  }

  #getSilenceMs(): number | undefined {
    const { kind, maxTargets } = this.#run.route;
    return kind === "resumableStream" && maxTargets > 1
      ? RUN_SILENCE_MS
      : undefined;
  }

  /** Notes who holds the beginning now; short prompts show an engine's own speed. */
  #noteReading(
    placement: PromptPlacement,
    lane: number,
    tookMs: number,
  ): void {
    const { readModel, placer, prompts, retention, log } = this.#run.serving;
    const { target, costMs, readyMs } = placement;
    const key = placer.findKey(this.#prompt);
    if (key !== undefined) {
      prompts.noteHolder(key, target.id, "read", this.#run.nowMs);
    } else if (readyMs === costMs) {
      // Nothing else was being read there: this is the engine's own speed.
      readModel.learn(target.id, costMs, tookMs);
    }
    const { promptTokens } = this.#prompt;
    const isHeld = !placement.isCold && placement.fetchFrom === undefined;
    const heldTokens = isHeld ? sumShared(this.#prompt) : 0;
    retention.noteRead(promptTokens - heldTokens, this.#run.nowMs);
    log.write("info", "promptRead", {
      call: this.#run.call.id,
      target: target.id,
      tokens: promptTokens,
      lane,
      isCold: placement.isCold,
      fetchFrom: placement.fetchFrom?.id,
      costMs: Math.round(costMs),
      readyMs: Math.round(readyMs),
      tookMs: Math.round(tookMs),
    });
  }

  #freeHandle(source: KvHandle | undefined, reader: Target | undefined): void {
    if (source === undefined || reader === undefined) return;
    const { connections, codec, directory, log } = this.#run.serving;
    if (directory.findTarget(reader.id) === undefined) return;
    connections.open(reader, codec.encodeFree(source.handle))
      .readBody(MAX_HANDLE_BYTES)
      .catch((error: Error) =>
        // It lapses by itself after some seconds.
        log.write("debug", "handleNotFreed", {
          call: this.#run.call.id,
          target: reader.id,
          reason: error.message,
        })
      );
  }

  #noteFirstByte(): void {
    const run = this.#run;
    const tookMs = run.nowMs - run.call.arrivedAtMs;
    run.serving.metrics.firstByte.observe(
      { kind: run.route.kind },
      tookMs / 1000,
    );
    run.serving.log.write("debug", "firstByte", {
      call: run.call.id,
      tookMs: Math.round(tookMs),
      aimMs: run.route.aimMs,
    });
  }
}
