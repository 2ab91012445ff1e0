/**
 * Records of a `control.<availability zone>` stream.
 *
 * @module
 */
import { z } from "zod";
import type { EngineOrder } from "heatherarch-core";

/** Version of the record format that this program writes. */
export const CONTROL_FORMAT = 1;

/** Returns the name of the control stream of an availability zone. */
export function buildControlStreamName(availabilityZone: string): string {
  return `control.${availabilityZone}`;
}

const ORDER = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("setRole"),
    role: z.enum(["prefill", "decode", "mixed"]),
  }),
  z.object({
    kind: z.literal("loadModel"),
    model: z.string(),
    version: z.string(),
  }),
]);

const BASE = { format: z.literal(CONTROL_FORMAT), id: z.string().min(1) };

const CONTROL_RECORD = z.discriminatedUnion("type", [
  z.object({
    ...BASE,
    type: z.literal("claim"),
    vm: z.string(),
    incarnation: z.string(),
    /** Offset of the claim that this one replaces; -1 for none. */
    replaces: z.int(),
    /** Offset up to which the claimant has read the stream. */
    seenRenewal: z.int(),
  }),
  z.object({ ...BASE, type: z.literal("renew"), claimOffset: z.int() }),
  z.object({ ...BASE, type: z.literal("release"), claimOffset: z.int() }),
  z.object({
    ...BASE,
    type: z.literal("intent"),
    claimOffset: z.int(),
    target: z.string(),
    order: ORDER,
  }),
  z.object({
    ...BASE,
    type: z.literal("outcome"),
    claimOffset: z.int(),
    intentId: z.string(),
    result: z.enum(["done", "failed", "abandoned"]),
    detail: z.string().default(""),
  }),
  z.object({
    ...BASE,
    type: z.literal("snapshot"),
    coversOffset: z.int(),
    state: z.unknown(),
  }),
]);

/** A record of a control stream. */
export type ControlRecord = z.infer<typeof CONTROL_RECORD>;
/** Result of an order. */
export type OrderResult = Extract<ControlRecord, { type: "outcome" }>["result"];

/** Parses a record; returns undefined for invalid data or an unknown format. */
export function parseControlRecord(data: unknown): ControlRecord | undefined {
  const parsed = CONTROL_RECORD.safeParse(data);
  return parsed.success ? parsed.data : undefined;
}

/** Returns a short description of an order for logs. */
export function describeOrder(order: EngineOrder): string {
  return order.kind === "setRole"
    ? `set role ${order.role}`
    : `load ${order.model}@${order.version}`;
}
