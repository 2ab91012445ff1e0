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

/** Which engines a call may use. */
export interface EngineSelection {
  readonly phase: InferencePhase;
  /** Engines that the call has tried already. */
  readonly tried: ReadonlySet<string>;
  /** Software version of the engines; undefined for any. */
  readonly softwareVersion?: string;
}

/** Lists the engines that may be tried now. Avoided engines are listed only if no other is left. */
export function listAvailableEngines(
  context: CallContext,
  selection: EngineSelection,
): Target[] {
  const { tried } = selection;
  const accepts = (target: Target): boolean => isSelected(target, selection);
  return listAvailableTargets({ context, tried, accepts });
}

/** Lists also the engines whose rate limits have no room now. */
export function listUsableEngines(
  context: CallContext,
  selection: EngineSelection,
): Target[] {
  const { tried } = selection;
  const accepts = (target: Target): boolean => isSelected(target, selection);
  return listUsableTargets({ context, tried, accepts });
}

/**
 * Time until the engines' rate limits have room for the calls that wait here, in milliseconds;
 * undefined if they are not what keeps a call waiting.
 */
export function predictEngineRateLimitDelayMs(
  context: CallContext,
  selection: EngineSelection,
): number | undefined {
  const { tried, phase } = selection;
  const accepts = (target: Target): boolean => isSelected(target, selection);
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
  selection: Pick<EngineSelection, "phase" | "softwareVersion">,
): number | undefined {
  return findBackoffMs(context, (target) => isSelected(target, selection));
}

function isSelected(
  target: Target,
  { phase, softwareVersion }: Pick<
    EngineSelection,
    "phase" | "softwareVersion"
  >,
): boolean {
  const servesPhase = (target.role === "prefill") === (phase === "reading");
  const hasVersion = softwareVersion === undefined ||
    target.softwareVersion === softwareVersion;
  return servesPhase && hasVersion;
}
