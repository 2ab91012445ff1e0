/**
 * The role changes of one service's engines, by what this VM knows of them.
 *
 * @module
 */
import type { TargetHealth } from "../beliefs/target_health.ts";
import type { WorkLedger } from "../beliefs/work_ledger.ts";
import type { ServiceSpec, Target } from "../model.ts";
import { planRoles, type RoleChange } from "./role_plan.ts";
import { RunnerCover, type RunnerState } from "./runner_cover.ts";

/** Options of {@linkcode RolePlanner}. */
export interface RolePlannerOptions {
  readonly health: Pick<TargetHealth, "isReachable">;
  readonly ledger: Pick<WorkLedger, "getRuns">;
  /** Called when the wait for a lost engine begins, and when it ends. */
  readonly onPutOff?: (
    service: string,
    isPutOff: boolean,
    state: RunnerState,
  ) => void;
}

/** Plans one service after the other. */
export class RolePlanner {
  readonly #options: RolePlannerOptions;
  readonly #cover = new RunnerCover();
  /** Services that wait for a lost engine. */
  readonly #putOff = new Set<string>();

  constructor(options: RolePlannerOptions) {
    this.#options = options;
  }

  /** The changes that are due now. */
  plan(
    service: ServiceSpec,
    engines: readonly Target[],
    nowMs: number,
  ): RoleChange[] {
    const { health } = this.#options;
    const changes = planRoles(engines, {
      isReachable: ({ id }) => health.isReachable(id),
      slots: service.engine?.slots,
    });
    const state = this.#judgeRunners(service, engines, changes, nowMs);
    if (state === undefined) return changes;
    const isPutOff = this.#cover.isPutOff(service.name, state, nowMs);
    this.#notePutOff(service.name, isPutOff, state);
    return isPutOff ? [] : changes;
  }

  #notePutOff(service: string, isPutOff: boolean, state: RunnerState): void {
    if (this.#putOff.has(service) === isPutOff) return;
    if (isPutOff) this.#putOff.add(service);
    else this.#putOff.delete(service);
    this.#options.onPutOff?.(service, isPutOff, state);
  }

  #judgeRunners(
    { engine }: ServiceSpec,
    engines: readonly Target[],
    changes: readonly RoleChange[],
    nowMs: number,
  ): RunnerState | undefined {
    if (engine === undefined) return undefined;
    const { health, ledger } = this.#options;
    const runners = engines.filter(({ role }) => role === "decode");
    const work = runners.map(({ id }) => ledger.getRuns(id, nowMs));
    return {
      isShort: changes.some(({ role }) => role === "decode"),
      hasLeaving: runners.some(({ leaving }) => leaving),
      answering: runners.filter(({ id }) => health.isReachable(id)).length,
      slots: engine.slots,
      kvRoom: engine.kvTokens,
      runs: work.reduce((sum, { runs }) => sum + runs, 0),
      kvTokens: work.reduce((sum, { kvTokens }) => sum + kvTokens, 0),
      roleChangeMs: engine.roleChangeMs,
    };
  }
}
