/**
 * Tells a VM that starts with its fleet from one that joins a running fleet.
 *
 * @module
 */
import type { VmRecord } from "../model.ts";

/**
 * Whether a VM other than `ownId` is listed that started before `beforeMs`, Unix milliseconds. VMs of
 * earlier software do not tell when they started.
 */
export function isFleetRunning(
  listed: readonly VmRecord[],
  ownId: string,
  beforeMs: number,
): boolean {
  return listed.some(({ id, startedAtMs = -Infinity }) =>
    id !== ownId && startedAtMs < beforeMs
  );
}
