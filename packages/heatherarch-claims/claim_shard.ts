/**
 * The owner of one shard on one VM: groups claims into one append at a time, and answers
 * each claim only after the stream has been read without a gap up to it.
 *
 * @module
 */
import { type Clock, createId, sleep } from "heatherarch-core";
import {
  appendOnce,
  judgeSlice,
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
  /** Time to gather claims before an append. */
  readonly batchMs: number;
  readonly maxBatch: number;
  /** Longest time that a claim waits for its verdict. */
  readonly timeoutMs: number;
  /** Records after which a snapshot is appended. */
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

const READ_PAGE = 500;

/** Claims of one shard. */
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
   * Claims a key. Rejects with {@linkcode LogUnavailableError} where the verdict is not
   * known; the claim may then stand in the log, but it was not granted.
   */
  async claim(entry: ClaimRequest): Promise<ClaimVerdict> {
    // Another VM's snapshot may cover the record before this VM has read it.
    const verdict = await this.#enqueue(entry) ??
      this.#fold.findVerdict(entry);
    if (verdict === undefined) {
      throw new LogUnavailableError("no verdict on the claim");
    }
    return verdict;
  }

  /** Records an outcome, or that the holder dropped its claim without using it. */
  async conclude(entry: Exclude<ClaimEntry, { op: "claim" }>): Promise<void> {
    await this.#enqueue(entry);
  }

  /** What the log says of a key now. Reads up to the end first. */
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

  /** Reads without a gap up to `offset`, or to the end of the stream. */
  async #catchUp(offset?: number): Promise<void> {
    const until = this.#options.clock.readMonotonicMs() +
      this.#options.timeoutMs;
    while (true) {
      const from = this.#fold.offset + 1;
      const options = { maxRecords: READ_PAGE };
      const slice = await this.#options.log.read(this.#stream, from, options);
      const verdict = judgeSlice(from, slice);
      if (verdict.kind === "gap") {
        await this.#recoverFromGap();
        continue;
      }
      for (const record of verdict.records) {
        this.#recordsSinceSnapshot++;
        for (const [id, own] of this.#fold.apply(record)) {
          if (this.#awaitedClaimIds.has(id)) this.#verdicts.set(id, own);
        }
      }
      if (
        offset === undefined ? verdict.current : this.#fold.offset >= offset
      ) return;
      if (this.#options.clock.readMonotonicMs() > until) {
        throw new LogUnavailableError(
          "reading up to the own claim took too long",
        );
      }
    }
  }

  async #recoverFromGap(): Promise<void> {
    const records = await readWholeStream(this.#options.log, this.#stream);
    if (this.#fold.loadSnapshot(records)) return;
    throw new LogUnavailableError(
      "records were trimmed and no snapshot bridges them",
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
