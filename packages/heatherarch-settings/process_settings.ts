/**
 * Settings in TOML of one `heatherarchd` process.
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

/** A body without a declared size may take this many times the memory of its bytes while it grows. */
const MAX_MEMORY_PER_BODY_BYTE = 4;
const DEFAULT_BODY_MEMORY_BYTES = 256 * 1024 * 1024;

const TLS = z.strictObject({
  certificateFile: z.string(),
  privateKeyFile: z.string(),
  /** Certificate authority that must have signed the certificates of peers. */
  authorityFile: z.string().optional(),
});

const OPERATOR = z.strictObject({
  name: z.string().min(1),
  tokenSha256: z.string().regex(/^[0-9a-f]{64}$/, "must be a SHA-256 in hex"),
});

const PEER = z.strictObject({
  id: z.string().min(1),
  availabilityZone: z.string().min(1),
  mesh: ADDRESS,
});

const PROCESS_SCHEMA = z.strictObject({
  vm: z.strictObject({
    id: z.string().regex(
      /^[a-z0-9][a-z0-9-]{0,62}$/,
      "must be a short lower-case name",
    ),
    availabilityZone: z.string().min(1),
  }),
  listen: z.strictObject({
    callers: ADDRESS,
    operators: ADDRESS,
    mesh: ADDRESS,
    callersTls: TLS.optional(),
    operatorsTls: TLS.optional(),
    meshTls: TLS.optional(),
  }),
  platform: z.strictObject({
    log: z.url(),
    vmList: z.url(),
    requestTimeoutMs: buildMsSchema(10, 60_000, 2000),
    pollWaitMs: buildMsSchema(10, 60_000, 2000),
    vmListIntervalMs: buildMsSchema(50, 600_000, 2000),
    /** Number of records of a stream after which a snapshot is appended. */
    snapshotEveryRecords: z.int().min(2).max(1_000_000).default(500),
  }),
  mesh: z.strictObject({
    /** Shared key that peers prove to each other. It may be empty only on loopback. */
    sharedKey: z.string().default(""),
    heartbeatMs: buildMsSchema(10, 60_000, 500),
    /** Minimum heartbeat interval per link, so that more links have less frequent heartbeats. */
    heartbeatPerLinkMs: buildMsSchema(0, 10_000, 80),
    /** Minimum silence after which a peer is suspect; longer for a peer with a long interval. */
    silenceMs: buildMsSchema(50, 600_000, 2500),
    maxFrameBytes: z.int().min(1024).max(64 * 1024 * 1024).default(
      4 * 1024 * 1024,
    ),
    peers: z.array(PEER).default([]),
  }).prefault({}),
  operators: z.array(OPERATOR).default([]),
  lease: z.strictObject({
    /** Duration of the lease after a claim or renewal. */
    durationMs: buildMsSchema(100, 600_000, 4000),
    /** Upper bound on the drift between the monotonic clocks of two VMs within one lease. */
    driftMs: buildMsSchema(10, 60_000, 500),
    /** Interval between renewals. */
    renewMs: buildMsSchema(20, 60_000, 1000),
    /** Time for which a new holder sends no orders to engines that ignore fencing tokens. */
    settleMs: buildMsSchema(0, 600_000, 1500),
  }).prefault({}),
  claims: z.strictObject({
    shards: z.int().min(1).max(4096).default(4),
    /** Time for which claims are collected before an append. */
    batchMs: buildMsSchema(0, 1000, 5),
    maxBatch: z.int().min(1).max(10_000).default(500),
    /** Time for which a granted claim is valid, counted from the time at which it was sent. */
    permissionMs: buildMsSchema(50, 60_000, 2000),
    /** Time for which a key is kept after the time that it carries. */
    keyWindowMs: buildMsSchema(1000, 30 * 86_400_000, 86_400_000),
    /** Maximum time by which the time of a key may be in the future. */
    futureSkewMs: buildMsSchema(0, 3_600_000, 60_000),
  }).prefault({}),
  requests: z.strictObject({
    maxBodyBytes: z.int().min(1024).max(1 << 30).default(8 * 1024 * 1024),
    /** Memory of the bodies of all requests; by default 256 MB, or more if one body may need more. */
    maxBodyMemoryBytes: z.int().optional(),
    maxHeaderBytes: z.int().min(1024).max(1 << 20).default(32 * 1024),
    headerTimeoutMs: buildMsSchema(100, 600_000, 10_000),
    bodyTimeoutMs: buildMsSchema(100, 600_000, 30_000),
    maxDeadlineMs: buildMsSchema(100, 86_400_000, 3_600_000),
    connectTimeoutMs: buildMsSchema(10, 60_000, 1000),
    /** Timeout for the first byte of the response to an attempt. */
    firstByteTimeoutMs: buildMsSchema(50, 600_000, 15_000),
    /** Timeout between two tokens of the response to an attempt. */
    gapTimeoutMs: buildMsSchema(50, 600_000, 5000),
    resumeWindowMs: buildMsSchema(0, 600_000, 30_000),
    /** Retries that are allowed, as a share of new requests. */
    retryShare: z.number().min(0).max(1).default(0.2),
    maxTries: z.int().min(1).max(20).default(5),
    /** Share of each target's slots that is reserved for lookups. */
    lookupReserveShare: z.number().min(0).max(0.9).default(0.1),
    /** Maximum number of requests in progress on this VM. */
    maxInFlight: z.int().min(1).max(1_000_000).default(20_000),
  }).prefault({}),
  quarantine: z.strictObject({
    /** Number of target incarnations that crash on a request before it is quarantined. */
    maxCrashes: z.int().min(1).max(100).default(3),
    /** Initial quarantine time. Each further crash doubles it. */
    holdSeconds: z.number().min(1).max(86_400).default(600),
  }).prefault({}),
  targets: z.strictObject({
    reportIntervalMs: buildMsSchema(10, 60_000, 250),
    reportTimeoutMs: buildMsSchema(10, 60_000, 1000),
    /** Time without a report after which a target is not used. */
    staleMs: buildMsSchema(100, 600_000, 5000),
    watchersPerTarget: z.int().min(1).max(16).default(2),
    /** Minimum report interval per watched target, so that more targets are read less often. */
    reportPerTargetMs: buildMsSchema(0, 10_000, 100),
    /** Maximum number of targets of its zone that a VM receives reports of. */
    subsetSize: z.int().min(4).max(10_000).default(64),
  }).prefault({}),
  shutdown: z.strictObject({
    /** Timeout for requests in flight after SIGTERM. */
    drainTimeoutMs: buildMsSchema(0, 3_600_000, 120_000),
    /** Time for which `/readyz` reports that the VM is not ready before the client port closes. */
    noticeMs: buildMsSchema(0, 60_000, 500),
  }).prefault({}),
  logs: z.strictObject({
    level: z.enum(["error", "warn", "info", "debug"]).default("info"),
  }).prefault({}),
  network: z.strictObject({
    /** Map from published addresses to the addresses that this VM uses. */
    translate: z.record(z.string(), z.string()).default({}),
  }).prefault({}),
}).superRefine((settings, context) => {
  if (settings.lease.renewMs * 2 > settings.lease.durationMs) {
    const message = "must be at most half of lease.durationMs";
    context.addIssue({ code: "custom", path: ["lease", "renewMs"], message });
  }
  const { maxBodyBytes, maxBodyMemoryBytes } = settings.requests;
  const minBodyMemoryBytes = MAX_MEMORY_PER_BODY_BYTE * maxBodyBytes;
  if (
    maxBodyMemoryBytes !== undefined && maxBodyMemoryBytes < minBodyMemoryBytes
  ) {
    const message =
      `must be at least ${MAX_MEMORY_PER_BODY_BYTE} times requests.maxBodyBytes`;
    const path = ["requests", "maxBodyMemoryBytes"];
    context.addIssue({ code: "custom", path, message });
  }
  if (settings.mesh.sharedKey === "" && !isLoopback(settings.listen.mesh)) {
    const message = "must be set where listen.mesh is not a loopback address";
    context.addIssue({ code: "custom", path: ["mesh", "sharedKey"], message });
  }
  if (
    settings.operators.length === 0 && !isLoopback(settings.listen.operators)
  ) {
    const message =
      "must name an operator where listen.operators is not a loopback address";
    context.addIssue({ code: "custom", path: ["operators"], message });
  }
});

