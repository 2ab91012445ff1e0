/**
 * Stand-in for the platform's load balancer: polls the readiness of each VM and routes clients to
 * ready VMs.
 *
 * @module
 */
import { type Random, sleep } from "heatherarch-core";
import type { DeployedVm } from "../deployment.ts";

const POLL_INTERVAL_MS = 150;

/** Selects ready VMs. */
export class LoadBalancer {
  readonly #vms: readonly DeployedVm[];
  readonly #readyIds = new Set<string>();
  #isStopped = false;

  constructor(vms: readonly DeployedVm[]) {
    this.#vms = vms;
  }

  start(): void {
    for (const vm of this.#vms) void this.#pollReadiness(vm);
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Returns a random ready VM, or any VM if none is ready. */
  pickVm(random: Random): DeployedVm {
    const ready = this.#vms.filter((vm) => this.#readyIds.has(vm.id));
    return random.drawItem(ready.length > 0 ? ready : this.#vms);
  }

  async #pollReadiness(vm: DeployedVm): Promise<void> {
    while (!this.#isStopped) {
      const ready = await isReady(vm);
      if (ready) this.#readyIds.add(vm.id);
      else this.#readyIds.delete(vm.id);
      await sleep(POLL_INTERVAL_MS);
    }
  }
}

async function isReady(vm: DeployedVm): Promise<boolean> {
  try {
    const response = await fetch(`http://${vm.operators}/readyz`, {
      signal: AbortSignal.timeout(500),
    });
    await response.arrayBuffer();
    return response.ok;
  } catch {
    return false;
  }
}
