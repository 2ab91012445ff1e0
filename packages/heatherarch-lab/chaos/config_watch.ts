/**
 * Watches the configuration offset of every VM: it may only grow within one process, and an
 * accepted change must reach all that can be reached.
 *
 * @module
 */
import { sleep } from "heatherarch-core";
import type { Cluster } from "../cluster.ts";
import type { AcceptedChange } from "./fault_driver.ts";

const POLL_MS = 100;
/** Longest time that a change may take everywhere (the users' figure). */
export const SPREAD_LIMIT_MS = 14_000;

/** Watches a cluster. */
export class ConfigWatch {
  readonly #cluster: Cluster;
  readonly #offsets = new Map<string, { pid: number; offset: number }>();
  readonly #pending = new Map<AcceptedChange, Set<string>>();
  #spreadMsMax = 0;
  #reverts = 0;
  #stopped = false;

  constructor(cluster: Cluster) {
    this.#cluster = cluster;
  }

  get spreadMsMax(): number {
    return this.#spreadMsMax;
  }

  get reverts(): number {
    return this.#reverts;
  }

  /** Offset that each VM had applied when it was last asked. */
  listOffsets(): number[] {
    return [...this.#offsets.values()].map((entry) => entry.offset);
  }

  start(): void {
    for (const { id } of this.#cluster.deployment.vms) void this.#watch(id);
  }

  stop(): void {
    this.#stopped = true;
  }

  /** A change was accepted: every VM is to apply it. */
  expect(change: AcceptedChange): void {
    const ids = this.#cluster.deployment.vms.map((vm) => vm.id);
    this.#pending.set(change, new Set(ids));
  }

  /** Counts no spread time for changes that an unplanned fault may have held up. */
  forgive(): void {
    this.#pending.clear();
  }

  async #watch(id: string): Promise<void> {
    const vm = this.#cluster.deployment.vms.find((entry) => entry.id === id);
    while (!this.#stopped && vm !== undefined) {
      const pid = this.#cluster.getPid(id) ?? 0;
      const status = await this.#cluster.readStatus(vm).catch(() => undefined);
      if (status !== undefined && pid === this.#cluster.getPid(id)) {
        this.#note(id, pid, status.config.offset);
      }
      await sleep(POLL_MS);
    }
  }

  #note(id: string, pid: number, offset: number): void {
    const known = this.#offsets.get(id);
    if (known?.pid === pid && offset < known.offset) this.#reverts++;
    this.#offsets.set(id, { pid, offset });
    for (const [change, missing] of this.#pending) {
      if (offset < change.offset || !missing.delete(id)) continue;
      this.#spreadMsMax = Math.max(this.#spreadMsMax, Date.now() - change.atMs);
      if (missing.size === 0) this.#pending.delete(change);
    }
  }
}
