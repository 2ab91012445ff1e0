/**
 * Records of the `config` stream.
 *
 * @module
 */
import { z } from "zod";

/** Name of the stream that operators publish to. */
export const CONFIG_STREAM = "config";
/** Version of the record format that this process writes. */
export const CONFIG_FORMAT = 1;

/** Directives that an operator can give for a target. */
export const DIRECTIVES = ["drain", "replace", "withdraw", "restore"] as const;

const CHANGE = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("publishFleet"), fleet: z.unknown() }),
  z.object({ kind: z.literal("putProfile"), profile: z.unknown() }),
  z.object({ kind: z.literal("deleteProfile"), name: z.string() }),
  z.object({
    kind: z.literal("directTarget"),
    target: z.string(),
    directive: z.enum(DIRECTIVES),
    replacement: z.unknown().optional(),
  }),
]);

/** Change that an operator publishes. */
export type ConfigChange = z.infer<typeof CHANGE>;

const CONFIG_RECORD = z.discriminatedUnion("type", [
  z.object({
    type: z.literal("change"),
    format: z.literal(CONFIG_FORMAT),
    id: z.string().min(1),
    author: z.string(),
    atMs: z.number(),
    /** Last revision that the author has seen of the changed object; -1 if there is none. */
    baseRevision: z.int(),
    change: CHANGE,
  }),
  z.object({
    type: z.literal("snapshot"),
    format: z.literal(CONFIG_FORMAT),
    id: z.string().min(1),
    /** Offset of the last record that the state includes. */
    coversOffset: z.int(),
    state: z.unknown(),
  }),
]);

/** A record of the configuration stream. */
export type ConfigRecord = z.infer<typeof CONFIG_RECORD>;
/** A change as a record of the stream. */
export type ConfigChangeRecord = Extract<ConfigRecord, { type: "change" }>;

/** Parses the content of a record. Returns undefined if it is invalid or of an unknown format. */
export function parseConfigRecord(data: unknown): ConfigRecord | undefined {
  const parsed = CONFIG_RECORD.safeParse(data);
  return parsed.success ? parsed.data : undefined;
}
