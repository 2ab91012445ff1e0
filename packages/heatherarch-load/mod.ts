/**
 * Load, momentary slowdown and own speed of targets.
 *
 * @module
 */
export * from "./report_trust.ts";
export * from "./target_loads.ts";
export * from "./target_speeds.ts";
export * from "./usual_times.ts";
