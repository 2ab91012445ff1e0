/**
 * Counts the calls of one VM that began to run, by window of time and client account. The counts of a
 * window only grow until it is over, so the latest value of each one replaces earlier values.
 *
 * @module
 */

/** Number of calls of an account in a window: number of the window, account, count. */
export type UsageRow = [number, string, number];

/** Rows that have changed, and the position from which later changes are listed. */
export interface UsageChanges {
  readonly rows: UsageRow[];
  readonly cursor: number;
}

interface Count {
  value: number;
  /** Position of the last change. */
  changedAt: number;
}

/** Windows that are kept. The newest ones are still being reported. */
const MAX_WINDOWS = 16;

/** Counts of one VM. */
export class UsageMeter {
  readonly #windows = new Map<number, Map<string, Count>>();
  #position = 0;

  /** Counts a call of `account` that began to run in `window`. */
  add(window: number, account: string): void {
    this.#change(window, account, 1);
  }

  /** Takes a counted call back that has not run after all. */
  remove(window: number, account: string): void {
    this.#change(window, account, -1);
  }

  /** Lists the counts that have changed since `cursor`; 0 lists all. */
  listChanges(cursor: number): UsageChanges {
    const rows: UsageRow[] = [];
    if (cursor === this.#position) return { rows, cursor };
    for (const [window, counts] of this.#windows) {
      for (const [account, { value, changedAt }] of counts) {
        if (changedAt > cursor) rows.push([window, account, value]);
      }
    }
    return { rows, cursor: this.#position };
  }

  #change(window: number, account: string, by: number): void {
    const counts = this.#windows.get(window) ?? this.#openWindow(window);
    const count = counts.get(account) ?? { value: 0, changedAt: 0 };
    count.value += by;
    count.changedAt = ++this.#position;
    counts.set(account, count);
  }

  #openWindow(window: number): Map<string, Count> {
    const counts = new Map<string, Count>();
    this.#windows.set(window, counts);
    if (this.#windows.size > MAX_WINDOWS) {
      this.#windows.delete(Math.min(...this.#windows.keys()));
    }
    return counts;
  }
}
