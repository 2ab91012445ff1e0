/**
 * Proof of at-most-once claims under several owners of one shard, delayed and duplicate appends,
 * restarts, log trimming and expired keys. The oracle counts the runs of each key.
 *
 * @module
 */
import fc from "fast-check";
import {
  CLAIM_GUARDS,
  type ClaimEntry,
  ClaimFold,
  type ClaimGuard,
  type ClaimRecord,
  CLAIMS_FORMAT,
  type TimedRecord,
} from "heatherarch-claims";
import { assertProperty, buildGuardSet, type Proof } from "./proof.ts";

const OWNERS = 3;
const KEYS = 5;
const KEY_WINDOW_MS = 10_000;
const START_MS = 1_000_000;
const KEY_AGES = [0, 5000];

/**
 * Guard of the owner rather than of the fold: an owner grants a claim only after it has read the
 * claim's own record.
 */
const READ_OWN_CLAIM = "readUpToOwnClaim";

type Operation =
  | {
    readonly kind: "claim";
    readonly owner: number;
    readonly key: number;
    readonly ageMs: number;
    readonly fate: AppendFate;
  }
  | {
    readonly kind: "end";
    readonly owner: number;
    readonly how: "conclude" | "release";
  }
  | { readonly kind: "read"; readonly owner: number; readonly limit: number }
  | { readonly kind: "restart"; readonly owner: number }
  | { readonly kind: "trim"; readonly owner: number }
  | { readonly kind: "arrive" }
  | { readonly kind: "wait"; readonly ms: number };

type AppendFate = "prompt" | "late" | "twice";

interface PendingClaim {
  readonly claimId: string;
  readonly key: string;
}

interface Owner {
  fold: ClaimFold;
  /** Claims without a verdict, by claim id. */
  pendingClaims: Map<string, PendingClaim>;
  /** Granted claims that are neither concluded nor released. */
  heldClaims: PendingClaim[];
}

/** The claims stream of one shard, its owners and the oracles. */
class ClaimSimulation {
  readonly #disabledGuard: string | undefined;
  readonly #log: TimedRecord[] = [];
  readonly #delayed: ClaimRecord[] = [];
  readonly #owners: Owner[] = [];
  /** First oracle: number of runs by key. */
  readonly #runs = new Map<string, number>();
  /** Second oracle: the claim that holds each key, by the order of the log. */
  readonly #holders = new Map<string, string>();
  readonly #seenIds = new Set<string>();
  #oldestOffset = 0;
  #nowMs = START_MS;
  #idCount = 0;

  constructor(disabledGuard: string | undefined) {
    this.#disabledGuard = disabledGuard;
    for (let i = 0; i < OWNERS; i++) this.#owners.push(this.#createOwner());
  }

  apply(operation: Operation): void {
    switch (operation.kind) {
      case "claim":
        return this.#claim(operation);
      case "end":
        return this.#endClaim(this.#owners[operation.owner], operation.how);
      case "read":
        return this.#read(this.#owners[operation.owner], operation.limit);
      case "restart":
        this.#owners[operation.owner] = this.#createOwner();
        return;
      case "trim":
        return this.#trim(this.#owners[operation.owner]);
      case "arrive": {
        const record = this.#delayed.shift();
        if (record !== undefined) this.#append(record);
        return;
      }
      case "wait":
        this.#nowMs += operation.ms;
    }
  }

  #createOwner(): Owner {
    const fold = new ClaimFold({
      keyWindowMs: KEY_WINDOW_MS,
      futureSkewMs: 1000,
      disabledGuards: buildGuardSet<ClaimGuard>(this.#disabledGuard),
    });
    return { fold, pendingClaims: new Map(), heldClaims: [] };
  }

  #claim(operation: Extract<Operation, { kind: "claim" }>): void {
    const owner = this.#owners[operation.owner];
    const claimId = `claim${this.#idCount++}`;
    // The time is part of the key's text, so a key always has the same time.
    const { text: key, madeAtMs } = buildKey(operation.key, operation.ageMs);
    const entry: ClaimEntry = {
      op: "claim",
      claimId,
      key,
      madeAtMs,
      fingerprint: "f",
      vm: "vm",
    };
    owner.pendingClaims.set(claimId, { claimId, key });
    this.#appendBatch([entry], operation.fate);
    if (this.#disabledGuard === READ_OWN_CLAIM) this.#grantNow(owner, claimId);
  }

