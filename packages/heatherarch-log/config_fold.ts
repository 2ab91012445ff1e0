/**
 * State of the configuration, folded from the records of its stream. The same offset gives the same
 * state in every process, including which of two concurrent publications was accepted.
 *
 * @module
 */
import { assertInvariant, type TargetDirective } from "heatherarch-core";
import {
  type Fleet,
  formatIssues,
  parseFleet,
  parseProfile,
  type Profile,
} from "heatherarch-settings";
import {
  type ConfigChange,
  type ConfigChangeRecord,
  parseConfigRecord,
} from "./config_records.ts";
import type { LogRecord } from "./log_port.ts";

const MAX_AUDIT_ENTRIES = 1000;
const MAX_SEEN_IDS = 5000;

/** Result of one publication, for the audit trail. */
export interface AuditEntry {
  readonly offset: number;
  readonly id: string;
  readonly author: string;
  readonly atMs: number;
  readonly baseRevision: number;
  readonly what: string;
  readonly verdict: "accepted" | "rejected";
  /** Reason for a rejection. */
  readonly reason?: string;
}

/** A published profile and the offset that set it. */
export interface ProfileRevision {
  readonly revision: number;
  readonly profile: Profile;
}

/** The last directive that an operator gave for a target, and the offset that set it. */
export interface DirectiveRevision {
  readonly revision: number;
  readonly directive: TargetDirective;
}

/** State of the configuration at one offset. */
export interface ConfigState {
  /** Offset of the last applied record; -1 before the first. */
  readonly offset: number;
  /** Offset that set the fleet; -1 if none is published. */
  readonly fleetRevision: number;
  readonly fleet: Fleet | null;
  readonly profiles: Readonly<Record<string, ProfileRevision>>;
  readonly directives: Readonly<Record<string, DirectiveRevision>>;
  readonly audit: readonly AuditEntry[];
  /** Ids of recent records. They prevent a repeated append from taking effect twice. */
  readonly seen: readonly string[];
}

/** The state before the first record. */
export const EMPTY_CONFIG_STATE: ConfigState = Object.freeze({
  offset: -1,
  fleetRevision: -1,
  fleet: null,
  profiles: {},
  directives: {},
  audit: [],
  seen: [],
});

/** Safety rules of the fold. The proofs disable them one at a time. */
export const CONFIG_GUARDS = ["dropRepeatedId", "refuseStaleBase"] as const;
/** Name of a guard. */
export type ConfigGuard = typeof CONFIG_GUARDS[number];

/** Options of {@linkcode applyConfigRecord}. */
export interface ConfigFoldOptions {
  readonly disabledGuards?: ReadonlySet<ConfigGuard>;
}

type MutableConfigState = {
  -readonly [Key in keyof ConfigState]: ConfigState[Key];
};

/** Applies the record that follows `state`, and returns the new state. */
export function applyConfigRecord(
  state: ConfigState,
  record: LogRecord,
  options: ConfigFoldOptions = {},
): ConfigState {
  const disabledGuards = options.disabledGuards;
  assertInvariant(
    record.offset === state.offset + 1,
    "config-contiguous",
    `offset ${record.offset} after ${state.offset}`,
  );
  const draft: MutableConfigState = { ...state, offset: record.offset };
  const parsed = parseConfigRecord(record.data);
  if (parsed === undefined || parsed.type === "snapshot") return draft;
  if (
    state.seen.includes(parsed.id) && !disabledGuards?.has("dropRepeatedId")
  ) {
    return draft;
  }
  draft.seen = [...state.seen, parsed.id].slice(-MAX_SEEN_IDS);
  const current = readBaseRevision(state, parsed.change);
  const isStale = parsed.baseRevision !== current &&
    !disabledGuards?.has("refuseStaleBase");
  const reason = isStale
    ? describeStaleBase(state, parsed.baseRevision, current)
    : applyChange(draft, parsed, record.offset);
  const entry: AuditEntry = {
    offset: record.offset,
    id: parsed.id,
    author: parsed.author,
    atMs: parsed.atMs,
    baseRevision: parsed.baseRevision,
    what: describeChange(parsed.change),
    verdict: reason === undefined ? "accepted" : "rejected",
    ...(reason === undefined ? {} : { reason }),
  };
  draft.audit = [...state.audit, entry].slice(-MAX_AUDIT_ENTRIES);
  return draft;
}

/** Returns the revision of the object that `change` applies to, which a publisher names as base. */
export function readBaseRevision(
  state: ConfigState,
  change: ConfigChange,
): number {
  switch (change.kind) {
    case "publishFleet":
      return state.fleetRevision;
    case "putProfile":
      return state.profiles[readProfileName(change.profile)]?.revision ?? -1;
    case "deleteProfile":
      return state.profiles[change.name]?.revision ?? -1;
    case "directTarget":
      return state.directives[change.target]?.revision ?? -1;
  }
}

