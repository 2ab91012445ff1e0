/**
 * A sum over the VMs of a fleet that heartbeats carry as rows, and what implements such sums.
 *
 * @module
 */
import type { DueRow, ReturnBook } from "heatherarch-returns";
import {
  type FairShares,
  subtractUseRows,
  type UseRow,
} from "heatherarch-shares";
import {
  type FailureRow,
  subtractFailureRows,
  type TargetFailures,
} from "../state/target_failures.ts";
import type { WorkScope } from "../state/work_tracker.ts";

/** A sum over the VMs of a fleet. Each VM has a part of it. */
export interface FleetSum<Row> {
  /** Shortest time between two messages with rows on a link, milliseconds. */
  readonly intervalMs: number;
  /** Lists this VM's own part. */
  listOwn(nowMs: number): readonly Row[];
  /** Replaces what a peer reports, of itself or of several VMs. */
  setPeer(
    peer: string,
    rows: readonly Row[],
    nowMs: number,
    scope?: WorkScope,
  ): void;
  /** Sums the parts of this VM and its peers, with or without those that peers gathered. */
  sum(nowMs: number, includeGathered: boolean): readonly Row[];
  /** Subtracts an own part from a sum that includes it. */
  subtract(sum: readonly Row[], own: readonly Row[]): readonly Row[];
  /** Removes what a peer has reported. */
  forgetPeer(peer: string): void;
  /** Removes what all peers have reported, because their reports change their form. */
  forgetAllPeers(): void;
}

/** Rows of each sum, by the name of its field in heartbeats and digests. */
export interface SumRows {
  accountUse: UseRow;
  dueReturns: DueRow;
  targetFailures: FailureRow;
}

/** Name of a field with rows of a sum. */
export type SumField = keyof SumRows;

/** The sums of a fleet. */
export type FleetSums = {
  readonly [Field in SumField]: FleetSum<SumRows[Field]>;
};

/**
 * Use changes slowly beside its time constant of 3 s. With 49 rows of 20 bytes, a shorter interval
 * would cost more than all other messages of a small VM.
 */
const USE_INTERVAL_MS = 500;
/** Returns are listed 500 ms before they are due, so that they pass two hubs in time. */
const DUE_INTERVAL_MS = 250;
/**
 * Each heartbeat may carry failures: until the other VMs know of them, they send calls to targets that
 * fail them. There are rows only while targets fail.
 */
const FAILURE_INTERVAL_MS = 0;

/** What the VMs of a fleet sum up. */
export interface SummedState {
  readonly shares: FairShares;
  readonly returns: ReturnBook;
  readonly targetFailures: TargetFailures;
  /** Whether this VM reaches its targets. If not, their failures may not be theirs. */
  readonly hasAllPaths?: () => boolean;
}

/** Builds the sums of the use of client accounts, the due returns, and the failures of targets. */
export function buildFleetSums(
  { shares, returns, targetFailures, hasAllPaths = () => true }: SummedState,
): FleetSums {
  return {
    targetFailures: {
      intervalMs: FAILURE_INTERVAL_MS,
      listOwn: (nowMs) =>
        hasAllPaths() ? targetFailures.listOwnRows(nowMs) : [],
      setPeer: (...report) => targetFailures.setPeerRows(...report),
      sum: (...query) => targetFailures.sumRows(...query),
      subtract: subtractFailureRows,
      forgetPeer: (peer) => targetFailures.forgetPeer(peer),
      forgetAllPeers: () => targetFailures.forgetAllPeers(),
    },
    accountUse: {
      intervalMs: USE_INTERVAL_MS,
      listOwn: (nowMs) => shares.listOwnUse(nowMs),
      setPeer: (...report) => shares.setPeerUse(...report),
      sum: (...query) => shares.sumUse(...query),
      subtract: subtractUseRows,
      forgetPeer: (peer) => shares.forgetPeer(peer),
      forgetAllPeers: () => shares.forgetAllPeers(),
    },
    dueReturns: {
      intervalMs: DUE_INTERVAL_MS,
      listOwn: (nowMs) => returns.listDue(nowMs),
      setPeer: (...report) => returns.setPeerDue(...report),
      sum: (...query) => returns.sumDue(...query),
      subtract: subtractDueRows,
      forgetPeer: (peer) => returns.forgetPeer(peer),
      forgetAllPeers: () => returns.forgetAllPeers(),
    },
  };
}

function subtractDueRows(
  sum: readonly DueRow[],
  own: readonly DueRow[],
): DueRow[] {
  const ownByGroup = new Map(own);
  return sum
    .map(([group, returns]): DueRow => [
      group,
      returns - (ownByGroup.get(group) ?? 0),
    ])
    .filter(([, returns]) => returns > 0);
}
