/**
 * Which engines should change their role.
 *
 * Pattern of load: prompts of thousands of tokens and answers of a hundred. Reading takes nine
 * tenths of the engines' time, and generation few places, so a few engines generate and the
 * rest read. Where engines have few places these run out first, so that more of them generate.
 * Each order takes an engine away for seconds, and its cache, so there are as few as possible:
 * a goal that followed the runs in progress sent 12 of 29 readers to generate in bursts of ten
 * seconds and back after them.
 *
 * @module
 */
import type { Target, TargetRole } from "../model.ts";

/** One wanted change. */
export interface RoleChange {
  readonly target: Target;
  readonly role: TargetRole;
}

/** Options of {@linkcode planRoles}. */
export interface RolePlanOptions {
  /** Whether an engine that is still listed answers; all do by default. */
  readonly isReachable?: (engine: Target) => boolean;
  /** Share of the engines that should generate. */
  readonly decodeShare?: number;
  /** Engines that should generate at least, where there are enough: one may be lost. */
  readonly minDecodeEngines?: number;
  /** Places of one engine; unknown by default. */
  readonly slots?: number;
}

const DEFAULT_RUNNER_SHARE = 0.15;
const DEFAULT_MIN_RUNNERS = 2;
/**
 * From this many engines on a third one generates: crashes take a quarter of the engines at
 * once, and with two that generate they may take both.
 */
const SPARE_RUNNER_ENGINES = 12;

/**
 * Runs in progress for each engine that reads: half as many again as on the users' sheets with
 * short answers. Where engines have few places, more of them have to generate.
 */
const RUNS_PER_READER = 7;
/** Number of engines out of `count` that should generate. */
export function computeDecodeEngineCount(
  count: number,
  options: RolePlanOptions = {},
): number {
  const { minDecodeEngines: minRunners = DEFAULT_MIN_RUNNERS, slots } = options;
  const { decodeShare: runnerShare = computeShare(slots) } = options;
  if (count < 2) return count;
  const spare = count >= SPARE_RUNNER_ENGINES ? 1 : 0;
  const byShare = Math.round(count * runnerShare);
  const wanted = Math.max(minRunners + spare, byShare);
  return Math.min(count - 1, wanted);
}

/** Share of the engines that should generate while the load is not known. */
function computeShare(slots: number | undefined): number {
  if (slots === undefined) return DEFAULT_RUNNER_SHARE;
  const byPlaces = RUNS_PER_READER / (RUNS_PER_READER + slots);
  return Math.max(DEFAULT_RUNNER_SHARE, byPlaces);
}

/**
 * The fewest changes that bring `engines` to the goal, spread over zones. A generating engine
 * that does not answer is replaced before the list drops it, where fewer than the least number
 * are left.
 */
export function planRoles(
  engines: readonly Target[],
  options: RolePlanOptions = {},
): RoleChange[] {
  const { isReachable = () => true } = options;
  const { minDecodeEngines: minRunners = DEFAULT_MIN_RUNNERS } = options;
  const usable = engines.filter((engine) => !engine.leaving);
  const goal = computeDecodeEngineCount(usable.length, options);
  const runners = usable.filter((engine) => engine.role === "decode");
  const answering = runners.filter(isReachable).length;
  const urgent = Math.min(goal, minRunners) - answering;
  const surplus = runners.length - goal;
  if (surplus > 0 && urgent <= 0) {
    return pickFromCrowded(runners, surplus)
      .map((target) => ({ target, role: "prefill" }));
  }
  const readers = usable
    .filter((engine) => engine.role === "prefill" && isReachable(engine));
  const wanted = Math.max(-surplus, urgent);
  const missing = Math.min(wanted, Math.max(0, readers.length - 1));
  return pickForEmptiest(readers, runners, missing)
    .map((target) => ({ target, role: "decode" }));
}

/** Takes `count` engines out, each from the zone that has most of them left. */
function pickFromCrowded(engines: readonly Target[], count: number): Target[] {
  const left = sortById(engines);
  const picked: Target[] = [];
  while (picked.length < count) {
    const zones = countByZone(left);
    let most = left[0];
    for (const engine of left) {
      const here = zones.get(engine.availabilityZone) as number;
      if (here > (zones.get(most.availabilityZone) as number)) most = engine;
    }
    left.splice(left.indexOf(most), 1);
    picked.push(most);
  }
  return picked;
}

/** Takes `count` readers, each for the zone that has the fewest runners. */
function pickForEmptiest(
  readers: readonly Target[],
  runners: readonly Target[],
  count: number,
): Target[] {
  const left = sortById(readers);
  const zones = countByZone(runners);
  const picked: Target[] = [];
  while (picked.length < count) {
    let least = left[0];
    for (const engine of left) {
      const here = zones.get(engine.availabilityZone) ?? 0;
      if (here < (zones.get(least.availabilityZone) ?? 0)) least = engine;
    }
    left.splice(left.indexOf(least), 1);
    const zone = least.availabilityZone;
    zones.set(zone, (zones.get(zone) ?? 0) + 1);
    picked.push(least);
  }
  return picked;
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
