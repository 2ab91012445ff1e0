/**
 * Interface of the routing policies.
 *
 * @module
 */
import type { RoutingKind } from "heatherarch-settings";
import type { Candidate, RoutePlan, RouteRequest } from "./candidate.ts";
import type { EngineModel } from "./engine_model.ts";
import { AdaptiveRouter } from "./router_adaptive.ts";
import { LeastOutstandingRouter, RoundRobinRouter } from "./router_static.ts";

/** Chooses targets for requests. */
export interface Router {
  /** Plans the targets of a request; returns undefined if no candidate can take it. */
  planRoute(
    request: RouteRequest,
    candidates: readonly Candidate[],
  ): RoutePlan | undefined;
}

/** Creates the routing policy that a profile names. */
export function createRouter(kind: RoutingKind, model: EngineModel): Router {
  switch (kind) {
    case "prefixAffinity":
      return new AdaptiveRouter(model);
    case "leastOutstanding":
      return new LeastOutstandingRouter(model);
    case "roundRobin":
      return new RoundRobinRouter(model);
  }
}
