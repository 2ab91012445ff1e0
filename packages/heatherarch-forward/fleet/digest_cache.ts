/**
 * What a hub tells many peers in one round, summed once: made anew for each VM that is told, the
 * work would grow with the square of a zone's VMs.
 *
 * @module
 */
import type { WorkDigest } from "heatherarch-mesh";
import type { WorkRow, WorkTracker } from "../state/work_tracker.ts";

/** Options of {@linkcode DigestCache}. */
export interface DigestCacheOptions {
  readonly workTracker: WorkTracker;
  /** Live VMs of the hub's zone, itself included. */
  readonly countZoneVms: () => number;
  /** Live VMs of the fleet. */
  readonly countFleetVms: () => number;
}

type DigestBody = Pick<WorkDigest, "vms" | "work">;

/** The sums of the round in progress. */
export class DigestCache {
  readonly #options: DigestCacheOptions;
  #fleet: DigestBody | undefined;
  #zone: DigestBody | undefined;

  constructor(options: DigestCacheOptions) {
    this.#options = options;
  }

  /** A round begins, or something was heard: what was summed is old. */
  invalidate(): void {
    this.#fleet = undefined;
    this.#zone = undefined;
  }

  /** The work of the hub's zone. */
  getZoneDigest(nowMs: number): DigestBody {
    const { workTracker, countZoneVms } = this.#options;
    this.#zone ??= {
      vms: countZoneVms(),
      work: copyRows(workTracker.sumRows(nowMs, false)),
    };
    return this.#zone;
  }

  /** The work of the fleet. */
  getFleetDigest(nowMs: number): DigestBody {
    const { workTracker, countFleetVms } = this.#options;
    this.#fleet ??= {
      vms: countFleetVms(),
      work: copyRows(workTracker.sumRows(nowMs, true)),
    };
    return this.#fleet;
  }
}

/** Rows as a message carries them. */
export function copyRows(rows: readonly WorkRow[]): WorkDigest["work"] {
  return rows.map((row): WorkDigest["work"][number] => [...row]);
}
