/**
 * Encoding of the target list that hubs forward to the VMs of their zone, so that the number of
 * store reads does not grow with the number of VMs.
 *
 * @module
 */
import type { TargetFeed, TargetRow } from "heatherarch-mesh";
import type { Target } from "../model.ts";
import type { KeyedEntry } from "../ports.ts";
import type { DirectoryChanges } from "../state/target_directory.ts";

/** Encoded age of a feed whose source can't read the store. */
const STALE_AGE = -1;

/** Encodes a feed. An infinite age marks a source that can't read the store; it has no rows. */
export function encodeFeed(
  ageMs: number,
  changes: DirectoryChanges | undefined,
): TargetFeed {
  return {
    ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : STALE_AGE,
    isFull: changes?.isFull ?? false,
    rows: (changes?.entries ?? []).map(encodeEntry),
  };
}

/** Returns the age of a feed, milliseconds; Infinity if its source can't read the store. */
export function readFeedAge(feed: TargetFeed): number {
  return feed.ageMs === STALE_AGE ? Infinity : feed.ageMs;
}

/** Decodes the rows of a feed. */
export function decodeFeed(feed: TargetFeed): KeyedEntry<Target>[] {
  return feed.rows.map(decodeRow);
}

function encodeEntry({ key, value }: KeyedEntry<Target>): TargetRow {
  return value === undefined ? { id: key } : { ...value };
}

function decodeRow(row: TargetRow): KeyedEntry<Target> {
  const { id, service, address, availabilityZone, slots, leaving, role } = row;
  const { instance, startedAtMs, isSpot, softwareVersion } = row;
  if (address === undefined) return { key: id };
  const value: Target = {
    id,
    service: service ?? "",
    address,
    availabilityZone: availabilityZone ?? "",
    slots: slots ?? 1,
    leaving: leaving ?? false,
    ...(role === undefined ? {} : { role }),
    ...(isSpot === undefined ? {} : { isSpot }),
    ...(softwareVersion === undefined ? {} : { softwareVersion }),
    ...(instance === undefined ? {} : { instance }),
    ...(startedAtMs === undefined ? {} : { startedAtMs }),
  };
  return { key: id, value };
}
