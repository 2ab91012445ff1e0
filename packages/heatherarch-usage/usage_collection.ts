/**
 * Counts of many VMs, by window. A VM's count is stored under the id of its process, so that a count
 * which arrives twice or on several ways is counted once, and that of a process which has ended stays.
 *
 * @module
 */
import type { UsageRow } from "./usage_meter.ts";

/** Counts of one window: id of a process, account, count. */
export type ProcessUsageRow = [string, string, number];

/** Calls that began to run in a window, by client account. */
export type UsageCounts = Readonly<Record<string, number>>;

/** Windows that are kept. */
const MAX_WINDOWS = 16;

/** The counts that one VM knows of. */
export class UsageCollection {
  readonly #windows = new Map<number, Map<string, Map<string, number>>>();

  /** Stores the counts of one process. */
  apply(process: string, rows: readonly UsageRow[]): void {
    for (const [window, account, count] of rows) {
      const processes = this.#windows.get(window) ?? this.#openWindow(window);
      const counts = processes.get(process) ?? new Map<string, number>();
      counts.set(account, count);
      processes.set(process, counts);
    }
  }

  /** Merges what another VM has collected for a window. */
  merge(window: number, rows: readonly ProcessUsageRow[]): void {
    for (const [process, account, count] of rows) {
      const known = this.#windows.get(window)?.get(process)?.get(account) ?? 0;
      if (count > known) this.apply(process, [[window, account, count]]);
    }
  }

  /** Lists the counts of a window by process. */
  listWindow(window: number): ProcessUsageRow[] {
    const rows: ProcessUsageRow[] = [];
    for (const [process, counts] of this.#windows.get(window) ?? []) {
      for (const [account, count] of counts) {
        rows.push([process, account, count]);
      }
    }
    return rows;
  }

  /** Sums the counts of a window by account, in the order of their names. */
  sumWindow(window: number): UsageCounts {
    const sums = new Map<string, number>();
    for (const [, account, count] of this.listWindow(window)) {
      sums.set(account, (sums.get(account) ?? 0) + count);
    }
    const entries = [...sums].filter(([, count]) => count > 0);
    return Object.fromEntries(entries.sort(([a], [b]) => a < b ? -1 : 1));
  }

  #openWindow(window: number): Map<string, Map<string, number>> {
    const processes = new Map<string, Map<string, number>>();
    this.#windows.set(window, processes);
    if (this.#windows.size > MAX_WINDOWS) {
      this.#windows.delete(Math.min(...this.#windows.keys()));
    }
    return processes;
  }
}
