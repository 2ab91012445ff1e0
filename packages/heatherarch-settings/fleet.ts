/**
 * Fleet configuration that operators publish: availability zones, services, targets and client
 * accounts.
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
const ADDRESS = z.string().regex(
  /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$|^\[[0-9a-f:]+\]:\d{1,5}$/,
  "must be ip:port",
);

/** Engine dialects that are supported. */
export const ENGINE_DIALECTS = ["sse", "ndjson"] as const;
/** Name of an engine dialect. */
export type EngineDialect = typeof ENGINE_DIALECTS[number];

/** Initial speed estimates for the engines of a service. They are refined by the responses. */
const SPEEDS = z.strictObject({
  /** Duration of a step with an empty batch, milliseconds. */
  stepMs: z.number().min(0.01).max(10_000).default(12),
  /** Time that each decoding sequence adds to a step, milliseconds. */
  decodeMsPerSequence: z.number().min(0).max(1000).default(0.15),
  prefillTokensPerSecond: z.number().min(1).max(1e7).default(8000),
  /** Time to transfer the KV cache of one prompt token, milliseconds. */
  kvMsPerToken: z.number().min(0).max(100).default(0.004),
});

const MODEL_SERVICE = z.strictObject({
  name: NAME,
  kind: z.literal("model"),
  /** Model names that clients may request. */
  models: z.array(z.string().min(1)).min(1),
  /** Model version that the engines should load. */
  version: z.string().min(1).default("1"),
  speeds: SPEEDS.prefault({}),
});

const PLAIN_SERVICE = z.strictObject({
  name: NAME,
  kind: z.literal("plain"),
  /** HTTP methods that may be retried after a failure with an unknown outcome. */
  idempotentMethods: z.array(z.string()).default(["GET", "HEAD", "OPTIONS"]),
  /** Whether requests with other methods must have an idempotency key. */
  keyRequired: z.boolean().default(false),
  /** Whether the service deduplicates keys itself. Calls are then forwarded during a log outage. */
  honoursKey: z.boolean().default(false),
  /** Whether the service returns the `x-try-id` of a call. Responses without it are rejected. */
  echoesTryId: z.boolean().default(false),
});

const TARGET = z.strictObject({
  id: NAME,
  service: NAME,
  availabilityZone: NAME,
  address: ADDRESS,
  dialect: z.enum(ENGINE_DIALECTS).default("sse"),
  /** Whether the engine rejects an order whose fencing token is lower than one it has accepted. */
  checksFencing: z.boolean().default(true),
  role: z.enum(["prefill", "decode", "mixed"]).default("mixed"),
  /** Maximum number of concurrent requests. */
  maxConcurrent: z.int().min(1).max(100_000).default(64),
});

const ACCOUNT = z.strictObject({
  name: NAME,
  /** SHA-256 of the bearer token in hex. An account without it is open to everyone. */
  tokenSha256: z.string().regex(/^[0-9a-f]{64}$/).optional(),
  requestsPerSecond: z.number().min(0.01).max(1e6).default(100),
  burst: z.int().min(1).max(1e6).default(200),
  maxConcurrent: z.int().min(1).max(1e6).default(1000),
  /** Weight in the fair shares of the client accounts while a VM is near its maximum. */
  weight: z.number().min(0.01).max(1000).default(1),
});

const PLANNING = z.strictObject({
  policy: z.enum(["none", "greedy", "horizon"]).default("horizon"),
  intervalMs: z.int().min(50).max(600_000).default(2000),
  /** Time for which the demand is assumed to last when the cost of a role change is considered. */
  horizonMs: z.int().min(100).max(3_600_000).default(60_000),
  /** Time for which a role change makes an engine unavailable. */
  changeMs: z.int().min(0).max(600_000).default(5000),
  /** Cost of a role change besides the unavailability, in multiples of `changeMs`. */
  changeWeight: z.number().min(0).max(100).default(1),
  minimumPerRole: z.int().min(0).default(1),
});

const FLEET_SCHEMA = z.strictObject({
  deployment: NAME,
  availabilityZones: z.array(NAME).min(1),
  services: z.array(
    z.discriminatedUnion("kind", [MODEL_SERVICE, PLAIN_SERVICE]),
  ).min(1),
  targets: z.array(TARGET),
  accounts: z.array(ACCOUNT).default([]),
  /** Whether requests without a known account are served under the account `anonymous`. */
  allowAnonymous: z.boolean().default(true),
  planning: PLANNING.prefault({}),
}).superRefine((fleet, context) => {
  checkUnique(fleet.services.map((s) => s.name), "services", context);
  checkUnique(fleet.targets.map((t) => t.id), "targets", context);
  checkUnique(fleet.accounts.map((a) => a.name), "accounts", context);
  checkUnique(fleet.availabilityZones, "availabilityZones", context);
  const services = new Map(fleet.services.map((s) => [s.name, s]));
  fleet.targets.forEach((target, index) => {
    if (!services.has(target.service)) {
      const message = `no service is named ${target.service}`;
      context.addIssue({
        code: "custom",
        path: ["targets", index, "service"],
        message,
      });
    }
    if (!fleet.availabilityZones.includes(target.availabilityZone)) {
      const message =
        `no availability zone is named ${target.availabilityZone}`;
      context.addIssue({
        code: "custom",
        path: ["targets", index, "availabilityZone"],
        message,
      });
    }
  });
});

function checkUnique(
  names: readonly string[],
  list: string,
  context: z.RefinementCtx,
): void {
  names.forEach((name, index) => {
    if (names.indexOf(name) === index) return;
    const message = `${name} stands twice`;
    context.addIssue({ code: "custom", path: [list, index], message });
  });
}

/** A validated fleet configuration. */
export type Fleet = z.infer<typeof FLEET_SCHEMA>;
/** One service of a fleet. */
export type Service = Fleet["services"][number];
/** A service that language-model engines provide. */
export type ModelService = Extract<Service, { kind: "model" }>;
/** A service whose requests are forwarded to its back ends. */
export type PlainService = Extract<Service, { kind: "plain" }>;
/** One engine or one back end of a plain service. */
export type Target = Fleet["targets"][number];
/** One client account. */
export type Account = Fleet["accounts"][number];
/** Options of role planning. */
export type Planning = Fleet["planning"];

/** Validates a fleet configuration and sets the defaults. */
export function parseFleet(input: unknown): Result<Fleet, InputIssue[]> {
  const parsed = FLEET_SCHEMA.safeParse(input);
  return parsed.success ? Ok(parsed.data) : Err(buildIssues(parsed.error));
}
