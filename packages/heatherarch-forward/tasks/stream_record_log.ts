/**
 * Keeps in the platform's store which software version began each stream, while streams may have
 * begun at several versions. The records survive the loss of all VMs.
 *
 * @module
 */
import { sleep } from "heatherarch-core";
import type { LogPort } from "heatherarch-log";
import { z } from "zod";
import type { EventLog } from "../event_log.ts";
import {
  decodeStreamRecords,
  encodeStreamRecords,
} from "../state/stream_record_codec.ts";
import type { RecordScope, StreamVersions } from "../state/stream_versions.ts";

/** Options of {@linkcode StreamRecordLog}. */
export interface StreamRecordLogOptions {
  readonly store: LogPort;
  readonly streamVersions: StreamVersions;
  readonly log: EventLog;
  /** Whether it is known which versions may have begun a stream that is taken up now. */
  readonly hasVersions: () => boolean;
  /** Whether streams may have begun at several versions. */
  readonly hasSeveralVersions: () => boolean;
  /** Whether this VM is one of those that write and read the records. */
  readonly isCoordinator: () => boolean;
  /** Number of VMs that write records. */
  readonly countWriters: () => number;
  /** Which records this VM writes. */
  readonly getScope: () => RecordScope;
}

const STREAM = "streams.versions";
/** Pause between two writes, milliseconds; longer if many VMs write. */
const MIN_WRITE_PAUSE_MS = 200;
/** With that pause per writer, the fleet makes 50 writes a second at most. */
const WRITE_PAUSE_PER_WRITER_MS = 20;
/** Pause after a failure, milliseconds. */
const RETRY_MS = 500;
/** What the fleet writes in 100 s at most, the longest life of a stream that is looked back to. */
const MAX_READ_RECORDS = 5000;
/** Longest wait of a call for the records that a VM reads when it starts, milliseconds. */
const MAX_LOAD_WAIT_MS = 400;

/** A record that only marks the end of the log has no streams. */
const RECORD = z.object({
  streams: z.array(z.tuple([z.string().max(256), z.base64()])),
});

/** The task that writes and reads the records. */
export class StreamRecordLog {
  readonly #options: StreamRecordLogOptions;
  /** Position in this VM's records up to which they are stored. */
  #cursor = 0;
  #isLoaded = false;
  #isStopped = false;
  #finishLoad: () => void = () => undefined;
  readonly #loaded = new Promise<void>((resolve) => this.#finishLoad = resolve);

  constructor(options: StreamRecordLogOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Writes again what this VM has written, as the store came back from a copy. */
  handleRestoration(): void {
    this.#cursor = 0;
  }

  /**
   * Resolves with the software version that began a stream, if this VM or the store knows it. Waits
   * for the records that a VM reads when it starts. Never rejects.
   */
  async findVersion(key: string): Promise<string | undefined> {
    if (!this.#isLoaded) {
      await Promise.race([this.#loaded, sleep(MAX_LOAD_WAIT_MS)]);
    }
    return this.#options.streamVersions.findVersion(key);
  }

  /** Writes all records now, as this VM stops. Resolves after `timeoutMs` at the latest. */
  async flush(timeoutMs: number): Promise<void> {
    await Promise.race([this.#writeAll(), sleep(timeoutMs)]);
  }

  async #writeAll(): Promise<void> {
    let before: number | undefined;
    while (this.#isLoaded && before !== this.#cursor) {
      before = this.#cursor;
      if (!await this.#runOnce()) return;
    }
  }

  async #run(): Promise<void> {
    while (!this.#isStopped) {
      const isDone = await this.#runOnce();
      await sleep(isDone ? this.#computePauseMs() : RETRY_MS);
    }
  }

  #computePauseMs(): number {
    const { countWriters } = this.#options;
    const pauseMs = countWriters() * WRITE_PAUSE_PER_WRITER_MS;
    return Math.max(MIN_WRITE_PAUSE_MS, pauseMs);
  }

  /** Returns whether nothing failed. */
  async #runOnce(): Promise<boolean> {
    const { isCoordinator, hasVersions, hasSeveralVersions } = this.#options;
    if (!hasVersions()) return true;
    try {
      const isNeeded = isCoordinator() && hasSeveralVersions();
      if (isNeeded && !this.#isLoaded) await this.#load();
      this.#isLoaded = true;
      this.#finishLoad();
      if (isNeeded) await this.#writeNew();
      return true;
    } catch (error) {
      this.#options.log.write("info", "streamRecordsNotKept", {
        reason: (error as Error).message,
      });
      return false;
    }
  }

  /** Writes one page. The remaining ones follow after a pause each. */
  async #writeNew(): Promise<void> {
    const { store, streamVersions, getScope } = this.#options;
    const from = this.#cursor;
    const { records, cursor } = streamVersions.listNew(from, getScope());
    if (records.length > 0) {
      const streams = encodeStreamRecords(records)
        .map(([version, keys]) => [version, keys.toString("base64")]);
      await store.append(STREAM, { streams });
    }
    // The store may have come back from a copy meanwhile.
    if (this.#cursor === from) this.#cursor = cursor;
  }

  /** Reads the latest records. An own record tells where the log ends. */
  async #load(): Promise<void> {
    const { store, log } = this.#options;
    const end = await store.append(STREAM, { streams: [] });
    let at = Math.max(0, end - MAX_READ_RECORDS);
    let count = 0;
    while (at < end) {
      const { records, first } = await store.read(STREAM, at);
      for (const { data } of records) count += this.#apply(data);
      if (records.length === 0 && first <= at) break;
      at = Math.max(first, at + records.length);
    }
    log.write("info", "streamRecordsLoaded", { records: count, end });
  }

  /** Returns the number of streams. */
  #apply(data: unknown): number {
    const parsed = RECORD.safeParse(data);
    if (!parsed.success) return 0;
    const records = decodeStreamRecords(
      parsed.data.streams.map(([version, keys]) =>
        [version, Buffer.from(keys, "base64")] as const
      ),
    );
    for (const record of records) {
      this.#options.streamVersions.recordStream(record, "elsewhere");
    }
    return records.length;
  }
}