/** Describes a change in a few words, for the audit trail. */
export function describeChange(change: ConfigChange): string {
  switch (change.kind) {
    case "publishFleet":
      return "publish fleet";
    case "putProfile":
      return `put profile ${readProfileName(change.profile)}`;
    case "deleteProfile":
      return `delete profile ${change.name}`;
    case "directTarget":
      return `${change.directive} ${change.target}`;
  }
}

/**
 * Loads the newest usable snapshot in `records`, which start at the oldest offset that the log
 * keeps, and applies the records after it. Returns undefined if no snapshot covers the trimmed
 * records.
 */
export function loadConfigSnapshot(
  records: readonly LogRecord[],
): ConfigState | undefined {
  const oldestOffset = records[0]?.offset ?? 0;
  let snapshot: ConfigState | undefined;
  for (const record of records) {
    const parsed = parseConfigRecord(record.data);
    if (parsed?.type !== "snapshot" || parsed.coversOffset < oldestOffset - 1) {
      continue;
    }
    if (parsed.coversOffset >= record.offset) continue;
    const state = parseConfigState(parsed.state);
    if (state?.offset === parsed.coversOffset) snapshot = state;
  }
  if (snapshot === undefined) return undefined;
  let state: ConfigState = snapshot;
  for (const record of records) {
    if (record.offset > state.offset) state = applyConfigRecord(state, record);
  }
  return state;
}

/** Validates a state from a peer or a snapshot. Returns undefined if its structure is invalid. */
export function parseConfigState(value: unknown): ConfigState | undefined {
  const state = value as ConfigState | null;
  if (typeof state !== "object" || state === null) return undefined;
  if (
    !Number.isInteger(state.offset) || !Number.isInteger(state.fleetRevision)
  ) return undefined;
  if (!Array.isArray(state.audit) || !Array.isArray(state.seen)) {
    return undefined;
  }
  if (
    typeof state.profiles !== "object" || typeof state.directives !== "object"
  ) return undefined;
  if (state.fleet !== null && !parseFleet(state.fleet).ok) return undefined;
  return state;
}

function applyChange(
  draft: MutableConfigState,
  record: ConfigChangeRecord,
  offset: number,
): string | undefined {
  const { change } = record;
  switch (change.kind) {
    case "publishFleet": {
      const fleet = parseFleet(change.fleet);
      if (!fleet.ok) return formatIssues(fleet.val as never);
      draft.fleet = fleet.val as Fleet;
      draft.fleetRevision = offset;
      return undefined;
    }
    case "putProfile": {
      const profile = parseProfile(change.profile);
      if (!profile.ok) return formatIssues(profile.val as never);
      const value = profile.val as Profile;
      draft.profiles = {
        ...draft.profiles,
        [value.name]: { revision: offset, profile: value },
      };
      return undefined;
    }
    case "deleteProfile": {
      if (!(change.name in draft.profiles)) {
        return `no profile is named ${change.name}`;
      }
      const { [change.name]: _removed, ...rest } = draft.profiles;
      draft.profiles = rest;
      return undefined;
    }
    case "directTarget":
      return applyDirective(draft, change, offset);
  }
}

function describeStaleBase(
  state: ConfigState,
  base: number,
  current: number,
): string {
  const winner = state.audit.find((entry) => entry.offset === current);
  const by = winner ? ` by ${winner.author} (${winner.what})` : "";
  return `base revision ${base} is stale: revision ${current}${by} came first`;
}

function applyDirective(
  draft: MutableConfigState,
  change: Extract<ConfigChange, { kind: "directTarget" }>,
  offset: number,
): string | undefined {
  const { fleet } = draft;
  if (
    fleet === null ||
    !fleet.targets.some((target) => target.id === change.target)
  ) {
    return `no target is named ${change.target}`;
  }
  if (change.directive === "replace") {
    const targets = [...fleet.targets, change.replacement];
    const next = parseFleet({ ...fleet, targets });
    if (!next.ok) return `replacement: ${formatIssues(next.val as never)}`;
    draft.fleet = next.val as Fleet;
    draft.fleetRevision = offset;
  }
  const directive = DIRECTIVE_STATES[change.directive];
  draft.directives = {
    ...draft.directives,
    [change.target]: { revision: offset, directive },
  };
  return undefined;
}

const DIRECTIVE_STATES = {
  drain: "draining",
  replace: "replacing",
  withdraw: "withdrawn",
  restore: "active",
} as const satisfies Record<string, TargetDirective>;

function readProfileName(profile: unknown): string {
  const name = (profile as { name?: unknown } | null)?.name;
  return typeof name === "string" ? name : "";
}
