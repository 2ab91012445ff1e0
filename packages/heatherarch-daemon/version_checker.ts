/**
 * Finds engines whose model or version differs from the published one.
 *
 * @module
 */
import type { Clock, EngineOrder, EngineState } from "heatherarch-core";
import type { Fleet, Target } from "heatherarch-settings";
import type { TargetTable } from "./target_table.ts";

/** An order and the engine that receives it. */
export interface PlannedOrder {
  readonly target: Target;
  readonly order: EngineOrder;
}

/** Options of {@linkcode VersionChecker}. */
export interface VersionCheckerOptions {
  readonly clock: Clock;
  readonly table: Pick<TargetTable, "findTarget">;
  /** Reads an engine's state; undefined if the engine doesn't respond. */
  readonly readState: (target: Target) => Promise<EngineState | undefined>;
  /** Whether an engine may receive an order now. */
  readonly mayOrder: (target: Target) => boolean;
}

/** Maximum number of engines that are checked in one step. */
const MAX_CHECKS_PER_STEP = 4;
/** All engines are checked again at this interval: one may have restarted with other weights. */
const REVERIFY_INTERVAL_MS = 30_000;

/** Checks the engines of one availability zone, a few at a time. */
export class VersionChecker {
  readonly #options: VersionCheckerOptions;
  /** Ids of the engines that run the published model and version. */
  readonly #verified = new Set<string>();
  #verifiedFleet: Fleet | undefined;
  #nextClearMs = 0;

  constructor(options: VersionCheckerOptions) {
    this.#options = options;
  }

  /**
   * Returns an order for an engine that must load another model or version. One engine is changed
   * at a time.
   */
  async findOutdated(
    fleet: Fleet,
    engines: readonly string[],
  ): Promise<PlannedOrder | undefined> {
    this.#clearWhenDue(fleet);
    const unverified = engines.filter((id) => !this.#verified.has(id));
    for (const id of unverified.slice(0, MAX_CHECKS_PER_STEP)) {
      const planned = await this.#checkEngine(fleet, id);
      if (planned !== undefined) return planned;
    }
    return undefined;
  }

  /** Forgets the verified engines after a change of the fleet and at each interval. */
  #clearWhenDue(fleet: Fleet): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    if (this.#verifiedFleet === fleet && nowMs < this.#nextClearMs) return;
    this.#verifiedFleet = fleet;
    this.#nextClearMs = nowMs + REVERIFY_INTERVAL_MS;
    this.#verified.clear();
  }

  async #checkEngine(
    fleet: Fleet,
    id: string,
  ): Promise<PlannedOrder | undefined> {
    const { table, readState, mayOrder } = this.#options;
    const target = table.findTarget(id);
    const service = fleet.services.find(({ name }) => name === target?.service);
    if (target === undefined || service?.kind !== "model") return undefined;
    const state = await readState(target);
    if (state === undefined || state.busyWithOrder) return undefined;
    const { models, version } = service;
    const model = models.includes(state.model) ? state.model : models[0];
    const order: EngineOrder = { kind: "loadModel", model, version };
    if (!isOrderFulfilled(state, order)) {
      return mayOrder(target) ? { target, order } : undefined;
    }
    this.#verified.add(id);
    return undefined;
  }
}

/** Whether an engine is in the state that an order asks for. */
export function isOrderFulfilled(
  state: EngineState,
  order: EngineOrder,
): boolean {
  return order.kind === "setRole"
    ? state.role === order.role
    : state.model === order.model && state.version === order.version;
}
