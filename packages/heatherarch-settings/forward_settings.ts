/**
 * Settings of one `heatherarchd` process that forwards calls on a managed platform, from TOML.
 *
 * @module
 */
import { z } from "zod";
import { Err, Ok, type Result } from "heatherarch-core";
import { buildFaults, type Fault } from "./fault.ts";
import { parseToml } from "./toml.ts";

const ADDRESS = z.string().regex(
  /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$|^\[[0-9a-f:]+\]:\d{1,5}$/,
  "must be ip:port",
);
const MS = (low: number, high: number, value: number) =>
  z.int().min(low).max(high).default(value);

const FORWARD_SCHEMA = z.object({
  vm: z.object({
    id: z.string().min(1).max(64),
    availabilityZone: z.string().min(1).max(64),
  }),
  listen: z.object({
    callers: ADDRESS,
    readiness: ADDRESS,
    metrics: ADDRESS,
    mesh: ADDRESS,
  }),
  store: z.object({
    address: ADDRESS,
    /** Longest wait for an answer, besides the wait that a read asks for. */
    requestTimeoutMs: MS(50, 60_000, 1500),
    /** Largest record that the store takes. */
    maxRecordBytes: z.int().min(1024).default(256 * 1024),
    /** How long a read for a newer configuration may be held back. */
    configWaitMs: MS(0, 30_000, 2000),
    /** Pause between reads of the list of targets; a leaving target gets work for this long. */
    targetPollMs: MS(10, 60_000, 700),
  }),
  mesh: z.object({
    sharedKey: z.string().min(16, "must have 16 characters or more"),
    heartbeatMs: MS(10, 60_000, 60),
    /** Heartbeats grow rarer with the number of links: this long for each. */
    heartbeatPerLinkMs: MS(0, 10_000, 5),
    silenceMs: MS(50, 600_000, 1200),
    linksPerZone: z.int().min(1).max(1000).default(32),
  }),
  retries: z.object({
    /** Further tries for each call, as a share. */
    share: z.number().min(0).max(1).default(0.2),
    /** Further tries in a window besides, for the whole fleet. */
    fixedPerWindow: z.number().min(0).default(20),
    windowSeconds: z.number().min(0.1).max(600).default(10),
  }).prefault({}),
  lease: z.object({ durationMs: z.number().min(100).default(3000) }).prefault(
    {},
  ),
  shutdown: z.object({
    /** Time from the request to stop until the process is killed. */
    graceSeconds: z.number().min(0.5).max(3600).default(8),
    /** How long the VM says that it is not ready before it takes no new connections. */
    noticeMs: MS(0, 60_000, 2800),
  }).prefault({}),
  logs: z.object({
    level: z.enum(["error", "warn", "info", "debug"]).default("info"),
  }).prefault({}),
});

/** Checked settings of one forwarding process. */
export type ForwardSettings = z.infer<typeof FORWARD_SCHEMA>;

/** Checks settings in TOML and reports every fault at once. */
export function readForwardSettings(
  text: string,
): Result<ForwardSettings, Fault[]> {
  const document = parseToml(text);
  if (!document.ok) return Err(document.val as Fault[]);
  const parsed = FORWARD_SCHEMA.safeParse(document.val);
  return parsed.success ? Ok(parsed.data) : Err(buildFaults(parsed.error));
}
