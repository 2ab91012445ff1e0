/**
 * The weighted shares of client accounts in the time of targets, per service and over all VMs. The
 * module has no clock: each update carries the time.
 *
 * It addresses load in which one account sends many times what its share would be, or sends it over
 * many VMs: the calls of accounts within their shares go first. Shares only order the calls that wait,
 * so whatever one account does not use goes to the others.
 *
 * @module
 */
import { ServiceUse } from "./service_use.ts";
import {
  listUseRows,
  MAX_NAMED_ACCOUNTS,
  OTHER_ACCOUNTS,
  type UseRow,
  type UseSum,
} from "./use_rows.ts";

/** Whose use a peer reports: its own, or the sum of VMs to which this VM has no link. */
export type UseScope = "own" | "gathered";

/** Options of {@linkcode FairShares}. */
export interface FairSharesOptions {
  /** Returns the weight of an account; 1 by default. */
  readonly getWeight?: (account: string) => number;
  /**
   * Number of configured accounts; unlimited by default. VMs that each count the accounts which they
   * don't name may count the same ones.
   */
  readonly countAccounts?: () => number;
}

/** Use and share of one account of a service, for operators. */
export interface AccountShare {
  readonly group: string;
  readonly account: string;
  readonly weight: number;
  /** Work that was dispatched recently, milliseconds of one slot. */
  readonly workMs: number;
  /** Work that would be its share, milliseconds of one slot. */
  readonly shareMs: number;
  /** Work of all accounts, milliseconds of one slot. */
  readonly totalMs: number;
  readonly rank: number;
}

/** What a peer has reported. */
interface PeerUse {
  readonly atMs: number;
  readonly scope: UseScope;
  readonly rows: readonly UseRow[];
}

/**
 * Time constant of the decay of use, milliseconds. A burst of 2 s has to count, and an account that
 * was large ten seconds ago is treated like any other.
 */
const DECAY_MS = 3000;
/** A peer without a report for this long is assumed to have no use. */
const PEER_TIMEOUT_MS = 1500;
/** Rows that are kept of one peer, which bounds the state whatever peers send. */
const MAX_PEER_ROWS = 4096;
/** An account with less use than this is not in use, milliseconds. */
const MIN_USE_MS = 1;
/** Ranks rise when the use exceeds the share by these factors. */
const RANK_FACTORS = [1, 2, 4];
/** An account with exactly its share is within it, whatever the rounding of sums. */
const ROUNDING = 1e-9;
/** Units grow by the decay until they are converted to a new landmark; e^20 leaves full precision. */
const MAX_LANDMARK_AGE_MS = 20 * DECAY_MS;
/** Interval at which accounts that are no longer in use are removed, milliseconds. */
const SWEEP_INTERVAL_MS = 1000;

/** The shares that one VM knows of. */
export class FairShares {
  readonly #getWeight: (account: string) => number;
  readonly #countAccounts: () => number;
  readonly #services = new Map<string, ServiceUse>();
  readonly #peers = new Map<string, PeerUse>();
  /**
   * Own use is stored as it would have been at this time, so that its decay needs no updates: work is
   * multiplied by a factor that grows with time.
   */
  #landmarkMs: number | undefined;
  /** Time after which the report of a peer is too old. */
  #nextExpiryMs = Infinity;
  #sweptAtMs = -Infinity;

  constructor(options: FairSharesOptions = {}) {
    this.#getWeight = options.getWeight ?? (() => 1);
    this.#countAccounts = options.countAccounts ?? (() => Infinity);
  }

  /** Whether any account is in use, here or at a peer. */
  get isInUse(): boolean {
    return this.#services.size > 0;
  }

  /** Records work that was dispatched to a target for an account, milliseconds of one slot. */
  recordWork(
    group: string,
    account: string,
    workMs: number,
    nowMs: number,
  ): void {
    if (!(workMs > 0) || account === OTHER_ACCOUNTS) return;
    const work = workMs * this.#computeFactor(nowMs);
    this.#getOrCreate(group).addOwn(account, work);
  }

  /**
   * Returns the rank of an account that has a call: 0 within the share, then 1, 2, 3 for more than 1, 2
   * and 4 times the share. The account counts as in use, so that one that has used all capacity alone
   * exceeds its share as soon as a call of another one waits.
   */
  computeRank(group: string, account: string, nowMs: number): number {
    this.#dropExpired(nowMs);
    const service = this.#getOrCreate(group);
    const factor = this.#computeFactor(nowMs);
    service.addOwn(account, 0);
    const useMs = service.getUseMs(account, factor);
    return rateUse(useMs, this.#computeShareMs(service, account, factor));
  }

  /** Lists the heaviest accounts of this VM, and the sum and number of the others. */
  listOwnUse(nowMs: number): UseRow[] {
    this.#dropExpired(nowMs);
    const factor = this.#computeFactor(nowMs);
    return [...this.#services].flatMap(([group, service]) => {
      const named = service.listOwn(factor);
      return this.#listRows(group, { named, othersMs: 0, others: 0 });
    });
  }

  /** Replaces all use that a peer reports, its own or a sum. */
  setPeerUse(
    peer: string,
    allRows: readonly UseRow[],
    nowMs: number,
    scope: UseScope = "own",
  ): void {
    this.forgetPeer(peer);
    const rows = allRows.slice(0, MAX_PEER_ROWS);
    for (const [group, account, workMs, accounts] of rows) {
      this.#getOrCreate(group).addRow(account, workMs, accounts);
    }
    this.#peers.set(peer, { atMs: nowMs, scope, rows });
    const expiryMs = nowMs + PEER_TIMEOUT_MS;
    this.#nextExpiryMs = Math.min(this.#nextExpiryMs, expiryMs);
  }

