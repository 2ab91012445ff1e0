/**
 * Samples of slowdowns that VMs tell each other, in the order in which they became news, with the
 * number of rows that a heartbeat carries.
 *
 * @module
 */
import type { LoadSample } from "heatherarch-load";

/** A sample and the VM that observed it. */
export interface NewsRow {
  readonly vm: number;
  readonly sample: LoadSample;
}

/** Rows that a heartbeat carries at most. */
export const MAX_ROWS_PER_HEARTBEAT = 24;
/** Interval between heartbeats with hubs, milliseconds. Fleets without hubs are given the same. */
const HEARTBEAT_MS = 100;

/** News of the whole fleet. */
export class LoadNews {
  readonly #rows: NewsRow[] = [];
  /** Position of the next row that each VM has not received. */
  readonly #positions: Int32Array;
  /** Targets whose samples a heartbeat of the fleet's sums carries, by heartbeat. */
  readonly #heartbeats = new Map<number, Set<string>>();
  #droppedCount = 0;

  constructor(vms: number) {
    this.#positions = new Int32Array(vms);
  }

  /** Number of rows that VMs have told. */
  get rowCount(): number {
    return this.#rows.length;
  }

  /** Number of rows that a hub passes on, one per target and heartbeat. */
  get relayedCount(): number {
    let count = 0;
    for (const targets of this.#heartbeats.values()) count += targets.size;
    return count;
  }

  /** Share of the rows that did not fit into a heartbeat. */
  get droppedShare(): number {
    const all = this.#rows.length + this.#droppedCount;
    return all === 0 ? 0 : this.#droppedCount / all;
  }

  /**
   * Adds news, unless the heartbeat is full. The product drops the oldest rows of a heartbeat that is
   * full, the simulation the newest.
   */
  add(row: NewsRow): void {
    const { sample } = row;
    const heartbeat = Math.floor(sample.atMs / HEARTBEAT_MS);
    const targets = this.#heartbeats.get(heartbeat) ?? new Set();
    this.#heartbeats.set(heartbeat, targets);
    if (
      !targets.has(sample.target) && targets.size >= MAX_ROWS_PER_HEARTBEAT
    ) {
      this.#droppedCount++;
      return;
    }
    targets.add(sample.target);
    this.#rows.push(row);
  }

  /** Takes the rows of other VMs that have reached a VM by now. */
  take(vm: number, sentBeforeMs: number): LoadSample[] {
    const taken: LoadSample[] = [];
    let position = this.#positions[vm];
    while (position < this.#rows.length) {
      const row = this.#rows[position];
      if (row.sample.atMs > sentBeforeMs) break;
      if (row.vm !== vm) taken.push(row.sample);
      position++;
    }
    this.#positions[vm] = position;
    return taken;
  }
}
