/**
 * Duties that one VM at a time performs, and the lease under which it does.
 *
 * @module
 */
export * from "./duty_candidacy.ts";
export * from "./lease_holder.ts";
