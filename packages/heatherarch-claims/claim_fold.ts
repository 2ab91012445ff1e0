/**
 * State of a claims stream, folded from its records: which claim of each key came first. The fold
 * takes the time from the log records, so every reader expires and rejects the same keys.
 *
 * @module
 */
import { assertInvariant } from "heatherarch-core";
import {
  type ClaimEntry,
  type ClaimRecord,
  type ClaimRequest,
  CLAIMS_FORMAT,
  type KeyState,
  parseClaimRecord,
} from "./claim_records.ts";

/** Result of a claim, as the order of the log determines it. */
export type ClaimVerdict =
  | { readonly kind: "granted" }
  /** Another claim holds the key for the same request. */
  | { readonly kind: "taken"; readonly holder: KeyState }
  /** The key is in use for a different request. */
  | { readonly kind: "reused" }
  /** The time of the key is outside the window that the log covers. */
  | { readonly kind: "expired" };

/** A record as stored in the log. */
export interface TimedRecord {
  readonly offset: number;
  readonly appendedAtMs: number;
  readonly data: unknown;
}

/** Safety rules of the fold. The proofs disable them one at a time. */
export const CLAIM_GUARDS = [
  "firstClaimWins",
  "dropRepeatedId",
  "refuseExpired",
] as const;
/** Name of a guard. */
export type ClaimGuard = typeof CLAIM_GUARDS[number];

/** Options of {@linkcode ClaimFold}. */
export interface ClaimFoldOptions {
  /** How long a key is kept after the time that it carries. */
  readonly keyWindowMs: number;
  /** How far in the future the time of a key may be. */
  readonly futureSkewMs: number;
  readonly disabledGuards?: ReadonlySet<ClaimGuard>;
}

/** Number of recent record ids that are kept to recognize repeated records. */
const MAX_SEEN_IDS = 500;
/** Number of keys in one record of a snapshot. */
const SNAPSHOT_PART_KEYS = 500;

/** State of the keys of one shard at one offset. */
export class ClaimFold {
  readonly #options: ClaimFoldOptions;
  /** Guards that are switched off. */
  readonly #off: ReadonlySet<ClaimGuard>;
  #keys = new Map<string, KeyState>();
  #seenIds = new Set<string>();
  #offset = -1;
  #logTimeMs = 0;
  #nextExpiryMs = 0;

  constructor(options: ClaimFoldOptions) {
    this.#options = options;
    this.#off = options.disabledGuards ?? new Set();
  }

  /** Offset of the last applied record. */
  get offset(): number {
    return this.#offset;
  }

  /** Number of keys. */
  get size(): number {
    return this.#keys.size;
  }

  /** Returns the state of a key. */
  getKey(key: string): KeyState | undefined {
    return this.#keys.get(key);
  }

