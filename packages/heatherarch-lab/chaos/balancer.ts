/**
 * What the platform's balancer does: asks each VM whether it is ready, and sends callers to
 * one that is.
 *
 * @module
 */
import { type Random, sleep } from "heatherarch-core";
import type { DeployedVm } from "../deployment.ts";

const POLL_MS = 150;

/** Knows which VMs are ready. */
export class Balancer {
  readonly #vms: readonly DeployedVm[];
  readonly #ready = new Set<string>();
  #stopped = false;

  constructor(vms: readonly DeployedVm[]) {
    this.#vms = vms;
  }

  start(): void {
    for (const vm of this.#vms) void this.#watch(vm);
  }

  stop(): void {
    this.#stopped = true;
  }

  /** A ready VM, or any where none is. */
  pick(random: Random): DeployedVm {
    const ready = this.#vms.filter((vm) => this.#ready.has(vm.id));
    return random.drawItem(ready.length > 0 ? ready : this.#vms);
  }

  async #watch(vm: DeployedVm): Promise<void> {
    while (!this.#stopped) {
      const ready = await isReady(vm);
      if (ready) this.#ready.add(vm.id);
      else this.#ready.delete(vm.id);
      await sleep(POLL_MS);
    }
  }
}

async function isReady(vm: DeployedVm): Promise<boolean> {
  try {
    const answer = await fetch(`http://${vm.operators}/readyz`, {
      signal: AbortSignal.timeout(500),
    });
    await answer.arrayBuffer();
    return answer.ok;
  } catch {
    return false;
  }
}
