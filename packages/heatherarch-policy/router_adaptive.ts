/**
 * Routing by predicted completion time. The policy prefers the VM's own availability zone and
 * prefill engines that have the prompt's prefix cached. It disaggregates prefill and decode where
 * that is faster, and lets prefill engines decode when the decode engines are nearly full.
 *
 * @module
 */
import { hashText, mixHash, pickRendezvous } from "heatherarch-core";
import type { Candidate, RoutePlan, RouteRequest } from "./candidate.ts";
import type { EngineModel } from "./engine_model.ts";
import type { Router } from "./router.ts";

/** Number of engines that are expected to have the KV blocks of a prefix cached. */
const PREFIX_CACHE_ENGINES = 2;
/** Initial estimate of the share of a prompt that such an engine has cached. */
const INITIAL_CACHE_HIT_SHARE = 0.2;
const CACHE_HIT_LEARNING_RATE = 0.02;
/** Weight of the delay that a prefill causes to the other sequences on the engine. */
const INTERFERENCE_WEIGHT = 0.3;
/** A prefill engine in the VM's own zone decodes only while it has fewer sequences than this. */
const MAX_SEQUENCES_ON_PREFILLER = 4;
/** Prefill engines may decode once the least loaded decoder has this many sequences. */
const DECODER_FULL_SEQUENCES = 54;
/** A plan in the VM's own zone is used if its cost is at most this share of the remaining time. */
const LOCAL_DEADLINE_SHARE = 0.75;
/** Another zone is used only if its cost is below this share of the cost in the own one. */
const SPILLOVER_COST_RATIO = 0.8;
/**
 * Requests are spread over all plans within this ratio and margin of the best, so that the VMs do
 * not all choose the same target.
 */
const NEAR_BEST_RATIO = 1.06;
const NEAR_BEST_MARGIN_MS = 15;

/** A plan with its predicted cost, as a delay. */
interface ScoredPlan {
  readonly plan: RoutePlan;
  readonly costMs: number;
}

/** Chooses targets by predicted completion time. */
export class AdaptiveRouter implements Router {
  readonly #model: EngineModel;
  #cacheHitShare = INITIAL_CACHE_HIT_SHARE;

  constructor(model: EngineModel) {
    this.#model = model;
  }

  /** Updates the expected cache hits by the share of a prompt that an engine had cached. */
  observeCacheHit(cachedShare: number): void {
    this.#cacheHitShare += (cachedShare - this.#cacheHitShare) *
      CACHE_HIT_LEARNING_RATE;
  }

  planRoute(
    request: RouteRequest,
    candidates: readonly Candidate[],
  ): RoutePlan | undefined {
    const usable = candidates.filter((candidate) =>
      hasCapacity(candidate, request.reserveShare)
    );
    const local = usable.filter((candidate) => candidate.sameZone);
    const localBest = this.#planForPool(request, local);
    const isFastEnough = localBest !== undefined &&
      localBest.costMs <= request.remainingMs * LOCAL_DEADLINE_SHARE;
    if (isFastEnough || local.length === usable.length) return localBest?.plan;
    const best = this.#planForPool(request, usable);
    if (localBest === undefined || best === undefined) return best?.plan;
    return best.costMs < localBest.costMs * SPILLOVER_COST_RATIO
      ? best.plan
      : localBest.plan;
  }

