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
export interface PlanInput {
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
  plan(input: PlanInput): RoleChange | undefined;
}

/** Creates the planner that the fleet configuration names. */
export function createRolePlanner(
  planning: Planning,
  model: EngineModel,
): RolePlanner {
  switch (planning.policy) {
    case "none":
      return new FixedRoles();
    case "greedy":
      return new GreedyPlanner(planning, model);
    case "horizon":
      return new HorizonPlanner(planning, model);
  }
}

/** Never changes a role. */
export class FixedRoles implements RolePlanner {
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

  plan(input: PlanInput): RoleChange | undefined {
    if (input.changing) return undefined;
    const need = computeNeed(input.demand, this.#model);
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
const CONFIRMING_ROUNDS = 2;
/** Efficiency of an engine at work of the other role. */
const PREFILL_ON_DECODER = 0.4;
const DECODE_ON_PREFILLER = 0.2;

/** Changes a role only where the gain over a horizon exceeds the change's cost. */
export class HorizonPlanner implements RolePlanner {
  readonly #planning: Planning;
  readonly #model: EngineModel;
  #proposal: { role: EngineRole; rounds: number } | undefined;

  constructor(planning: Planning, model: EngineModel) {
    this.#planning = planning;
    this.#model = model;
  }

  plan(input: PlanInput): RoleChange | undefined {
    if (input.changing) return undefined;
    const best = this.#findBest(input);
    if (best === undefined) {
      this.#proposal = undefined;
      return undefined;
    }
    const rounds = this.#proposal?.role === best.role
      ? this.#proposal.rounds + 1
      : 1;
    this.#proposal = { role: best.role, rounds };
    if (rounds < CONFIRMING_ROUNDS) return undefined;
    this.#proposal = undefined;
    return best;
  }

  #findBest(input: PlanInput): RoleChange | undefined {
    const { horizonMs, changeMs, changeWeight } = this.#planning;
    const need = computeNeed(input.demand, this.#model);
    const counts = countRoles(input.engines);
    const now = estimateServed(counts, need);
    let best: RoleChange | undefined;
    for (const role of ["prefill", "decode", "mixed"] as const) {
      const engine = pickEngine(input.engines, role);
      if (engine === undefined) continue;
      const away = { ...counts, [engine.role]: counts[engine.role] - 1 };
      if (!this.#keepsMinimum(away, engine.role)) continue;
      const after = { ...away, [role]: away[role] + 1 };
      const gained = (estimateServed(after, need) - now) *
        (horizonMs - changeMs);
      const lost = Math.max(0, now - estimateServed(away, need)) * changeMs;
      const fixed = changeWeight * changeMs / input.engines.length;
      const gain = (gained - lost - fixed) / horizonMs;
      if (gain > 0 && gain > (best?.gain ?? 0)) {
        best = { engine: engine.id, role, gain };
      }
    }
    return best;
  }

  /** Some engine must go on decoding, and as many of each used role as the setting says. */
  #keepsMinimum(away: RoleCounts, left: EngineRole): boolean {
    if (
      left !== "prefill" &&
      away.decode + away.mixed < this.#planning.minimumPerRole
    ) return false;
    return left !== "prefill" ||
      away.prefill + away.mixed >= this.#planning.minimumPerRole;
  }
}

/** Engines by role. */
export type RoleCounts = Readonly<Record<EngineRole, number>>;

/** Work in engines: how many of the fitting role the demand would keep busy. */
export interface WorkNeed {
  readonly prefill: number;
  readonly decode: number;
}

/** Turns demand into engines needed. */
export function computeNeed(demand: Demand, model: EngineModel): WorkNeed {
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
 * Share of the demand that a split of roles serves, 0 to 1. Work beyond the engines of its
 * role spills over to the spare capacity of the others at their lower efficiency.
 */
export function estimateServed(counts: RoleCounts, need: WorkNeed): number {
  if (need.prefill + need.decode === 0) return 1;
  const mixedShare = need.prefill / (need.prefill + need.decode);
  const prefillers = counts.prefill +
    counts.mixed * mixedShare * MIXED_EFFICIENCY;
  const decoders = counts.decode +
    counts.mixed * (1 - mixedShare) * MIXED_EFFICIENCY;
  const prefillLack = Math.max(0, need.prefill - prefillers);
  const decodeLack = Math.max(0, need.decode - decoders);
  const spareDecoders = Math.max(0, decoders - need.decode);
  const sparePrefillers = Math.max(0, prefillers - need.prefill);
  const prefillShort = Math.max(
    0,
    prefillLack - spareDecoders * PREFILL_ON_DECODER,
  );
  const decodeShort = Math.max(
    0,
    decodeLack - sparePrefillers * DECODE_ON_PREFILLER,
  );
  const prefillServed = need.prefill === 0
    ? 1
    : 1 - prefillShort / need.prefill;
  const decodeServed = need.decode === 0 ? 1 : 1 - decodeShort / need.decode;
  return Math.min(prefillServed, decodeServed);
}

/** Efficiency of a mixed engine at either work. */
const MIXED_EFFICIENCY = 0.8;
