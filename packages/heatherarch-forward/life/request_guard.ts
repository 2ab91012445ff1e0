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
import type { Serving } from "../serving.ts";
import type { TargetExchange } from "./target_exchange.ts";

/** Longest wait for the probe of a target before a retry; a refused connection takes a round trip. */
const MAX_INQUIRY_MS = 100;

/** Options of {@linkcode RequestGuard}. */
export interface RequestGuardOptions {
  readonly serving: Serving;
  readonly call: ForwardedCall;
  /** Called when the request is quarantined while the call is in progress. */
  readonly onHeld: (held: QuarantinedRequest) => void;
}

/** The guard of one call. */
export class RequestGuard {
  readonly #options: RequestGuardOptions;
  readonly #undoListener: () => void;
  #request: string | undefined;
  #inquiries: Promise<unknown>[] = [];
  #hasLost = false;
  #endTrial: (() => void) | undefined;

  constructor(options: RequestGuardOptions) {
    this.#options = options;
    this.#undoListener = options.serving.quarantine.registerChangeListener(
      ({ kind, request }) => {
        if (kind !== "held" || request !== this.request) return;
        const held = this.findHeld();
        if (held !== undefined) options.onHeld(held);
      },
    );
  }

  /** Digest of the request, which its repeats share. */
  get request(): string {
    return this.#request ??= hashRequest(this.#options.call);
  }

  /** Whether the call may be sent for the first time. */
  admit(): Admission {
    const { quarantine, clock } = this.#options.serving;
    if (quarantine.isEmpty) return { kind: "free" };
    const admission = quarantine.admit(
      this.request,
      clock.readMonotonicMs(),
    );
    if (admission.kind === "trial") this.#endTrial = admission.end;
    return admission;
  }

  /** The quarantine of the request; undefined where there is none. */
  findHeld(): QuarantinedRequest | undefined {
    const { quarantine, clock } = this.#options.serving;
    if (quarantine.isEmpty) return undefined;
    return quarantine.findQuarantined(this.request, clock.readMonotonicMs());
  }

  /**
   * Whether the call may be retried. One crash before quarantine the retry is left to the client,
   * which gives the other VMs time to learn of the crashes.
   */
  async mayRepeat(): Promise<boolean> {
    const inquiries = this.#inquiries;
    this.#inquiries = [];
    if (inquiries.length > 0) {
      await Promise.race([Promise.all(inquiries), sleep(MAX_INQUIRY_MS)]);
    }
    if (!this.#hasLost) return true;
    return !this.#options.serving.quarantine.isLastTrial(this.request);
  }

  /** Reports how an exchange ends. */
  follow(target: Target, exchange: TargetExchange): void {
    const { losses } = this.#options.serving;
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
        request: this.request,
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
    const { quarantine, clock, log } = this.#options.serving;
    const crashes = quarantine.countCrashes(this.request);
    if (!quarantine.markSuccess(this.request, clock.readMonotonicMs())) return;
    log.write("info", "requestCleared", {
      call: this.#options.call.id,
      request: this.request,
      crashes,
    });
  }
}
