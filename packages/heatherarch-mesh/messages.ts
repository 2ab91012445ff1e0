/**
 * Messages between entry VMs.
 *
 * @module
 */
import { z } from "zod";
import { HANDOVER_MESSAGES } from "./handover_messages.ts";

/** Version of the mesh protocol. Links to peers of another version are closed. */
export const MESH_FORMAT = 1;

/**
 * Load of one target as reported by its watcher, in a compact row: id, role, flags, running,
 * waiting, pending prefill tokens.
 */
const REPORT_ROW = z.tuple([
  /** Id of the target. */
  z.string(),
  /** Index of the role. */
  z.int(),
  /** Flags as bits: busy with an order, leaving, unreachable. */
  z.int(),
  z.int(),
  z.int(),
  z.int(),
]);

const LEAVING_MARK = z.object({ target: z.string(), sinceOffset: z.int() });

/**
 * Work in progress at one target: id, runs, KV tokens of the runs, prefill milliseconds by lane.
 */
type WorkRowMessage = [string, number, number, ...number[]];

/**
 * Rows are validated by hand. A digest has a row for each engine and arrives ten times a second.
 * Validation by a schema took a tenth of a VM's processor time with 82 engines (`npm run profile`).
 */
const WORK_ROWS = z.custom<WorkRowMessage[]>(isWorkRows);
const MIN_ROW_LENGTH = 3;
/** Longest name of a service or a client account in a row. */
const MAX_NAME_LENGTH = 1024;

/** Key of a prompt prefix, engine, and whether it was prefilled (1) or is being prefilled (0). */
const PREFIX_UPDATES = z.custom<[string, string, number][]>((value) =>
  Array.isArray(value) && value.every(isPrefixUpdate)
);

function isPrefixUpdate(update: unknown): boolean {
  return Array.isArray(update) && update.length === 3 &&
    typeof update[0] === "string" && typeof update[1] === "string" &&
    Number.isSafeInteger(update[2]);
}

function isWorkRows(value: unknown): boolean {
  return Array.isArray(value) && value.every(isWorkRow);
}

function isWorkRow(row: unknown): boolean {
  if (!Array.isArray(row) || row.length < MIN_ROW_LENGTH) return false;
  if (typeof row[0] !== "string") return false;
  for (let i = 1; i < row.length; i++) {
    if (!Number.isSafeInteger(row[i])) return false;
  }
  return true;
}

/**
 * Load of a target: incarnation, slowdown in percent, age of the report in milliseconds, running and
 * waiting requests, slots. Validated by hand, as it arrives with up to 24 rows in each heartbeat.
 */
type LoadRowMessage = [string, number, number, number, number, number];

const LOAD_ROWS = z.custom<LoadRowMessage[]>((value) =>
  Array.isArray(value) && value.every(isLoadRow)
);
/** Longest id of an incarnation in a row. */
const MAX_TARGET_ID_LENGTH = 256;
const LOAD_ROW_LENGTH = 6;

function isLoadRow(row: unknown): boolean {
  if (!Array.isArray(row) || row.length !== LOAD_ROW_LENGTH) return false;
  const [target, ...figures] = row as unknown[];
  return isTargetId(target) &&
    figures.every((figure) =>
      Number.isSafeInteger(figure) && (figure as number) >= 0
    );
}

/**
 * Use of a client account: service, account or an empty name for those that have no row, milliseconds
 * of one slot, and number of accounts. A hub receives thousands of rows a second.
 */
const USE_ROWS = z.custom<[string, string, number, number][]>((value) =>
  Array.isArray(value) && value.every(isUseRow)
);

/** Returns that are due: service, and their number. */
const DUE_ROWS = z.custom<[string, number][]>((value) =>
  Array.isArray(value) && value.every(isDueRow)
);

/** Attempts at a target and failed ones, in tenths: incarnation, attempts, failures. */
const FAILURE_ROWS = z.custom<[string, number, number][]>((value) =>
  Array.isArray(value) && value.every(isFailureRow)
);

function isFailureRow(row: unknown): boolean {
  return Array.isArray(row) && row.length === 3 && isTargetId(row[0]) &&
    isCount(row[1]) && isCount(row[2]);
}

function isUseRow(row: unknown): boolean {
  return Array.isArray(row) && row.length === 4 && isName(row[0]) &&
    isName(row[1]) && isCount(row[2]) && isCount(row[3]);
}