  /** Returns the best plan among the engines of one pool. */
  #planForPool(
    request: RouteRequest,
    pool: readonly Candidate[],
  ): ScoredPlan | undefined {
    const decoders = this.#listDecoders(pool);
    const decode = this.#pickDecoder(request, decoders);
    const plans = decoders.map((candidate) =>
      this.#buildSingleEnginePlan(request, candidate)
    );
    if (decode !== undefined && canDisaggregate(request)) {
      const prefillers = pool.filter((candidate) =>
        candidate.role === "prefill"
      );
      const cached = this.#pickPrefixCacheEngines(request, prefillers);
      for (const primary of prefillers) {
        plans.push(
          this.#buildDisaggregatedPlan(request, {
            primary,
            decode,
            isCached: cached.has(primary.id),
          }),
        );
      }
    }
    return pickNearBest(plans, request.tieBreakKey);
  }

  /** Lists the engines that may decode. Prefill engines may only if the others are nearly full. */
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

  #buildSingleEnginePlan(
    request: RouteRequest,
    primary: Candidate,
  ): ScoredPlan {
    const { role, load, roundTripMs } = primary;
    const { promptTokens } = request;
    const firstTokenMs =
      this.#model.predictFirstTokenMs(role, load, promptTokens) + roundTripMs;
    const tokenGapMs = this.#predictTokenGapMs(primary);
    const plan: RoutePlan = { primary, firstTokenMs, tokenGapMs };
    const costMs = firstTokenMs + tokenGapMs * countTokenGaps(request) +
      this.#predictInterferenceMs(request, primary);
    return { plan, costMs };
  }

  #buildDisaggregatedPlan(
    request: RouteRequest,
    { primary, decode, isCached }: {
      primary: Candidate;
      decode: Candidate;
      isCached: boolean;
    },
  ): ScoredPlan {
    const { role, load, roundTripMs } = primary;
    const tokens = Math.ceil(
      request.promptTokens * (isCached ? 1 - this.#cacheHitShare : 1),
    );
    const firstTokenMs = this.#model.predictFirstTokenMs(role, load, tokens) +
      roundTripMs;
    const tokenGapMs = this.#predictTokenGapMs(decode);
    const transferMs = request.promptTokens * this.#model.kvMsPerToken;
    const plan: RoutePlan = { primary, decode, firstTokenMs, tokenGapMs };
    const decodeMs = this.#predictDecodeMs(request, decode);
    return { plan, costMs: firstTokenMs + transferMs + decodeMs };
  }

  /** Chooses the engine that is predicted to finish decoding first. */
  #pickDecoder(
    request: RouteRequest,
    decoders: readonly Candidate[],
  ): Candidate | undefined {
    const plans = decoders.map((candidate): ScoredPlan => ({
      plan: { primary: candidate, firstTokenMs: 0, tokenGapMs: 0 },
      costMs: this.#predictDecodeMs(request, candidate),
    }));
    return pickNearBest(plans, request.tieBreakKey)?.plan.primary;
  }

  #predictDecodeMs(request: RouteRequest, candidate: Candidate): number {
    const { role, load, roundTripMs } = candidate;
    const decodeLoad = { ...load, pendingPrefillTokens: 0 };
    const waitMs = this.#model.predictFirstTokenMs(role, decodeLoad, 0);
    return this.#predictTokenGapMs(candidate) * countTokenGaps(request) +
      waitMs + roundTripMs;
  }

  /** Predicts the weighted delay that the prefill steps of a prompt add to all other sequences. */
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

  /** Returns the observed gap between tokens, or the predicted one without an observation. */
  #predictTokenGapMs({ role, load, tokenGapMs }: Candidate): number {
    return tokenGapMs ??
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

/** Chooses one of the plans that are nearly as good as the best. The same key gets the same plan. */
function pickNearBest(
  plans: readonly ScoredPlan[],
  tieBreakKey: string,
): ScoredPlan | undefined {
  const lowestMs = Math.min(...plans.map((scored) => scored.costMs));
  const nearBest = plans.filter((scored) =>
    scored.costMs <= lowestMs * NEAR_BEST_RATIO + NEAR_BEST_MARGIN_MS
  );
  if (nearBest.length === 0) return undefined;
  return nearBest[mixHash(hashText(tieBreakKey)) % nearBest.length];
}

/** Whether `reserveShare` of a target's slots stay free after one more request. */
function hasCapacity(candidate: Candidate, reserveShare: number): boolean {
  const { running, waiting } = candidate.load;
  return running + waiting + 1 <= candidate.maxConcurrent * (1 - reserveShare);
}
