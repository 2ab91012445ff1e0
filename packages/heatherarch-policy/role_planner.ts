/**
 * Planning of engine roles from measured demand. A planner proposes at most one change.
 *
 * @module
 */
import type { EngineRole } from "heatherarch-core";
import type { Planning } from "heatherarch-settings";
import type { Demand } from "./demand_meter.ts";
import type { EngineModel } from "./engine_model.ts";

/** An engine that may change its role. */
export interface PlannedEngine {
  readonly id: string;
  readonly role: EngineRole;
  /** Requests on it, by which the cheapest one to drain is chosen. */
  readonly running: number;
}

/** What a planner looks at. */
export interface RolePlanInput {
  readonly engines: readonly PlannedEngine[];
  readonly demand: Demand;
  /** A change is already in progress in this availability zone. */
  readonly changing: boolean;
  readonly nowMs: number;
}

/** A proposed change. */
export interface RoleChange {
  readonly engine: string;
  readonly role: EngineRole;
  /** Predicted gain as a share of the fleet's work, after costs. */
  readonly gain: number;
}

/** Proposes role changes. */
export interface RolePlanner {
  plan(input: RolePlanInput): RoleChange | undefined;
  /** Takes in how long an engine was away for a change, milliseconds. */
  recordChange?(awayMs: number): void;
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

/** Never changes a role. */
export class FixedRolePlanner implements RolePlanner {
  plan(): undefined {
    return undefined;
  }
}

/** Moves towards the ideal split at once, whatever it costs: a baseline. */
export class GreedyPlanner implements RolePlanner {
  readonly #planning: Planning;
  readonly #model: EngineModel;

  constructor(planning: Planning, model: EngineModel) {
    this.#planning = planning;
    this.#model = model;
  }

  plan(input: RolePlanInput): RoleChange | undefined {
    if (input.changing) return undefined;
    const need = computeRequiredEngines(input.demand, this.#model);
    const total = need.prefill + need.decode;
    if (total === 0) return undefined;
    const { minimumPerRole } = this.#planning;
    const count = input.engines.length;
    const wanted = Math.round(count * need.prefill / total);
    const ideal = Math.min(
      count - minimumPerRole,
      Math.max(minimumPerRole, wanted),
    );
    const prefillers =
      input.engines.filter((engine) => engine.role === "prefill").length;
    if (prefillers === ideal) return undefined;
    const role: EngineRole = prefillers < ideal ? "prefill" : "decode";
    const engine = pickEngine(input.engines, role);
    return engine && { engine: engine.id, role, gain: 0 };
  }
}

/** Rounds of planning for which a change must look right before it is proposed. */
const CONFIRMATION_ROUNDS = 2;
/** Prefill that a decoder takes in beside its own work, in prefillers. */
const DECODER_PREFILL_CAPACITY = 0.42;
/** Decoders busier than this take in less prefill. */
const FULL_PREFILL_UTILIZATION = 0.5;
/** Generation that a prefiller takes in, in decoders. */
const PREFILLER_DECODE_CAPACITY = 0.1;
/** Weight of the newest regime in the mean length of regimes. */
const REGIME_SMOOTHING = 0.4;
/** Share of the horizon that a first regime is expected to last. */
const INITIAL_REGIME_SHARE = 0.25;
/** A regime that has outlasted the mean is expected to last this share of its age longer. */
const REGIME_EXTENSION_SHARE = 0.5;
/** Time away for a change over the setting, at first: draining takes its share. */
const INITIAL_CHANGE_TIME_FACTOR = 1.5;
const CHANGE_TIME_SMOOTHING = 0.3;

/** Changes a role only where the gain over a horizon exceeds the change's cost. */
export class HorizonPlanner implements RolePlanner {
  readonly #planning: Planning;
  readonly #model: EngineModel;
  #proposal: { role: EngineRole; rounds: number } | undefined;
  readonly #regimes: RegimeEstimator;
  /** Mean time from the announcement of a change to its end. */
  #meanChangeMs: number;

  constructor(planning: Planning, model: EngineModel) {
    this.#planning = planning;
    this.#model = model;
    this.#regimes = new RegimeEstimator(planning.horizonMs);
    this.#meanChangeMs = planning.changeMs * INITIAL_CHANGE_TIME_FACTOR;
  }

  recordChange(awayMs: number): void {
    this.#meanChangeMs += (awayMs - this.#meanChangeMs) * CHANGE_TIME_SMOOTHING;
  }

