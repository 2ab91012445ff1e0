/**
 * Finds the client account of a call by its API key. A call without an account that its route
 * requires is rejected, and so is a call whose key may have been revoked meanwhile.
 *
 * @module
 */
import { ServeError } from "heatherarch-core";
import type { ClientAccount, ForwardedCall, Route } from "../model.ts";
import type { ActiveConfig } from "../state/active_config.ts";

/** Options of {@linkcode AccountAdmission}. */
export interface AccountAdmissionOptions {
  readonly activeConfig: Pick<ActiveConfig, "table" | "getAgeMs">;
  /**
   * Time after which no call with a revoked key may run, milliseconds; Infinity if the time within
   * which changes of the configuration take effect is bound enough.
   */
  readonly revokeBoundMs: number;
  /** Draws a uniformly distributed number in [0, 1). */
  readonly drawUnit: () => number;
}

/** A call without its API key, and its account. */
export interface AdmittedCall {
  readonly call: ForwardedCall;
  /** Undefined if the call needs no account and has none. */
  readonly account: ClientAccount | undefined;
}

/** Resolution and drift of the clocks by which the age of the configuration is measured. */
const CLOCK_MARGIN_MS = 50;
/** `Retry-After`, milliseconds: another VM may be up to date. Jitter adds up to the same again. */
const RETRY_AFTER_MS = 300;

/** Admits the calls of one VM. */
export class AccountAdmission {
  readonly #options: AccountAdmissionOptions;

  constructor(options: AccountAdmissionOptions) {
    this.#options = options;
  }

  /** Admits a call, or throws a {@linkcode ServeError} that states why not. */
  admit({ apiKey, ...call }: ForwardedCall, route: Route): AdmittedCall {
    const accounts = this.#options.activeConfig.table?.accounts;
    if (accounts === undefined) return { call, account: undefined };
    const isProven = this.#hasProvenKeys();
    if (!isProven && !route.isKeyExempt) throw this.#buildUnprovenError();
    const account = apiKey === undefined || !isProven
      ? undefined
      : accounts.findAccount(apiKey);
    if (account !== undefined) {
      return { call: { ...call, account: account.name }, account };
    }
    if (route.isKeyExempt) return { call, account: undefined };
    throw new ServeError(
      "unauthenticated",
      apiKey === undefined
        ? "an API key is required"
        : "no client account holds the API key",
    );
  }

  /** Whether no key in force can have been revoked for as long as the bound. */
  #hasProvenKeys(): boolean {
    const { activeConfig, revokeBoundMs } = this.#options;
    return revokeBoundMs === Infinity ||
      activeConfig.getAgeMs() < revokeBoundMs - CLOCK_MARGIN_MS;
  }

  #buildUnprovenError(): ServeError {
    return new ServeError(
      "notReady",
      "the API keys in force can't be confirmed as current",
      { retryAfterMs: RETRY_AFTER_MS * (1 + this.#options.drawUnit()) },
    );
  }
}
