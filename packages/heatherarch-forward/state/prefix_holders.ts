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

/** Returns the engines among `prefillEngines` that are known to hold the prefix with this key. */
export function findHolders(
  dependencies: Pick<
    CallDependencies,
    "prefixIndex" | "retention" | "countVms"
  >,
  key: string,
  prefillEngines: readonly Target[],
  traits: EngineTraits,
  nowMs: number,
): KnownHolders {
  const { prefixIndex, retention, countVms } = dependencies;
  const retentionMs = retention.estimateMs(
    traits.kvTokens,
    prefillEngines.length,
    countVms(),
    nowMs,
  );
  const prefixHolders: Target[] = [];
  const prefixSources: Target[] = [];
  let lastPrefixHolder: Target | undefined;
  for (const holder of prefixIndex.listHolders(key)) {
    const target = prefillEngines.find(({ id }) => id === holder.target);
    if (target === undefined) continue;
    lastPrefixHolder = target;
    const idleMs = nowMs - holder.usedAtMs;
    if (idleMs > retentionMs) continue;
    prefixHolders.push(target);
    if (holder.state === "reading") continue;
    if (idleMs <= retentionMs * SOURCE_AGE_SHARE) prefixSources.unshift(target);
  }
  return { prefixHolders, prefixSources, lastPrefixHolder };
}