  plan(input: RolePlanInput): RoleChange | undefined {
    const need = computeRequiredEngines(input.demand, this.#model);
    this.#regimes.recordDemand(need, input.nowMs);
    if (input.changing) return undefined;
    const best = this.#findBest(input, need);
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
    need: RequiredEngines,
  ): RoleChange | undefined {
    const { changeWeight } = this.#planning;
    const awayMs = this.#meanChangeMs;
    const horizonMs = this.#regimes.predictRemainingMs(input.nowMs);
    const counts = countRoles(input.engines);
    const now = estimateServedShare(counts, need);
    let best: RoleChange | undefined;
    for (const role of ["prefill", "decode", "mixed"] as const) {
      const engine = pickEngine(input.engines, role);
      if (engine === undefined) continue;
      const away = { ...counts, [engine.role]: counts[engine.role] - 1 };
      if (!this.#keepsMinimum(away, engine.role)) continue;
      const after = { ...away, [role]: away[role] + 1 };
      const gained = (estimateServedShare(after, need) - now) *
        Math.max(0, horizonMs - awayMs);
      const lost = Math.max(0, now - estimateServedShare(away, need)) * awayMs;
      const fixed = changeWeight * awayMs / input.engines.length;
      const gain = (gained - lost - fixed) / horizonMs;
      if (gain > 0 && gain > (best?.gain ?? 0)) {
        best = { engine: engine.id, role, gain };
      }
    }
    return best;
  }

  /** As many engines must stay able to do what the leaving one did as the setting says. */
  #keepsMinimum(away: RoleCounts, left: EngineRole): boolean {
    if (left === "mixed") return true;
    return away[left] + away.mixed >= this.#planning.minimumPerRole;
  }
}

/** Learns how long the mix stays on one side, and so what a role change can still bring. */
class RegimeEstimator {
  readonly #maxMs: number;
  #meanMs: number;
  #isPrefillDominant: boolean | undefined;
  #sinceMs = 0;

  constructor(longestMs: number) {
    this.#maxMs = longestMs;
    this.#meanMs = longestMs * INITIAL_REGIME_SHARE;
  }

  recordDemand(need: RequiredEngines, nowMs: number): void {
    if (need.prefill + need.decode === 0) return;
    const prevails = need.prefill > need.decode;
    if (prevails === this.#isPrefillDominant) return;
    if (this.#isPrefillDominant !== undefined) {
      const lastedMs = Math.min(this.#maxMs, nowMs - this.#sinceMs);
      this.#meanMs += (lastedMs - this.#meanMs) * REGIME_SMOOTHING;
    }
    this.#isPrefillDominant = prevails;
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

/** Engines by role. */
export type RoleCounts = Readonly<Record<EngineRole, number>>;

/** Work in engines: how many of the fitting role the demand would keep busy. */
export interface RequiredEngines {
  readonly prefill: number;
  readonly decode: number;
}

/** Turns demand into engines needed. */
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

/** The engine that is cheapest to give `role`. */
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
 * Share of the demand that a split of roles serves, 0 to 1. Engines of the other role take in
 * what is beyond the engines of a role, at their lower efficiency.
 */
export function estimateServedShare(
  counts: RoleCounts,
  need: RequiredEngines,
): number {
  const total = need.prefill + need.decode;
  if (total === 0) return 1;
  const mixed = counts.mixed * MIXED_ENGINE_EFFICIENCY;
  const prefillers = counts.prefill + mixed * need.prefill / total;
  const decoders = counts.decode + mixed * need.decode / total;
  const utilization = decoders === 0 ? 1 : need.decode / decoders;
  const absorbing = Math.min(
    1,
    Math.max(0, 1 + FULL_PREFILL_UTILIZATION - utilization),
  );
  const prefillCapacity = prefillers +
    decoders * DECODER_PREFILL_CAPACITY * absorbing;
  const decodeCapacity = decoders + prefillers * PREFILLER_DECODE_CAPACITY;
  const share = (capacity: number, wanted: number) =>
    wanted === 0 ? 1 : capacity / wanted;
  return Math.min(
    1,
    share(prefillCapacity, need.prefill),
    share(decodeCapacity, need.decode),
  );
}

/** Efficiency of a mixed engine at either work. */
const MIXED_ENGINE_EFFICIENCY = 0.8;