function isDueRow(row: unknown): boolean {
  return Array.isArray(row) && row.length === 2 && isName(row[0]) &&
    isCount(row[1]);
}

function isTargetId(value: unknown): boolean {
  return typeof value === "string" && value.length <= MAX_TARGET_ID_LENGTH;
}

function isName(value: unknown): boolean {
  return typeof value === "string" && value.length <= MAX_NAME_LENGTH;
}

function isCount(value: unknown): boolean {
  return Number.isSafeInteger(value) && value as number >= 0;
}

/** Number of a window, client account, and its calls that began to run in the window. */
const USAGE_ROW = z.tuple([z.int(), z.string(), z.int()]);

/** Digest of the work in progress that a hub knows, summed by target. */
const DIGEST = z.object({
  /** `zone`: the hub's zone, for hubs of other zones. `fleet`: all zones, for VMs of its zone. */
  scope: z.enum(["zone", "fleet"]),
  /** Number of the receiver's last heartbeat that the digest includes; -1 for none. */
  counted: z.int(),
  /** Number of VMs whose work the digest includes. */
  vms: z.int(),
  work: WORK_ROWS,
  /** Calls that those VMs receive per minute. */
  callsPerMinute: z.int().min(0).optional(),
  /** Use of client accounts over those VMs, at most every 500 ms. */
  accountUse: USE_ROWS.optional(),
  /** Returns that are due over those VMs. */
  dueReturns: DUE_ROWS.optional(),
  /** Attempts and failures at targets of which any VM knows a failure, over those VMs. */
  targetFailures: FAILURE_ROWS.optional(),
});

/** A target in the target list. A row without `address` states that the target is gone. */
const TARGET_ROW = z.object({
  id: z.string(),
  service: z.string().optional(),
  address: z.string().optional(),
  availabilityZone: z.string().optional(),
  slots: z.number().optional(),
  leaving: z.boolean().optional(),
  role: z.enum(["prefill", "decode"]).optional(),
  /** Whether the platform may reclaim the target. */
  isSpot: z.boolean().optional(),
  softwareVersion: z.string().optional(),
  /** Id that the target's incarnations share, and the start of this one, Unix milliseconds. */
  instance: z.string().optional(),
  startedAtMs: z.int().optional(),
});

/** Updates of the platform's target list from a hub. */
const TARGET_FEED = z.object({
  /** Time since the hub last read the list without error, milliseconds; -1 if it can't read it. */
  ageMs: z.int(),
  /** Whether the rows are the whole list. Otherwise they are its changes. */
  isFull: z.boolean(),
  rows: z.array(TARGET_ROW),
});

/**
 * Digest of a request, its client account, the incarnation of a target that crashed while it ran the
 * request, 1 if the crash counts or 0 if the request was cleared of it, and the age of the report.
 */
const CRASH_REPORTS = z.array(
  z.tuple([
    z.string().max(64),
    z.string().max(256),
    z.string().max(256),
    z.union([z.literal(0), z.literal(1)]),
    z.int().min(0),
  ]),
);

