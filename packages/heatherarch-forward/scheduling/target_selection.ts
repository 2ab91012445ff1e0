/**
 * Which targets of a service a call may try now, and how long all of them rest if none is left.
 *
 * @module
 */
import type { CallContext } from "../calls/call_context.ts";
import type { Target } from "../model.ts";

/** Options of {@linkcode listAvailableTargets}. */
export interface TargetSelectionOptions {
  readonly run: CallContext;
  /** Targets that the call has tried already. */
  readonly tried: ReadonlySet<string>;
  /** Whether a target can do what is asked for. */
  readonly accepts?: (target: Target) => boolean;
}

/** Targets that may be tried now; avoided ones only if there is no other. */
export function listAvailableTargets(
  { run, tried, accepts = acceptAny }: TargetSelectionOptions,
): Target[] {
  const { directory, health, backoffs: rests, connections } = run.dependencies;
  const { name, maxConnections } = run.service;
  const nowMs = run.nowMs;
  const open = directory.listServing(name)
    .filter(accepts)
    .filter(({ id }) => !tried.has(id))
    .filter(({ id }) => !rests.isInBackoff(id, nowMs))
    .filter(({ id }) => !directory.hasRoleChange(id, nowMs))
    .filter((target) => connections.hasCapacity(target, maxConnections));
  const sound = open.filter(({ id }) => !health.isAvoided(id, nowMs));
  return sound.length > 0 ? sound : open;
}

/**
 * Time until the first rest ends, milliseconds, if all targets that could serve the call rest;
 * undefined otherwise.
 */
export function findBackoffMs(
  run: CallContext,
  accepts: (target: Target) => boolean = acceptAny,
): number | undefined {
  const { directory, backoffs: rests } = run.dependencies;
  const nowMs = run.nowMs;
  const targets = directory.listServing(run.service.name)
    .filter(accepts)
    .filter(({ id }) => !directory.hasRoleChange(id, nowMs));
  if (targets.length === 0) return undefined;
  const restMs = Math.min(
    ...targets.map(({ id }) => rests.getEndMs(id) - nowMs),
  );
  return restMs > 0 ? restMs : undefined;
}

function acceptAny(): boolean {
  return true;
}
