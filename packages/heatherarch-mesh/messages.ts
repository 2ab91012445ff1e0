/**
 * Messages between entry VMs.
 *
 * @module
 */
import { z } from "zod";

/** Version of the mesh protocol. Peers of another version are refused. */
export const MESH_FORMAT = 1;

/** Load of one target as a watcher saw it, in a compact row (id, role, flags, running, waiting, pending prefill tokens). */
const REPORT_ROW = z.tuple([
  /** Target. */
  z.string(),
  /** Index of the role. */
  z.int(),
  /** Bits: busy with an order, leaving, unreachable. */
  z.int(),
  z.int(),
  z.int(),
  z.int(),
]);

const LEAVING_MARK = z.object({ target: z.string(), sinceOffset: z.int() });

/** Work of the sender at one target: id, runs, KV tokens of these, prompt milliseconds by lane. */
type WorkRowMessage = [string, number, number, ...number[]];

/**
 * Rows are checked by hand: a sum has one for each engine, ten times a second, and the checks
 * of a schema took a tenth of the processor time of a VM before 82 engines (`npm run profile`).
 */
const WORK_ROWS = z.custom<WorkRowMessage[]>(isWorkRows);
const MIN_ROW_LENGTH = 3;

/** A prompt beginning, an engine, and whether it has been read there (1) or is being read (0). */
const PREFIX_UPDATES = z.custom<[string, string, number][]>((value) =>
  Array.isArray(value) && value.every(isPrefixUpdate)
);

function isPrefixUpdate(note: unknown): boolean {
  return Array.isArray(note) && note.length === 3 &&
    typeof note[0] === "string" && typeof note[1] === "string" &&
    Number.isSafeInteger(note[2]);
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

/** What a hub knows of the work in progress, summed by target. */
const DIGEST = z.object({
  /** `zone`: the hub's own zone, for other zones' hubs. `fleet`: all of it, for its zone's VMs. */
  scope: z.enum(["zone", "fleet"]),
  /** The receiver's own heartbeat that is counted in; -1 where none is. */
  counted: z.int(),
  /** VMs whose work is counted in. */
  vms: z.int(),
  work: WORK_ROWS,
});

/** A target as the list names it; without `address` it has gone. */
const TARGET_ROW = z.object({
  id: z.string(),
  service: z.string().optional(),
  address: z.string().optional(),
  availabilityZone: z.string().optional(),
  slots: z.number().optional(),
  leaving: z.boolean().optional(),
  role: z.enum(["prefill", "decode"]).optional(),
  /** Id that the target's lives share, and the start of this one, Unix milliseconds. */
  instance: z.string().optional(),
  startedAtMs: z.int().optional(),
});

/** What a hub read of the platform's list of targets. */
const TARGET_FEED = z.object({
  /** Time since the hub last read the list without fault, milliseconds; -1 where it can't. */
  ageMs: z.int(),
  /** The rows are the whole list; otherwise they are what changed. */
  isFull: z.boolean(),
  rows: z.array(TARGET_ROW),
});

const HEARTBEAT = z.object({
  kind: z.literal("heartbeat"),
  configOffset: z.int(),
  controlOffset: z.int(),
  /** Time until the sender's next heartbeat, milliseconds. */
  intervalMs: z.int().min(0),
  /** The sender itself is shutting down. */
  leaving: z.boolean(),
  /** Targets known to be leaving, where the set changed since the last heartbeat. */
  leavingTargets: z.array(LEAVING_MARK).optional(),
  /** Rows that changed since the last heartbeat on this link. */
  reports: z.array(REPORT_ROW).optional(),
  /** Targets of the sender's zone with an open order, and the control offset of that. */
  changing: z.tuple([z.int(), z.array(z.string())]).optional(),
  /** Lowest configuration offset among the live VMs of the sender's zone, and their number. */
  zone: z.tuple([z.int(), z.int()]).optional(),
  /** Tokens a second that this VM was asked for: prefill, decode. */
  demand: z.tuple([z.number(), z.number()]).optional(),
  /** All work that the sender has in progress at targets. */
  work: WORK_ROWS.optional(),
  /** Whether the sender reads the list of targets without fault, as giving orders takes. */
  mayOrder: z.boolean().optional(),
  /**
   * Time since the sender itself read the list of targets from the store, milliseconds; told once
   * for each reading on each link.
   */
  listAgeMs: z.int().min(0).optional(),
  /** Prompt beginnings by key and engine, read (1) or being read (0), since the last heartbeat. */
  prompts: PREFIX_UPDATES.optional(),
  /**
   * Digest of a request, its client account, a life of a target that ended under it, 1 where that
   * counts or 0 where the request was cleared of it, and the age of the fact, milliseconds.
   */
  crashes: z.array(
    z.tuple([
      z.string().max(64),
      z.string().max(256),
      z.string().max(256),
      z.union([z.literal(0), z.literal(1)]),
      z.int().min(0),
    ]),
  ).optional(),
  /** Number of this heartbeat, by which a digest says what is counted in. */
  beat: z.int().optional(),
  /** What the sender wants of the receiver, a hub: sums, and changes of the list or all of it. */
  wants: z.enum(["nothing", "changes", "all"]).optional(),
  /** The list of targets that a hub that can't read the store wants of another hub. */
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
]);

/** One message between entry VMs. */
export type MeshMessage = z.infer<typeof MESSAGE>;
/** What a VM tells its peers at regular intervals. */
export type Heartbeat = z.infer<typeof HEARTBEAT>;
/** What a hub knows of the work in progress. */
export type WorkDigest = z.infer<typeof DIGEST>;
/** What a hub read of the list of targets. */
export type TargetFeed = z.infer<typeof TARGET_FEED>;
/** One target of a feed. */
export type TargetRow = z.infer<typeof TARGET_ROW>;
/** A target's load in a heartbeat. */
export type ReportRow = z.infer<typeof REPORT_ROW>;
/** The first message on a link. */
export type Hello = Extract<MeshMessage, { kind: "hello" }>;

/** Reads a decoded value as a message; undefined where it is none. */
export function parseMeshMessage(value: unknown): MeshMessage | undefined {
  const parsed = MESSAGE.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
