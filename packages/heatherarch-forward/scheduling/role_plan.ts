/**
 * Plans which engines should change their role.
 *
 * Prompts have thousands of tokens and responses about a hundred. Prefill takes nine tenths of the
 * engines' time and decode occupies few slots, so a few engines decode and the others prefill.
 * Engines with few slots run out of them first, so more of these engines decode.
 *
 * A role change takes an engine out of service for seconds and loses its cache, so there are as few
 * changes as possible. A desired number of decode engines that followed the runs in progress moved
 * 12 of 29 prefill engines to decode in bursts of ten seconds, and back afterwards.
 *
 * A stream goes on only at the software version that began it, so the decode engines should have one
 * version, as far as that takes no further changes.
 *
 * Roles go by engines that respond, not by entries of the target list: an engine that nobody reaches
 * replaces no other one. While the number of engines is uncertain, a change is due only if it is due
 * with and without those that don't respond.
 *
 * @module
 */
import type { Target, TargetRole } from "../model.ts";

/** A planned role change. */
export interface PlannedRoleChange {
  readonly target: Target;
  readonly role: TargetRole;
}

/** Options of {@linkcode planRoles}. */
export interface RolePlanOptions {
  /** Whether an engine that is still listed responds; by default all do. */
  readonly isReachable?: (engine: Target) => boolean;
  /** Whether an engine responded when it was last asked, or was not asked; by default all did. */
  readonly isConfirmed?: (engine: Target) => boolean;
  /** Whether an engine takes less work than usual because of a rate limit; by default none does. */
  readonly isRateLimited?: (engine: Target) => boolean;
  /** Whether an engine has runs in progress; by default none has. */
  readonly hasRuns?: (engine: Target) => boolean;
  /** Share of the engines that should decode. */
  readonly decodeShare?: number;
  /** Smallest number of decode engines if there are enough engines: one may fail. */
  readonly minDecodeEngines?: number;
  /** Slots of one engine; unknown by default. */
  readonly slots?: number;
}

const DEFAULT_DECODE_SHARE = 0.15;
const DEFAULT_MIN_DECODE_ENGINES = 2;
/**
 * Fleets of at least this many engines have a third decode engine. A crash can take down a quarter
 * of the engines at once, and may hit both of two decode engines.
 */
const SPARE_DECODE_FLEET_SIZE = 12;

/**
 * Runs in progress per prefill engine: 1.5 times the number in the users' data sheets with short
 * responses. The fewer slots engines have, the more of them have to decode.
 */
const RUNS_PER_PREFILL_ENGINE = 7;

/** Computes how many of `count` engines should decode. */
export function computeDecodeEngineCount(
  count: number,
  options: RolePlanOptions = {},
): number {
  const { minDecodeEngines = DEFAULT_MIN_DECODE_ENGINES, slots } = options;
  const { decodeShare = computeDecodeShare(slots) } = options;
  if (count < 2) return count;
  const spare = count >= SPARE_DECODE_FLEET_SIZE ? 1 : 0;
  const byShare = Math.round(count * decodeShare);
  const wanted = Math.max(minDecodeEngines + spare, byShare);
  return Math.min(count - 1, wanted);
}

/** Share of the engines that should decode if the load is not known. */
function computeDecodeShare(slots: number | undefined): number {
  if (slots === undefined) return DEFAULT_DECODE_SHARE;
  const bySlots = RUNS_PER_PREFILL_ENGINE / (RUNS_PER_PREFILL_ENGINE + slots);
  return Math.max(DEFAULT_DECODE_SHARE, bySlots);
}

/**
 * Plans the fewest changes that lead to the desired number of decode engines, spread over
 * availability zones. A decode engine that does not respond is replaced before the target list drops
 * it, if fewer than the smallest number of decode engines respond. If rate limits keep all decode
 * engines from their usual work, one more engine decodes, and so if each of them has a software
 * version of its own.
 */
export function planRoles(
  engines: readonly Target[],
  options: RolePlanOptions = {},
): PlannedRoleChange[] {
  const { isReachable = () => true, isRateLimited = () => false } = options;
  const { isConfirmed = () => true } = options;
  const { minDecodeEngines = DEFAULT_MIN_DECODE_ENGINES } = options;
  const isAnswering = (engine: Target): boolean =>
    isReachable(engine) && isConfirmed(engine);
  const usable = engines.filter((engine) => !engine.leaving);
  const answering = usable.filter(isAnswering);
  const decodeEngines = usable.filter((engine) => engine.role === "decode");
  const answeringDecodeEngines = decodeEngines.filter(isAnswering);
  const usual = computeDecodeEngineCount(usable.length, options);
  const isShort = decodeEngines.filter(isRateLimited).length >= usual;
  const countDesired = (count: number): number => {
    const desired = computeDecodeEngineCount(count, options);
    return isShort
      ? Math.max(desired, Math.min(count - 1, desired + 1))
      : desired;
  };
  const desired = countDesired(usable.length);
  const responding = decodeEngines.filter(isReachable).length;
  const urgent = Math.min(desired, minDecodeEngines) - responding;
  const surplus = answeringDecodeEngines.length - desired;
  if (surplus > 0 && urgent <= 0) {
    return pickSurplus(answeringDecodeEngines, surplus, options)
      .map((target) => ({ target, role: "prefill" }));
  }
  const prefillEngines = usable
    .filter((engine) => engine.role === "prefill" && isReachable(engine))
    .filter((engine) => !isShort || !isRateLimited(engine));
  const isScattered = hasOnlySingleVersions(decodeEngines, prefillEngines) &&
    hasOnlySingleVersions(answeringDecodeEngines, prefillEngines);
  const lacking = countDesired(answering.length) - decodeEngines.length;
  const wanted = Math.max(lacking, urgent, isScattered ? 1 : 0);
  const missing = Math.min(wanted, Math.max(0, prefillEngines.length - 1));
  const neighbors = preferEngines(decodeEngines, isAnswering);
  return pickForSmallestZones(prefillEngines, neighbors, missing, isConfirmed)
    .map((target) => ({ target, role: "decode" }));
}

