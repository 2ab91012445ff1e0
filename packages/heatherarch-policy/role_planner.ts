/**
 * Planning of engine roles from measured demand. A planner proposes at most one change at a time.
 *
 * @module
 */
import type { EngineRole } from "heatherarch-core";
import type { Planning } from "heatherarch-settings";
import type { Demand } from "./demand_meter.ts";
import type { EngineModel } from "./engine_model.ts";

/** An engine whose role may change. */
export interface PlannedEngine {
  readonly id: string;
  readonly role: EngineRole;
  /** Number of running requests. The engine with the fewest is the cheapest to drain. */
  readonly running: number;
}

/** Input of a planner. */
export interface RolePlanInput {
  readonly engines: readonly PlannedEngine[];
  readonly demand: Demand;
  /** Whether a change is already in progress in this availability zone. */
  readonly changing: boolean;
  readonly nowMs: number;
}

/** A proposed role change. */
export interface RoleChange {
  readonly engine: string;
  readonly role: EngineRole;
  /** Predicted net gain as a share of the fleet's work. */
  readonly gain: number;
}

/** Proposes role changes. */
export interface RolePlanner {
  /** Proposes the next change, or returns undefined for none. */
  plan(input: RolePlanInput): RoleChange | undefined;
  /** Records how long an engine was out of service for a change. */
  recordChange?(durationMs: number): void;
}

/** Creates the planner that the fleet configuration names. */
export function createRolePlanner(
  planning: Planning,
  model: EngineModel,
): RolePlanner {
  switch (planning.policy) {
    case "none":
      return new FixedRolePlanner();
    case "greedy":
      return new GreedyPlanner(planning, model);
    case "horizon":
      return new HorizonPlanner(planning, model);
  }
}

/** Planner that never changes a role. */
export class FixedRolePlanner implements RolePlanner {
  plan(): undefined {
    return undefined;
  }
}

/** Baseline planner that moves towards the ideal split at once, regardless of the cost. */
export class GreedyPlanner implements RolePlanner {
  readonly #planning: Planning;
  readonly #model: EngineModel;

  constructor(planning: Planning, model: EngineModel) {
    this.#planning = planning;
    this.#model = model;
  }

  plan(input: RolePlanInput): RoleChange | undefined {
    if (input.changing) return undefined;
    const required = computeRequiredEngines(input.demand, this.#model);
    const total = required.prefill + required.decode;
    if (total === 0) return undefined;
    const { minimumPerRole } = this.#planning;
    const count = input.engines.length;
    const proportional = Math.round(count * required.prefill / total);
    const ideal = Math.min(
      count - minimumPerRole,
      Math.max(minimumPerRole, proportional),
    );
    const prefillers =
      input.engines.filter((engine) => engine.role === "prefill").length;
    if (prefillers === ideal) return undefined;
    const role: EngineRole = prefillers < ideal ? "prefill" : "decode";
    const engine = pickEngine(input.engines, role);
    return engine && { engine: engine.id, role, gain: 0 };
  }
}

/** A change is proposed once changes to the same role were best in this many rounds in a row. */
const CONFIRMATION_ROUNDS = 2;
/** Prefill capacity of a decode engine beside its own work, relative to a prefill engine. */
const DECODER_PREFILL_CAPACITY = 0.42;
/** Decode engines with a higher utilization than this have less prefill capacity. */
const FULL_PREFILL_UTILIZATION = 0.5;
/** Decode capacity of a prefill engine, relative to a decode engine. */
const PREFILLER_DECODE_CAPACITY = 0.1;
/** Weight of the latest regime in the moving average of regime durations. */
const REGIME_SMOOTHING = 0.4;
/** Share of the horizon that the first regime is expected to last. */
const INITIAL_REGIME_SHARE = 0.25;
/** A regime that has outlasted the mean duration is expected to last this share of its age more. */
const REGIME_EXTENSION_SHARE = 0.5;
/** Initial ratio of the duration of a change to the setting. Draining adds to the duration. */
const INITIAL_CHANGE_TIME_FACTOR = 1.5;
const CHANGE_TIME_SMOOTHING = 0.3;

/** Planner that changes a role only if the gain over a horizon exceeds the cost of the change. */
export class HorizonPlanner implements RolePlanner {
  readonly #planning: Planning;
  readonly #model: EngineModel;
  #proposal: { role: EngineRole; rounds: number } | undefined;
  readonly #regimes: RegimeEstimator;
  /** Moving average of the time from the announcement of a change to its end. */
  #meanChangeMs: number;

  constructor(planning: Planning, model: EngineModel) {
    this.#planning = planning;
    this.#model = model;
    this.#regimes = new RegimeEstimator(planning.horizonMs);
    this.#meanChangeMs = planning.changeMs * INITIAL_CHANGE_TIME_FACTOR;
  }

  recordChange(durationMs: number): void {
    this.#meanChangeMs += (durationMs - this.#meanChangeMs) *
      CHANGE_TIME_SMOOTHING;
  }

