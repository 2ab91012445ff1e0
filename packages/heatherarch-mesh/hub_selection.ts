/**
 * Which VMs of an availability zone are its hubs: they gather what the zone's VMs tell, and tell
 * these what the fleet does. Pure; all VMs that see the same members choose the same hubs.
 *
 * Pattern of load: with a link between any two of 80 VMs each one spent an eighth of a core on
 * heartbeats. With two hubs a zone a VM keeps two links, and a hub one for each VM of its zone
 * and two to each other zone.
 *
 * @module
 */
import { computeRendezvousWeight } from "heatherarch-core";

/** A VM that may be a hub. */
export interface HubCandidate {
  readonly id: string;
  /** What the VM can carry, in any unit that all VMs share; more is better. */
  readonly capacity: number;
  readonly isLive: boolean;
}

/** Candidates beyond the wanted number that are tried while too few of the first are live. */
const EXTRA_CANDIDATES = 4;

/** Orders candidates: the strongest first, equal ones by rendezvous hashing for the zone. */
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
 * Ids to keep links to, best first: all down to the last wanted live one, so that a stronger
 * candidate that comes back is noticed.
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

/** Whether `id` is one of the first `count` live candidates. */
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
