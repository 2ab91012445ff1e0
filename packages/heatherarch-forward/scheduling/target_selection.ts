/**
 * Selects the targets of a service that a call may try now. If none is left because all of them are
 * in backoff, tells when the first backoff ends.
 *
 * @module
 */
import type { CallContext } from "../calls/call_context.ts";
import type { Target } from "../model.ts";

/** Options of {@linkcode listAvailableTargets}. */
export interface TargetSelectionOptions {
  readonly context: CallContext;
  /** Targets that the call has tried already. */
  readonly tried: ReadonlySet<string>;
  /** Whether a target can serve the call; by default every target can. */
  readonly accepts?: (target: Target) => boolean;
}

/** Lists the targets that may be tried now. Avoided targets are listed only if no other is left. */
export function listAvailableTargets(
  { context, tried, accepts = acceptAny }: TargetSelectionOptions,
): Target[] {
  const { directory, health, backoffs, connections } = context.dependencies;
  const { name, maxConnections } = context.service;
  const nowMs = context.nowMs;
  const available = directory.listServing(name)
    .filter(accepts)
    .filter(({ id }) => !tried.has(id))
    .filter(({ id }) => !backoffs.isInBackoff(id, nowMs))
    .filter(({ id }) => !directory.hasRoleChange(id, nowMs))
    .filter((target) => connections.hasCapacity(target, maxConnections));
  const healthy = available.filter(({ id }) => !health.isAvoided(id, nowMs));
  return healthy.length > 0 ? healthy : available;
}

/**
 * Time until the first backoff ends, in milliseconds, if all targets that could serve the call are in
 * backoff; undefined otherwise.
 */
export function findBackoffMs(
  context: CallContext,
  accepts: (target: Target) => boolean = acceptAny,
): number | undefined {
  const { directory, backoffs } = context.dependencies;
  const nowMs = context.nowMs;
  const targets = directory.listServing(context.service.name)
    .filter(accepts)
    .filter(({ id }) => !directory.hasRoleChange(id, nowMs));
  if (targets.length === 0) return undefined;
  const backoffMs = Math.min(
    ...targets.map(({ id }) => backoffs.getEndMs(id) - nowMs),
  );
  return backoffMs > 0 ? backoffMs : undefined;
}

function acceptAny(): boolean {
  return true;
}
