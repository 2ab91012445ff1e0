/**
 * How soon VMs tell each other that something has changed.
 *
 * Pattern of load: a burst. What several VMs give to the same engine before they hear of each other
 * waits there in a row, and a short prompt that was to be read at once is read after five others.
 *
 * @module
 */

/** Least time between two rounds of messages that news bring about, milliseconds. */
const MIN_INTERVAL_MS = 5;
/** What each link adds to it: a round costs as much more. */
const INTERVAL_PER_LINK_MS = 1;
/** The same where VMs tell hubs: each hub hears a whole availability zone. */
const MIN_INTERVAL_TO_HUBS_MS = 20;

/** Time that lies between two rounds at least, milliseconds. */
export function computeMinRoundIntervalMs(
  hasHubs: boolean,
  links: number,
): number {
  const minMs = hasHubs ? MIN_INTERVAL_TO_HUBS_MS : MIN_INTERVAL_MS;
  return Math.max(minMs, INTERVAL_PER_LINK_MS * links);
}
