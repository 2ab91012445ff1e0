/**
 * Keeps a call from being sent while its request is quarantined, and reports its lost exchanges.
 *
 * @module
 */
import { sleep } from "heatherarch-core";
import {
  type Admission,
  hashRequest,
  type QuarantinedRequest,
} from "heatherarch-quarantine";
import type { ForwardedCall, Target } from "../model.ts";
import type { CallDependencies } from "../call_dependencies.ts";
import type { TargetExchange } from "./target_exchange.ts";

/**
 * Longest wait for the probes of targets before a retry. A refused connection takes one round trip.
 */
const MAX_PROBE_WAIT_MS = 100;

/** Options of {@linkcode QuarantineGuard}. */
export interface QuarantineGuardOptions {
  readonly dependencies: CallDependencies;
  readonly call: ForwardedCall;
  /** Called when the request is quarantined while the call is in progress. */
  readonly onQuarantined: (quarantined: QuarantinedRequest) => void;
}

/** The guard of one call. */
export class QuarantineGuard {
  readonly #options: QuarantineGuardOptions;
  readonly #removeListener: () => void;
  #digest: string | undefined;
  #investigations: Promise<unknown>[] = [];
  #hasLostExchange = false;
  #endTrial: (() => void) | undefined;

  constructor(options: QuarantineGuardOptions) {
    this.#options = options;
    this.#removeListener = options.dependencies.quarantine
      .registerChangeListener(
        ({ kind, request }) => {
          if (kind !== "held" || request !== this.digest) return;
          const quarantined = this.findQuarantined();
          if (quarantined !== undefined) options.onQuarantined(quarantined);
        },
      );
  }

  /** Digest of the request; identical requests share it. */
  get digest(): string {
    return this.#digest ??= hashRequest(this.#options.call);
  }

  /** Decides whether the call may be sent for the first time. */
  admit(): Admission {
    const { quarantine, clock } = this.#options.dependencies;
    if (quarantine.isEmpty) return { kind: "free" };
    const result = quarantine.admit(
      this.digest,
      clock.readMonotonicMs(),
    );
    if (result.kind === "trial") this.#endTrial = result.end;
    return result;
  }

  /** Returns the quarantine of the request, or undefined if there is none. */
  findQuarantined(): QuarantinedRequest | undefined {
    const { quarantine, clock } = this.#options.dependencies;
    if (quarantine.isEmpty) return undefined;
    return quarantine.findQuarantined(
      this.digest,
      clock.readMonotonicMs(),
    );
  }

  /**
   * Returns whether the call may be retried. If one more crash would quarantine the request, the
   * retry is left to the client, which gives the other VMs time to learn of the crashes.
   */
  async mayRetry(): Promise<boolean> {
    const investigations = this.#investigations;
    this.#investigations = [];
    if (investigations.length > 0) {
      await Promise.race([
        Promise.all(investigations),
        sleep(MAX_PROBE_WAIT_MS),
      ]);
    }
    if (!this.#hasLostExchange) return true;
    return !this.#options.dependencies.quarantine.isLastTrial(
      this.digest,
    );
  }

  /** Reports a lost exchange or a refused connection to the crash detector. */
  trackExchange(target: Target, exchange: TargetExchange): void {
    const { crashDetector } = this.#options.dependencies;
    const { id, host } = this.#options.call;
    void exchange.ended.then((end) => {
      if (end === "ended") return;
      if (end.isConnectionRefused) void crashDetector.recordRefusal(target.id);
      if (end.fault !== "lost") return;
      this.#hasLostExchange = true;
      this.#investigations.push(crashDetector.investigateLoss({
        call: id,
        request: this.digest,
        account: host,
        target: target.id,
        address: target.address,
        reason: end.message,
      }));
    });
  }

  /** Ends the guard. With `isDelivered` the call ended with a target's response. */
  end(isDelivered: boolean): void {
    this.#removeListener();
    this.#endTrial?.();
    if (isDelivered) this.#clear();
  }

  #clear(): void {
    const { quarantine, clock, log } = this.#options.dependencies;
    const crashes = quarantine.countCrashes(this.digest);
    if (!quarantine.markSuccess(this.digest, clock.readMonotonicMs())) return;
    log.write("info", "requestCleared", {
      call: this.#options.call.id,
      request: this.digest,
      crashes,
    });
  }
}
