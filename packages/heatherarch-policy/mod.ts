/**
 * Decisions under load: routing, admission, limits, retry budgets and role planning. The package
 * is pure: callers pass in the time and all measurements.
 *
 * @module
 */
export * from "./account_limits.ts";
export * from "./admission.ts";
export * from "./candidate.ts";
export * from "./demand_meter.ts";
export * from "./engine_model.ts";
export * from "./load_tracker.ts";
export * from "./lookup_reserve.ts";
export * from "./prefix_key.ts";
export * from "./retry_budget.ts";
export * from "./role_planner.ts";
export * from "./router.ts";
export * from "./router_adaptive.ts";
export * from "./router_static.ts";
