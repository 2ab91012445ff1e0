/**
 * Which of the engines that read now are believed to hold a prompt's beginning.
 *
 * @module
 */
import type { EngineTraits, Target } from "../model.ts";
import type { PlacementContext } from "../scheduling/prompt_placement.ts";
import type { CallDependencies } from "../call_dependencies.ts";

/** A beginning is fetched only from engines that used it in this part of the time it is kept. */
const SOURCE_PART = 0.6;

/** What a placement has to know of a beginning's whereabouts. */
export type KnownHolders = Pick<
  PlacementContext,
  "prefixHolders" | "prefixSources" | "lastPrefixHolder"
>;

/** Engines among `readers` that hold the beginning with this key, as far as is known. */
export function findHolders(
  serving: Pick<CallDependencies, "prefixIndex" | "retention" | "countVms">,
  key: string,
  readers: readonly Target[],
  traits: EngineTraits,
  nowMs: number,
): KnownHolders {
  const { prefixIndex: prompts, retention, countVms } = serving;
  const keptMs = retention.estimateMs(
    traits.kvTokens,
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
  return {
    prefixHolders: holders,
    prefixSources: sources,
    lastPrefixHolder: lastHolder,
  };
}
