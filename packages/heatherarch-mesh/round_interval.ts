/**
 * Minimum interval between the rounds in which a VM reports changes to its peers.
 *
 * In a burst, several VMs send prompts to the same engine before they learn of each other's. The
 * prompts queue there, and a short prompt that should be prefilled at once waits for five others.
 * A short interval prevents that.
 *
 * @module
 */

/** Minimum interval between two rounds that a change triggers, milliseconds. */
const MIN_INTERVAL_MS = 5;
/** Interval per link, milliseconds. The cost of a round grows with the number of links. */
const INTERVAL_PER_LINK_MS = 1;
/** Minimum interval for messages to hubs, milliseconds. A hub receives from its whole zone. */
const MIN_INTERVAL_TO_HUBS_MS = 20;

/** Computes the minimum interval between two rounds, milliseconds. */
export function computeMinRoundIntervalMs(
  hasHubs: boolean,
  links: number,
): number {
  const minMs = hasHubs ? MIN_INTERVAL_TO_HUBS_MS : MIN_INTERVAL_MS;
  return Math.max(minMs, INTERVAL_PER_LINK_MS * links);
}
