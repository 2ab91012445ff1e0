/**
 * Sizes of simulated fleets, and the age of what their VMs know of each other.
 *
 * @module
 */

/** Size of a fleet, and the age of what its VMs know of each other. */
export interface FleetSize {
  readonly vms: number;
  /** Youngest and oldest that a VM's information about the others is, in milliseconds. */
  readonly minAgeMs: number;
  readonly maxAgeMs: number;
  readonly plainTargets: number;
  /** Plain targets at which a call is late if the target is slow. */
  readonly unevenTargets: number;
  readonly prefillEngines: number;
  /** Calls that the plain targets serve per second in the simulations of queues. */
  readonly callsPerSecond: number;
}

/** From this number of VMs on, hubs pass the information on. */
const MIN_VMS_WITH_HUBS = 20;
/**
 * Difference between the times at which successive VMs get their digests, milliseconds. It has no
 * common factor with the interval between digests, so that these times are spread evenly.
 */
const PHASE_MS = 37;

/**
 * A small fleet with full mesh; the first deployment of the design page; and the largest fleet of
 * the design, whose plain targets serve 2.8 calls a second for each VM.
 */
export const FLEET_SIZES: readonly FleetSize[] = [
  {
    vms: 9,
    minAgeMs: 30,
    maxAgeMs: 60,
    plainTargets: 4,
    unevenTargets: 6,
    prefillEngines: 10,
    callsPerSecond: 200,
  },
  {
    vms: 88,
    minAgeMs: 100,
    maxAgeMs: 250,
    plainTargets: 4,
    unevenTargets: 6,
    prefillEngines: 98,
    callsPerSecond: 400,
  },
  {
    vms: 870,
    minAgeMs: 100,
    maxAgeMs: 250,
    plainTargets: 24,
    unevenTargets: 36,
    prefillEngines: 310,
    callsPerSecond: 2400,
  },
];

/** Whether hubs pass the information on. */
export function hasHubs({ vms }: { readonly vms: number }): boolean {
  return vms >= MIN_VMS_WITH_HUBS;
}

/**
 * Age of what a VM knows at a time. It grows from one digest to the next; VMs get their digests at
 * different times.
 */
export function computeAgeMs(
  { minAgeMs, maxAgeMs }: Pick<FleetSize, "minAgeMs" | "maxAgeMs">,
  vm: number,
  nowMs: number,
): number {
  const intervalMs = maxAgeMs - minAgeMs;
  if (intervalMs === 0) return minAgeMs;
  return minAgeMs + (nowMs + vm * PHASE_MS) % intervalMs;
}
