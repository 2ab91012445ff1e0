/**
 * Counts the rows that a simulated VM exchanges with others.
 *
 * @module
 */
import { type FleetSize, hasHubs } from "./fleet_size.ts";

/** Rows of a simulation. */
export interface RowCounts {
  /** Rows that a VM has told of its own. */
  readonly ownRows: number;
  /** Rows that a VM has received from a hub, in a fleet that has hubs. */
  readonly hubRows: number;
}

/** A VM tells its own rows to the hubs of its zone. */
const HUBS_PER_ZONE = 2;

/** Number of rows that an ordinary VM sends and receives. */
export function computeRowTraffic(
  size: FleetSize,
  { ownRows, hubRows }: RowCounts,
): number {
  if (hasHubs(size)) return HUBS_PER_ZONE * ownRows + hubRows;
  return 2 * (size.vms - 1) * ownRows;
}
