/**
 * Records of a `claims.<shard>` stream. One record carries many claims, outcomes and releases.
 *
 * @module
 */
import { z } from "zod";

/** Version of the record format that this program writes. */
export const CLAIMS_FORMAT = 1;

const OUTCOME = z.object({
  status: z.int(),
  headers: z.record(z.string(), z.string()),
  /** Response body in Base64; absent if it was too large to store. */
  body: z.string().optional(),
});

const ENTRY = z.discriminatedUnion("op", [
  z.object({
    op: z.literal("claim"),
    claimId: z.string(),
    key: z.string(),
    madeAtMs: z.number(),
    /** Digest of the request, which reveals the reuse of a key for a different request. */
    fingerprint: z.string(),
    vm: z.string(),
  }),
  z.object({
    op: z.literal("conclude"),
    claimId: z.string(),
    key: z.string(),
    outcome: OUTCOME,
  }),
  z.object({ op: z.literal("release"), claimId: z.string(), key: z.string() }),
]);

const KEY_STATE = z.object({
  key: z.string(),
  claimId: z.string(),
  madeAtMs: z.number(),
  claimedAtMs: z.number(),
  fingerprint: z.string(),
  vm: z.string(),
  outcome: OUTCOME.optional(),
});

const CLAIM_RECORD = z.discriminatedUnion("type", [
  z.object({
    type: z.literal("batch"),
    format: z.literal(CLAIMS_FORMAT),
    id: z.string(),
    entries: z.array(ENTRY),
  }),
  z.object({
    type: z.literal("snapshot"),
    format: z.literal(CLAIMS_FORMAT),
    id: z.string(),
    /** Id that all parts of one snapshot share. */
    snapshotId: z.string(),
    coversOffset: z.int(),
    part: z.int(),
    parts: z.int(),
    /** Latest append time of the covered records. */
    logTimeMs: z.number(),
    keys: z.array(KEY_STATE),
    seen: z.array(z.string()),
  }),
]);

/** A record of a claims stream. */
export type ClaimRecord = z.infer<typeof CLAIM_RECORD>;
/** A claim, an outcome or a release of a key. */
export type ClaimEntry = z.infer<typeof ENTRY>;
/** A claim of a key. */
export type ClaimRequest = Extract<ClaimEntry, { op: "claim" }>;
/** State of a claimed key. */
export type KeyState = z.infer<typeof KEY_STATE>;

/** Parses a record; returns undefined for invalid data or an unknown format. */
export function parseClaimRecord(data: unknown): ClaimRecord | undefined {
  const parsed = CLAIM_RECORD.safeParse(data);
  return parsed.success ? parsed.data : undefined;
}
