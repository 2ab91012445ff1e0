/**
 * Routing by predicted completion time: prefix affinity, prefill apart where it pays, work of
 * the other role taken in where its own engines are short, own zone first.
 *
 * @module
 */
import { hashText, mixHash, pickRendezvous } from "heatherarch-core";
import type { Candidate, RoutePlan, RouteRequest } from "./candidate.ts";
import type { EngineModel } from "./engine_model.ts";
import type { Router } from "./router.ts";

/** Engines on which the blocks of a prefix are expected. */
const PREFIX_CACHE_ENGINES = 2;
/** Share of a prompt that a warm engine is expected to have cached, at first. */
const INITIAL_CACHE_HIT_SHARE = 0.2;
const CACHE_HIT_LEARNING_RATE = 0.02;
/** Weight of a delay that a prompt causes to the sequences beside it. */
const INTERFERENCE_WEIGHT = 0.3;
/** A prefiller of the own zone generates only while fewer sequences than this run on it. */
const MAX_SEQUENCES_ON_PREFILLER = 4;
/** Sequences on the best decoder from which prefillers may generate. */
const DECODER_FULL_SEQUENCES = 54;
/** Share of the remaining time up to which a plan in the own zone is good enough. */
const LOCAL_DEADLINE_SHARE = 0.75;
/** How much faster another zone must be. */
const SPILLOVER_COST_RATIO = 0.8;
/** Plans this close to the best are taken in turn, so that VMs do not flock together. */
const NEAR_BEST_RATIO = 1.06;
const NEAR_BEST_MARGIN_MS = 15;

/** A plan and what it costs, in milliseconds of delay. */
interface ScoredPlan {
  readonly plan: RoutePlan;
  readonly costMs: number;
}

/** The product's own routing policy. */
export class AdaptiveRouter implements Router {
  readonly #model: EngineModel;
  #cacheHitShare = INITIAL_CACHE_HIT_SHARE;

  constructor(model: EngineModel) {
    this.#model = model;
  }

  /** Takes in the share of a prompt that an engine had cached. */
  observeCacheHit(cachedShare: number): void {
    this.#cacheHitShare += (cachedShare - this.#cacheHitShare) *
      CACHE_HIT_LEARNING_RATE;
  }

  planRoute(
    request: RouteRequest,
    candidates: readonly Candidate[],
  ): RoutePlan | undefined {
    const open = candidates.filter((candidate) =>
      hasCapacity(candidate, request.reserveShare)
    );
    const local = open.filter((candidate) => candidate.sameZone);
    const near = this.#planForPool(request, local);
    const fits = near !== undefined &&
      near.costMs <= request.remainingMs * LOCAL_DEADLINE_SHARE;
    if (fits || local.length === open.length) return near?.plan;
    const far = this.#planForPool(request, open);
    if (near === undefined || far === undefined) return far?.plan;
    return far.costMs < near.costMs * SPILLOVER_COST_RATIO
      ? far.plan
      : near.plan;
  }

