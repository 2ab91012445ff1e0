/**
 * Limits of client accounts on one VM: request rate, requests in progress, and a weighted fair
 * share when the VM is nearly full.
 *
 * @module
 */
import { Err, Ok, type Result, ServeError } from "heatherarch-core";
import type { Account } from "heatherarch-settings";

/** Options of {@linkcode AccountLimits}. */
export interface AccountLimitsOptions {
  /** Maximum number of requests in progress on this VM. */
  readonly maxInFlight: number;
}

/** Share of `maxInFlight` above which fair shares apply. */
const FAIR_SHARE_THRESHOLD = 0.8;
/** The state of a client account that has been idle for this long is dropped. */
const IDLE_EXPIRY_MS = 300_000;

interface AccountRecord {
  tokens: number;
  refilledAtMs: number;
  inFlight: number;
  weight: number;
}

/** Enforces the limits of client accounts on one VM. */
export class AccountLimits {
  readonly #options: AccountLimitsOptions;
  readonly #accounts = new Map<string, AccountRecord>();
  #inFlight = 0;

  constructor(options: AccountLimitsOptions) {
    this.#options = options;
  }

  /** Number of requests in progress. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Number of client accounts with state on this VM. */
  get size(): number {
    return this.#accounts.size;
  }

  /**
   * Admits one request, or rejects it with the time after which to retry. The success value is a
   * function that releases the request's slot. `vmCount` is the number of VMs that the requests of
   * the client account are spread over.
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
        `account ${account.name} exceeds its request rate`,
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
        `account ${account.name} exceeds its fair share of a full VM`,
        1000,
      );
    }
    record.tokens--;
    record.inFlight++;
    this.#inFlight++;
    let isHeld = true;
    return Ok(() => {
      if (!isHeld) return;
      isHeld = false;
      record.inFlight--;
      this.#inFlight--;
    });
  }

  /** Drops the state of client accounts that have been idle for long. */
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
    let totalWeight = record.inFlight === 0 ? record.weight : 0;
    for (const other of this.#accounts.values()) {
      if (other.inFlight > 0) totalWeight += other.weight;
    }
    return record.inFlight < maxInFlight * record.weight / totalWeight;
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
