/**
 * Settings in TOML of one `heatherarchd` process that forwards calls on a managed platform.
 *
 * @module
 */
import { z } from "zod";
import { Err, Ok, type Result } from "heatherarch-core";
import { buildIssues, type InputIssue } from "./input_issue.ts";
import { parseToml } from "./toml.ts";

const ADDRESS = z.string().regex(
  /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$|^\[[0-9a-f:]+\]:\d{1,5}$/,
  "must be ip:port",
);
const buildMsSchema = (low: number, high: number, value: number) =>
  z.int().min(low).max(high).default(value);

/**
 * Pause between reads of the target list as a share of its bound. After two failed reads there
 * is still time for a third one.
 */
const POLL_SHARE = 0.35;

/**
 * Maximum hold time of a configuration read as a share of its bound. A change may have to wait for
 * a read that was lost and for the next one.
 */
const CONFIG_WAIT_SHARE = 0.5;
/** Limits of the hold time of a read, milliseconds. Reads follow each other without a pause. */
const MIN_CONFIG_WAIT_MS = 50;
const MAX_CONFIG_WAIT_MS = 30_000;

function computeMaxConfigWaitMs(store: { configBoundMs: number }): number {
  return Math.round(store.configBoundMs * CONFIG_WAIT_SHARE);
}

/** Client accounts for which state is kept. */
const MAX_ACCOUNTS = 12_000;

