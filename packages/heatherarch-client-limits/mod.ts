/**
 * Bounds of the memory and the connections that clients may hold in one process.
 *
 * @module
 */
export * from "./body_memory.ts";
export * from "./connection_limiter.ts";
export * from "./framing_budget.ts";
