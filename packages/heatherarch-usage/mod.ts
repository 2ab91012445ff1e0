/**
 * Usage of the client accounts by window, and the reports of it.
 *
 * @module
 */
export * from "./usage_collection.ts";
export * from "./usage_ledger.ts";
export * from "./usage_meter.ts";