function isLoopback(address: string): boolean {
  return address.startsWith("127.") || address.startsWith("[::1]");
}

/** Validated settings of one process. */
export type ProcessSettings = z.infer<typeof PROCESS_SCHEMA>;

/** Computes the memory that the bodies of all requests may take, bytes; enough for a single one of any size. */
export function computeBodyMemoryBytes(
  { maxBodyBytes, maxBodyMemoryBytes }: Pick<
    ProcessSettings["requests"],
    "maxBodyBytes" | "maxBodyMemoryBytes"
  >,
): number {
  return maxBodyMemoryBytes ??
    Math.max(
      DEFAULT_BODY_MEMORY_BYTES,
      MAX_MEMORY_PER_BODY_BYTE * maxBodyBytes,
    );
}

/** Validates settings that are already parsed. */
export function parseProcessSettings(
  input: unknown,
): Result<ProcessSettings, InputIssue[]> {
  const parsed = PROCESS_SCHEMA.safeParse(input);
  return parsed.success ? Ok(parsed.data) : Err(buildIssues(parsed.error));
}

/** Parses and validates settings in TOML. */
export function readProcessSettings(
  text: string,
): Result<ProcessSettings, InputIssue[]> {
  const parsed = parseToml(text);
  return parsed.ok
    ? parseProcessSettings(parsed.val)
    : Err(parsed.val as InputIssue[]);
}
