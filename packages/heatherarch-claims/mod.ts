/**
 * At-most-once claims of idempotency keys: the state of a shard's stream, and group commit.
 *
 * @module
 */
export * from "./claim_fold.ts";
export * from "./claim_key.ts";
export * from "./claim_records.ts";
export * from "./claim_shard.ts";
