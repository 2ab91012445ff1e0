/**
 * Finds the prefill engines that are likely to hold a prompt prefix in their KV cache.
 *
 * @module
 */
import type { EngineTraits, Target } from "../model.ts";
import type { PlacementContext } from "../scheduling/prompt_placement.ts";
import type { CallDependencies } from "../call_dependencies.ts";

/**
 * A prefix is fetched only from engines that used it within this share of the estimated retention
 * time.
 */
const SOURCE_AGE_SHARE = 0.6;

/** The engines that hold a prefix, as a placement needs them. */
export type KnownHolders = Pick<
  PlacementContext,
  "prefixHolders" | "prefixSources" | "lastPrefixHolder"
>;

/** Options of {@linkcode findHolders}. */
export interface FindHoldersOptions {
  readonly key: string;
  readonly prefillEngines: readonly Target[];
  /** Engines that take prompts over to decode, from which a prefix may be fetched as well. */
  readonly decodeEngines: readonly Target[];
  /** Engines that get no prompts any more, from which a prefix may still be fetched. */
  readonly leavingEngines: readonly Target[];
  readonly traits: EngineTraits;
  readonly nowMs: number;
}

/** Returns the engines that are known to hold the prefix with this key. */
export function findHolders(
  dependencies: Pick<
    CallDependencies,
    "prefixIndex" | "retention" | "countVms"
  >,
  options: FindHoldersOptions,
): KnownHolders {
  const { key, prefillEngines, decodeEngines, leavingEngines } = options;
  const { traits, nowMs } = options;
  const { prefixIndex, retention, countVms } = dependencies;
  const estimateRetentionMs = (engines: readonly Target[]): number =>
    retention.estimateMs(traits.kvTokens, engines.length, countVms(), nowMs);
  const retentionMs = estimateRetentionMs(prefillEngines);
  const prefixHolders: Target[] = [];
  const prefixSources: Target[] = [];
  /** Sources that are used only if no prefill engine is one. */
  const lateSources: Target[] = [];
  let lastPrefixHolder: Target | undefined;
  for (const holder of prefixIndex.listHolders(key)) {
    const idleMs = nowMs - holder.usedAtMs;
    if (holder.state === "copied") {
      const maxIdleMs = estimateRetentionMs(decodeEngines) * SOURCE_AGE_SHARE;
      if (idleMs > maxIdleMs) continue;
      const copy = decodeEngines.find(({ id }) => id === holder.target);
      if (copy !== undefined) lateSources.push(copy);
      continue;
    }
    const target = prefillEngines.find(({ id }) => id === holder.target);
    if (target === undefined) {
      const leaving = leavingEngines.find(({ id }) => id === holder.target);
      const isHeld = holder.state === "read" && idleMs <= retentionMs;
      if (leaving !== undefined && isHeld) lateSources.push(leaving);
      continue;
    }
    lastPrefixHolder = target;
    if (idleMs > retentionMs) continue;
    prefixHolders.push(target);
    if (holder.state === "reading") continue;
    if (idleMs <= retentionMs * SOURCE_AGE_SHARE) prefixSources.unshift(target);
  }
  prefixSources.push(...lateSources);
  return { prefixHolders, prefixSources, lastPrefixHolder };
}