const HEARTBEAT = z.object({
  kind: z.literal("heartbeat"),
  configOffset: z.int(),
  /**
   * Time since the configuration at `configOffset` was known to be the newest one, milliseconds. A
   * hub sends it with each digest of the fleet.
   */
  configAgeMs: z.int().min(0).optional(),
  controlOffset: z.int(),
  /** Interval until the sender's next heartbeat, milliseconds. */
  intervalMs: z.int().min(0),
  /** Whether the sender itself is shutting down. */
  leaving: z.boolean(),
  /** Targets that are leaving, if the set changed since the last heartbeat. */
  leavingTargets: z.array(LEAVING_MARK).optional(),
  /** Rows that changed since the last heartbeat on this link. */
  reports: z.array(REPORT_ROW).optional(),
  /** Control offset, and the targets of the sender's zone with an open order at that offset. */
  changing: z.tuple([z.int(), z.array(z.string())]).optional(),
  /** Lowest configuration offset of the live VMs of the sender's zone, and their number. */
  zone: z.tuple([z.int(), z.int()]).optional(),
  /** Demand at the sender in tokens per second: prefill, decode. */
  demand: z.tuple([z.number(), z.number()]).optional(),
  /** All work of the sender in progress at targets. */
  work: WORK_ROWS.optional(),
  /** Calls that the sender receives per minute. */
  callsPerMinute: z.int().min(0).optional(),
  /** The sender's use by client accounts, at most every 500 ms. */
  accountUse: USE_ROWS.optional(),
  /** Returns that are due by the sender's bookings. */
  dueReturns: DUE_ROWS.optional(),
  /** The sender's attempts and failures at targets of which any VM knows a failure. */
  targetFailures: FAILURE_ROWS.optional(),
  /**
   * Rate limits of targets that have begun, changed or ended since the last heartbeat on this link:
   * incarnation of the target, its requests per 1,000 seconds from all VMs together or -1 if the
   * limit has ended, and the age of that knowledge, milliseconds.
   */
  rateLimits: z.array(
    z.tuple([z.string().max(256), z.int().min(-1), z.int().min(0)]),
  ).optional(),
  /** Loads of targets whose slowdown has changed since the last heartbeat on this link. */
  loads: LOAD_ROWS.optional(),
  /** Whether the sender reads the target list without errors, which is required to give orders. */
  mayOrder: z.boolean().optional(),
  /**
   * Time since the sender itself read the target list from the store, milliseconds. It is sent once
   * for each read on each link.
   */
  listAgeMs: z.int().min(0).optional(),
  /** Epoch of the platform's store, as the sender knows it; once on each link. */
  storeEpoch: z.int().min(0).optional(),
  /** Prompt prefixes that were prefilled or started to be prefilled since the last heartbeat. */
  prompts: PREFIX_UPDATES.optional(),
  crashes: CRASH_REPORTS.optional(),
  /** Crash reports of parts of prompts, with the digest of a part in place of that of a request. */
  partCrashes: CRASH_REPORTS.optional(),
  /**
   * Streams that have begun since the last heartbeat on this link: a software version, and the keys
   * of the streams that its engines began, 8 bytes each.
   */
  streams: z.array(
    z.tuple([z.string().max(256), z.instanceof(Uint8Array)]),
  ).optional(),
  /** Usage counts of the sender that have changed since its last heartbeat on this link. */
  usage: z.array(USAGE_ROW).optional(),
  /** Number of this heartbeat. A digest names the last number that it includes. */
  beat: z.int().optional(),
  /** What the sender requests from a hub: digests, and changes of the target list or all of it. */
  wants: z.enum(["nothing", "changes", "all"]).optional(),
  /** What a hub that can't read the store requests from another hub's target list. */
  listWanted: z.enum(["changes", "all"]).optional(),
  digest: DIGEST.optional(),
  targets: TARGET_FEED.optional(),
});

const MESSAGE = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("hello"),
    format: z.int(),
    vmId: z.string().min(1).max(64),
    incarnation: z.string().min(1).max(64),
    availabilityZone: z.string().min(1).max(64),
    mesh: z.string().max(64),
    capacity: z.number().optional(),
    /** Purpose of the connection; without one it is a link of the mesh. */
    purpose: z.enum(["handover"]).optional(),
    nonce: z.string().max(64),
  }),
  z.object({ kind: z.literal("prove"), mac: z.string().max(128) }),
  z.object({ kind: z.literal("ping"), seq: z.int() }),
  z.object({ kind: z.literal("pong"), seq: z.int() }),
  HEARTBEAT,
  z.object({
    kind: z.literal("call"),
    id: z.int(),
    method: z.string(),
    body: z.unknown(),
  }),
  z.object({
    kind: z.literal("reply"),
    id: z.int(),
    ok: z.boolean(),
    body: z.unknown(),
  }),
  ...HANDOVER_MESSAGES,
]);

/** One message between entry VMs. */
export type MeshMessage = z.infer<typeof MESSAGE>;
/** Message that a VM sends to its peers at regular intervals. */
export type Heartbeat = z.infer<typeof HEARTBEAT>;
/** Digest of the work in progress that a hub knows. */
export type WorkDigest = z.infer<typeof DIGEST>;
/** Updates of the target list from a hub. */
export type TargetFeed = z.infer<typeof TARGET_FEED>;
/** One target of a target feed. */
export type TargetRow = z.infer<typeof TARGET_ROW>;
/** Load of a target in a heartbeat. */
export type ReportRow = z.infer<typeof REPORT_ROW>;
/** The first message on a link. */
export type Hello = Extract<MeshMessage, { kind: "hello" }>;

/** Parses a decoded value as a message. Returns undefined if it is not one. */
export function parseMeshMessage(value: unknown): MeshMessage | undefined {
  const parsed = MESSAGE.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
