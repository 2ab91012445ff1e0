/**
 * Records of a `claims.<shard>` stream. One append carries many claims and outcomes.
 *
 * @module
 */
import { z } from "zod";

/** Version of the record format that this program writes. */
export const CLAIMS_FORMAT = 1;

const OUTCOME = z.object({
  status: z.int(),
  headers: z.record(z.string(), z.string()),
  /** Base64; absent where the answer was too large to keep. */
  body: z.string().optional(),
});

const ENTRY = z.discriminatedUnion("op", [
  z.object({
    op: z.literal("claim"),
    claimId: z.string(),
    key: z.string(),
    madeAtMs: z.number(),
    /** Digest of the request, so that a key used for another request is noticed. */
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
    /** Id shared by all parts of one snapshot. */
    snapshotId: z.string(),
    coversOffset: z.int(),
    part: z.int(),
    parts: z.int(),
    /** Latest time of the log that the covered records carry. */
    logTimeMs: z.number(),
    keys: z.array(KEY_STATE),
    seen: z.array(z.string()),
  }),
]);

/** A record of a claims stream. */
export type ClaimRecord = z.infer<typeof CLAIM_RECORD>;
/** One claim, outcome or release. */
export type ClaimEntry = z.infer<typeof ENTRY>;
/** A claim of a key. */
export type ClaimRequest = Extract<ClaimEntry, { op: "claim" }>;
/** The answer of a call, kept for repeats. */
export type ClaimOutcome = z.infer<typeof OUTCOME>;
/** What is known of a key. */
export type KeyState = z.infer<typeof KEY_STATE>;

/** Reads a record's content; undefined for garbage or an unknown format. */
export function parseClaimRecord(data: unknown): ClaimRecord | undefined {
  const parsed = CLAIM_RECORD.safeParse(data);
  return parsed.success ? parsed.data : undefined;
}
