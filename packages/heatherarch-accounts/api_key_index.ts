/**
 * Finds the client account that holds an API key.
 *
 * Keys are held and compared as SHA-256 digests. The time of a look-up then says nothing about how
 * much of a guessed key is right, and the index can be logged or sent without disclosing a key.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** An account and the digests of its keys. */
export interface KeyHolder<Account> {
  readonly account: Account;
  readonly keyDigests: readonly string[];
}

/** Computes the digest of an API key, in hex. */
export function hashApiKey(key: string): string {
  return createHash("sha256").update(key).digest("hex");
}

/** An immutable index of accounts by the digests of their keys. */
export class ApiKeyIndex<Account> {
  readonly #accountByDigest = new Map<string, Account>();

  /** If several holders name one digest, the first one has the key. */
  constructor(holders: Iterable<KeyHolder<Account>>) {
    for (const { account, keyDigests } of holders) {
      for (const digest of keyDigests) {
        if (this.#accountByDigest.has(digest)) continue;
        this.#accountByDigest.set(digest, account);
      }
    }
  }

  /** Number of keys. */
  get size(): number {
    return this.#accountByDigest.size;
  }

  /** Returns the account that holds `key`, or undefined if none does. */
  findAccount(key: string): Account | undefined {
    return this.#accountByDigest.get(hashApiKey(key));
  }
}
