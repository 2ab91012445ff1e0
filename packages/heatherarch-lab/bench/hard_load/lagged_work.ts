/**
 * Work at targets as VMs know it: their own at once, that of the others as of some time ago.
 *
 * @module
 */
import type { EventQueue } from "./event_queue.ts";

/** Options of {@linkcode LaggedWork}. */
export interface LaggedWorkOptions {
  readonly events: EventQueue;
  readonly vms: number;
  readonly targets: number;
  readonly maxAgeMs: number;
}

interface OwnChange {
  readonly atMs: number;
  readonly target: number;
  readonly amount: number;
}

/** Interval at which the state of the fleet is recorded. */
const RECORD_INTERVAL_MS = 10;

/** Work in progress by target, now and in the recent past. */
export class LaggedWork {
  readonly #options: LaggedWorkOptions;
  readonly #current: Float64Array;
  /** Earlier states, oldest first. */
  #records: { atMs: number; work: Float64Array }[] = [];
  /** Recent changes by each VM, oldest first. */
  readonly #ownChanges: OwnChange[][];

  constructor(options: LaggedWorkOptions) {
    this.#options = options;
    this.#current = new Float64Array(options.targets);
    this.#ownChanges = Array.from({ length: options.vms }, () => []);
    this.#record();
  }

  /** Adds work of a VM at a target, or takes it away. */
  add(vm: number, target: number, amount: number): void {
    this.#current[target] += amount;
    const atMs = this.#options.events.nowMs;
    const changes = this.#ownChanges[vm];
    const oldestMs = atMs - this.#options.maxAgeMs - RECORD_INTERVAL_MS;
    const first = changes.findIndex((change) => change.atMs >= oldestMs);
    if (first !== 0) changes.splice(0, first < 0 ? changes.length : first);
    changes.push({ atMs, target, amount });
  }

  /** Current work at all targets. */
  get current(): Float64Array {
    return this.#current;
  }

  /** Work as a VM knows it: the state `ageMs` ago and the VM's own changes since. */
  copyKnown(vm: number, ageMs: number): Float64Array {
    const atMs = this.#options.events.nowMs - ageMs;
    const record = this.#findRecord(atMs);
    const known = record.work.slice();
    for (const change of this.#ownChanges[vm]) {
      if (change.atMs <= record.atMs) continue;
      known[change.target] += change.amount;
    }
    return known;
  }

  #findRecord(atMs: number): { atMs: number; work: Float64Array } {
    const oldest = this.#records[0];
    const index = Math.floor((atMs - oldest.atMs) / RECORD_INTERVAL_MS);
    return this
      .#records[Math.max(0, Math.min(index, this.#records.length - 1))];
  }

  #record(): void {
    const { events, maxAgeMs } = this.#options;
    this.#records.push({ atMs: events.nowMs, work: this.#current.slice() });
    const records = maxAgeMs / RECORD_INTERVAL_MS + 2;
    if (this.#records.length > 2 * records) {
      this.#records = this.#records.slice(-Math.ceil(records));
    }
    events.delay(RECORD_INTERVAL_MS, () => this.#record());
  }
}
