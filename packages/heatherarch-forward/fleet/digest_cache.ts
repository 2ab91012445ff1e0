/**
 * Digests that a hub sends to many peers in one heartbeat round, computed once per round. Computing
 * them for each receiver would cost time quadratic in the number of VMs of a zone.
 *
 * @module
 */
import type { WorkDigest } from "heatherarch-mesh";
import type { FleetDemand } from "../state/fleet_demand.ts";
import type { SumExchange } from "./sum_exchange.ts";
import type { WorkRow, WorkTracker } from "../state/work_tracker.ts";

/** Options of {@linkcode DigestCache}. */
export interface DigestCacheOptions {
  readonly workTracker: WorkTracker;
  readonly fleetDemand: FleetDemand;
  /** Whether peers need to know how many calls each VM receives. */
  readonly needsCallRates: () => boolean;
  readonly sums: Pick<SumExchange, "buildDigestFields">;
  /** Counts the live VMs of the hub's zone, itself included. */
  readonly countZoneVms: () => number;
  /** Counts the live VMs of the fleet. */
  readonly countFleetVms: () => number;
}

type DigestBody = Omit<WorkDigest, "scope" | "counted">;

/** The digests of the current round. */
export class DigestCache {
  readonly #options: DigestCacheOptions;
  #fleetDigest: DigestBody | undefined;
  #zoneDigest: DigestBody | undefined;

  constructor(options: DigestCacheOptions) {
    this.#options = options;
  }

  /** Drops the digests at the start of a round and when a heartbeat arrives. */
  invalidate(): void {
    this.#fleetDigest = undefined;
    this.#zoneDigest = undefined;
  }

  /** Returns the work in progress of the hub's zone. */
  getZoneDigest(nowMs: number): DigestBody {
    const { workTracker, countZoneVms, sums } = this.#options;
    this.#zoneDigest ??= {
      vms: countZoneVms(),
      work: copyRows(workTracker.sumRows(nowMs, false)),
      ...this.#buildCallRate(nowMs, false),
      ...sums.buildDigestFields(nowMs, false),
    };
    return this.#zoneDigest;
  }

  /** Returns the work in progress of the fleet. */
  getFleetDigest(nowMs: number): DigestBody {
    const { workTracker, countFleetVms, sums } = this.#options;
    this.#fleetDigest ??= {
      vms: countFleetVms(),
      work: copyRows(workTracker.sumRows(nowMs, true)),
      ...this.#buildCallRate(nowMs, true),
      ...sums.buildDigestFields(nowMs, true),
    };
    return this.#fleetDigest;
  }

  #buildCallRate(
    nowMs: number,
    includeGathered: boolean,
  ): Pick<DigestBody, "callsPerMinute"> {
    const { fleetDemand, needsCallRates } = this.#options;
    if (!needsCallRates()) return {};
    const { callsPerMinute } = fleetDemand.sumRates(nowMs, includeGathered);
    return { callsPerMinute };
  }
}

/** Copies rows into the mutable form that a message has. */
export function copyRows(rows: readonly WorkRow[]): WorkDigest["work"] {
  return rows.map((row): WorkDigest["work"][number] => [...row]);
}