/**
 * Picks decode engines that should prefill. The last one of a software version stays while it has
 * runs, as their streams can't go on elsewhere.
 */
function pickSurplus(
  decodeEngines: readonly Target[],
  count: number,
  { hasRuns = () => false }: RolePlanOptions,
): Target[] {
  const kept = findMainVersion(decodeEngines);
  const versions = countByVersion(decodeEngines);
  return pickFromLargestZones(decodeEngines, count, kept).filter((engine) =>
    versions.get(engine.softwareVersion) !== 1 || !hasRuns(engine)
  );
}

/**
 * Picks `count` engines, first those without the software version `kept`, then spot engines, so that
 * a reclaim takes few decode engines; each from the zone that has the most engines left.
 */
function pickFromLargestZones(
  engines: readonly Target[],
  count: number,
  kept: string | undefined,
): Target[] {
  const remaining = sortById(engines);
  const picked: Target[] = [];
  while (picked.length < count) {
    const zones = countByZone(remaining);
    const candidates = preferEngines(
      preferEngines(remaining, (engine) => engine.softwareVersion !== kept),
      isSpot,
    );
    let best = candidates[0];
    for (const engine of candidates) {
      const inZone = zones.get(engine.availabilityZone) as number;
      if (inZone > (zones.get(best.availabilityZone) as number)) best = engine;
    }
    remaining.splice(remaining.indexOf(best), 1);
    picked.push(best);
  }
  return picked;
}

/**
 * Picks `count` prefill engines, first those that responded when they were asked, then those with the
 * software version of most decode engines, then from the zone that has the fewest decode engines. Spot
 * engines are picked last: all of a zone's may be reclaimed at once, and there are few decode engines.
 */
function pickForSmallestZones(
  prefillEngines: readonly Target[],
  decodeEngines: readonly Target[],
  count: number,
  isConfirmed: (engine: Target) => boolean,
): Target[] {
  const remaining = sortById(prefillEngines);
  const zones = countByZone(decodeEngines);
  const picked: Target[] = [];
  while (picked.length < count) {
    const version = findMainVersion([...decodeEngines, ...picked], remaining) ??
      findMainVersion(remaining);
    const candidates = preferEngines(
      preferEngines(
        preferEngines(remaining, isConfirmed),
        (engine) => engine.softwareVersion === version,
      ),
      (engine) => !isSpot(engine),
    );
    let best = candidates[0];
    for (const engine of candidates) {
      const inZone = zones.get(engine.availabilityZone) ?? 0;
      if (inZone < (zones.get(best.availabilityZone) ?? 0)) best = engine;
    }
    remaining.splice(remaining.indexOf(best), 1);
    const zone = best.availabilityZone;
    zones.set(zone, (zones.get(zone) ?? 0) + 1);
    picked.push(best);
  }
  return picked;
}

/**
 * Whether no two decode engines have the same software version, so that no stream can go on when its
 * engine fails, although a prefill engine could join one of them.
 */
function hasOnlySingleVersions(
  decodeEngines: readonly Target[],
  prefillEngines: readonly Target[],
): boolean {
  const versions = countByVersion(decodeEngines);
  return versions.size > 1 && versions.size === decodeEngines.length &&
    prefillEngines.some(({ softwareVersion }) => versions.has(softwareVersion));
}

/**
 * Returns the software version that most of the engines have, and of several such versions the one
 * that most of the `others` have; undefined if there are no engines.
 */
function findMainVersion(
  engines: readonly Target[],
  others: readonly Target[] = [],
): string | undefined {
  const versions = countByVersion(sortById(engines));
  const otherVersions = countByVersion(others);
  let main: string | undefined;
  let mainRank = -1;
  for (const [version, count] of versions) {
    const rank = count + (otherVersions.get(version) ?? 0) /
        (others.length + 1);
    if (rank <= mainRank) continue;
    main = version;
    mainRank = rank;
  }
  return main;
}

function countByVersion(
  engines: readonly Target[],
): Map<string | undefined, number> {
  const versions = new Map<string | undefined, number>();
  for (const { softwareVersion } of engines) {
    versions.set(softwareVersion, (versions.get(softwareVersion) ?? 0) + 1);
  }
  return versions;
}

function isSpot(engine: Target): boolean {
  return engine.isSpot ?? false;
}

/** Returns the engines that are preferred, or all if none is. */
function preferEngines(
  engines: readonly Target[],
  isPreferred: (engine: Target) => boolean,
): readonly Target[] {
  const preferred = engines.filter(isPreferred);
  return preferred.length > 0 ? preferred : engines;
}

function sortById(engines: readonly Target[]): Target[] {
  return [...engines].sort((a, b) => a.id < b.id ? -1 : 1);
}

function countByZone(engines: readonly Target[]): Map<string, number> {
  const zones = new Map<string, number>();
  for (const { availabilityZone } of engines) {
    zones.set(availabilityZone, (zones.get(availabilityZone) ?? 0) + 1);
  }
  return zones;
}
