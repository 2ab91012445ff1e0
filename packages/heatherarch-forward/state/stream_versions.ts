/**
 * Records which software version began each stream that may be resumed. A stream goes on only at
 * the version that began it, so one without a record is not resumed.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { RoutingConfig } from "../model.ts";

/** What identifies a stream. A client can name only streams of its own account. */
export interface StreamIdentity {
  /** Id of the client's attempt that brought the first event. */
  readonly attemptId: string;
  readonly host: string;
  /** Client account, if calls need one. */
  readonly account?: string;
  readonly service: string;
}

/** A stream by its key, and the software version that began it. */
export interface StreamRecord {
  readonly key: string;
  readonly softwareVersion: string;
}

/** Where a stream began: at this VM, at a VM of its zone, or at a VM of another zone. */
export type StreamOrigin = "own" | "zone" | "elsewhere";
/** Which records are listed: those of this VM, or all of its zone. */
export type RecordScope = "own" | "zone";

/** Records that are new to a peer, and the cursor from which later ones are listed. */
export interface StreamRecordPage {
  readonly records: readonly StreamRecord[];
  readonly cursor: number;
}

/** Options of {@linkcode StreamVersions}. */
export interface StreamVersionsOptions {
  /** Largest number of records of one generation. */
  readonly maxRecords?: number;
}

interface NewRecord extends StreamRecord {
  readonly origin: StreamOrigin;
}

/** A hub at the size to design for hears of 3,600 streams a second. */
const DEFAULT_MAX_RECORDS = 150_000;
/** Records that are kept for peers that connect again. */
const MAX_NEW = 8192;
/** Records in one message, about 4 KB. The remaining ones follow in the next messages. */
const MAX_PER_PAGE = 512;
/** Peers reject messages with a longer version. Its streams are not resumed. */
const MAX_VERSION_LENGTH = 256;
/** Time for which a stream is known beyond the longest timeout of a route, milliseconds. */
const STREAM_LIFE_SLACK_MS = 30_000;
/** Bytes of a key. Hashes of that size don't collide by chance among the records of a VM. */
export const STREAM_KEY_BYTES = 8;

/** Computes how long after its begin a stream may be taken up, milliseconds. */
export function computeStreamLifeMs(
  config: Pick<RoutingConfig, "routes"> | undefined,
): number {
  const routes = config?.routes ?? [];
  const timeoutsMs = routes.filter(({ kind }) => kind === "resumableStream")
    .map(({ timeoutMs }) => timeoutMs);
  return Math.max(0, ...timeoutsMs) + STREAM_LIFE_SLACK_MS;
}

/** Computes the key of a stream. */
export function computeStreamKey(
  { attemptId, host, account = "", service }: StreamIdentity,
): string {
  return createHash("sha256")
    .update(JSON.stringify([attemptId, host, account, service]))
    .digest()
    .toString("latin1", 0, STREAM_KEY_BYTES);
}

/** The records that one VM has. */
export class StreamVersions {
  readonly #maxRecords: number;
  /** Records of the current and of the previous generation. A record is kept for one at least. */
  #current = new Map<string, string>();
  #previous = new Map<string, string>();
  #rotatedAtMs: number | undefined;
  readonly #new: NewRecord[] = [];
  #newStart = 0;
  readonly #listeners = new Set<() => void>();

  constructor(options: StreamVersionsOptions = {}) {
    this.#maxRecords = options.maxRecords ?? DEFAULT_MAX_RECORDS;
  }

  /** Number of records. */
  get size(): number {
    return this.#current.size + this.#previous.size;
  }

  /** Records that an engine of `softwareVersion` began a stream. The first record is final. */
  recordStream(record: StreamRecord, origin: StreamOrigin = "own"): void {
    const { key, softwareVersion } = record;
    if (softwareVersion.length > MAX_VERSION_LENGTH) return;
    if (this.findVersion(key) !== undefined) return;
    if (this.#current.size >= this.#maxRecords) this.#rotate();
    this.#current.set(key, softwareVersion);
    if (origin === "elsewhere") return;
    this.#new.push({ key, softwareVersion, origin });
    if (this.#new.length > MAX_NEW) {
      this.#new.shift();
      this.#newStart++;
    }
    if (origin !== "own") return;
    for (const listener of [...this.#listeners]) listener();
  }

  /** Returns the software version that began a stream; undefined if there is no record of it. */
  findVersion(key: string): string | undefined {
    return this.#current.get(key) ?? this.#previous.get(key);
  }

  /** Drops records that are older than the longest life of a stream. */
  expire(nowMs: number, streamLifeMs: number): void {
    this.#rotatedAtMs ??= nowMs;
    if (nowMs - this.#rotatedAtMs < streamLifeMs) return;
    this.#rotatedAtMs = nowMs;
    this.#rotate();
  }

  /** Lists a page of the records from `cursor` on. */
  listNew(cursor: number, scope: RecordScope): StreamRecordPage {
    const records: StreamRecord[] = [];
    let at = Math.max(0, cursor - this.#newStart);
    for (; at < this.#new.length && records.length < MAX_PER_PAGE; at++) {
      const record = this.#new[at];
      if (scope === "zone" || record.origin === "own") records.push(record);
    }
    return { records, cursor: this.#newStart + at };
  }

  /** Registers a listener for streams that begin at this VM. Returns its removal. */
  registerListener(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  #rotate(): void {
    this.#previous = this.#current;
    this.#current = new Map();
  }
}