  /** The best plan among engines of one pool. */
  #planForPool(
    request: RouteRequest,
    pool: readonly Candidate[],
  ): ScoredPlan | undefined {
    const decoders = this.#listDecoders(pool);
    const decode = this.#pickDecoder(request, decoders);
    const options = decoders.map((candidate) =>
      this.#buildSingleEnginePlan(request, candidate)
    );
    if (decode !== undefined && canDisaggregate(request)) {
      const prefillers = pool.filter((candidate) =>
        candidate.role === "prefill"
      );
      const warm = this.#pickPrefixCacheEngines(request, prefillers);
      for (const first of prefillers) {
        options.push(
          this.#buildDisaggregatedPlan(request, {
            first,
            decode,
            warm: warm.has(first.id),
          }),
        );
      }
    }
    return pickNearBest(options, request.tieBreakKey);
  }

  /** Engines that may generate; prefillers only where the others are nearly full. */
  #listDecoders(pool: readonly Candidate[]): readonly Candidate[] {
    const decoders = pool.filter((candidate) => candidate.role !== "prefill");
    const lowest = Math.min(
      ...decoders.map(({ load }) => load.running + load.waiting),
    );
    if (decoders.length > 0 && lowest < DECODER_FULL_SEQUENCES) return decoders;
    const idle = pool.filter((candidate) =>
      candidate.role === "prefill" && candidate.sameZone &&
      candidate.load.running + candidate.load.waiting <
        MAX_SEQUENCES_ON_PREFILLER
    );
    const usable = [...decoders, ...idle];
    return usable.length > 0 ? usable : pool;
  }

  #buildSingleEnginePlan(request: RouteRequest, first: Candidate): ScoredPlan {
    const { role, load, roundTripMs: distanceMs } = first;
    const { promptTokens } = request;
    const firstTokenMs =
      this.#model.predictFirstTokenMs(role, load, promptTokens) + distanceMs;
    const gapMs = this.#predictTokenGapMs(first);
    const plan: RoutePlan = { primary: first, firstTokenMs, tokenGapMs: gapMs };
    const cost = firstTokenMs + gapMs * countTokenGaps(request) +
      this.#predictInterferenceMs(request, first);
    return { plan, costMs: cost };
  }

  #buildDisaggregatedPlan(
    request: RouteRequest,
    { first, decode, warm }: {
      first: Candidate;
      decode: Candidate;
      warm: boolean;
    },
  ): ScoredPlan {
    const { role, load, roundTripMs: distanceMs } = first;
    const tokens = Math.ceil(
      request.promptTokens * (warm ? 1 - this.#cacheHitShare : 1),
    );
    const firstTokenMs = this.#model.predictFirstTokenMs(role, load, tokens) +
      distanceMs;
    const gapMs = this.#predictTokenGapMs(decode);
    const moveMs = request.promptTokens * this.#model.kvMsPerToken;
    const plan: RoutePlan = {
      primary: first,
      decode,
      firstTokenMs,
      tokenGapMs: gapMs,
    };
    const decodeMs = this.#predictDecodeMs(request, decode);
    return { plan, costMs: firstTokenMs + moveMs + decodeMs };
  }

  /** The engine where generating will be over the soonest. */
  #pickDecoder(
    request: RouteRequest,
    decoders: readonly Candidate[],
  ): Candidate | undefined {
    const options = decoders.map((candidate): ScoredPlan => ({
      plan: { primary: candidate, firstTokenMs: 0, tokenGapMs: 0 },
      costMs: this.#predictDecodeMs(request, candidate),
    }));
    return pickNearBest(options, request.tieBreakKey)?.plan.primary;
  }

  #predictDecodeMs(request: RouteRequest, candidate: Candidate): number {
    const { role, load, roundTripMs: distanceMs } = candidate;
    const ready = { ...load, pendingPrefillTokens: 0 };
    const waitMs = this.#model.predictFirstTokenMs(role, ready, 0);
    return this.#predictTokenGapMs(candidate) * countTokenGaps(request) +
      waitMs +
      distanceMs;
  }

  /** Delay that the steps of a prompt add to all sequences beside it. */
  #predictInterferenceMs(
    request: RouteRequest,
    { role, load }: Candidate,
  ): number {
    if (role === "prefill") return 0;
    const { promptTokens } = request;
    const idle = { ...load, pendingPrefillTokens: 0 };
    const busy = { ...load, pendingPrefillTokens: promptTokens };
    const addedMs = this.#model.predictTokenGapMs(role, busy) -
      this.#model.predictTokenGapMs(role, idle);
    const steps = this.#model.countChunks(role, promptTokens);
    return INTERFERENCE_WEIGHT * addedMs * steps * load.running;
  }

  #pickPrefixCacheEngines(
    request: RouteRequest,
    prefillers: readonly Candidate[],
  ): ReadonlySet<string> {
    const ids = prefillers.map((candidate) => candidate.id);
    return new Set(
      pickRendezvous(request.prefixKey, ids, PREFIX_CACHE_ENGINES),
    );
  }

  /** Gap over the life of a sequence: what is seen there, else what the model says. */
  #predictTokenGapMs({ role, load, tokenGapMs: gapMs }: Candidate): number {
    return gapMs ??
      this.#model.predictTokenGapMs(role, { ...load, pendingPrefillTokens: 0 });
  }
}

function canDisaggregate(
  { kvTransferMinTokens, promptTokens, outputTokens }: RouteRequest,
): boolean {
  return kvTransferMinTokens > 0 && promptTokens >= kvTransferMinTokens &&
    outputTokens > 1;
}

function countTokenGaps({ outputTokens }: RouteRequest): number {
  return Math.max(0, outputTokens - 1);
}

/** One of the options that are nearly as good as the best, the same for the same key. */
function pickNearBest(
  options: readonly ScoredPlan[],
  spreadKey: string,
): ScoredPlan | undefined {
  const lowest = Math.min(...options.map((option) => option.costMs));
  const near = options.filter((option) =>
    option.costMs <= lowest * NEAR_BEST_RATIO + NEAR_BEST_MARGIN_MS
  );
  if (near.length === 0) return undefined;
  return near[mixHash(hashText(spreadKey)) % near.length];
}

/** Whether a target keeps `reserveShare` of its places free after one more request. */
function hasCapacity(candidate: Candidate, reserveShare: number): boolean {
  const { running, waiting } = candidate.load;
  return running + waiting + 1 <= candidate.maxConcurrent * (1 - reserveShare);
}
