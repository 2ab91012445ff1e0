/**
 * Selection of the hubs of an availability zone. A hub collects the work of the VMs in its zone and
 * sends them the work of the whole fleet. The selection is pure: all VMs that know the same members
 * select the same hubs.
 *
 * In a full mesh of 80 VMs, each VM spent an eighth of a core on heartbeats. With two hubs per
 * zone, a VM keeps two links, and a hub keeps one to each VM of its zone and two to each other
 * zone.
 *
 * @module
 */
import { computeRendezvousWeight } from "heatherarch-core";

/** A VM that may be a hub. */
export interface HubCandidate {
  readonly id: string;
  /** Capacity of the VM in a unit that all VMs share. A higher value is preferred. */
  readonly capacity: number;
  readonly isLive: boolean;
}

/** Maximum number of candidates beyond the wanted number that are tried while too few are live. */
const EXTRA_CANDIDATES = 4;

/** Ranks candidates by capacity, and those of equal capacity by rendezvous hashing for the zone. */
export function rankHubs(
  zone: string,
  candidates: readonly HubCandidate[],
): HubCandidate[] {
  const weights = new Map(
    candidates.map(({ id }) => [id, computeRendezvousWeight(zone, id)]),
  );
  return [...candidates].sort((a, b) =>
    b.capacity - a.capacity ||
    (weights.get(b.id) ?? 0) - (weights.get(a.id) ?? 0) ||
    (a.id < b.id ? -1 : 1)
  );
}

/**
 * Returns the ids to keep links to in rank order, down to the last live candidate that is wanted.
 * Candidates that are not live are included, so that the return of a higher-ranked one is noticed.
 */
export function pickHubs(
  zone: string,
  candidates: readonly HubCandidate[],
  count: number,
): string[] {
  const picked: string[] = [];
  let liveCount = 0;
  for (const candidate of rankHubs(zone, candidates)) {
    if (liveCount >= count || picked.length >= count + EXTRA_CANDIDATES) break;
    picked.push(candidate.id);
    if (candidate.isLive) liveCount++;
  }
  return picked;
}

/** Whether `id` is among the `count` highest-ranked live candidates. */
export function isSelectedHub(
  zone: string,
  candidates: readonly HubCandidate[],
  count: number,
  id: string,
): boolean {
  return rankHubs(zone, candidates)
    .filter((candidate) => candidate.isLive)
    .slice(0, count)
    .some((candidate) => candidate.id === id);
}
