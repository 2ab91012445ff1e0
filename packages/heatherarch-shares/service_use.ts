/**
 * Use of one service by client account: this VM's own, and what its peers report. Sums are kept
 * up to date with each change, because a hub receives hundreds of reports a second.
 *
 * All use is in units of a common landmark (see `fair_shares.ts`).
 *
 * @module
 */
import { OTHER_ACCOUNTS } from "./use_rows.ts";

/** Use of one account. */
interface AccountUse {
  own: number;
  peers: number;
  /** Number of peers that name the account. */
  reports: number;
  weight: number;
}

/** Use of the accounts of one service. */
export class ServiceUse {
  readonly #getWeight: (account: string) => number;
  readonly #accounts = new Map<string, AccountUse>();
  #total = 0;
  #weightSum = 0;
  #others = 0;

  constructor(getWeight: (account: string) => number) {
    this.#getWeight = getWeight;
  }

  /** Use of all accounts. */
  get total(): number {
    return this.#total;
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

  /** Adds work of this VM. */
  addOwn(account: string, work: number): void {
    this.#getOrCreate(account).own += work;
    this.#total += work;
  }

  /** Adds a row of a peer. */
  addRow(account: string, work: number, accounts: number): void {
    this.#total += work;
    if (account === OTHER_ACCOUNTS) {
      this.#others += accounts;
      return;
    }
    const use = this.#getOrCreate(account);
    use.peers += work;
    use.reports++;
  }

  /** Removes a row that was added. */
  removeRow(account: string, work: number, accounts: number): void {
    this.#total -= work;
    if (account === OTHER_ACCOUNTS) {
      this.#others -= accounts;
      return;
    }
    const use = this.#getOrCreate(account);
    use.peers -= work;
    use.reports--;
    this.#removeIfUnused(account, use);
  }

  /** Returns the use of an account over all VMs, or undefined if it has none. */
  findUse(account: string): number | undefined {
    const use = this.#accounts.get(account);
    return use === undefined ? undefined : use.own + use.peers;
  }

  /** Returns the weight of an account as its sum includes it. */
  getWeight(account: string): number {
    return this.#accounts.get(account)?.weight ?? this.#getWeight(account);
  }

  /** Lists the accounts with their use over all VMs. */
  *listAll(): Iterable<[account: string, use: number]> {
    for (const [account, { own, peers }] of this.#accounts) {
      yield [account, own + peers];
    }
  }

  /** Lists the accounts with their use at this VM. */
  *listOwn(): Iterable<[account: string, use: number]> {
    for (const [account, { own }] of this.#accounts) {
      if (own > 0) yield [account, own];
    }
  }

  /** Removes own use below `minUse`. */
  expireOwn(minUse: number): void {
    for (const [account, use] of this.#accounts) {
      if (use.own === 0 || use.own >= minUse) continue;
      this.#total -= use.own;
      use.own = 0;
      this.#removeIfUnused(account, use);
    }
    if (this.isEmpty) this.#total = 0;
  }

  /** Converts all use to units that are `factor` times as large, and sums it anew. */
  convert(factor: number): void {
    let othersUse = this.#total;
    let total = 0;
    for (const use of this.#accounts.values()) {
      othersUse -= use.own + use.peers;
      use.own /= factor;
      use.peers /= factor;
      total += use.own + use.peers;
    }
    this.#total = total + Math.max(0, othersUse / factor);
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
      use = { own: 0, peers: 0, reports: 0, weight };
      this.#accounts.set(account, use);
      this.#weightSum += weight;
    }
    return use;
  }

  #removeIfUnused(account: string, use: AccountUse): void {
    if (use.reports > 0) return;
    // What is left of removed rows are errors of rounding.
    this.#total -= use.peers;
    use.peers = 0;
    if (use.own > 0) return;
    this.#accounts.delete(account);
    this.#weightSum -= use.weight;
  }
}
