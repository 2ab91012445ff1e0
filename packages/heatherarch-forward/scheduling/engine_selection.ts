/**
 * Selects the engines of a service that a call may try.
 *
 * @module
 */
import type { CallContext } from "../calls/call_context.ts";
import type { Target } from "../model.ts";
import {
  findBackoffMs,
  listAvailableTargets,
  listUsableTargets,
  predictRateLimitDelayMs,
} from "./target_selection.ts";

/** Inference phase for which an engine is needed: prefill ("reading") or decode ("generating"). */
export type InferencePhase = "reading" | "generating";

/** Lists the engines that may be tried now. Avoided engines are listed only if no other is left. */
export function listAvailableEngines(
  context: CallContext,
  phase: InferencePhase,
  tried: ReadonlySet<string>,
): Target[] {
  return listAvailableTargets({
    context,
    tried,
    accepts: (target) => servesPhase(target, phase),
  });
}

/** Lists also the engines whose rate limits have no room now. */
export function listUsableEngines(
  context: CallContext,
  phase: InferencePhase,
  tried: ReadonlySet<string>,
): Target[] {
  return listUsableTargets({
    context,
    tried,
    accepts: (target) => servesPhase(target, phase),
  });
}

/**
 * Time until the engines' rate limits have room for the calls that wait here, in milliseconds;
 * undefined if they are not what keeps a call waiting.
 */
export function predictEngineRateLimitDelayMs(
  context: CallContext,
  phase: InferencePhase,
  tried: ReadonlySet<string>,
): number | undefined {
  const accepts = (target: Target): boolean => servesPhase(target, phase);
  return predictRateLimitDelayMs(
    { context, tried, accepts },
    buildWaitGroup(context, phase),
  );
}

/** Counts a call that waits for an engine. Returns a function that ends the wait. */
export function beginEngineWait(
  context: CallContext,
  phase: InferencePhase,
): () => void {
  return context.dependencies.rateLimits.beginWait(
    buildWaitGroup(context, phase),
  );
}

function buildWaitGroup(
  { service }: CallContext,
  phase: InferencePhase,
): string {
  return `${service.name} ${phase}`;
}

/**
 * Time until the first backoff ends, in milliseconds, if all engines of the phase are in backoff;
 * undefined otherwise.
 */
export function findEngineBackoffMs(
  context: CallContext,
  phase: InferencePhase,
): number | undefined {
  return findBackoffMs(context, (target) => servesPhase(target, phase));
}

function servesPhase({ role }: Target, phase: InferencePhase): boolean {
  return (role === "prefill") === (phase === "reading");
}
