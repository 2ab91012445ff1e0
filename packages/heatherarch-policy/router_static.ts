/**
 * Baseline routing policies: round robin and least outstanding requests among the engines of a
 * role.
 *
 * @module
 */
import type { Candidate, RoutePlan, RouteRequest } from "./candidate.ts";
import type { EngineModel } from "./engine_model.ts";
import type { Router } from "./router.ts";

/** Routes by role; subclasses choose among the engines of a role. */
abstract class RoleRouter implements Router {
  readonly #model: EngineModel;

  constructor(model: EngineModel) {
    this.#model = model;
  }

  planRoute(
    request: RouteRequest,
    candidates: readonly Candidate[],
  ): RoutePlan | undefined {
    const local = candidates.filter((candidate) => candidate.sameZone);
    const pool = local.length > 0 ? local : candidates;
    if (pool.length === 0) return undefined;
    const decoders = pool.filter((candidate) => candidate.role !== "prefill");
    const prefillers = pool.filter((candidate) => candidate.role === "prefill");
    const { kvTransferMinTokens, promptTokens } = request;
    const isLong = kvTransferMinTokens > 0 &&
      promptTokens >= kvTransferMinTokens;
    if (isLong && prefillers.length > 0 && decoders.length > 0) {
      const primary = this.pick(prefillers, "prefill");
      return {
        ...this.#predict(primary, request),
        decode: this.pick(decoders, "decode"),
      };
    }
    return this.#predict(
      this.pick(decoders.length > 0 ? decoders : pool, "whole"),
      request,
    );
  }

  /** Chooses a candidate of `pool`, which is not empty. */
  protected abstract pick(pool: readonly Candidate[], stage: string): Candidate;

  #predict(primary: Candidate, request: RouteRequest): RoutePlan {
    const { role, load } = primary;
    return {
      primary,
      firstTokenMs: this.#model.predictFirstTokenMs(
        role,
        load,
        request.promptTokens,
      ),
      tokenGapMs: this.#model.predictTokenGapMs(role, load),
    };
  }
}

/** Chooses the targets in turn. */
export class RoundRobinRouter extends RoleRouter {
  readonly #next = new Map<string, number>();

  protected pick(pool: readonly Candidate[], stage: string): Candidate {
    const turn = this.#next.get(stage) ?? 0;
    this.#next.set(stage, turn + 1);
    return pool[turn % pool.length];
  }
}

/** Chooses the target with the fewest running and waiting requests. */
export class LeastOutstandingRouter extends RoleRouter {
  protected pick(pool: readonly Candidate[]): Candidate {
    const count = ({ load }: Candidate) => load.running + load.waiting;
    return pool.reduce((best, candidate) =>
      count(candidate) < count(best) ? candidate : best
    );
  }
}
