/**
 * Plans how many targets of each kind are ordered in each availability zone. Spot targets cost a
 * fraction of standard ones, and the platform may reclaim all of a zone's at once.
 *
 * @module
 */

/** Kind of a target. The platform may reclaim spot targets at any time. */
export type CapacityKind = "standard" | "spot";

/** Numbers of targets in one availability zone. */
export interface ZoneCounts {
  readonly availabilityZone: string;
  readonly standard: number;
  readonly spot: number;
}

/** What is known when capacity is planned. */
export interface CapacityDemand {
  /** Targets in use, by zone; targets that are leaving are not counted. */
  readonly zones: readonly ZoneCounts[];
  /** Targets of both kinds that a zone must have at least, and may have at most. */
  readonly min: number;
  readonly max: number;
  /** Targets of both kinds that carry the load, by zone. */
  readonly neededByZone: Readonly<Record<string, number>>;
  /** Price of a standard target by zone, in any unit. */
  readonly pricesByZone: Readonly<Record<string, number>>;
  /** Price of a spot target as a fraction of a standard one's; undefined if there are none. */
  readonly spotPriceFactor: number | undefined;
}

/** Names of the strategies that operators can choose. */
export const CAPACITY_STRATEGIES = ["steady", "spotSurplus"] as const;
/** Name of a strategy. */
export type CapacityStrategyName = typeof CAPACITY_STRATEGIES[number];

/** A way to plan capacity. */
export interface CapacityStrategy {
  /** Returns the wanted counts of each zone of the demand. */
  plan(demand: CapacityDemand): ZoneCounts[];
}

/**
 * Keeps the standard targets that the fleet began with: what crashed for good or was taken away is
 * ordered again, and nothing is given up. Caches stay, so no prompt is read again for a cheaper fleet.
 */
export class SteadyCapacity implements CapacityStrategy {
  plan({ zones, neededByZone, max }: CapacityDemand): ZoneCounts[] {
    return zones.map((zone) => {
      const needed = neededByZone[zone.availabilityZone] ?? 0;
      const missing = Math.max(0, needed - zone.standard - zone.spot);
      const room = Math.max(0, max - zone.standard - zone.spot);
      return {
        ...zone,
        standard: zone.standard + Math.min(missing, room),
      };
    });
  }
}

/** Options of {@linkcode SpotSurplus}. */
export interface SpotSurplusOptions {
  /** Standard targets that each zone keeps. */
  readonly standardPerZone?: number;
  /** Share of the needed targets that must remain when a zone's spot targets are reclaimed. */
  readonly remainingShare?: number;
  /** Share of the needed targets below which standard targets are ordered in place of spot ones. */
  readonly replacementShare?: number;
}

const DEFAULT_STANDARD_PER_ZONE = 1;
const DEFAULT_REMAINING_SHARE = 0.8;
const DEFAULT_REPLACEMENT_SHARE = 1;

/**
 * Orders spot targets in excess, so that the others carry the load when one zone's are reclaimed. A
 * standard target that stands by for that costs more than several spot targets. Standard targets
 * replace spot ones as soon as too few of these are left, and as long as no others are to be had.
 */
export class SpotSurplus implements CapacityStrategy {
  readonly #standardPerZone: number;
  readonly #remainingShare: number;
  readonly #replacementShare: number;

  constructor(options: SpotSurplusOptions = {}) {
    this.#standardPerZone = options.standardPerZone ??
      DEFAULT_STANDARD_PER_ZONE;
    this.#remainingShare = options.remainingShare ?? DEFAULT_REMAINING_SHARE;
    this.#replacementShare = options.replacementShare ??
      DEFAULT_REPLACEMENT_SHARE;
  }

  plan(demand: CapacityDemand): ZoneCounts[] {
    if (demand.spotPriceFactor === undefined || demand.spotPriceFactor >= 1) {
      return [...demand.zones];
    }
    const { zones, min, max } = demand;
    const needed = sumNeeded(demand);
    const standard = Math.min(max, this.#standardPerZone);
    const perZone = this.#computeSpotPerZone(zones.length, needed);
    const spot = Math.min(max - standard, Math.max(min - standard, perZone));
    const replacements = this.#placeReplacements(demand);
    return zones.map(({ availabilityZone }) => ({
      availabilityZone,
      standard: Math.min(
        max,
        standard + (replacements.get(availabilityZone) ?? 0),
      ),
      spot,
    }));
  }

  /** Spot targets of one zone such that those of the other zones and the standard ones suffice. */
  #computeSpotPerZone(zoneCount: number, needed: number): number {
    const remaining = needed * this.#remainingShare -
      zoneCount * this.#standardPerZone;
    const perZone = remaining / Math.max(1, zoneCount - 1);
    return Math.max(0, Math.ceil(perZone));
  }

  /**
   * Spreads the standard targets that replace missing spot targets. Those that exist are kept first;
   * others are placed in the cheapest zones.
   */
  #placeReplacements(demand: CapacityDemand): Map<string, number> {
    const { zones, pricesByZone, max } = demand;
    const needed = sumNeeded(demand);
    const base = this.#standardPerZone;
    const spot = zones.reduce((sum, zone) => sum + zone.spot, 0);
    let missing = Math.ceil(needed * this.#replacementShare) - spot -
      zones.length * base;
    const placed = new Map<string, number>();
    const getPrice = (zone: ZoneCounts): number =>
      pricesByZone[zone.availabilityZone] ?? 1;
    const cheapestFirst = [...zones]
      .sort((a, b) => getPrice(a) - getPrice(b));
    const limits = [
      (zone: ZoneCounts): number => Math.min(zone.standard, max) - base,
      (zone: ZoneCounts): number => max - base - zone.spot,
    ];
    for (const getLimit of limits) {
      for (const zone of cheapestFirst) {
        const before = placed.get(zone.availabilityZone) ?? 0;
        const free = Math.max(0, getLimit(zone) - before);
        const added = Math.min(free, Math.max(0, missing));
        placed.set(zone.availabilityZone, before + added);
        missing -= added;
      }
    }
    return placed;
  }
}

function sumNeeded({ neededByZone }: CapacityDemand): number {
  return Object.values(neededByZone).reduce((sum, count) => sum + count, 0);
}

/** Creates the strategy of this name. */
export function createCapacityStrategy(
  name: CapacityStrategyName,
): CapacityStrategy {
  return name === "steady" ? new SteadyCapacity() : new SpotSurplus();
}
