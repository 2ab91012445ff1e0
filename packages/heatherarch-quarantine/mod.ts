/**
 * Detection and quarantine of requests that crash the targets that run them.
 *
 * @module
 */
export * from "./crash_detector.ts";
export * from "./part_quarantine.ts";
export * from "./request_digest.ts";
export * from "./request_quarantine.ts";
export * from "./target_probe.ts";
