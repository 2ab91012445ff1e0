/**
 * Finds the client account of a request.
 *
 * @module
 */
import { ApiKeyIndex } from "heatherarch-accounts";
import { ServeError } from "heatherarch-core";
import type { Account, Fleet } from "heatherarch-settings";

/** Identity that a request states. */
export interface RequestIdentity {
  /** Bearer token, if one was sent. */
  readonly token: string | undefined;
  /** Name of a client account that has no token; empty if none was sent. */
  readonly name: string;
}

const ANONYMOUS: Account = {
  name: "anonymous",
  requestsPerSecond: 1e6,
  burst: 1e6,
  maxConcurrent: 1e6,
  weight: 1,
};

/** Client accounts of the fleet configuration. */
export class AccountDirectory {
  #indexedFleet: Fleet | null = null;
  #accountByToken = new ApiKeyIndex<Account>([]);

  /** Finds the client account. Throws {@linkcode ServeError} if the request may use none. */
  find({ token, name }: RequestIdentity, fleet: Fleet): Account {
    this.#indexAccounts(fleet);
    if (token !== undefined) {
      const account = this.#accountByToken.findAccount(token);
      if (account !== undefined) return account;
    }
    const named = fleet.accounts.find((account) => account.name === name);
    if (named !== undefined && named.tokenSha256 === undefined) return named;
    if (named !== undefined) {
      throw new ServeError(
        "unauthenticated",
        `account ${name} requires its bearer token`,
      );
    }
    if (fleet.allowAnonymous) return ANONYMOUS;
    throw new ServeError(
      "unauthenticated",
      "an account's bearer token is required",
    );
  }

  #indexAccounts(fleet: Fleet): void {
    if (this.#indexedFleet === fleet) return;
    this.#indexedFleet = fleet;
    this.#accountByToken = new ApiKeyIndex(
      fleet.accounts.map((account) => ({
        account,
        keyDigests: account.tokenSha256 === undefined
          ? []
          : [account.tokenSha256],
      })),
    );
  }
}
