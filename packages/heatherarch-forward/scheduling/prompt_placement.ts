/**
 * Places prompts: picks the engine that prefills a prompt.
 *
 * Many prompts begin with one of a few hundred long shared prefixes (13,300 of 17,000 tokens).
 * Computing such a prefix again takes four times as long as prefilling the rest of the prompt, so a
 * prompt goes to the engines that have its prefix in their cache. If no engine has it, rendezvous
 * hashing gives all VMs the same owner without communication, so that the prefix is computed once.
 * If the engines that hold the prefix have a backlog, another engine fetches it from one of them
 * over the links between engines. A fetch takes about a twentieth of the time of computing it.
 *
 * @module
 */
import { pickRendezvous } from "heatherarch-core";
import type { EngineTraits, GenerationParams, Target } from "../model.ts";
import type { PrefillTimeModel } from "../state/prefill_time_model.ts";
import { NEW_CONNECTION_MS } from "./connection_preference.ts";

/** An engine that can prefill a prompt. */
export interface PrefillCandidate {
  readonly target: Target;
  /**
   * Time until the engine has finished its prefill backlog and its rate limit has room, in
   * milliseconds.
   */
  readonly backlogMs: number;
  /** Slowdown that the engine is expected to have when the prefill begins; 1 by default. */
  readonly slowdown?: number;
}

/** Engine that is to prefill a prompt, with the predicted times. */
export interface PromptPlacement {
  readonly target: Target;
  /** Engine from which the prefix is fetched; undefined if it is not fetched. */
  readonly fetchFrom?: Target;
  /** Whether the prefix is computed instead of reused. */
  readonly isCold: boolean;
  /** Prefill time that is booked for the engine, in milliseconds. */
  readonly costMs: number;
  /** Prefill time on an engine without other load, without unforeseen waits, in milliseconds. */
  readonly unloadedMs: number;
  /** Time until the engine has finished its earlier backlog, in milliseconds. */
  readonly backlogMs: number;
  /** Time until the prefill is complete, including the backlog, in milliseconds. */
  readonly readyMs: number;
  /** Momentary slowdown of the engine that the times include; 1 by default. */
  readonly slowdown?: number;
}

/** What is known about the engines when a prompt is placed. */
export interface PlacementContext {
  /** Engines that may prefill the prompt. */
  readonly candidates: readonly PrefillCandidate[];
  /** Engines among which prefix owners are chosen; may include more than the candidates. */
  readonly prefillEngines: readonly Target[];
  /** Engines that are known to hold the prefix, or that are computing it now. */
  readonly prefixHolders: readonly Target[];
  /** Engines from which the prefix can be fetched, the most recently used one first. */
  readonly prefixSources: readonly Target[];
  /** Last engine that held the prefix; it may have evicted the prefix since. */
  readonly lastPrefixHolder?: Target;
  readonly traits: EngineTraits;
  /** Draws a delay in milliseconds that is added to an engine's score only; 0 by default. */
  readonly drawJitterMs?: (target: string) => number;
  /** Whether a request to the engine opens a connection that should be avoided; false by default. */
  readonly needsConnection?: (target: Target) => boolean;
}

/** Options of {@linkcode PromptPlacer}. */
export interface PromptPlacerOptions {
  readonly model: PrefillTimeModel;
  /** Prefixes with fewer tokens have no key and no owner: a fetch is not worth its cost. */
  readonly minKeyTokens?: number;
  /** Time that a fetch must save to be worth its cost, in milliseconds. */
  readonly fetchMarginMs?: number;
  /** Time that computing a prefix on another engine than its owner must save, in milliseconds. */
  readonly nonOwnerMarginMs?: number;
  /** Fixed time of a fetch, in milliseconds. */
  readonly fetchSetupMs?: number;
}

/** The prefill of 1,000 tokens takes 16 ms. A fetch takes at least 3 ms and occupies two links. */
const DEFAULT_MIN_KEY_TOKENS = 1000;
/** A fetch of 13,300 tokens costs a fortieth of the worth of an on-time call; see policy.md. */
const DEFAULT_FETCH_MARGIN_MS = 40;
/**
 * Half of the prefill time of a long prefix: another VM may be sending the same prefix to its owner
 * at this moment.
 */
const DEFAULT_NON_OWNER_MARGIN_MS = 120;
/** Setup time of a transfer according to the users' data sheets. */
const DEFAULT_FETCH_SETUP_MS = 3;
/** Transfers between availability zones take twice as long. */
const CROSS_ZONE_FACTOR = 2;

/** Picks the engine that is expected to complete the prefill of a prompt first. */
export class PromptPlacer {
  readonly #options: Required<PromptPlacerOptions>;

