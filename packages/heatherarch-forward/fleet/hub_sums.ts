/**
 * What a hub tells many peers in one round, summed once: made anew for each VM that is told, the
 * work would grow with the square of a zone's VMs.
 *
 * @module
 */
import type { WorkDigest } from "heatherarch-mesh";
import type { WorkRow, WorkTracker } from "../state/work_tracker.ts";

/** Options of {@linkcode HubSums}. */
export interface HubSumsOptions {
  readonly ledger: WorkTracker;
  /** Live VMs of the hub's zone, itself included. */
  readonly countZoneVms: () => number;
  /** Live VMs of the fleet. */
  readonly countFleetVms: () => number;
}

type Sum = Pick<WorkDigest, "vms" | "work">;

/** The sums of the round in progress. */
export class HubSums {
  readonly #options: HubSumsOptions;
  #fleet: Sum | undefined;
  #zone: Sum | undefined;

  constructor(options: HubSumsOptions) {
    this.#options = options;
  }

  /** A round begins, or something was heard: what was summed is old. */
  forget(): void {
    this.#fleet = undefined;
    this.#zone = undefined;
  }

  /** The work of the hub's zone. */
  sumZone(nowMs: number): Sum {
    const { ledger, countZoneVms } = this.#options;
    this.#zone ??= {
      vms: countZoneVms(),
      work: copyRows(ledger.sumRows(nowMs, false)),
    };
    return this.#zone;
  }

  /** The work of the fleet. */
  sumFleet(nowMs: number): Sum {
    const { ledger, countFleetVms } = this.#options;
    this.#fleet ??= {
      vms: countFleetVms(),
      work: copyRows(ledger.sumRows(nowMs, true)),
    };
    return this.#fleet;
  }
}

/** Rows as a message carries them. */
export function copyRows(rows: readonly WorkRow[]): WorkDigest["work"] {
  return rows.map((row): WorkDigest["work"][number] => [...row]);
}
