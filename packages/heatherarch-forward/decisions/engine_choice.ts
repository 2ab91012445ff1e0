/**
 * Which engines of a service may be tried for a call.
 *
 * @module
 */
import type { CallContext } from "../calls/call_context.ts";
import type { Target } from "../model.ts";
import { findRestMs, listOpenTargets } from "./target_choice.ts";

/** What an engine is needed for. */
export type EngineUse = "reading" | "generating";

/** Engines that may be tried now; avoided ones only where there is no other. */
export function listEngines(
  run: CallContext,
  use: EngineUse,
  tried: ReadonlySet<string>,
): Target[] {
  return listOpenTargets({
    run,
    tried,
    accepts: (target) => isOf(target, use),
  });
}

/**
 * Time until the first rest ends, milliseconds, if all engines for the use rest; undefined
 * otherwise.
 */
export function findEngineRestMs(
  run: CallContext,
  use: EngineUse,
): number | undefined {
  return findRestMs(run, (target) => isOf(target, use));
}

function isOf({ role }: Target, use: EngineUse): boolean {
  return (role === "prefill") === (use === "reading");
}
