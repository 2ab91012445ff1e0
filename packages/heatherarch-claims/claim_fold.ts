/**
 * The fold of a claims stream: which claim of a key came first. Its clock is the log's own
 * time, so every reader forgets and refuses the same keys.
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

/** What became of a claim, by the order of the log. */
export type ClaimVerdict =
  | { readonly kind: "granted" }
  | { readonly kind: "taken"; readonly holder: KeyState }
  | { readonly kind: "reused" }
  | { readonly kind: "expired" };

/** A record as the log keeps it. */
export interface TimedRecord {
  readonly offset: number;
  readonly appendedAtMs: number;
  readonly data: unknown;
}

/** Guards that make the fold safe; the proofs switch them off one at a time. */
export const CLAIM_GUARDS = [
  "firstClaimWins",
  "dropRepeatedId",
  "refuseExpired",
] as const;
/** Name of a guard. */
export type ClaimGuard = typeof CLAIM_GUARDS[number];

/** Options of {@linkcode ClaimFold}. */
export interface ClaimFoldOptions {
  /** How long a key is remembered after the time that it carries. */
  readonly keyWindowMs: number;
  /** How far in the future a key's time may lie. */
  readonly futureSkewMs: number;
  readonly disabledGuards?: ReadonlySet<ClaimGuard>;
}

const MAX_SEEN_IDS = 500;
const SNAPSHOT_PART_KEYS = 500;

/** Keys of one shard, up to one offset. */
export class ClaimFold {
  readonly #options: ClaimFoldOptions;
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

  /** Last offset applied. */
  get offset(): number {
    return this.#offset;
  }

  /** Keys remembered. */
  get size(): number {
    return this.#keys.size;
  }

  getKey(key: string): KeyState | undefined {
    return this.#keys.get(key);
  }

  /** Applies the next record; returns a verdict for each claim in it, by claim id. */
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
    if (this.#isRepeatedId(parsed.id)) return verdicts;
    for (const entry of parsed.entries) this.#applyEntry(entry, verdicts);
    this.#expireKeys();
    return verdicts;
  }

  /** Verdict on a claim that was applied before the snapshot that was loaded; undefined for none. */
  findVerdict(entry: ClaimRequest): ClaimVerdict | undefined {
    const known = this.#keys.get(entry.key);
    return known === undefined ? undefined : decideRepeatedClaim(known, entry);
  }

  /** Builds the records of a snapshot of the present state. */
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
   * Loads the newest whole snapshot among `records`, which start at the oldest kept offset.
   * Returns whether one bridged the trimmed part. What follows it is left to be applied, so
   * that its verdicts are seen.
   */
  loadSnapshot(records: readonly TimedRecord[]): boolean {
    const best = findNewestSnapshot(records);
    if (best === undefined || best[0].coversOffset <= this.#offset) {
      return false;
    }
    this.#keys = new Map(
      best.flatMap((part) => part.keys).map((key) => [key.key, key]),
    );
    this.#seenIds = new Set(best.flatMap((part) => part.seen));
    this.#offset = best[0].coversOffset;
    this.#logTimeMs = best[0].logTimeMs;
    return true;
  }

  #applyEntry(entry: ClaimEntry, verdicts: Map<string, ClaimVerdict>): void {
    if (entry.op === "claim") {
      verdicts.set(entry.claimId, this.#applyClaim(entry));
      return;
    }
    const known = this.#keys.get(entry.key);
    if (known === undefined || known.claimId !== entry.claimId) return;
    if (entry.op === "release") {
      if (known.outcome === undefined) this.#keys.delete(entry.key);
    } else if (known.outcome === undefined) {
      this.#keys.set(entry.key, { ...known, outcome: entry.outcome });
    }
  }

  #applyClaim(entry: ClaimRequest): ClaimVerdict {
    const ageMs = this.#logTimeMs - entry.madeAtMs;
    const { keyWindowMs, futureSkewMs } = this.#options;
    const outside = ageMs >= keyWindowMs || ageMs < -futureSkewMs;
    if (outside && !this.#off.has("refuseExpired")) return { kind: "expired" };
    const known = this.#keys.get(entry.key);
    if (known !== undefined && !this.#off.has("firstClaimWins")) {
      return decideRepeatedClaim(known, entry);
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

  /** Notes a record's id; true where it has been applied before. */
  #isRepeatedId(id: string): boolean {
    if (this.#seenIds.has(id)) return !this.#off.has("dropRepeatedId");
    this.#seenIds.add(id);
    if (this.#seenIds.size > MAX_SEEN_IDS) {
      const oldest = this.#seenIds.values().next().value as string;
      this.#seenIds.delete(oldest);
    }
    return false;
  }

  /** Forgets keys that the window has passed; the fold refuses them by their own time. */
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

/** Verdict on a claim of a key that is claimed. */
function decideRepeatedClaim(
  known: KeyState,
  entry: ClaimRequest,
): ClaimVerdict {
  if (known.claimId === entry.claimId) return { kind: "granted" };
  if (known.fingerprint !== entry.fingerprint) return { kind: "reused" };
  return { kind: "taken", holder: known };
}

type SnapshotRecord = Extract<ClaimRecord, { type: "snapshot" }>;

function findNewestSnapshot(
  records: readonly TimedRecord[],
): SnapshotRecord[] | undefined {
  const first = records[0]?.offset ?? 0;
  const groups = new Map<string, SnapshotRecord[]>();
  let best: SnapshotRecord[] | undefined;
  for (const record of records) {
    const parsed = parseClaimRecord(record.data);
    if (parsed?.type !== "snapshot" || parsed.coversOffset < first - 1) {
      continue;
    }
    if (parsed.coversOffset >= record.offset) continue;
    const group = groups.get(parsed.snapshotId) ?? [];
    if (!group.some((part) => part.part === parsed.part)) group.push(parsed);
    groups.set(parsed.snapshotId, group);
    const whole = group.length === parsed.parts;
    if (
      whole &&
      (best === undefined || parsed.coversOffset > best[0].coversOffset)
    ) best = group;
  }
  return best;
}
