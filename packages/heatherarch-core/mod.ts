/**
 * Types and utilities that all heatherarch packages share.
 *
 * @module
 */
export * from "./byte_gatherer.ts";
export * from "./clock.ts";
export * from "./connection_resets.ts";
export * from "./errors.ts";
export * from "./hash.ts";
export * from "./ids.ts";
export * from "./invariant.ts";
export * from "./ip_address.ts";
export * from "./listen_retry.ts";
export * from "./moment.ts";
export * from "./random.ts";
export * from "./read_barrier.ts";
export * from "./result.ts";
export * from "./stall_aware_timer.ts";
export * from "./task.ts";
export * from "./tokens.ts";
export * from "./types.ts";