  /** Sums the use of this VM and its peers, with or without the sums that peers report. */
  sumUse(nowMs: number, includeGathered: boolean): UseRow[] {
    this.#dropExpired(nowMs);
    const factor = this.#computeFactor(nowMs);
    return [...this.#services].flatMap(([group, service]) => {
      const named = new Map(service.listOwn(factor));
      const sum = this.#addPeers(group, named, includeGathered);
      return this.#listRows(group, sum);
    });
  }

  /** Removes what a peer has reported. */
  forgetPeer(peer: string): void {
    const known = this.#peers.get(peer);
    if (known === undefined) return;
    this.#peers.delete(peer);
    for (const [group, account, workMs, accounts] of known.rows) {
      this.#services.get(group)?.removeRow(account, workMs, accounts);
    }
  }

  /** Removes what all peers have reported, because their reports change their form. */
  forgetAllPeers(): void {
    for (const peer of [...this.#peers.keys()]) this.forgetPeer(peer);
  }

  /** Applies changed weights. */
  refreshWeights(): void {
    for (const service of this.#services.values()) service.refreshWeights();
  }

  /** Lists the heaviest accounts of each service. */
  listShares(nowMs: number): AccountShare[] {
    this.#dropExpired(nowMs);
    const factor = this.#computeFactor(nowMs);
    return [...this.#services].flatMap(([group, service]) =>
      service.listAll(factor)
        .sort(([, a], [, b]) => b - a)
        .slice(0, MAX_NAMED_ACCOUNTS)
        .map(([account, workMs]): AccountShare => {
          const shareMs = this.#computeShareMs(service, account, factor);
          return {
            group,
            account,
            weight: service.getWeight(account),
            workMs: Math.round(workMs),
            shareMs: Math.round(shareMs),
            totalMs: Math.round(service.getTotalMs(factor)),
            rank: rateUse(workMs, shareMs),
          };
        })
    );
  }

  #computeShareMs(
    service: ServiceUse,
    account: string,
    factor: number,
  ): number {
    return service.getTotalMs(factor) * service.getWeight(account) /
      this.#sumWeights(service);
  }

  /** Sums the weights of the accounts in use. Those that are not named weigh 1 each. */
  #sumWeights({ weightSum, others, size }: ServiceUse): number {
    return weightSum + this.#limitOthers(others, size);
  }

  /** VMs may count the same accounts among those that they don't name. */
  #limitOthers(others: number, named: number): number {
    return Math.min(others, Math.max(0, this.#countAccounts() - named));
  }

  #listRows(group: string, sum: UseSum): UseRow[] {
    const service = this.#getOrCreate(group);
    return listUseRows(group, sum, {
      getWeight: (account) => service.getWeight(account),
      weightSum: this.#sumWeights(service),
      limitOthers: (others, named) => this.#limitOthers(others, named),
    });
  }

  /** Adds the use that peers report to the named accounts of this VM. */
  #addPeers(
    group: string,
    named: Map<string, number>,
    includeGathered: boolean,
  ): UseSum {
    let othersMs = 0;
    let others = 0;
    for (const { scope, rows } of this.#peers.values()) {
      if (scope === "gathered" && !includeGathered) continue;
      for (const [rowGroup, account, workMs, accounts] of rows) {
        if (rowGroup !== group) continue;
        if (account === OTHER_ACCOUNTS) {
          othersMs += workMs;
          others += accounts;
        } else named.set(account, (named.get(account) ?? 0) + workMs);
      }
    }
    return { named, othersMs, others };
  }

  #getOrCreate(group: string): ServiceUse {
    let service = this.#services.get(group);
    if (service === undefined) {
      service = new ServiceUse(this.#getWeight);
      this.#services.set(group, service);
    }
    return service;
  }

  /** Drops peers that have not reported, and accounts that are no longer in use. */
  #dropExpired(nowMs: number): void {
    if (nowMs > this.#nextExpiryMs) this.#dropExpiredPeers(nowMs);
    if (nowMs - this.#sweptAtMs < SWEEP_INTERVAL_MS) return;
    this.#sweptAtMs = nowMs;
    const minUse = MIN_USE_MS * this.#computeFactor(nowMs);
    for (const [group, service] of this.#services) {
      service.expireOwn(minUse);
      if (service.isEmpty) this.#services.delete(group);
    }
  }

  #dropExpiredPeers(nowMs: number): void {
    this.#nextExpiryMs = Infinity;
    for (const [peer, { atMs }] of this.#peers) {
      const expiryMs = atMs + PEER_TIMEOUT_MS;
      if (nowMs > expiryMs) this.forgetPeer(peer);
      else this.#nextExpiryMs = Math.min(this.#nextExpiryMs, expiryMs);
    }
  }

  /** Returns the factor from milliseconds of work now to units of the landmark. */
  #computeFactor(nowMs: number): number {
    const landmarkMs = this.#landmarkMs ?? nowMs;
    this.#landmarkMs = landmarkMs;
    const factor = Math.exp((nowMs - landmarkMs) / DECAY_MS);
    if (nowMs - landmarkMs <= MAX_LANDMARK_AGE_MS) return factor;
    this.#landmarkMs = nowMs;
    for (const service of this.#services.values()) service.convertOwn(factor);
    return 1;
  }
}

/** Returns the rank of an account by its use and its share. */
function rateUse(useMs: number, shareMs: number): number {
  const baseMs = shareMs * (1 + ROUNDING);
  return RANK_FACTORS.filter((factor) => useMs > baseMs * factor).length;
}
