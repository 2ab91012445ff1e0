/**
 * Rows in which VMs tell each other the use of client accounts. The heaviest accounts have a row
 * each; one row per service holds the sum and the number of the others.
 *
 * @module
 */

/** Service, client account, milliseconds of one slot, and the number of accounts in the row. */
export type UseRow = readonly [
  group: string,
  account: string,
  workMs: number,
  accounts: number,
];

/** Name in the row of the accounts that are not named. No client account has an empty name. */
export const OTHER_ACCOUNTS = "";
/** Accounts that are named per service, which bounds the size of a message. */
export const MAX_NAMED_ACCOUNTS = 48;
/**
 * An account below this part of its share is not named. Its rank is 0 unless it exceeds its share at
 * one VM, and naming it would multiply the size of the messages.
 */
const MIN_NAMED_SHARE = 0.5;

/** Use of the accounts of one service. */
export interface UseSum {
  /** Use by account, milliseconds. */
  readonly named: Iterable<readonly [account: string, workMs: number]>;
  /** Use of the accounts that are not named, milliseconds. */
  readonly othersMs: number;
  /** Number of the accounts that are not named. */
  readonly others: number;
}

/** Options of {@linkcode listUseRows}. */
export interface UseRowOptions {
  readonly getWeight: (account: string) => number;
  /** Sum of the weights of all accounts in use, over the fleet as far as known. */
  readonly weightSum: number;
  /** Limits the number of accounts that are not named. */
  readonly limitOthers: (others: number, named: number) => number;
}

/** Lists the rows of one service. */
export function listUseRows(
  group: string,
  { named, othersMs, others }: UseSum,
  { getWeight, weightSum, limitOthers }: UseRowOptions,
): UseRow[] {
  const accounts = [...named];
  let totalMs = othersMs;
  for (const [, workMs] of accounts) totalMs += workMs;
  const minMs = totalMs * MIN_NAMED_SHARE / weightSum;
  const heaviest = pickHeaviest(
    accounts,
    (account) => minMs * getWeight(account),
  );
  let restMs = totalMs;
  for (const [, workMs] of heaviest) restMs -= workMs;
  const rest = limitOthers(
    others + accounts.length - heaviest.length,
    heaviest.length,
  );
  const rows = heaviest.map(([account, workMs]): UseRow => [
    group,
    account,
    Math.round(workMs),
    1,
  ]);
  const roundedRestMs = Math.max(0, Math.round(restMs));
  if (rest > 0) rows.push([group, OTHER_ACCOUNTS, roundedRestMs, rest]);
  return rows;
}

/** Picks the accounts that are named, without sorting thousands that are not. */
function pickHeaviest(
  accounts: readonly (readonly [string, number])[],
  getMinMs: (account: string) => number,
): (readonly [string, number])[] {
  const heaviest: (readonly [string, number])[] = [];
  for (const entry of accounts) {
    const [account, workMs] = entry;
    const isFull = heaviest.length === MAX_NAMED_ACCOUNTS;
    if (isFull && workMs <= heaviest[heaviest.length - 1][1]) continue;
    if (workMs < getMinMs(account)) continue;
    if (isFull) heaviest.pop();
    let i = heaviest.length;
    while (i > 0 && heaviest[i - 1][1] < workMs) i--;
    heaviest.splice(i, 0, entry);
  }
  return heaviest;
}

/**
 * Subtracts a VM's own rows from a sum that includes them, which leaves the use of the other VMs. What
 * the sum doesn't name is part of its row of the others.
 */
export function subtractUseRows(
  sum: readonly UseRow[],
  own: readonly UseRow[],
): UseRow[] {
  const left = new Map<string, UseRow>();
  for (const row of sum) left.set(buildKey(row[0], row[1]), row);
  for (const [group, account, workMs, accounts] of own) {
    const named = buildKey(group, account);
    const key = left.has(named) ? named : buildKey(group, OTHER_ACCOUNTS);
    const row = left.get(key);
    if (row === undefined) continue;
    left.set(key, [
      group,
      row[1],
      Math.max(0, row[2] - workMs),
      Math.max(0, row[3] - accounts),
    ]);
  }
  return [...left.values()].filter(([, , workMs, accounts]) =>
    workMs > 0 || accounts > 0
  );
}

function buildKey(group: string, account: string): string {
  return `${group}\n${account}`;
}