const FORWARD_SCHEMA = z.object({
  vm: z.object({
    id: z.string().min(1).max(64),
    availabilityZone: z.string().min(1).max(64),
    /** Capacity of the VM as a hub of its zone, in a unit that all VMs share. */
    capacity: z.number().min(0).default(1),
  }),
  listen: z.object({
    callers: ADDRESS,
    readiness: ADDRESS,
    metrics: ADDRESS,
    mesh: ADDRESS,
  }),
  store: z.object({
    address: ADDRESS,
    /** Timeout of a request, milliseconds. The hold time that a read requests is added to it. */
    requestTimeoutMs: buildMsSchema(50, 60_000, 1500),
    /** Maximum size of a record in the store. */
    maxRecordBytes: z.int().min(1024).default(256 * 1024),
    /** Maximum time until a configuration change takes effect. */
    configBoundMs: buildMsSchema(200, 600_000, 2000),
    /** Hold time of a read for a newer configuration; by default half of `configBoundMs`. */
    configWaitMs: z.int().min(MIN_CONFIG_WAIT_MS).max(MAX_CONFIG_WAIT_MS)
      .optional(),
    /** Maximum time for which a leaving target may still receive requests. */
    leavingBoundMs: buildMsSchema(100, 600_000, 2000),
    /** Interval at which a live target renews its entry in the target list. */
    targetHeartbeatMs: buildMsSchema(10, 600_000, 1200),
    /** Pause between reads of the target list; by default a share of `leavingBoundMs`. */
    targetPollMs: z.int().min(10).max(60_000).optional(),
  }).transform((store) => ({
    ...store,
    targetPollMs: store.targetPollMs ??
      Math.round(store.leavingBoundMs * POLL_SHARE),
    configWaitMs: store.configWaitMs ??
      Math.min(MAX_CONFIG_WAIT_MS, computeMaxConfigWaitMs(store)),
  })).refine((store) => store.configWaitMs <= computeMaxConfigWaitMs(store), {
    path: ["configWaitMs"],
    message: "must be at most half of configBoundMs: a long poll may be lost",
  }),
  mesh: z.object({
    sharedKey: z.string().min(16, "must have 16 characters or more"),
    /** Address that is announced to peers; by default the listen address. */
    announce: ADDRESS.optional(),
    heartbeatMs: buildMsSchema(10, 60_000, 60),
    /** Minimum heartbeat interval per link, so that more links have less frequent heartbeats. */
    heartbeatPerLinkMs: buildMsSchema(0, 10_000, 5),
    silenceMs: buildMsSchema(50, 600_000, 1200),
    linksPerZone: z.int().min(1).max(1000).default(32),
    /**
     * Number of VMs from which links run over hubs. At 80 VMs, a full mesh cost 0.12 of a core.
     */
    hubsFromVms: z.int().min(2).default(20),
    hubsPerZone: z.int().min(1).max(16).default(2),
    /** Interval between heartbeats of a hub. */
    hubHeartbeatMs: buildMsSchema(10, 60_000, 100),
    /** Interval between heartbeats of a VM that sends to hubs, while nothing changes. */
    idleHeartbeatMs: buildMsSchema(10, 60_000, 250),
  }),
  accounts: z.object({
    /**
     * Time after which no call with a revoked API key may run. Calls are rejected while a VM can't
     * show that its configuration was the newest one within that time. Without it, a revocation
     * takes effect like any other change of the configuration.
     */
    revokeBoundMs: z.int().min(500).max(600_000).optional(),
    /**
     * Weights of client accounts by name, 1 by default. When capacity is short, the share of an
     * account is proportional to its weight. Names that the configuration doesn't have are kept, as
     * an account may be added later.
     */
    weights: z.record(z.string().min(1), z.number().min(0.01).max(1000))
      .refine((weights) => Object.keys(weights).length <= MAX_ACCOUNTS, {
        message: `must have at most ${MAX_ACCOUNTS} accounts`,
      }).optional(),
  }).prefault({}),
  retries: z.object({
    /** Retries that are allowed, as a share of the calls. */
    share: z.number().min(0).max(1).default(0.2),
    /** Retries that are allowed in addition in each window, for the whole fleet. */
    fixedPerWindow: z.number().min(0).default(20),
    windowSeconds: z.number().min(0.1).max(600).default(10),
  }).prefault({}),
  quarantine: z.object({
    /** Number of target incarnations that crash on a request before it is quarantined. */
    maxCrashes: z.int().min(1).max(100).default(3),
    /** Initial quarantine time. Each further crash doubles it. */
    holdSeconds: z.number().min(1).max(86_400).default(600),
  }).prefault({}),
  lease: z.object({
    durationMs: z.number().min(100).default(3000),
    /** Whether targets and the platform refuse what has a lower fencing token than before. */
    isFencingEnforced: z.boolean().default(true),
  }).prefault({}),
  /** The platform's API for what one VM at a time does for the fleet. */
  platformApi: z.object({
    address: ADDRESS,
    requestTimeoutMs: buildMsSchema(50, 60_000, 1500),
  }).optional(),
  capacity: z.object({
    /**
     * How targets are ordered. `steady` keeps the number that the fleet began with. `spotSurplus`
     * replaces most standard targets by spot targets, which pays where these are rarely reclaimed.
     */
    strategy: z.enum(["steady", "spotSurplus"]).default("steady"),
  }).prefault({}),
  /** Reports of the usage of client accounts; none without it. */
  usage: z.object({
    /** Length of a window. Windows are counted from the start of 1970. */
    windowSeconds: z.number().min(0.5).max(86_400),
    /** Time after the end of a window at which its report is due. */
    lateSeconds: z.number().min(0.5).max(86_400),
  }).optional(),
  /** Bounds of what all clients of one VM together may hold. */
  clients: z.object({
    /** At the bound, the connection that has been without progress for longest is closed. */
    maxConnections: z.int().min(10).max(1_000_000).default(2000),
    /** Requests of one connection without a complete response. */
    maxRequestsAhead: z.int().min(1).max(10_000).default(32),
    /** Requests of all connections without a complete response. */
    maxOpenRequests: z.int().min(10).max(1_000_000).default(1500),
    /** Memory of the request bodies of all connections. */
    maxBodyMemoryMb: z.int().min(1).max(100_000).default(64),
  }).prefault({}),
  shutdown: z.object({
    /** Time between the stop request and the kill of the process. */
    graceSeconds: z.number().min(0.5).max(3600).default(8),
    /** Time for which the VM reports that it is not ready before it stops accepting connections. */
    noticeMs: buildMsSchema(0, 60_000, 2800),
  }).prefault({}),
  logs: z.object({
    level: z.enum(["error", "warn", "info", "debug"]).default("info"),
  }).prefault({}),
}).refine(
  ({ platformApi, lease }) =>
    platformApi === undefined ||
    platformApi.requestTimeoutMs <= lease.durationMs / 2,
  {
    path: ["platformApi", "requestTimeoutMs"],
    message:
      "must be at most half of lease.durationMs: the lease is renewed between requests",
  },
);

/** Validated settings of one forwarding process. */
export type ForwardSettings = z.infer<typeof FORWARD_SCHEMA>;

/** Parses and validates settings in TOML. All issues are reported at once. */
export function readForwardSettings(
  text: string,
): Result<ForwardSettings, InputIssue[]> {
  const document = parseToml(text);
  if (!document.ok) return Err(document.val as InputIssue[]);
  const parsed = FORWARD_SCHEMA.safeParse(document.val);
  return parsed.success ? Ok(parsed.data) : Err(buildIssues(parsed.error));
}
