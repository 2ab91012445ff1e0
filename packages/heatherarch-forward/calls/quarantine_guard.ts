/**
 * Keeps a call from being sent when its request is quarantined, and reports its lost exchanges.
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

/** Longest wait for the probe of a target before a retry; a refused connection takes a round trip. */
const MAX_INQUIRY_MS = 100;

/** Options of {@linkcode QuarantineGuard}. */
export interface QuarantineGuardOptions {
  readonly dependencies: CallDependencies;
  readonly call: ForwardedCall;
  /** Called when the request is quarantined while the call is in progress. */
  readonly onQuarantined: (held: QuarantinedRequest) => void;
}

/** The guard of one call. */
export class QuarantineGuard {
  readonly #options: QuarantineGuardOptions;
  readonly #undoListener: () => void;
  #request: string | undefined;
  #inquiries: Promise<unknown>[] = [];
  #hasLost = false;
  #endTrial: (() => void) | undefined;

  constructor(options: QuarantineGuardOptions) {
    this.#options = options;
    this.#undoListener = options.dependencies.quarantine.registerChangeListener(
      ({ kind, request }) => {
        if (kind !== "held" || request !== this.digest) return;
        const held = this.findQuarantined();
        if (held !== undefined) options.onQuarantined(held);
      },
    );
  }

  /** Digest of the request, which its repeats share. */
  get digest(): string {
    return this.#request ??= hashRequest(this.#options.call);
  }

  /** Whether the call may be sent for the first time. */
  admit(): Admission {
    const { quarantine, clock } = this.#options.dependencies;
    if (quarantine.isEmpty) return { kind: "free" };
    const admission = quarantine.admit(
      this.digest,
      clock.readMonotonicMs(),
    );
    if (admission.kind === "trial") this.#endTrial = admission.end;
    return admission;
  }

  /** The quarantine of the request; undefined where there is none. */
  findQuarantined(): QuarantinedRequest | undefined {
    const { quarantine, clock } = this.#options.dependencies;
    if (quarantine.isEmpty) return undefined;
    return quarantine.findQuarantined(
      this.digest,
      clock.readMonotonicMs(),
    );
  }

  /**
   * Whether the call may be retried. One crash before quarantine the retry is left to the client,
   * which gives the other VMs time to learn of the crashes.
   */
  async mayRetry(): Promise<boolean> {
    const inquiries = this.#inquiries;
    this.#inquiries = [];
    if (inquiries.length > 0) {
      await Promise.race([Promise.all(inquiries), sleep(MAX_INQUIRY_MS)]);
    }
    if (!this.#hasLost) return true;
    return !this.#options.dependencies.quarantine.isLastTrial(
      this.digest,
    );
  }

  /** Reports how an exchange ends. */
  trackExchange(target: Target, exchange: TargetExchange): void {
    const { crashDetector: losses } = this.#options.dependencies;
    const { id, host } = this.#options.call;
    void exchange.ended.then((end) => {
      if (end === "ended") return;
      if (end.isConnectionRefused) {
        losses.recordCrash(target.id, "refusedConnection");
      }
      if (end.fault !== "lost") return;
      this.#hasLost = true;
      this.#inquiries.push(losses.investigateLoss({
        call: id,
        request: this.digest,
        account: host,
        target: target.id,
        address: target.address,
        reason: end.message,
      }));
    });
  }

  /** The call has ended; with `isDelivered` by an answer of a target. */
  end(isDelivered: boolean): void {
    this.#undoListener();
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
