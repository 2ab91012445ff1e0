/**
 * Owner of one shard on one VM. It commits claims in groups, one append at a time, and resolves a
 * claim only after the stream has been read without a gap up to that claim.
 *
 * @module
 */
import { type Clock, createId, sleep } from "heatherarch-core";
import {
  appendOnce,
  classifySlice,
  type LogPort,
  LogUnavailableError,
  readWholeStream,
} from "heatherarch-log";
import {
  ClaimFold,
  type ClaimFoldOptions,
  type ClaimVerdict,
} from "./claim_fold.ts";
import { buildClaimStreamName } from "./claim_key.ts";
import {
  type ClaimEntry,
  type ClaimRequest,
  CLAIMS_FORMAT,
  type KeyState,
} from "./claim_records.ts";

/** Options of {@linkcode ClaimShard}. */
export interface ClaimShardOptions extends ClaimFoldOptions {
  readonly shard: number;
  readonly log: LogPort;
  readonly clock: Clock;
  /** Time for which claims are collected before an append. */
  readonly batchMs: number;
  /** Maximum number of entries in one append. */
  readonly maxBatch: number;
  /** Maximum time for which a claim waits for its verdict. */
  readonly timeoutMs: number;
  /** Number of records after which a snapshot is appended. */
  readonly snapshotEveryRecords: number;
}

interface QueuedEntry {
  readonly entry: ClaimEntry;
  readonly resolve: (verdict: ClaimVerdict | undefined) => void;
  readonly reject: (error: Error) => void;
}

/** Counters of a shard. */
export interface ClaimShardCounters {
  readonly appends: number;
  readonly entries: number;
  readonly keys: number;
  readonly offset: number;
}

/** Maximum number of records in one read. */
const MAX_READ_RECORDS = 500;

/** Decides the claims of one shard. */
export class ClaimShard {
  readonly #options: ClaimShardOptions;
  readonly #stream: string;
  readonly #fold: ClaimFold;
  #queue: QueuedEntry[] = [];
  #isCommitting = false;
  #appendCount = 0;
  #entryCount = 0;
  #recordsSinceSnapshot = 0;
  #verdicts = new Map<string, ClaimVerdict>();
  #awaitedClaimIds = new Set<string>();

  constructor(options: ClaimShardOptions) {
    this.#options = options;
    this.#stream = buildClaimStreamName(options.shard);
    this.#fold = new ClaimFold(options);
  }

  readCounters(): ClaimShardCounters {
    return {
      appends: this.#appendCount,
      entries: this.#entryCount,
      keys: this.#fold.size,
      offset: this.#fold.offset,
    };
  }

  /**
   * Claims a key. Rejects with {@linkcode LogUnavailableError} if the verdict is unknown. The claim
   * may be in the log in this case, but it was not granted.
   */
  async claim(entry: ClaimRequest): Promise<ClaimVerdict> {
    // A snapshot of another VM may cover the record before this VM reads it.
    const verdict = await this.#enqueue(entry) ??
      this.#fold.findVerdict(entry);
    if (verdict === undefined) {
      throw new LogUnavailableError("the log returned no verdict on the claim");
    }
    return verdict;
  }

  /** Records the outcome of a claimed call, or the release of an unused claim. */
  async conclude(entry: Exclude<ClaimEntry, { op: "claim" }>): Promise<void> {
    await this.#enqueue(entry);
  }

  /** Returns the current state of a key after reading up to the end of the stream. */
  async lookUp(key: string): Promise<KeyState | undefined> {
    await this.#catchUp();
    return this.#fold.getKey(key);
  }

  #enqueue(entry: ClaimEntry): Promise<ClaimVerdict | undefined> {
    return new Promise((resolve, reject) => {
      this.#queue.push({ entry, resolve, reject });
      if (!this.#isCommitting) void this.#commitLoop();
    });
  }

  async #commitLoop(): Promise<void> {
    this.#isCommitting = true;
    if (this.#options.batchMs > 0) await sleep(this.#options.batchMs);
    while (this.#queue.length > 0) {
      const batch = this.#queue.splice(0, this.#options.maxBatch);
      await this.#commit(batch);
    }
    this.#isCommitting = false;
  }

  async #commit(batch: readonly QueuedEntry[]): Promise<void> {
    const record = {
      type: "batch" as const,
      format: CLAIMS_FORMAT,
      id: createId("batch"),
      entries: batch.map((queued) => queued.entry),
    };
    this.#awaitedClaimIds = new Set(
      batch.map((queued) => queued.entry.claimId),
    );
    this.#verdicts.clear();
    try {
      const offset = await appendOnce(this.#options.log, this.#stream, record, {
        searchFrom: this.#fold.offset + 1,
        timeoutMs: this.#options.timeoutMs,
        readMonotonicMs: () => this.#options.clock.readMonotonicMs(),
      });
      this.#appendCount++;
      this.#entryCount += batch.length;
      await this.#catchUp(offset);
      for (const queued of batch) {
        queued.resolve(this.#verdicts.get(queued.entry.claimId));
      }
    } catch (error) {
      for (const queued of batch) queued.reject(error as Error);
    }
    await this.#writeSnapshotWhenDue();
  }

  /** Reads the stream without a gap up to `offset`, or up to its end. */
  async #catchUp(offset?: number): Promise<void> {
    const deadlineMs = this.#options.clock.readMonotonicMs() +
      this.#options.timeoutMs;
    while (true) {
      const from = this.#fold.offset + 1;
      const options = { maxRecords: MAX_READ_RECORDS };
      const slice = await this.#options.log.read(this.#stream, from, options);
      const result = classifySlice(from, slice);
      if (result.kind === "gap") {
        await this.#recoverFromGap();
        continue;
      }
      for (const record of result.records) {
        this.#recordsSinceSnapshot++;
        for (const [id, verdict] of this.#fold.apply(record)) {
          if (this.#awaitedClaimIds.has(id)) this.#verdicts.set(id, verdict);
        }
      }
      if (
        offset === undefined ? result.isCurrent : this.#fold.offset >= offset
      ) return;
      if (this.#options.clock.readMonotonicMs() > deadlineMs) {
        throw new LogUnavailableError(
          "timed out while reading the stream up to the claim",
        );
      }
    }
  }

  async #recoverFromGap(): Promise<void> {
    const records = await readWholeStream(this.#options.log, this.#stream);
    if (this.#fold.loadSnapshot(records)) return;
    throw new LogUnavailableError(
      "records were trimmed and no snapshot covers them",
    );
  }

  async #writeSnapshotWhenDue(): Promise<void> {
    if (this.#recordsSinceSnapshot < this.#options.snapshotEveryRecords) return;
    this.#recordsSinceSnapshot = 0;
    try {
      for (const part of this.#fold.buildSnapshot(() => createId("snap"))) {
        await this.#options.log.append(this.#stream, part);
      }
    } catch (error) {
      if (!(error instanceof LogUnavailableError)) throw error;
    }
  }
}
