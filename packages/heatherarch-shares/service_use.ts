/**
 * Use of one service by client account: this VM's own, and what its peers report. Sums are kept
 * up to date with each change, because a hub receives hundreds of reports a second.
 *
 * Own use is in units of a landmark, which `fair_shares.ts` converts to milliseconds by a factor. The
 * use that peers report is in milliseconds and stays as it is until their next report: under a steady
 * load, that is the best estimate.
 *
 * @module
 */
import { OTHER_ACCOUNTS } from "./use_rows.ts";

/** Use of one account. */
interface AccountUse {
  own: number;
  peersMs: number;
  /** Number of peers that name the account. */
  reports: number;
  weight: number;
}

/** Use of the accounts of one service. */
export class ServiceUse {
  readonly #getWeight: (account: string) => number;
  readonly #accounts = new Map<string, AccountUse>();
  #own = 0;
  #peersMs = 0;
  #weightSum = 0;
  #others = 0;

  constructor(getWeight: (account: string) => number) {
    this.#getWeight = getWeight;
  }

  /** Sums the use of all accounts, milliseconds. */
  getTotalMs(factor: number): number {
    return this.#own / factor + this.#peersMs;
  }

  /** Sum of the weights of the accounts that are named or in use here. */
  get weightSum(): number {
    return this.#weightSum;
  }

  /** Number of accounts that are named or in use here. */
  get size(): number {
    return this.#accounts.size;
  }

  /** Sum of the numbers of accounts that peers don't name. */
  get others(): number {
    return this.#others;
  }

  /** Whether nothing is known of the service any more. */
  get isEmpty(): boolean {
    return this.#accounts.size === 0 && this.#others === 0;
  }

  /** Adds work of this VM, in units of the landmark. */
  addOwn(account: string, work: number): void {
    this.#getOrCreate(account).own += work;
    this.#own += work;
  }

  /** Adds a row of a peer. */
  addRow(account: string, workMs: number, accounts: number): void {
    this.#peersMs += workMs;
    if (account === OTHER_ACCOUNTS) {
      this.#others += accounts;
      return;
    }
    const use = this.#getOrCreate(account);
    use.peersMs += workMs;
    use.reports++;
  }

  /** Removes a row that was added. */
  removeRow(account: string, workMs: number, accounts: number): void {
    this.#peersMs -= workMs;
    if (account === OTHER_ACCOUNTS) {
      this.#others -= accounts;
      return;
    }
    const use = this.#getOrCreate(account);
    use.peersMs -= workMs;
    use.reports--;
    this.#removeIfUnused(account, use);
  }

  /** Returns the use of an account over all VMs, milliseconds. */
  getUseMs(account: string, factor: number): number {
    const use = this.#accounts.get(account);
    return use === undefined ? 0 : use.own / factor + use.peersMs;
  }

  /** Returns the weight of an account as its sum includes it. */
  getWeight(account: string): number {
    return this.#accounts.get(account)?.weight ?? this.#getWeight(account);
  }

  /** Lists the accounts with their use over all VMs, milliseconds. */
  listAll(factor: number): [account: string, workMs: number][] {
    return Array.from(
      this.#accounts,
      ([account, { own, peersMs }]) => [account, own / factor + peersMs],
    );
  }

  /** Lists the accounts with their use at this VM, milliseconds. */
  listOwn(factor: number): [account: string, workMs: number][] {
    const uses: [string, number][] = [];
    for (const [account, { own }] of this.#accounts) {
      if (own > 0) uses.push([account, own / factor]);
    }
    return uses;
  }

  /** Removes own use below `minUse`, and sums the rest anew, without errors of rounding. */
  expireOwn(minUse: number): void {
    this.#own = 0;
    for (const [account, use] of this.#accounts) {
      if (use.own < minUse) use.own = 0;
      this.#own += use.own;
      this.#removeIfUnused(account, use);
    }
  }

  /** Converts own use to units that are `factor` times as large. */
  convertOwn(factor: number): void {
    for (const use of this.#accounts.values()) use.own /= factor;
    this.#own /= factor;
  }

  /** Reads the weights of all accounts again. */
  refreshWeights(): void {
    this.#weightSum = 0;
    for (const [account, use] of this.#accounts) {
      use.weight = this.#getWeight(account);
      this.#weightSum += use.weight;
    }
  }

  #getOrCreate(account: string): AccountUse {
    let use = this.#accounts.get(account);
    if (use === undefined) {
      const weight = this.#getWeight(account);
      use = { own: 0, peersMs: 0, reports: 0, weight };
      this.#accounts.set(account, use);
      this.#weightSum += weight;
    }
    return use;
  }

  #removeIfUnused(account: string, use: AccountUse): void {
    if (use.reports > 0 || use.own > 0) return;
    this.#accounts.delete(account);
    this.#weightSum -= use.weight;
  }
}
