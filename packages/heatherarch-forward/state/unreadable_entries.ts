/**
 * Entries of a topic that this VM can't read, as another writer wrote them.
 *
 * @module
 */
import type { EventLog } from "../event_log.ts";
import type { KeyedEntry } from "../ports.ts";

/** Options of {@linkcode UnreadableEntries}. */
export interface UnreadableEntriesOptions {
  /** Name of the topic. */
  readonly topic: string;
  readonly log: EventLog;
  /** Called for each entry that becomes unreadable. */
  readonly onUnreadable?: () => void;
}

/** What operators see of the unreadable entries of one topic. */
export interface UnreadableStatus {
  readonly topic: string;
  /** Keys, of which long ones are truncated. */
  readonly keys: readonly string[];
  /** Number of the unreadable entries that are not listed. */
  readonly others: number;
}

type Entry = Pick<KeyedEntry<unknown>, "key" | "isUnreadable" | "reason">;

/** Keys come from other writers, so longer ones are truncated. */
const MAX_KEY_CHARS = 80;
/** Keys that operators see for each topic, because another writer may add any number. */
const MAX_LISTED_KEYS = 32;

/** Keys of a topic whose newest record is unreadable. */
export class UnreadableEntries {
  readonly #options: UnreadableEntriesOptions;
  readonly #keys = new Set<string>();

  constructor(options: UnreadableEntriesOptions) {
    this.#options = options;
  }

  /** Applies the full list: keys that it doesn't contain are no longer unreadable. */
  applyList(entries: readonly Entry[]): void {
    const listed = new Set(entries.map(({ key }) => key));
    for (const key of this.#keys) {
      if (!listed.has(key)) this.applyChanges([{ key }]);
    }
    this.applyChanges(entries);
  }

  /** Logs when an entry becomes unreadable or readable, however often it is read. */
  applyChanges(entries: readonly Entry[]): void {
    for (const { key, isUnreadable = false, reason } of entries) {
      if (isUnreadable === this.#keys.has(key)) continue;
      if (isUnreadable) {
        this.#keys.add(key);
        this.#options.onUnreadable?.();
      } else this.#keys.delete(key);
      this.#options.log.write(
        isUnreadable ? "warn" : "info",
        isUnreadable ? "entryUnreadable" : "entryReadable",
        { topic: this.#options.topic, key: truncateKey(key), reason },
      );
    }
  }

  /** Lists the topic if it has unreadable entries. */
  listStatus(): UnreadableStatus[] {
    if (this.#keys.size === 0) return [];
    const keys = [...this.#keys].slice(0, MAX_LISTED_KEYS);
    return [{
      topic: this.#options.topic,
      keys: keys.map(truncateKey),
      others: this.#keys.size - keys.length,
    }];
  }
}

function truncateKey(key: string): string {
  return key.slice(0, MAX_KEY_CHARS);
}
