/**
 * Profiles. A profile is a named set of options for a class of requests.
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

/** Routing policies that a profile may name. */
export const ROUTING_KINDS = [
  "prefixAffinity",
  "leastOutstanding",
  "roundRobin",
] as const;
/** Name of a routing policy. */
export type RoutingKind = typeof ROUTING_KINDS[number];

/** Priority classes in descending order. */
export const PRIORITIES = ["lookup", "interactive", "batch"] as const;
/** Name of a priority class. */
export type Priority = typeof PRIORITIES[number];

const PROFILE_SCHEMA = z.strictObject({
  name: NAME,
  priority: z.enum(PRIORITIES).default("interactive"),
  routing: z.enum(ROUTING_KINDS).default("prefixAffinity"),
  deadlineMs: z.int().min(50).max(3_600_000).default(60_000),
  firstTokenMs: z.int().min(1).max(600_000).default(870),
  /** Gap between tokens that routing allows. */
  tokenGapMs: z.int().min(1).max(60_000).default(37),
  maxOutputTokens: z.int().min(1).max(1_000_000).default(4096),
  maxPromptTokens: z.int().min(1).max(10_000_000).default(131_072),
  /**
   * Minimum prompt length for a disaggregated prefill with a transfer of the KV cache; 0 is off.
   */
  kvTransferMinTokens: z.int().min(0).default(512),
  /** Time after which an idempotent lookup is also sent to another target; 0 is off. */
  hedgeAfterMs: z.int().min(0).default(0),
});

/** A validated profile. */
export type Profile = z.infer<typeof PROFILE_SCHEMA>;

/** Validates a profile and sets the defaults. */
export function parseProfile(
  input: unknown,
): Result<Profile, InputIssue[]> {
  const parsed = PROFILE_SCHEMA.safeParse(input);
  return parsed.success ? Ok(parsed.data) : Err(buildIssues(parsed.error));
}

/** Profile for requests that name none, unless a profile named `default` is published. */
export const DEFAULT_PROFILE: Profile = PROFILE_SCHEMA.parse({
  name: "default",
});
