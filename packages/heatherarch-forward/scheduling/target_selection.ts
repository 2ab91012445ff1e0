/**
 * Selects the targets of a service that a call may try now. If none is left because all of them are
 * in backoff or have no room in their rate limits, tells when that ends.
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
  options: TargetSelectionOptions,
): Target[] {
  const { context } = options;
  const { rateLimits } = context.dependencies;
  const available = findUsableTargets(options)
    .filter(({ id }) => rateLimits.getDelayMs(id, context.nowMs) === 0);
  return pickHealthy(context, available);
}

/** Lists also the targets whose rate limits have no room now. */
export function listUsableTargets(options: TargetSelectionOptions): Target[] {
  return pickHealthy(options.context, findUsableTargets(options));
}

/**
 * Time until the rate limits of the targets have room for the calls that wait here, in milliseconds;
 * undefined if there are no targets or one of them has no limit. `group` names the targets.
 */
export function predictRateLimitDelayMs(
  options: TargetSelectionOptions,
  group: string,
): number | undefined {
  const { context } = options;
  const { rateLimits } = context.dependencies;
  const ids = findUsableTargets(options).map(({ id }) => id);
  const isLimited = ids.length > 0 &&
    ids.every((id) => rateLimits.getMaxPerSecond(id) !== undefined);
  if (!isLimited) return undefined;
  const requests = Math.max(1, rateLimits.countWaiting(group));
  return rateLimits.predictDelayMs(ids, requests, context.nowMs);
}

function findUsableTargets(
  { context, tried, accepts = acceptAny }: TargetSelectionOptions,
): Target[] {
  const { directory, backoffs, connections } = context.dependencies;
  const { name, maxConnections } = context.service;
  const nowMs = context.nowMs;
  return directory.listServing(name)
    .filter(accepts)
    .filter(({ id }) => !tried.has(id))
    .filter(({ id }) => !backoffs.isInBackoff(id, nowMs))
    .filter(({ id }) => !directory.hasRoleChange(id, nowMs))
    .filter((target) => connections.hasCapacity(target, maxConnections));
}

/**
 * A call that has found a target unreachable prefers those that have responded to this VM: its attempts are
 * bounded, so it should not be the one that tries several others of which nothing is known.
 */
function pickHealthy(context: CallContext, targets: Target[]): Target[] {
  const { dependencies: { health }, nowMs } = context;
  const healthy = targets.filter(({ id }) => !health.isAvoided(id, nowMs));
  const candidates = healthy.length > 0 ? healthy : targets;
  const failing = health.findFailing(candidates.map(({ id }) => id), nowMs);
  const sound = candidates.filter(({ id }) => !failing.has(id));
  if (!context.hasFoundUnreachable) return sound;
  const responding = sound.filter(({ id }) => health.hasResponded(id));
  return responding.length > 0 ? responding : sound;
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