  constructor(options: PromptPlacerOptions) {
    this.#options = {
      minKeyTokens: DEFAULT_MIN_KEY_TOKENS,
      fetchMarginMs: DEFAULT_FETCH_MARGIN_MS,
      nonOwnerMarginMs: DEFAULT_NON_OWNER_MARGIN_MS,
      fetchSetupMs: DEFAULT_FETCH_SETUP_MS,
      ...options,
    };
  }

  /** Key of a prompt's shared prefix; undefined if the prefix is too short to have an owner. */
  findPrefixKey(prompt: GenerationParams): string | undefined {
    if (sumPrefixTokens(prompt) < this.#options.minKeyTokens) return undefined;
    return prompt.parts.at(-2)?.id;
  }

  /** Picks the best candidate; returns undefined if there is none. */
  pickEngine(
    prompt: GenerationParams,
    context: PlacementContext,
  ): PromptPlacement | undefined {
    const key = this.findPrefixKey(prompt);
    const { drawJitterMs = () => 0, needsConnection = () => false } = context;
    let best: PromptPlacement | undefined;
    let bestScore = Infinity;
    for (const candidate of context.candidates) {
      const [placement, marginMs] = key === undefined
        ? [this.#estimateWithoutPrefix(prompt, candidate), 0]
        : this.#estimatePlacement(prompt, key, candidate, context);
      // Owners and holders differ by prefix, so prompts that go to them need no jitter.
      const hasAffinity = key !== undefined && marginMs === 0;
      const jitterMs = hasAffinity ? 0 : drawJitterMs(candidate.target.id);
      const connectMs = needsConnection(candidate.target)
        ? NEW_CONNECTION_MS
        : 0;
      const score = placement.readyMs + marginMs + jitterMs + connectMs;
      if (score >= bestScore) continue;
      best = placement;
      bestScore = score;
    }
    return best;
  }

  #estimateWithoutPrefix(
    { promptTokens }: GenerationParams,
    { target, backlogMs, slowdown = 1 }: PrefillCandidate,
  ): PromptPlacement {
    const { model } = this.#options;
    const costMs = model.predictMs(target.id, promptTokens, 0, slowdown);
    const unloadedMs = model.predictUnloadedMs(
      target.id,
      promptTokens,
      0,
      slowdown,
    );
    const readyMs = backlogMs + costMs;
    return {
      target,
      isCold: false,
      costMs,
      unloadedMs,
      backlogMs,
      readyMs,
      slowdown,
    };
  }

  /** Estimates a placement, and the time that it must save compared to others. */
  #estimatePlacement(
    prompt: GenerationParams,
    key: string,
    { target, backlogMs, slowdown = 1 }: PrefillCandidate,
    context: PlacementContext,
  ): [PromptPlacement, number] {
    const { model, fetchMarginMs, nonOwnerMarginMs } = this.#options;
    const prefixTokens = sumPrefixTokens(prompt);
    const ownTokens = Math.max(0, prompt.promptTokens - prefixTokens);
    const build = (
      isCold: boolean,
      fetchMs = 0,
      fetchFrom?: Target,
    ): PromptPlacement => {
      const work: [number, number, number] = isCold
        ? [prompt.promptTokens, 0, slowdown]
        : [ownTokens, prefixTokens, slowdown];
      const costMs = fetchMs + model.predictMs(target.id, ...work);
      const unloadedMs = fetchMs + model.predictUnloadedMs(target.id, ...work);
      const readyMs = backlogMs + costMs;
      const placement = {
        target,
        isCold,
        costMs,
        unloadedMs,
        backlogMs,
        readyMs,
        slowdown,
      };
      return fetchFrom === undefined ? placement : { ...placement, fetchFrom };
    };
    if (context.prefixHolders.some((holder) => holder.id === target.id)) {
      return [build(false), 0];
    }
    const source = pickNearest(context.prefixSources, target);
    if (source !== undefined) {
      const fetchMs = this.#predictFetchMs(
        prefixTokens,
        source,
        target,
        context.traits,
      );
      return [build(false, fetchMs, source), fetchMarginMs];
    }
    const ownerId = context.prefixHolders.length > 0
      ? undefined
      : context.lastPrefixHolder?.id ?? findOwner(key, context.prefillEngines);
    return [build(true), ownerId === target.id ? 0 : nonOwnerMarginMs];
  }

  #predictFetchMs(
    tokens: number,
    from: Target,
    to: Target,
    traits: EngineTraits,
  ): number {
    const bits = tokens * traits.kvBytesPerToken * 8;
    const sameZoneMs = bits / (traits.linkMbps * 1000);
    const isCrossZone = from.availabilityZone !== to.availabilityZone;
    const factor = isCrossZone ? CROSS_ZONE_FACTOR : 1;
    return this.#options.fetchSetupMs + sameZoneMs * factor;
  }
}

/** Tokens of all parts of a prompt except the last one, which is not shared. */
export function sumPrefixTokens(prompt: GenerationParams): number {
  return prompt.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
}

/** Id of the engine that computes a prefix that no engine holds. */
function findOwner(
  key: string,
  engines: readonly Target[],
): string | undefined {
  return pickRendezvous(key, engines.map((engine) => engine.id), 1).at(0);
}

/** Picks a source in the availability zone of `target`, or the first one if there is none. */
function pickNearest(
  sources: readonly Target[],
  target: Target,
): Target | undefined {
  const sameZone = sources.find((source) =>
    source.availabilityZone === target.availabilityZone
  );
  return sameZone ?? sources.at(0);
}
