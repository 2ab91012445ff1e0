/**
 * Monitors the configuration offset of every VM. The offset must never decrease within one process,
 * and an accepted change must reach all VMs in time.
 *
 * @module
 */
import { sleep } from "heatherarch-core";
import type { Cluster } from "../cluster.ts";
import type { AcceptedChange } from "./fault_driver.ts";

const POLL_INTERVAL_MS = 100;
/** Longest time that an accepted change may take to reach all VMs. The users set this bound. */
export const MAX_PROPAGATION_MS = 14_000;

/** Monitors the configuration offsets of a cluster. */
export class ConfigMonitor {
  readonly #cluster: Cluster;
  readonly #offsets = new Map<string, { pid: number; offset: number }>();
  readonly #vmsWithoutChange = new Map<AcceptedChange, Set<string>>();
  #maxPropagationMs = 0;
  #revertCount = 0;
  #isStopped = false;

  constructor(cluster: Cluster) {
    this.#cluster = cluster;
  }

  get maxPropagationMs(): number {
    return this.#maxPropagationMs;
  }

  get revertCount(): number {
    return this.#revertCount;
  }

  /** Returns the offset that each VM had applied when it last reported. */
  listOffsets(): number[] {
    return [...this.#offsets.values()].map((entry) => entry.offset);
  }

  start(): void {
    for (const { id } of this.#cluster.deployment.vms) void this.#pollVm(id);
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Measures the time until every VM has applied an accepted change. */
  expectPropagation(change: AcceptedChange): void {
    const ids = this.#cluster.deployment.vms.map((vm) => vm.id);
    this.#vmsWithoutChange.set(change, new Set(ids));
  }

  /** Stops measuring the pending changes, as an unplanned fault may delay them. */
  dropPendingChanges(): void {
    this.#vmsWithoutChange.clear();
  }

  async #pollVm(id: string): Promise<void> {
    const vm = this.#cluster.deployment.vms.find((entry) => entry.id === id);
    while (!this.#isStopped && vm !== undefined) {
      const pid = this.#cluster.getPid(id) ?? 0;
      const status = await this.#cluster.readStatus(vm).catch(() => undefined);
      if (status !== undefined && pid === this.#cluster.getPid(id)) {
        this.#recordOffset(id, pid, status.config.offset);
      }
      await sleep(POLL_INTERVAL_MS);
    }
  }

  #recordOffset(id: string, pid: number, offset: number): void {
    const known = this.#offsets.get(id);
    if (known?.pid === pid && offset < known.offset) this.#revertCount++;
    this.#offsets.set(id, { pid, offset });
    for (const [change, pendingVms] of this.#vmsWithoutChange) {
      if (offset < change.offset || !pendingVms.delete(id)) continue;
      this.#maxPropagationMs = Math.max(
        this.#maxPropagationMs,
        Date.now() - change.atMs,
      );
      if (pendingVms.size === 0) this.#vmsWithoutChange.delete(change);
    }
  }
}
