/**
 * Limits of accounts on one VM: rate, requests in progress, and a fair share by weight when
 * the VM is nearly full.
 *
 * @module
 */
import { Err, Ok, type Result, ServeError } from "heatherarch-core";
import type { Account } from "heatherarch-settings";

/** Options of {@linkcode AccountLimits}. */
export interface AccountLimitsOptions {
  /** Requests that may be in progress on this VM. */
  readonly maxInFlight: number;
}

/** Share of `maxInFlight` above which fair shares apply. */
const FAIR_SHARE_THRESHOLD = 0.8;
/** An account unused for this long is forgotten, milliseconds. */
const IDLE_EXPIRY_MS = 300_000;

interface AccountRecord {
  tokens: number;
  refilledAtMs: number;
  inFlight: number;
  weight: number;
}

/** Admits requests by account. */
export class AccountLimits {
  readonly #options: AccountLimitsOptions;
  readonly #accounts = new Map<string, AccountRecord>();
  #inFlight = 0;

  constructor(options: AccountLimitsOptions) {
    this.#options = options;
  }

  get inFlight(): number {
    return this.#inFlight;
  }

  /** Accounts with state here. */
  get size(): number {
    return this.#accounts.size;
  }

  /**
   * Takes a place for one request; the success is the release. `vmCount` is the number of
   * VMs that the account's requests are spread over.
   */
  acquire(
    account: Account,
    vmCount: number,
    nowMs: number,
  ): Result<() => void, ServeError> {
    const record = this.#getRecord(account, vmCount, nowMs);
    const rate = account.requestsPerSecond / vmCount;
    const burst = Math.max(1, account.burst / vmCount);
    const elapsedMs = nowMs - record.refilledAtMs;
    record.tokens = Math.min(burst, record.tokens + elapsedMs * rate / 1000);
    record.refilledAtMs = nowMs;
    if (record.tokens < 1) {
      const retryAfterMs = Math.ceil((1 - record.tokens) * 1000 / rate);
      return reject(
        `account ${account.name} is over its request rate`,
        retryAfterMs,
      );
    }
    if (record.inFlight >= Math.max(1, account.maxConcurrent / vmCount)) {
      return reject(
        `account ${account.name} has too many requests in progress`,
        500,
      );
    }
    if (!this.#isWithinFairShare(record)) {
      return reject(
        `account ${account.name} is over its share of a full VM`,
        1000,
      );
    }
    record.tokens--;
    record.inFlight++;
    this.#inFlight++;
    let held = true;
    return Ok(() => {
      if (!held) return;
      held = false;
      record.inFlight--;
      this.#inFlight--;
    });
  }

  /** Forgets accounts that have been idle for long. */
  removeIdleAccounts(nowMs: number): void {
    for (const [name, record] of this.#accounts) {
      if (
        record.inFlight === 0 && nowMs - record.refilledAtMs > IDLE_EXPIRY_MS
      ) {
        this.#accounts.delete(name);
      }
    }
  }

  #isWithinFairShare(record: AccountRecord): boolean {
    const { maxInFlight } = this.#options;
    if (this.#inFlight >= maxInFlight) return false;
    if (this.#inFlight < maxInFlight * FAIR_SHARE_THRESHOLD) return true;
    let weights = record.inFlight === 0 ? record.weight : 0;
    for (const other of this.#accounts.values()) {
      if (other.inFlight > 0) weights += other.weight;
    }
    return record.inFlight < maxInFlight * record.weight / weights;
  }

  #getRecord(account: Account, vmCount: number, nowMs: number): AccountRecord {
    let record = this.#accounts.get(account.name);
    if (record === undefined) {
      const tokens = Math.max(1, account.burst / vmCount);
      record = {
        tokens,
        refilledAtMs: nowMs,
        inFlight: 0,
        weight: account.weight,
      };
      this.#accounts.set(account.name, record);
    }
    record.weight = account.weight;
    return record;
  }
}

function reject(
  message: string,
  retryAfterMs: number,
): Result<() => void, ServeError> {
  return Err(
    new ServeError("accountLimit", message, { run: "no", retryAfterMs }),
  );
}