  /** Applies the next record. Returns the verdict on each claim in the record, by claim id. */
  apply(record: TimedRecord): ReadonlyMap<string, ClaimVerdict> {
    assertInvariant(
      record.offset === this.#offset + 1,
      "claims-contiguous",
      `offset ${record.offset} after ${this.#offset}`,
    );
    this.#offset = record.offset;
    this.#logTimeMs = Math.max(this.#logTimeMs, record.appendedAtMs);
    const verdicts = new Map<string, ClaimVerdict>();
    const parsed = parseClaimRecord(record.data);
    if (parsed?.type !== "batch") return verdicts;
    if (this.#checkRepeatedId(parsed.id)) return verdicts;
    for (const entry of parsed.entries) this.#applyEntry(entry, verdicts);
    this.#expireKeys();
    return verdicts;
  }

  /** Returns the verdict on a claim that a loaded snapshot covers; undefined for an unknown key. */
  findVerdict(entry: ClaimRequest): ClaimVerdict | undefined {
    const existing = this.#keys.get(entry.key);
    return existing === undefined
      ? undefined
      : decideRepeatedClaim(existing, entry);
  }

  /** Builds the records of a snapshot of the current state. */
  buildSnapshot(createId: () => string): ClaimRecord[] {
    const keys = [...this.#keys.values()];
    const parts = Math.max(1, Math.ceil(keys.length / SNAPSHOT_PART_KEYS));
    const snapshotId = createId();
    return Array.from({ length: parts }, (_, part) => ({
      type: "snapshot",
      format: CLAIMS_FORMAT,
      id: createId(),
      snapshotId,
      coversOffset: this.#offset,
      part,
      parts,
      logTimeMs: this.#logTimeMs,
      keys: keys.slice(
        part * SNAPSHOT_PART_KEYS,
        (part + 1) * SNAPSHOT_PART_KEYS,
      ),
      seen: part === 0 ? [...this.#seenIds] : [],
    }));
  }

  /**
   * Loads the newest complete snapshot among `records`, which start at the oldest retained offset.
   * Returns whether a snapshot covered the trimmed records. The caller applies the records after
   * the snapshot, so that it receives their verdicts.
   */
  loadSnapshot(records: readonly TimedRecord[]): boolean {
    const newest = findNewestSnapshot(records);
    if (newest === undefined || newest[0].coversOffset <= this.#offset) {
      return false;
    }
    this.#keys = new Map(
      newest.flatMap((part) => part.keys).map((state) => [state.key, state]),
    );
    this.#seenIds = new Set(newest.flatMap((part) => part.seen));
    this.#offset = newest[0].coversOffset;
    this.#logTimeMs = newest[0].logTimeMs;
    return true;
  }

  #applyEntry(entry: ClaimEntry, verdicts: Map<string, ClaimVerdict>): void {
    if (entry.op === "claim") {
      verdicts.set(entry.claimId, this.#applyClaim(entry));
      return;
    }
    const state = this.#keys.get(entry.key);
    if (state === undefined || state.claimId !== entry.claimId) return;
    if (entry.op === "release") {
      if (state.outcome === undefined) this.#keys.delete(entry.key);
    } else if (state.outcome === undefined) {
      this.#keys.set(entry.key, { ...state, outcome: entry.outcome });
    }
  }

  #applyClaim(entry: ClaimRequest): ClaimVerdict {
    const ageMs = this.#logTimeMs - entry.madeAtMs;
    const { keyWindowMs, futureSkewMs } = this.#options;
    const expired = ageMs >= keyWindowMs || ageMs < -futureSkewMs;
    if (expired && !this.#off.has("refuseExpired")) return { kind: "expired" };
    const existing = this.#keys.get(entry.key);
    if (existing !== undefined && !this.#off.has("firstClaimWins")) {
      return decideRepeatedClaim(existing, entry);
    }
    const { claimId, key, madeAtMs, fingerprint, vm } = entry;
    const claimedAtMs = this.#logTimeMs;
    this.#keys.set(key, {
      key,
      claimId,
      madeAtMs,
      claimedAtMs,
      fingerprint,
      vm,
    });
    return { kind: "granted" };
  }

  /** Returns whether a record with this id was applied before, and keeps the id. */
  #checkRepeatedId(id: string): boolean {
    if (this.#seenIds.has(id)) return !this.#off.has("dropRepeatedId");
    this.#seenIds.add(id);
    if (this.#seenIds.size > MAX_SEEN_IDS) {
      const oldest = this.#seenIds.values().next().value as string;
      this.#seenIds.delete(oldest);
    }
    return false;
  }

  /** Drops keys that are older than the window. The fold rejects new claims of them by their time. */
  #expireKeys(): void {
    if (this.#logTimeMs < this.#nextExpiryMs) return;
    const { keyWindowMs } = this.#options;
    this.#nextExpiryMs = this.#logTimeMs + keyWindowMs / 20;
    for (const [key, state] of this.#keys) {
      if (this.#logTimeMs - state.madeAtMs >= keyWindowMs) {
        this.#keys.delete(key);
      }
    }
  }
}

/** Returns the verdict on a claim of a key that is already claimed. */
function decideRepeatedClaim(
  existing: KeyState,
  entry: ClaimRequest,
): ClaimVerdict {
  if (existing.claimId === entry.claimId) return { kind: "granted" };
  if (existing.fingerprint !== entry.fingerprint) return { kind: "reused" };
  return { kind: "taken", holder: existing };
}

type SnapshotRecord = Extract<ClaimRecord, { type: "snapshot" }>;

/** Returns all parts of the newest complete snapshot that reaches the oldest retained record. */
function findNewestSnapshot(
  records: readonly TimedRecord[],
): SnapshotRecord[] | undefined {
  const oldestOffset = records[0]?.offset ?? 0;
  const partsBySnapshot = new Map<string, SnapshotRecord[]>();
  let newest: SnapshotRecord[] | undefined;
  for (const record of records) {
    const parsed = parseClaimRecord(record.data);
    if (parsed?.type !== "snapshot" || parsed.coversOffset < oldestOffset - 1) {
      continue;
    }
    if (parsed.coversOffset >= record.offset) continue;
    const parts = partsBySnapshot.get(parsed.snapshotId) ?? [];
    if (!parts.some((part) => part.part === parsed.part)) parts.push(parsed);
    partsBySnapshot.set(parsed.snapshotId, parts);
    const isComplete = parts.length === parsed.parts;
    if (
      isComplete &&
      (newest === undefined || parsed.coversOffset > newest[0].coversOffset)
    ) newest = parts;
  }
  return newest;
}
