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
const WARM_ENGINES = 2;
/** Share of a prompt that a warm engine is expected to have cached, at first. */
const INITIAL_HIT_SHARE = 0.2;
const HIT_LEARNING_RATE = 0.02;
/** Weight of a delay that a prompt causes to the sequences beside it. */
const DISTURBANCE_WEIGHT = 0.3;
/** A prefiller of the own zone generates only while fewer sequences than this run on it. */
const PREFILLER_SEQUENCES = 4;
/** Sequences on the best decoder from which prefillers may generate. */
const DECODERS_FULL_FROM = 54;
/** Share of the remaining time up to which a plan in the own zone is good enough. */
const LOCAL_SHARE = 0.75;
/** How much faster another zone must be. */
const SPILL_GAIN = 0.8;
/** Plans this close to the best are taken in turn, so that VMs do not flock together. */
const NEAR_SHARE = 1.06;
const NEAR_MS = 15;

/** A plan and what it costs, in milliseconds of delay. */
interface Option {
  readonly plan: RoutePlan;
  readonly cost: number;
}

/** The product's own routing policy. */
export class AdaptiveRouter implements Router {
  readonly #model: EngineModel;
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
    const local = open.filter((candidate) => candidate.sameZone);
    const near = this.#planIn(request, local);
    const fits = near !== undefined &&
      near.cost <= request.remainingMs * LOCAL_SHARE;
    if (fits || local.length === open.length) return near?.plan;
    const far = this.#planIn(request, open);
    if (near === undefined || far === undefined) return far?.plan;
    return far.cost < near.cost * SPILL_GAIN ? far.plan : near.plan;
  }

  /** The best plan among engines of one pool. */
  #planIn(
    request: RouteRequest,
    pool: readonly Candidate[],
  ): Option | undefined {
    const decoders = this.#listDecoders(pool);
    const decode = this.#pickDecoder(request, decoders);
    const options = decoders.map((candidate) =>
      this.#buildWhole(request, candidate)
    );
    if (decode !== undefined && mayMove(request)) {
      const prefillers = pool.filter((candidate) =>
        candidate.role === "prefill"
      );
      const warm = this.#pickWarm(request, prefillers);
      for (const first of prefillers) {
        options.push(
          this.#buildMoved(request, {
            first,
            decode,
            warm: warm.has(first.id),
          }),
        );
      }
    }
    return pickNearBest(options, request.spreadKey);
  }

  /** Engines that may generate; prefillers only where the others are nearly full. */
  #listDecoders(pool: readonly Candidate[]): readonly Candidate[] {
    const decoders = pool.filter((candidate) => candidate.role !== "prefill");
    const lowest = Math.min(
      ...decoders.map(({ load }) => load.running + load.waiting),
    );
    if (decoders.length > 0 && lowest < DECODERS_FULL_FROM) return decoders;
    const idle = pool.filter((candidate) =>
      candidate.role === "prefill" && candidate.sameZone &&
      candidate.load.running + candidate.load.waiting < PREFILLER_SEQUENCES
    );
    const usable = [...decoders, ...idle];
    return usable.length > 0 ? usable : pool;
  }

  #buildWhole(request: RouteRequest, first: Candidate): Option {
    const { role, load, distanceMs } = first;
    const { promptTokens } = request;
    const firstTokenMs =
      this.#model.predictFirstTokenMs(role, load, promptTokens) + distanceMs;
    const gapMs = this.#predictGapMs(first);
    const plan: RoutePlan = { first, firstTokenMs, gapMs };
    const cost = firstTokenMs + gapMs * countGaps(request) +
      this.#predictDisturbanceMs(request, first);
    return { plan, cost };
  }

  #buildMoved(
    request: RouteRequest,
    { first, decode, warm }: {
      first: Candidate;
      decode: Candidate;
      warm: boolean;
    },
  ): Option {
    const { role, load, distanceMs } = first;
    const tokens = Math.ceil(
      request.promptTokens * (warm ? 1 - this.#hitShare : 1),
    );
    const firstTokenMs = this.#model.predictFirstTokenMs(role, load, tokens) +
      distanceMs;
    const gapMs = this.#predictGapMs(decode);
    const moveMs = request.promptTokens * this.#model.kvMsPerToken;
    const plan: RoutePlan = { first, decode, firstTokenMs, gapMs };
    const decodeMs = this.#predictDecodeMs(request, decode);
    return { plan, cost: firstTokenMs + moveMs + decodeMs };
  }

  /** The engine where generating will be over the soonest. */
  #pickDecoder(
    request: RouteRequest,
    decoders: readonly Candidate[],
  ): Candidate | undefined {
    const options = decoders.map((candidate): Option => ({
      plan: { first: candidate, firstTokenMs: 0, gapMs: 0 },
      cost: this.#predictDecodeMs(request, candidate),
    }));
    return pickNearBest(options, request.spreadKey)?.plan.first;
  }

  #predictDecodeMs(request: RouteRequest, candidate: Candidate): number {
    const { role, load, distanceMs } = candidate;
    const ready = { ...load, pendingPrefillTokens: 0 };
    const waitMs = this.#model.predictFirstTokenMs(role, ready, 0);
    return this.#predictGapMs(candidate) * countGaps(request) + waitMs +
      distanceMs;
  }

  /** Delay that the steps of a prompt add to all sequences beside it. */
  #predictDisturbanceMs(
    request: RouteRequest,
    { role, load }: Candidate,
  ): number {
    if (role === "prefill") return 0;
    const { promptTokens } = request;
    const idle = { ...load, pendingPrefillTokens: 0 };
    const busy = { ...load, pendingPrefillTokens: promptTokens };
    const addedMs = this.#model.predictGapMs(role, busy) -
      this.#model.predictGapMs(role, idle);
    const steps = this.#model.countChunks(role, promptTokens);
    return DISTURBANCE_WEIGHT * addedMs * steps * load.running;
  }

  #pickWarm(
    request: RouteRequest,
    prefillers: readonly Candidate[],
  ): ReadonlySet<string> {
    const ids = prefillers.map((candidate) => candidate.id);
    return new Set(pickRendezvous(request.prefixKey, ids, WARM_ENGINES));
  }

  /** Gap over the life of a sequence: what is seen there, else what the model says. */
  #predictGapMs({ role, load, gapMs }: Candidate): number {
    return gapMs ??
      this.#model.predictGapMs(role, { ...load, pendingPrefillTokens: 0 });
  }
}

function mayMove(
  { kvTransferMinTokens, promptTokens, outputTokens }: RouteRequest,
): boolean {
  return kvTransferMinTokens > 0 && promptTokens >= kvTransferMinTokens &&
    outputTokens > 1;
}

function countGaps({ outputTokens }: RouteRequest): number {
  return Math.max(0, outputTokens - 1);
}

/** One of the options that are nearly as good as the best, the same for the same key. */
function pickNearBest(
  options: readonly Option[],
  spreadKey: string,
): Option | undefined {
  const lowest = Math.min(...options.map((option) => option.cost));
  const near = options.filter((option) =>
    option.cost <= lowest * NEAR_SHARE + NEAR_MS
  );
  if (near.length === 0) return undefined;
  return near[mixHash(hashText(spreadKey)) % near.length];
}

/** Whether a target keeps `reserveShare` of its places free after one more request. */
function hasPlace(candidate: Candidate, reserveShare: number): boolean {
  const { running, waiting } = candidate.load;
  return running + waiting + 1 <= candidate.maxConcurrent * (1 - reserveShare);
}
