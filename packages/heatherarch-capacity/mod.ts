/**
 * How many targets of which kind are ordered in each availability zone.
 *
 * @module
 */
export * from "./capacity_orders.ts";
export * from "./capacity_strategy.ts";
