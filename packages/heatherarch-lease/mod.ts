/**
 * The lease of an availability zone, and the orders that its holder gives.
 *
 * @module
 */
export * from "./control_fold.ts";
export * from "./control_records.ts";
export * from "./lease_state_machine.ts";
