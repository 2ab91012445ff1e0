/**
 * Settings of one `heatherarchd` process that forwards calls on a managed platform, from TOML.
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
 * Part of the bound after which the list is read again: two failed readings still leave time
 * for a third one.
 */
const POLL_SHARE = 0.35;

/**
 * Part of the bound of the configuration for which a read may be held: a change may wait for a read
 * that was lost, and for the one after it.
 */
const CONFIG_WAIT_SHARE = 0.5;
/** Bounds of the time for which the store holds a read, milliseconds. Reads follow each other without a pause. */
const MIN_CONFIG_WAIT_MS = 50;
const MAX_CONFIG_WAIT_MS = 30_000;

function computeMaxConfigWaitMs(store: { configBoundMs: number }): number {
  return Math.round(store.configBoundMs * CONFIG_WAIT_SHARE);
}

const FORWARD_SCHEMA = z.object({
  vm: z.object({
    id: z.string().min(1).max(64),
    availabilityZone: z.string().min(1).max(64),
    /** What the VM can carry as a hub of its zone, in a unit that all VMs share. */
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
    /** Longest wait for an answer, besides the wait that a read asks for. */
    requestTimeoutMs: buildMsSchema(50, 60_000, 1500),
    /** Largest record that the store takes. */
    maxRecordBytes: z.int().min(1024).default(256 * 1024),
    /** Time within which a change of the configuration is in force. */
    configBoundMs: buildMsSchema(200, 600_000, 2000),
    /** How long a read for a newer configuration may be held back; by default half the bound. */
    configWaitMs: z.int().min(MIN_CONFIG_WAIT_MS).max(MAX_CONFIG_WAIT_MS)
      .optional(),
    /** Time for which a leaving target may still get work. */
    leavingBoundMs: buildMsSchema(100, 600_000, 2000),
    /** Time between the writes with which a live target keeps its entry of the list. */
    targetHeartbeatMs: buildMsSchema(10, 600_000, 1200),
    /** Pause between reads of the list of targets; by default a part of `leavingBoundMs`. */
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
    /** Address that peers are told; by default the one that is listened on. */
    announce: ADDRESS.optional(),
    heartbeatMs: buildMsSchema(10, 60_000, 60),
    /** Heartbeats grow rarer with the number of links: this long for each. */
    heartbeatPerLinkMs: buildMsSchema(0, 10_000, 5),
    silenceMs: buildMsSchema(50, 600_000, 1200),
    linksPerZone: z.int().min(1).max(1000).default(32),
    /** From this many VMs on, links run over hubs: a full mesh cost 0.12 of a core at 80 VMs. */
    hubsFromVms: z.int().min(2).default(20),
    hubsPerZone: z.int().min(1).max(16).default(2),
    /** Time between heartbeats of a hub. */
    hubHeartbeatMs: buildMsSchema(10, 60_000, 100),
    /** Time between heartbeats of a VM that tells hubs, where it has no news. */
    idleHeartbeatMs: buildMsSchema(10, 60_000, 250),
  }),
  retries: z.object({
    /** Further tries for each call, as a share. */
    share: z.number().min(0).max(1).default(0.2),
    /** Further tries in a window besides, for the whole fleet. */
    fixedPerWindow: z.number().min(0).default(20),
    windowSeconds: z.number().min(0.1).max(600).default(10),
  }).prefault({}),
  quarantine: z.object({
    /** Lives of targets that end under a request before it is held back. */
    maxCrashes: z.int().min(1).max(100).default(3),
    /** Time for which it is held back at first; each further end doubles it. */
    holdSeconds: z.number().min(1).max(86_400).default(600),
  }).prefault({}),
  lease: z.object({ durationMs: z.number().min(100).default(3000) }).prefault(
    {},
  ),
  shutdown: z.object({
    /** Time from the request to stop until the process is killed. */
    graceSeconds: z.number().min(0.5).max(3600).default(8),
    /** How long the VM says that it is not ready before it takes no new connections. */
    noticeMs: buildMsSchema(0, 60_000, 2800),
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
): Result<ForwardSettings, InputIssue[]> {
  const document = parseToml(text);
  if (!document.ok) return Err(document.val as InputIssue[]);
  const parsed = FORWARD_SCHEMA.safeParse(document.val);
  return parsed.success ? Ok(parsed.data) : Err(buildIssues(parsed.error));
}
