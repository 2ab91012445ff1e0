/**
 * Demand in this VM's availability zone and summaries of the other zones, from heartbeats.
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
  /** Demand of the requests that this VM received. */
  readonly demand: DemandMeter;
}

/** Summary of an availability zone, as last sent by one of its VMs. */
export interface ZoneSummary {
  /** Lowest configuration offset of its live VMs. */
  readonly configOffset: number;
  readonly vms: number;
  /** Monotonic time of the last summary. */
  readonly heardAtMs: number;
}

/** A peer's demand is dropped this long after the heartbeat that carried it. */
const DEMAND_MAX_AGE_MS = 15_000;
/**
 * A zone is dropped this long after its last summary. A zone that was withdrawn would otherwise count
 * among the VMs that share limits, and changes would wait for it.
 */
const ZONE_MAX_AGE_MS = 60_000;

/** Aggregates the demand and zone summaries of heartbeats. */
export class ZoneView {
  readonly #options: ZoneViewOptions;
  readonly #peerDemand = new Map<string, { demand: Demand; atMs: number }>();
  readonly #zones = new Map<string, ZoneSummary>();

  constructor(options: ZoneViewOptions) {
    this.#options = options;
  }

  /** Records the demand and the zone summary of a heartbeat. */
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

  /** Returns the demand on the zone: the sum over this VM and its live peers. */
  readDemand(): Demand {
    const { clock, demand, membership } = this.#options;
    const nowMs = clock.readMonotonicMs();
    const peerDemands: Demand[] = [];
    for (const [id, entry] of this.#peerDemand) {
      const isLive = membership.getMember(id)?.status === "live";
      if (!isLive || nowMs - entry.atMs > DEMAND_MAX_AGE_MS) {
        this.#peerDemand.delete(id);
      } else peerDemands.push(entry.demand);
    }
    return sumDemand([demand.read(nowMs), ...peerDemands]);
  }

  /** Counts the live VMs of all zones, this one included. */
  countVms(): number {
    const { membership, availabilityZone } = this.#options;
    this.#dropSilentZones();
    let count = membership.listLive(availabilityZone).length;
    for (const [zone, summary] of this.#zones) {
      if (zone !== availabilityZone) count += summary.vms;
    }
    return count;
  }

  /** Returns the zone summaries by zone. */
  listZones(): Readonly<Record<string, ZoneSummary>> {
    this.#dropSilentZones();
    return Object.fromEntries(this.#zones);
  }

  #dropSilentZones(): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    for (const [zone, { heardAtMs }] of this.#zones) {
      if (nowMs - heardAtMs > ZONE_MAX_AGE_MS) this.#zones.delete(zone);
    }
  }
}
