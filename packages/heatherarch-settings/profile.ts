/**
 * Profiles: named descriptions of how a class of work is served.
 *
 * @module
 */
import { z } from "zod";
import { Err, Ok, type Result } from "heatherarch-core";
import { buildIssues, type InputIssue } from "./input_issue.ts";

const NAME = z.string().regex(
  /^[a-z0-9][a-z0-9._-]{0,62}$/,
  "must be a short lower-case name",
);

/** Ways of choosing a target that a profile may name. */
export const ROUTING_KINDS = [
  "prefixAffinity",
  "leastOutstanding",
  "roundRobin",
] as const;
/** Name of a routing policy. */
export type RoutingKind = typeof ROUTING_KINDS[number];

/** Classes of priority, most urgent first. */
export const PRIORITIES = ["lookup", "interactive", "batch"] as const;
/** Name of a priority class. */
export type Priority = typeof PRIORITIES[number];

const PROFILE_SCHEMA = z.strictObject({
  name: NAME,
  priority: z.enum(PRIORITIES).default("interactive"),
  routing: z.enum(ROUTING_KINDS).default("prefixAffinity"),
  deadlineMs: z.int().min(50).max(3_600_000).default(60_000),
  firstTokenMs: z.int().min(1).max(600_000).default(870),
  tokenGapMs: z.int().min(1).max(60_000).default(37),
  maxOutputTokens: z.int().min(1).max(1_000_000).default(4096),
  maxPromptTokens: z.int().min(1).max(10_000_000).default(131_072),
  /** Prompts at least this long are prefilled apart and their KV cache is moved; 0 never. */
  kvTransferMinTokens: z.int().min(0).default(512),
  /** Idempotent lookups are sent again to another target after this time; 0 never. */
  hedgeAfterMs: z.int().min(0).default(0),
});

/** A checked profile. */
export type Profile = z.infer<typeof PROFILE_SCHEMA>;

/** Checks a profile and fills in defaults. */
export function parseProfile(
  input: unknown,
): Result<Profile, InputIssue[]> {
  const parsed = PROFILE_SCHEMA.safeParse(input);
  return parsed.success ? Ok(parsed.data) : Err(buildIssues(parsed.error));
}

/** The profile that is used where a request names none and none named `default` is published. */
export const DEFAULT_PROFILE: Profile = PROFILE_SCHEMA.parse({
  name: "default",
});
