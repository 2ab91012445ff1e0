/**
 * What operators see of the shares of client accounts.
 *
 * @module
 */
import type { FairShares } from "heatherarch-shares";
import type { AccountShareStatus } from "./status_server.ts";

/** Accounts that are listed per service. */
const MAX_LISTED_ACCOUNTS = 10;
/** Shares are listed to a thousandth. */
const SHARE_DIGITS = 3;

/** Lists the accounts of each service that have used most recently, the heaviest first. */
export function listShareStatus(
  shares: Pick<FairShares, "listShares">,
  nowMs: number,
): AccountShareStatus[] {
  const counts = new Map<string, number>();
  return shares.listShares(nowMs)
    .filter(({ group }) => {
      const count = (counts.get(group) ?? 0) + 1;
      counts.set(group, count);
      return count <= MAX_LISTED_ACCOUNTS;
    })
    .map(({ group, account, weight, workMs, shareMs, totalMs, rank }) => ({
      service: group,
      account,
      weight,
      use: divide(workMs, totalMs),
      share: divide(shareMs, totalMs),
      rank,
    }));
}

function divide(partMs: number, totalMs: number): number {
  return totalMs > 0 ? Number((partMs / totalMs).toFixed(SHARE_DIGITS)) : 0;
}
