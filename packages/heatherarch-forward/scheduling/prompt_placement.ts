/**
 * Which engine reads a prompt.
 *
 * Pattern of load: many prompts begin with one of a few hundred long shared parts (13,300 of
 * 17,000 tokens), and reading such a part again takes four times as long as reading the rest.
 * A shared part goes to the engines that hold it. Where none does, all VMs agree without
 * talking on its home by rendezvous hashing, so that it is read once. When its holders have a
 * backlog, another engine fetches it from one of them over the engines' links, which takes
 * about a twentieth of the time of reading it.
 *
 * @module
 */
import { pickRendezvous } from "heatherarch-core";
import type { EngineTraits, GenerationParams, Target } from "../model.ts";
import type { PrefillTimeModel } from "../state/prefill_time_model.ts";

/** An engine that could read a prompt. */
export interface PrefillCandidate {
  readonly target: Target;
  /** Time until it has read what it was given so far, milliseconds. */
  readonly backlogMs: number;
}

/** Where a prompt is to be read. */
export interface PromptPlacement {
  readonly target: Target;
  /** Engine that holds the shared parts, where these are to be fetched from it. */
  readonly fetchFrom?: Target;
  /** The shared parts are read anew. */
  readonly isCold: boolean;
  /** Time to be booked for the reading, milliseconds. */
  readonly costMs: number;
  /** Time of the reading by itself, without waits that can't be foreseen. */
  readonly unloadedMs: number;
  /** Time until the engine has read what it was given before, milliseconds. */
  readonly backlogMs: number;
  /** Time until the prompt has been read, the backlog included. */
  readonly readyMs: number;
}

/** What is known of the engines when a prompt is placed. */
export interface PlacementContext {
  /** Engines that may read it. */
  readonly candidates: readonly PrefillCandidate[];
  /** Engines among which homes are dealt out; may hold more than the candidates. */
  readonly prefillEngines: readonly Target[];
  /** Engines known to hold the shared parts, or that are reading them now. */
  readonly prefixHolders: readonly Target[];
  /** Engines from which the shared parts can be fetched, the last used one first. */
  readonly prefixSources: readonly Target[];
  /** The engine that held the shared parts last, where that was too long ago to count on it. */
  readonly lastPrefixHolder?: Target;
  readonly traits: EngineTraits;
  /** Wait that is added to an engine in the choice alone, milliseconds; none by default. */
  readonly drawJitterMs?: (target: string) => number;
}

/** Options of {@linkcode PromptPlacer}. */
export interface PromptPlacerOptions {
  readonly model: PrefillTimeModel;
  /** Shared parts below this many tokens have no home: reading them takes less than a fetch. */
  readonly minPrefixTokens?: number;
  /** Wait that a fetch must save before it is worth its price, milliseconds. */
  readonly fetchMarginMs?: number;
  /** Wait that reading a part away from its home must save, milliseconds. */
  readonly nonOwnerMarginMs?: number;
  /** Fixed time of a fetch, milliseconds. */
  readonly fetchSetupMs?: number;
}

/** 1,000 tokens are read in 16 ms; a fetch takes 3 ms and more and holds two links. */
const DEFAULT_MIN_HOME_TOKENS = 1000;
/** A fetch of 13,300 tokens costs a fortieth of the worth of being on time; see policy.md. */
const DEFAULT_FETCH_MARGIN_MS = 40;
/** Another VM may be sending the same part to its home just now: half of a long part's reading. */
const DEFAULT_AWAY_MARGIN_MS = 120;
/** Setup of a transfer in the users' sheets. */
const DEFAULT_FETCH_SETUP_MS = 3;
/** Transfers between availability zones take twice as long. */
const CROSS_ZONE_FACTOR = 2;

/** Picks the engine that has read a prompt soonest. */
export class PromptPlacer {
  readonly #options: Required<PromptPlacerOptions>;

