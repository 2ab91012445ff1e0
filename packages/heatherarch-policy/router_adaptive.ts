/**
 * Routing by predicted completion time: prefix affinity with bounded load, prefill apart
 * where it pays, engines of any role where their predicted time is best, own zone first.
 *
 * @module
 */
import { pickRendezvous } from "heatherarch-core";
import type { Candidate, RoutePlan, RouteRequest } from "./candidate.ts";
import type { EngineModel } from "./engine_model.ts";
import type { Router } from "./router.ts";

/** Engines on which the blocks of a prefix are expected. */
const WARM_ENGINES = 2;
/** Share of a prompt that a warm engine is expected to have cached, at first. */
const INITIAL_HIT_SHARE = 0.3;
const HIT_LEARNING_RATE = 0.02;
/** What one token of prefill on an engine that decodes costs the sequences there. */
const INTERFERENCE_WEIGHT = 0.5;
/** Weight of the newest look at an engine's pending prefill in its running mean. */
const BACKLOG_RATE = 0.03;
/** Output tokens over which a gap is weighed against the first token. */
const MAX_WEIGHED_OUTPUT = 256;

/** The product's own routing policy. */
export class AdaptiveRouter implements Router {
  readonly #model: EngineModel;
  /** Running mean of the prompt tokens that wait on each engine. */
  readonly #meanBacklog = new Map<string, number>();
  #hitShare = INITIAL_HIT_SHARE;

  constructor(model: EngineModel) {
    this.#model = model;
  }

  /** Takes in the share of a prompt that an engine had cached. */
  observeHit(cachedShare: number): void {
    this.#hitShare += (cachedShare - this.#hitShare) * HIT_LEARNING_RATE;
  }

  planRoute(
    request: RouteRequest,
    candidates: readonly Candidate[],
  ): RoutePlan | undefined {
    const open = candidates.filter((candidate) =>
      hasPlace(candidate, request.reserveShare)
    );
    if (open.length === 0) return undefined;
    for (const candidate of open) this.#noteBacklog(candidate);
    const warm = this.#pickWarm(request, open);
    const decode = this.#pickDecoder(request, open);
    let best: RoutePlan | undefined;
    let bestCost = Infinity;
    for (const candidate of open) {
      for (const plan of this.#buildPlans(request, candidate, decode, warm)) {
        const cost = this.#computeCost(request, plan);
        if (cost < bestCost) {
          best = plan;
          bestCost = cost;
        }
      }
    }
    return best;
  }

  #noteBacklog({ id, load }: Candidate): void {
    const mean = this.#meanBacklog.get(id) ?? 0;
    this.#meanBacklog.set(
      id,
      mean + (load.pendingPrefillTokens - mean) * BACKLOG_RATE,
    );
  }

  /** Gap while the engine's usual prefill goes on, also where it is idle just now. */
  #predictGapMs({ id, role, load }: Candidate): number {
    const usual = this.#meanBacklog.get(id) ?? 0;
    const pendingPrefillTokens = Math.max(load.pendingPrefillTokens, usual);
    return this.#model.predictGapMs(role, { ...load, pendingPrefillTokens });
  }

  #pickWarm(
    request: RouteRequest,
    open: readonly Candidate[],
  ): ReadonlySet<string> {
    const zone = open.filter((candidate) => candidate.sameZone);
    const pool = (zone.length > 0 ? zone : open).map((candidate) =>
      candidate.id
    );
    return new Set(pickRendezvous(request.prefixKey, pool, WARM_ENGINES));
  }

  /** The engine where the gap between tokens will be the smallest. */
  #pickDecoder(
    request: RouteRequest,
    open: readonly Candidate[],
  ): Candidate | undefined {
    let best: Candidate | undefined;
    let bestMs = Infinity;
    for (const candidate of open) {
      if (candidate.role === "prefill") continue;
      const ms = this.#predictDecodeMs(request, candidate);
      if (ms < bestMs) {
        best = candidate;
        bestMs = ms;
      }
    }
    return best;
  }

  #predictDecodeMs(request: RouteRequest, candidate: Candidate): number {
    const { role, load, distanceMs } = candidate;
    const tokens = Math.min(request.outputTokens, MAX_WEIGHED_OUTPUT);
    const waitMs = this.#model.predictFirstTokenMs(role, {
      ...load,
      pendingPrefillTokens: 0,
    }, 0);
    return this.#predictGapMs(candidate) * tokens + waitMs + distanceMs;
  }

  #buildPlans(
    request: RouteRequest,
    first: Candidate,
    decode: Candidate | undefined,
    warm: ReadonlySet<string>,
  ): RoutePlan[] {
    const { role, load, distanceMs } = first;
    const hitShare = warm.has(first.id) ? this.#hitShare : 0;
    const tokens = Math.ceil(request.promptTokens * (1 - hitShare));
    const firstTokenMs = this.#model.predictFirstTokenMs(role, load, tokens) +
      distanceMs;
    const gapMs = this.#predictGapMs(first);
    const plans: RoutePlan[] = [{ first, firstTokenMs, gapMs }];
    const { kvTransferMinTokens, promptTokens, outputTokens } = request;
    const mayMove = kvTransferMinTokens > 0 &&
      promptTokens >= kvTransferMinTokens;
    if (
      mayMove && outputTokens > 1 && decode !== undefined &&
      decode.id !== first.id
    ) {
      const decodeGapMs = this.#predictGapMs(decode);
      plans.push({ first, decode, firstTokenMs, gapMs: decodeGapMs });
    }
    return plans;
  }

  /** Predicted completion time, plus what the request costs the sequences around it. */
  #computeCost(request: RouteRequest, plan: RoutePlan): number {
    const { first, decode, firstTokenMs, gapMs } = plan;
    const tokens = Math.min(request.outputTokens, MAX_WEIGHED_OUTPUT);
    const { promptTokens } = request;
    let cost = firstTokenMs + gapMs * tokens;
    if (decode !== undefined) {
      const waitMs = this.#predictDecodeMs(request, decode) - gapMs * tokens;
      cost += promptTokens * this.#model.kvMsPerToken + waitMs;
    }
    if (first.role !== "prefill") {
      const disturbedMs = promptTokens * 1000 /
        this.#model.predictPrefillCapacity(first.role);
      cost += INTERFERENCE_WEIGHT * disturbedMs *
        Math.min(1, first.load.running / 16);
    }
    return cost;
  }
}

/** Whether a target keeps `reserveShare` of its places free after one more request. */
function hasPlace(candidate: Candidate, reserveShare: number): boolean {
  const { running, waiting } = candidate.load;
  return running + waiting + 1 <= candidate.maxConcurrent * (1 - reserveShare);
}
