/**
 * What this VM has heard of the demand in its availability zone and of the other zones.
 *
 * @module
 */
import type { Clock } from "heatherarch-core";
import type { Heartbeat, LinkIdentity, Membership } from "heatherarch-mesh";
import { type Demand, type DemandMeter, sumDemand } from "heatherarch-policy";

/** Options of {@linkcode ZoneView}. */
export interface ZoneViewOptions {
  readonly availabilityZone: string;
  readonly clock: Clock;
  readonly membership: Membership;
  /** Demand that came in through this VM. */
  readonly demand: DemandMeter;
}

/** Another availability zone, as its VMs sum it up. */
export interface ZoneSummary {
  /** Lowest configuration offset among its live VMs. */
  readonly configOffset: number;
  readonly vms: number;
  /** Monotonic time of the last word. */
  readonly heardAtMs: number;
}

/** How long a peer's demand counts after its last heartbeat. */
const DEMAND_MAX_AGE_MS = 15_000;

/** Sums up heartbeats. */
export class ZoneView {
  readonly #options: ZoneViewOptions;
  readonly #peerDemand = new Map<string, { demand: Demand; atMs: number }>();
  readonly #zones = new Map<string, ZoneSummary>();

  constructor(options: ZoneViewOptions) {
    this.#options = options;
  }

  /** Takes in what a heartbeat says of demand and zone. */
  recordHeartbeat(heartbeat: Heartbeat, from: LinkIdentity): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    if (heartbeat.zone !== undefined) {
      const [configOffset, vms] = heartbeat.zone;
      this.#zones.set(from.availabilityZone, {
        configOffset,
        vms,
        heardAtMs: nowMs,
      });
    }
    if (from.availabilityZone !== this.#options.availabilityZone) return;
    if (heartbeat.demand === undefined) return;
    const [prefillTokensPerSecond, decodeTokensPerSecond] = heartbeat.demand;
    const demand = { prefillTokensPerSecond, decodeTokensPerSecond };
    this.#peerDemand.set(from.id, { demand, atMs: nowMs });
  }

  /** Demand on the zone: through this VM and through the live ones of its peers. */
  readDemand(): Demand {
    const { clock, demand, membership } = this.#options;
    const nowMs = clock.readMonotonicMs();
    const heard: Demand[] = [];
    for (const [id, entry] of this.#peerDemand) {
      const live = membership.getMember(id)?.status === "live";
      if (!live || nowMs - entry.atMs > DEMAND_MAX_AGE_MS) {
        this.#peerDemand.delete(id);
      } else heard.push(entry.demand);
    }
    return sumDemand([demand.read(nowMs), ...heard]);
  }

  /** Live VMs of all zones, this one included. */
  countVms(): number {
    const { membership, availabilityZone } = this.#options;
    let count = membership.listLive(availabilityZone).length;
    for (const [zone, summary] of this.#zones) {
      if (zone !== availabilityZone) count += summary.vms;
    }
    return count;
  }

  /** Zones by name. */
  listZones(): Readonly<Record<string, ZoneSummary>> {
    return Object.fromEntries(this.#zones);
  }
}