  /** Grants a claim once its append is acknowledged, as an owner without the guard would. */
  #grantNow(owner: Owner, claimId: string): void {
    const pending = owner.pendingClaims.get(claimId) as PendingClaim;
    owner.pendingClaims.delete(claimId);
    if (owner.fold.getKey(pending.key) === undefined) this.#run(owner, pending);
  }

  #appendBatch(entries: ClaimEntry[], fate: AppendFate): void {
    const record: ClaimRecord = {
      type: "batch",
      format: CLAIMS_FORMAT,
      id: `batch${this.#idCount++}`,
      entries,
    };
    if (fate !== "prompt") this.#delayed.push(record);
    if (fate !== "late") this.#append(record);
  }

  #append(data: ClaimRecord): void {
    const offset = this.#oldestOffset + this.#log.length;
    this.#log.push({ offset, appendedAtMs: this.#nowMs, data });
    if (data.type !== "batch" || this.#seenIds.has(data.id)) return;
    this.#seenIds.add(data.id);
    for (const entry of data.entries) this.#recordHolder(entry);
  }

  #recordHolder(entry: ClaimEntry): void {
    const holder = this.#holders.get(entry.key);
    if (entry.op === "release" && holder === entry.claimId) {
      this.#holders.delete(entry.key);
    }
    if (entry.op !== "claim" || holder !== undefined) return;
    if (this.#isRemembered(entry.madeAtMs)) {
      this.#holders.set(entry.key, entry.claimId);
    }
  }

  #isRemembered(madeAtMs: number): boolean {
    const ageMs = this.#nowMs - madeAtMs;
    return ageMs < KEY_WINDOW_MS && ageMs >= -1000;
  }

  /** Checks that an owner that has read the whole log agrees with it on the holders. */
  #checkHolders(owner: Owner): void {
    if (owner.fold.offset !== this.#oldestOffset + this.#log.length - 1) return;
    for (let number = 0; number < KEYS; number++) {
      for (const ageMs of KEY_AGES) {
        const key = buildKey(number, ageMs);
        const known = owner.fold.getKey(key.text)?.claimId;
        if (!this.#isRemembered(key.madeAtMs) || known === undefined) continue;
        const holder = this.#holders.get(key.text);
        assertProperty(
          known === holder,
          "the first claim of a key holds it",
          `${known}, not ${holder}`,
        );
      }
    }
  }

  #endClaim(owner: Owner, how: "conclude" | "release"): void {
    const held = owner.heldClaims.shift();
    if (held === undefined) return;
    const { claimId, key } = held;
    if (how === "release") this.#runs.set(key, (this.#runs.get(key) ?? 1) - 1);
    this.#appendBatch([
      how === "release" ? { op: "release", claimId, key } : {
        op: "conclude",
        claimId,
        key,
        outcome: { status: 200, headers: {} },
      },
    ], "prompt");
  }

  #read(owner: Owner, limit: number): void {
    const nextOffset = owner.fold.offset + 1;
    if (nextOffset < this.#oldestOffset) {
      // The log is trimmed. Without a snapshot that covers the gap, the owner grants nothing.
      owner.pendingClaims.clear();
      owner.fold.loadSnapshot(this.#log);
      return;
    }
    for (
      const record of this.#log.slice(
        nextOffset - this.#oldestOffset,
        nextOffset - this.#oldestOffset + limit,
      )
    ) {
      for (const [claimId, verdict] of owner.fold.apply(record)) {
        const pending = owner.pendingClaims.get(claimId);
        if (pending === undefined) continue;
        owner.pendingClaims.delete(claimId);
        if (verdict.kind === "granted") this.#run(owner, pending);
      }
    }
    this.#checkHolders(owner);
  }

  #run(owner: Owner, pending: PendingClaim): void {
    const runs = (this.#runs.get(pending.key) ?? 0) + 1;
    this.#runs.set(pending.key, runs);
    owner.heldClaims.push(pending);
    assertProperty(runs <= 1, "a key runs at most once", pending.key);
  }

  /** Lets an owner that has read the whole log append a snapshot and trim the records before it. */
  #trim(owner: Owner): void {
    this.#read(owner, Infinity);
    if (owner.fold.offset !== this.#oldestOffset + this.#log.length - 1) return;
    const parts = owner.fold.buildSnapshot(() => `snap${this.#idCount++}`);
    const trimCount = this.#log.length;
    for (const part of parts) this.#append(part);
    this.#log.splice(0, trimCount);
    this.#oldestOffset += trimCount;
  }
}

/** Builds a key and the time that is part of it. */
function buildKey(
  number: number,
  ageMs: number,
): { text: string; madeAtMs: number } {
  const madeAtMs = START_MS + number * 3000 - ageMs;
  return { text: `${madeAtMs}-${number}`, madeAtMs };
}

const OWNER = fc.integer({ min: 0, max: OWNERS - 1 });

const OPERATION: fc.Arbitrary<Operation> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("claim" as const),
      owner: OWNER,
      key: fc.integer({ min: 0, max: KEYS - 1 }),
      ageMs: fc.constantFrom(...KEY_AGES),
      fate: fc.constantFrom<AppendFate>("prompt", "prompt", "late", "twice"),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("end" as const),
      owner: OWNER,
      how: fc.constantFrom("conclude" as const, "release" as const),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("read" as const),
      owner: OWNER,
      limit: fc.constantFrom(1, 3, 1000),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("restart" as const),
      owner: OWNER,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("trim" as const), owner: OWNER }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("arrive" as const) }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("wait" as const),
      ms: fc.constantFrom(100, 4000, 11_000),
    }),
  },
);

/** The claim fold under random schedules. */
export const CLAIMS_PROOF: Proof = {
  name: "claims",
  guards: [...CLAIM_GUARDS, READ_OWN_CLAIM],
  build: (disabledGuard) =>
    fc.property(
      fc.array(OPERATION, { minLength: 20, maxLength: 120, size: "max" }),
      (operations) => {
        const simulation = new ClaimSimulation(disabledGuard);
        for (const operation of operations) simulation.apply(operation);
      },
    ),
};
