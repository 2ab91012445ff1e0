/**
 * Log lines of a lease.
 *
 * @module
 */
import type { LeaseChange } from "heatherarch-duties";
import type { EventLog } from "../event_log.ts";

/** Logs what happened to a lease. */
export function logLeaseChange(
  events: EventLog,
  stream: string,
  change: LeaseChange,
): void {
  switch (change.kind) {
    case "sought":
      return events.write("info", "leaseSought", {
        stream,
        offset: change.offset,
      });
    case "taken":
      return events.write("info", "leaseTaken", {
        stream,
        fencing: change.fencing,
      });
    case "dropped":
      return events.write("warn", "leaseDropped", {
        stream,
        reason: "boot and monotonic clocks diverged",
        partedMs: Math.round(change.divergenceMs),
      });
    case "restored":
      return events.write("warn", "leaseDropped", {
        stream,
        reason: "the store came back from a copy",
        epoch: change.epoch,
      });
    case "released":
      return events.write("info", "leaseGivenUp", {
        stream,
        reason: change.reason,
        fencing: change.fencing,
      });
  }
}