  plan(input: RolePlanInput): RoleChange | undefined {
    const required = computeRequiredEngines(input.demand, this.#model);
    this.#regimes.recordDemand(required, input.nowMs);
    if (input.changing) return undefined;
    const best = this.#findBest(input, required);
    if (best === undefined) {
      this.#proposal = undefined;
      return undefined;
    }
    const rounds = this.#proposal?.role === best.role
      ? this.#proposal.rounds + 1
      : 1;
    this.#proposal = { role: best.role, rounds };
    if (rounds < CONFIRMATION_ROUNDS) return undefined;
    this.#proposal = undefined;
    return best;
  }

  #findBest(
    input: RolePlanInput,
    required: RequiredEngines,
  ): RoleChange | undefined {
    const { changeWeight } = this.#planning;
    const changeMs = this.#meanChangeMs;
    const horizonMs = this.#regimes.predictRemainingMs(input.nowMs);
    const counts = countRoles(input.engines);
    const servedNow = estimateServedShare(counts, required);
    let best: RoleChange | undefined;
    for (const role of ["prefill", "decode", "mixed"] as const) {
      const engine = pickEngine(input.engines, role);
      if (engine === undefined) continue;
      const countsDuring = {
        ...counts,
        [engine.role]: counts[engine.role] - 1,
      };
      if (!this.#keepsMinimum(countsDuring, engine.role)) continue;
      const countsAfter = { ...countsDuring, [role]: countsDuring[role] + 1 };
      const gainedAfter =
        (estimateServedShare(countsAfter, required) - servedNow) *
        Math.max(0, horizonMs - changeMs);
      const lostDuring =
        Math.max(0, servedNow - estimateServedShare(countsDuring, required)) *
        changeMs;
      const fixedCost = changeWeight * changeMs / input.engines.length;
      const gain = (gainedAfter - lostDuring - fixedCost) / horizonMs;
      if (gain > 0 && gain > (best?.gain ?? 0)) {
        best = { engine: engine.id, role, gain };
      }
    }
    return best;
  }

  /** Whether enough engines can still do the work of `role` while one of them changes. */
  #keepsMinimum(countsDuring: RoleCounts, role: EngineRole): boolean {
    if (role === "mixed") return true;
    return countsDuring[role] + countsDuring.mixed >=
      this.#planning.minimumPerRole;
  }
}

/**
 * Estimates how long the present demand regime lasts, prefill-dominant or decode-dominant. A role
 * change pays off only within this time.
 */
class RegimeEstimator {
  readonly #maxMs: number;
  #meanMs: number;
  #isPrefillDominant: boolean | undefined;
  #sinceMs = 0;

  constructor(maxMs: number) {
    this.#maxMs = maxMs;
    this.#meanMs = maxMs * INITIAL_REGIME_SHARE;
  }

  recordDemand(required: RequiredEngines, nowMs: number): void {
    if (required.prefill + required.decode === 0) return;
    const isPrefillDominant = required.prefill > required.decode;
    if (isPrefillDominant === this.#isPrefillDominant) return;
    if (this.#isPrefillDominant !== undefined) {
      const durationMs = Math.min(this.#maxMs, nowMs - this.#sinceMs);
      this.#meanMs += (durationMs - this.#meanMs) * REGIME_SMOOTHING;
    }
    this.#isPrefillDominant = isPrefillDominant;
    this.#sinceMs = nowMs;
  }

  predictRemainingMs(nowMs: number): number {
    const ageMs = nowMs - this.#sinceMs;
    const leftMs = Math.max(
      this.#meanMs - ageMs,
      ageMs * REGIME_EXTENSION_SHARE,
    );
    return Math.min(this.#maxMs, leftMs);
  }
}

/** Number of engines by role. */
export type RoleCounts = Readonly<Record<EngineRole, number>>;

/** Demand expressed as the number of engines of each role that it would keep busy. */
export interface RequiredEngines {
  readonly prefill: number;
  readonly decode: number;
}

/** Converts demand to the number of engines that it requires. */
export function computeRequiredEngines(
  demand: Demand,
  model: EngineModel,
): RequiredEngines {
  return {
    prefill: demand.prefillTokensPerSecond /
      model.predictPrefillCapacity("prefill"),
    decode: demand.decodeTokensPerSecond /
      model.predictDecodeCapacity("decode"),
  };
}

function countRoles(engines: readonly PlannedEngine[]): RoleCounts {
  const counts = { prefill: 0, decode: 0, mixed: 0 };
  for (const engine of engines) counts[engine.role]++;
  return counts;
}

/** Returns the engine whose change to `role` is cheapest. */
function pickEngine(
  engines: readonly PlannedEngine[],
  role: EngineRole,
): PlannedEngine | undefined {
  const others = engines.filter((engine) => engine.role !== role);
  if (others.length === 0) return undefined;
  return others.reduce((best, engine) =>
    engine.running < best.running ? engine : best
  );
}

/**
 * Estimates the share of the demand that a split of roles serves, 0 to 1. Engines of one role also
 * serve excess work of the other role, at a lower efficiency.
 */
export function estimateServedShare(
  counts: RoleCounts,
  required: RequiredEngines,
): number {
  const total = required.prefill + required.decode;
  if (total === 0) return 1;
  const mixed = counts.mixed * MIXED_ENGINE_EFFICIENCY;
  const prefillers = counts.prefill + mixed * required.prefill / total;
  const decoders = counts.decode + mixed * required.decode / total;
  const utilization = decoders === 0 ? 1 : required.decode / decoders;
  const prefillFactor = Math.min(
    1,
    Math.max(0, 1 + FULL_PREFILL_UTILIZATION - utilization),
  );
  const prefillCapacity = prefillers +
    decoders * DECODER_PREFILL_CAPACITY * prefillFactor;
  const decodeCapacity = decoders + prefillers * PREFILLER_DECODE_CAPACITY;
  const share = (capacity: number, requiredCount: number) =>
    requiredCount === 0 ? 1 : capacity / requiredCount;
  return Math.min(
    1,
    share(prefillCapacity, required.prefill),
    share(decodeCapacity, required.decode),
  );
}

/** Efficiency of a mixed engine at either kind of work. */
const MIXED_ENGINE_EFFICIENCY = 0.8;
