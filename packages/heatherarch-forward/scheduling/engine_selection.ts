/**
 * Selects the engines of a service that a call may try.
 *
 * @module
 */
import type { CallContext } from "../calls/call_context.ts";
import type { Target } from "../model.ts";
import { findBackoffMs, listAvailableTargets } from "./target_selection.ts";

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
