/**
 * Which engines of a service may be tried for a call.
 *
 * @module
 */
import type { CallContext } from "../calls/call_context.ts";
import type { Target } from "../model.ts";
import { findBackoffMs, listAvailableTargets } from "./target_selection.ts";

/** What an engine is needed for. */
export type InferencePhase = "reading" | "generating";

/** Engines that may be tried now; avoided ones only where there is no other. */
export function listAvailableEngines(
  run: CallContext,
  use: InferencePhase,
  tried: ReadonlySet<string>,
): Target[] {
  return listAvailableTargets({
    run,
    tried,
    accepts: (target) => isOf(target, use),
  });
}

/**
 * Time until the first rest ends, milliseconds, if all engines for the use rest; undefined
 * otherwise.
 */
export function findEngineBackoffMs(
  run: CallContext,
  use: InferencePhase,
): number | undefined {
  return findBackoffMs(run, (target) => isOf(target, use));
}

function isOf({ role }: Target, use: InferencePhase): boolean {
  return (role === "prefill") === (use === "reading");
}
