/**
 * The shares of VMs in the calls of the fleet, as each VM knows them.
 *
 * @module
 */
import { FleetDemand } from "heatherarch-forward";

/** Interval at which a VM learns of the calls of the others, milliseconds. */
const REFRESH_MS = 100;

/** Calls of each VM and of the fleet. */
export class VmDemand {
  readonly #vms: readonly { demand: FleetDemand; refreshedAtMs: number }[];
  readonly #fleet = new FleetDemand();

  constructor(vms: number) {
    this.#vms = Array.from({ length: vms }, () => {
      const demand = new FleetDemand();
      demand.setVmCount(vms);
      return { demand, refreshedAtMs: -Infinity };
    });
  }

  /** Records a call that a VM received. */
  recordCall(vm: number, nowMs: number): void {
    this.#vms[vm].demand.recordCall(nowMs);
    this.#fleet.recordCall(nowMs);
  }

  /** Share of a VM, as it knows it. */
  computeShare(vm: number, nowMs: number): number {
    const entry = this.#vms[vm];
    if (nowMs - entry.refreshedAtMs >= REFRESH_MS) {
      entry.refreshedAtMs = nowMs;
      const callsPerMinute = this.#fleet.getOwnCallsPerMinute(nowMs) -
        entry.demand.getOwnCallsPerMinute(nowMs);
      entry.demand.setPeerRate("others", {
        callsPerMinute: Math.max(0, callsPerMinute),
        vms: this.#vms.length - 1,
      }, nowMs);
    }
    return entry.demand.computeShare(nowMs);
  }

  /** Calls of the fleet per millisecond. */
  computeFleetRate(nowMs: number): number {
    return this.#fleet.getOwnCallsPerMinute(nowMs) / 60_000;
  }
}
