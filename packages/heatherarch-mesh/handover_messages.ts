/**
 * Messages on the connections over which a VM hands calls over to a peer. A connection carries one
 * call at a time:
 *
 * 1. `offer` and `offerReply`: whether the peer takes a call. Nothing has been sent yet.
 * 2. `request`, its `bytes` and `end`.
 * 3. `response`, its `bytes` and `end`, or a `failure` in place of the rest.
 *
 * @module
 */
import { z } from "zod";

/** Reasons for which a peer declines a call. */
export const DECLINE_REASONS = [
  "noPath",
  "busy",
  "olderConfig",
  "stopping",
] as const;
/** Why a peer declines a call: it reaches no target either, has no room, is behind, or stops. */
export type DeclineReason = typeof DECLINE_REASONS[number];

const BYTES = z.custom<Uint8Array>((value) => value instanceof Uint8Array);

/** Schemas of the messages. */
export const HANDOVER_MESSAGES = [
  z.object({
    kind: z.literal("offer"),
    service: z.string().max(256),
    /** Version of the configuration by which the sender routed the call. */
    configVersion: z.int(),
    /** Whether the sender goes on with the call as well. A peer of earlier software ignores it. */
    isHedge: z.boolean().optional(),
  }),
  z.object({
    kind: z.literal("offerReply"),
    /** Undefined if the peer takes the call. */
    declined: z.enum(DECLINE_REASONS).optional(),
  }),
  z.object({ kind: z.literal("request"), head: z.unknown() }),
  z.object({ kind: z.literal("response"), head: z.unknown() }),
  z.object({ kind: z.literal("bytes"), bytes: BYTES }),
  z.object({ kind: z.literal("end") }),
  z.object({ kind: z.literal("failure"), failure: z.unknown() }),
] as const;
