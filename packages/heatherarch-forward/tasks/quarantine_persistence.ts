/**
 * Persists quarantined requests and parts of prompts in the platform's store, so that they survive a
 * restart of all VMs. While any VM runs, gossip keeps them. What a restored store has lost is written again.
 *
 * @module
 */
import { type Clock, sleep } from "heatherarch-core";
import type {
  CrashReport,
  QuarantineChange,
  RequestQuarantine,
} from "heatherarch-quarantine";
import type { EventLog } from "../event_log.ts";
import type { QuarantineRecord, WritableTopicPort } from "../ports.ts";

/** Options of {@linkcode QuarantinePersistence}. */
export interface QuarantinePersistenceOptions {
  readonly topic: WritableTopicPort<QuarantineRecord>;
  readonly quarantine: RequestQuarantine;
  /** Whether the requests of `quarantine` are parts of prompts. Their keys have a prefix. */
  readonly isOfParts?: boolean;
  readonly clock: Clock;
  readonly log: EventLog;
}

const PART_KEY_PREFIX = "part:";
/** First delay of the exponential backoff, milliseconds. */
const INITIAL_RETRY_MS = 500;
const MAX_WRITE_RETRY_MS = 8000;
/** After a restart of all VMs the store is the only source of quarantined requests. */
const MAX_LOAD_RETRY_MS = 1000;
/** Few attempts suffice, since running VMs know the request without the record. */
const MAX_WRITE_ATTEMPTS = 5;
/** Requests that this VM can write again; the older ones may be lost. */
const MAX_WRITTEN = 1000;

/** The task that loads and stores quarantined requests. */
export class QuarantinePersistence {
  readonly #options: QuarantinePersistenceOptions;
  #undoListener: (() => void) | undefined;
  #isStopped = false;
  /** Latest change of each request that this VM wrote. */
  readonly #written = new Map<string, QuarantineChange>();

  constructor(options: QuarantinePersistenceOptions) {
    this.#options = options;
  }

  start(): void {
    this.#undoListener = this.#options.quarantine.registerChangeListener(
      (change) => {
        // One VM writes: the one that observed the change.
        if (change.isOwn) void this.#write(change);
      },
    );
    void this.#load();
  }

  stop(): void {
    this.#isStopped = true;
    this.#undoListener?.();
  }

  /** Writes again what this VM wrote, as the store came back from a copy. */
  handleRestoration(): void {
    for (const change of [...this.#written.values()]) void this.#write(change);
  }

  async #load(): Promise<void> {
    const { topic, quarantine, clock } = this.#options;
    await this.#runWithRetry("load", Infinity, async () => {
      const { entries } = await topic.load();
      const reports = entries.flatMap(({ key, value }) =>
        value === undefined ? [] : this.#buildReports(key, value)
      );
      quarantine.mergePeerReports(reports, clock.readMonotonicMs());
    });
  }

  #buildReports(
    key: string,
    { account, lives, atUnixMs }: QuarantineRecord,
  ): CrashReport[] {
    const { isOfParts = false } = this.#options;
    if (key.startsWith(PART_KEY_PREFIX) !== isOfParts) return [];
    const request = isOfParts ? key.slice(PART_KEY_PREFIX.length) : key;
    const ageMs = Math.max(0, this.#options.clock.readWallMs() - atUnixMs);
    return lives.map((
      incarnation,
    ): CrashReport => [request, account, incarnation, 1, ageMs]);
  }

  async #write(change: QuarantineChange): Promise<void> {
    const { topic, quarantine, clock, isOfParts = false } = this.#options;
    const { kind, request } = change;
    this.#recordWritten(change);
    const nowMs = clock.readMonotonicMs();
    const entry = quarantine.findQuarantined(request, nowMs);
    // The request was cleared in the meantime, and that change removes the record.
    if (kind === "held" && entry === undefined) return;
    const record = entry === undefined ? undefined : {
      account: entry.account,
      lives: entry.incarnations,
      atUnixMs: clock.readWallMs() - (nowMs - entry.sinceMs),
    };
    await this.#runWithRetry(
      "write",
      MAX_WRITE_ATTEMPTS,
      () => topic.put(isOfParts ? PART_KEY_PREFIX + request : request, record),
    );
  }

  #recordWritten(change: QuarantineChange): void {
    this.#written.delete(change.request);
    this.#written.set(change.request, change);
    const [oldest] = this.#written.keys();
    if (this.#written.size > MAX_WRITTEN) this.#written.delete(oldest);
  }

  async #runWithRetry(
    action: "load" | "write",
    maxAttempts: number,
    run: () => Promise<void>,
  ): Promise<void> {
    for (let attempt = 1; !this.#isStopped; attempt++) {
      try {
        await run();
        return;
      } catch (error) {
        const isLast = attempt >= maxAttempts;
        this.#options.log.write(isLast ? "warn" : "info", "quarantineNotKept", {
          action,
          tries: attempt,
          reason: (error as Error).message,
        });
        if (isLast) return;
        const maxRetryMs = action === "load"
          ? MAX_LOAD_RETRY_MS
          : MAX_WRITE_RETRY_MS;
        await sleep(
          Math.min(maxRetryMs, INITIAL_RETRY_MS * 2 ** (attempt - 1)),
        );
      }
    }
  }
}