  constructor(options: PromptPlacerOptions) {
    this.#options = {
      minPrefixTokens: DEFAULT_MIN_HOME_TOKENS,
      fetchMarginMs: DEFAULT_FETCH_MARGIN_MS,
      nonOwnerMarginMs: DEFAULT_AWAY_MARGIN_MS,
      fetchSetupMs: DEFAULT_FETCH_SETUP_MS,
      ...options,
    };
  }

  /** Key of a prompt's shared beginning; undefined where it is too short to have a home. */
  findPrefixKey(prompt: GenerationParams): string | undefined {
    if (sumPrefixTokens(prompt) < this.#options.minPrefixTokens) {
      return undefined;
    }
    return prompt.parts.at(-2)?.id;
  }

  /** The best of the candidates, or undefined where there is none. */
  pickEngine(
    prompt: GenerationParams,
    view: PlacementContext,
  ): PromptPlacement | undefined {
    const key = this.findPrefixKey(prompt);
    const { drawJitterMs: drawSpreadMs = () => 0 } = view;
    let best: PromptPlacement | undefined;
    let bestScore = Infinity;
    for (const candidate of view.candidates) {
      const [placement, marginMs] = key === undefined
        ? [this.#judgeShort(prompt, candidate), 0]
        : this.#judge(prompt, key, candidate, view);
      // Keys spread prompts with a home by themselves.
      const isByKey = key !== undefined && marginMs === 0;
      const spreadMs = isByKey ? 0 : drawSpreadMs(candidate.target.id);
      const score = placement.readyMs + marginMs + spreadMs;
      if (score >= bestScore) continue;
      best = placement;
      bestScore = score;
    }
    return best;
  }

  #judgeShort(
    { promptTokens }: GenerationParams,
    { target, backlogMs }: PrefillCandidate,
  ): PromptPlacement {
    const { model } = this.#options;
    const costMs = model.predictMs(target.id, promptTokens, 0);
    const aloneMs = model.predictUnloadedMs(target.id, promptTokens, 0);
    const readyMs = backlogMs + costMs;
    return {
      target,
      isCold: false,
      costMs,
      unloadedMs: aloneMs,
      backlogMs,
      readyMs,
    };
  }

  /** A placement, and the wait that it must save over others. */
  #judge(
    prompt: GenerationParams,
    key: string,
    { target, backlogMs }: PrefillCandidate,
    view: PlacementContext,
  ): [PromptPlacement, number] {
    const { model, fetchMarginMs, nonOwnerMarginMs: awayMarginMs } =
      this.#options;
    const shared = sumPrefixTokens(prompt);
    const fresh = Math.max(0, prompt.promptTokens - shared);
    const build = (
      isCold: boolean,
      fetchMs = 0,
      fetchFrom?: Target,
    ): PromptPlacement => {
      const size: [number, number] = isCold
        ? [prompt.promptTokens, 0]
        : [fresh, shared];
      const costMs = fetchMs + model.predictMs(target.id, ...size);
      const aloneMs = fetchMs + model.predictUnloadedMs(target.id, ...size);
      const readyMs = backlogMs + costMs;
      const placement = {
        target,
        isCold,
        costMs,
        unloadedMs: aloneMs,
        backlogMs,
        readyMs,
      };
      return fetchFrom === undefined ? placement : { ...placement, fetchFrom };
    };
    if (view.prefixHolders.some((holder) => holder.id === target.id)) {
      return [build(false), 0];
    }
    const source = pickNear(view.prefixSources, target);
    if (source !== undefined) {
      const fetchMs = this.#predictFetchMs(shared, source, target, view.traits);
      return [build(false, fetchMs, source), fetchMarginMs];
    }
    const homeId = view.prefixHolders.length > 0
      ? undefined
      : view.lastPrefixHolder?.id ?? findHome(key, view.prefillEngines);
    return [build(true), homeId === target.id ? 0 : awayMarginMs];
  }

  #predictFetchMs(
    tokens: number,
    from: Target,
    to: Target,
    traits: EngineTraits,
  ): number {
    const bits = tokens * traits.kvBytesPerToken * 8;
    const plainMs = bits / (traits.linkMbps * 1000);
    const isCrossZone = from.availabilityZone !== to.availabilityZone;
    const factor = isCrossZone ? CROSS_ZONE_FACTOR : 1;
    return this.#options.fetchSetupMs + plainMs * factor;
  }
}

/** Tokens of all parts but the last, which is the call's own. */
export function sumPrefixTokens(prompt: GenerationParams): number {
  return prompt.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
}

/** Id of the engine that reads a beginning which nobody holds. */
function findHome(key: string, readers: readonly Target[]): string | undefined {
  return pickRendezvous(key, readers.map((reader) => reader.id), 1).at(0);
}

/** A source in the zone of `target`, or any. */
function pickNear(
  sources: readonly Target[],
  target: Target,
): Target | undefined {
  const near = sources.find((source) =>
    source.availabilityZone === target.availabilityZone
  );
  return near ?? sources.at(0);
}
