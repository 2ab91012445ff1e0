/**
 * State of a control stream, folded from its records: the holder of the lease and the open orders.
 *
 * @module
 */
import { assertInvariant, type EngineOrder } from "heatherarch-core";
import {
  type ControlRecord,
  type OrderResult,
  parseControlRecord,
} from "./control_records.ts";

/** A log record with the fields that the fold needs. */
export interface OffsetRecord {
  readonly offset: number;
  readonly data: unknown;
}

/** The claim that holds the lease according to the log. */
export interface LeaseClaim {
  readonly vm: string;
  readonly incarnation: string;
  /** Offset of the claim, which is the fencing token of the orders that are given under it. */
  readonly claimOffset: number;
  /** Offset of the claim, its last renewal or its release. */
  readonly lastSignOffset: number;
  /** Whether the holder released the lease. The next holder then need not wait for its expiry. */
  readonly released: boolean;
}

/** An order that is announced and not yet concluded. */
export interface OpenIntent {
  readonly intentId: string;
  readonly target: string;
  readonly order: EngineOrder;
  readonly claimOffset: number;
  readonly offset: number;
}

/** A concluded order. */
export interface ClosedIntent extends OpenIntent {
  readonly result: OrderResult;
  readonly detail: string;
}

/** State of the control stream of one availability zone at one offset. */
export interface ControlState {
  readonly offset: number;
  readonly claim: LeaseClaim | null;
  /**
   * Offset of the last sign of a holder whose claim expired before this reader began: a renewal, or
   * any unread record. Undefined if the reader has read the stream from its start, or a claim.
   */
  readonly unknownSignOffset?: number;
  /** Open intents by target, at most one for each target. */
  readonly open: Readonly<Record<string, OpenIntent>>;
  readonly recent: readonly ClosedIntent[];
  readonly roleChanges: number;
  readonly seen: readonly string[];
}

/** The state before the first record. */
export const EMPTY_CONTROL_STATE: ControlState = Object.freeze({
  offset: -1,
  claim: null,
  open: {},
  recent: [],
  roleChanges: 0,
  seen: [],
});

const MAX_RECENT_INTENTS = 50;
/** Number of recent record ids that are kept to recognize repeated records. */
const MAX_SEEN_IDS = 200;

type MutableControlState = {
  -readonly [Key in keyof ControlState]: ControlState[Key];
};

/** Builds the state of a reader that begins after `offset`, as earlier records have expired. */
export function buildTruncatedState(offset: number): ControlState {
  return { ...EMPTY_CONTROL_STATE, offset, unknownSignOffset: offset };
}

/** Applies the record that follows `state`, and returns the new state. */
export function applyControlRecord(
  state: ControlState,
  record: OffsetRecord,
): ControlState {
  assertInvariant(
    record.offset === state.offset + 1,
    "control-contiguous",
    `offset ${record.offset} after ${state.offset}`,
  );
  const draft: MutableControlState = { ...state, offset: record.offset };
  const parsed = parseControlRecord(record.data);
  if (parsed === undefined || parsed.type === "snapshot") return draft;
  if (state.seen.includes(parsed.id)) return draft;
  draft.seen = [...state.seen, parsed.id].slice(-MAX_SEEN_IDS);
  applyParsed(draft, parsed, record.offset);
  return draft;
}

function applyParsed(
  draft: MutableControlState,
  record: Exclude<ControlRecord, { type: "snapshot" }>,
  offset: number,
): void {
  const { claim } = draft;
  if (record.type === "claim") {
    if (!isClaimValid(draft, record)) return;
    draft.unknownSignOffset = undefined;
    draft.claim = {
      vm: record.vm,
      incarnation: record.incarnation,
      claimOffset: offset,
      lastSignOffset: offset,
      released: false,
    };
    return;
  }
  if (claim === null && draft.unknownSignOffset !== undefined) {
    draft.unknownSignOffset = offset;
  }
  if (
    claim === null || record.claimOffset !== claim.claimOffset || claim.released
  ) return;
  switch (record.type) {
    case "renew":
      draft.claim = { ...claim, lastSignOffset: offset };
      break;
    case "release":
      draft.claim = { ...claim, lastSignOffset: offset, released: true };
      break;
    case "intent":
      applyIntent(draft, record, offset);
      break;
    case "outcome":
      applyOutcome(draft, record);
      break;
  }
}

/**
 * Whether a claim takes the lease: its claimant has read every sign of the current holder. A claimant
 * that began after the holder's claim had expired names no predecessor.
 */
function isClaimValid(
  { claim: current, unknownSignOffset }: ControlState,
  claim: Extract<ControlRecord, { type: "claim" }>,
): boolean {
  if (current === null) {
    return unknownSignOffset === undefined
      ? claim.replaces === -1
      : claim.seenRenewal >= unknownSignOffset;
  }
  const namesHolder = claim.replaces === current.claimOffset ||
    claim.replaces === -1;
  return namesHolder && claim.seenRenewal >= current.lastSignOffset;
}

function applyIntent(
  draft: MutableControlState,
  record: Extract<ControlRecord, { type: "intent" }>,
  offset: number,
): void {
  if (record.target in draft.open) return;
  const { target, order, claimOffset } = record;
  const intent: OpenIntent = {
    intentId: record.id,
    target,
    order,
    claimOffset,
    offset,
  };
  draft.open = { ...draft.open, [target]: intent };
}

function applyOutcome(
  draft: MutableControlState,
  record: Extract<ControlRecord, { type: "outcome" }>,
): void {
  const intent = Object.values(draft.open).find((open) =>
    open.intentId === record.intentId
  );
  if (intent === undefined) return;
  const { [intent.target]: _closed, ...open } = draft.open;
  draft.open = open;
  const closed: ClosedIntent = {
    ...intent,
    result: record.result,
    detail: record.detail,
  };
  draft.recent = [...draft.recent, closed].slice(-MAX_RECENT_INTENTS);
  if (record.result === "done" && intent.order.kind === "setRole") {
    draft.roleChanges++;
  }
}

/**
 * Loads the newest valid snapshot among `records`, which start at the oldest retained offset, and
 * applies the records after it. Returns undefined if no snapshot covers the trimmed records.
 */
export function loadControlSnapshot(
  records: readonly OffsetRecord[],
): ControlState | undefined {
  const oldestOffset = records[0]?.offset ?? 0;
  let newest: ControlState | undefined;
  for (const record of records) {
    const parsed = parseControlRecord(record.data);
    if (parsed?.type !== "snapshot") continue;
    if (
      parsed.coversOffset < oldestOffset - 1 ||
      parsed.coversOffset >= record.offset
    ) continue;
    const state = parsed.state as ControlState | null;
    if (state?.offset === parsed.coversOffset) newest = state;
  }
  if (newest === undefined) return undefined;
  let state: ControlState = newest;
  for (const record of records) {
    if (record.offset > state.offset) state = applyControlRecord(state, record);
  }
  return state;
}
