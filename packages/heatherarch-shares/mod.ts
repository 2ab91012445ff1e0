/**
 * Shares of client accounts in the time of targets.
 *
 * @module
 */
export * from "./fair_shares.ts";
export * from "./use_rows.ts";
