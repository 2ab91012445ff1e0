/**
 * Blocks quarantined requests, and reports lost attempts to the crash detector.
 *
 * @module
 */
import { type Clock, createId, ServeError } from "heatherarch-core";
import {
  type CrashDetector,
  hashRequest,
  type RequestContent,
  type RequestQuarantine,
} from "heatherarch-quarantine";
import type { Target } from "heatherarch-settings";

/** A request that was admitted. */
export interface AdmittedRequest {
  /** Records that an attempt was sent and lost its response. */
  recordLoss(target: Target, reason: string): void;
  /** Whether the request may be retried. */
  mayRetry(): boolean;
  /** Ends the request. `succeeded` is set after a complete response. Must be called once. */
  end(succeeded: boolean): void;
}

/** Admits requests and watches their attempts. */
export interface RequestWatch {
  /** Admits a request. Throws {@linkcode ServeError} if it may not be sent. */
  admit(content: RequestContent, requestId: string): AdmittedRequest;
}

/** Options of {@linkcode QuarantineWatch}. */
export interface QuarantineWatchOptions {
  readonly quarantine: RequestQuarantine;
  readonly crashDetector: CrashDetector;
  readonly clock: Clock;
}

const TRIAL_RETRY_AFTER_MS = 1000;

/** Admits requests as the quarantine allows. */
export class QuarantineWatch implements RequestWatch {
  readonly #options: QuarantineWatchOptions;
  /** Current incarnation of each target, as named by this VM. */
  readonly #incarnations = new Map<string, string>();

  constructor(options: QuarantineWatchOptions) {
    this.#options = options;
  }

  admit(content: RequestContent, requestId: string): AdmittedRequest {
    const request = hashRequest(content);
    const { quarantine, crashDetector, clock } = this.#options;
    const nowMs = clock.readMonotonicMs();
    const admission = quarantine.admit(request, nowMs);
    if (admission.kind === "quarantined") {
      const message =
        "the request is quarantined: it crashed the targets that ran it";
      const retryAfterMs = admission.entry.untilMs - nowMs;
      throw new ServeError("quarantined", message, { retryAfterMs });
    }
    if (admission.kind === "onTrial") {
      throw new ServeError(
        "overloaded",
        "another copy of the request is on trial",
        { retryAfterMs: TRIAL_RETRY_AFTER_MS },
      );
    }
    let hasLoss = false;
    return {
      recordLoss: (target, reason) => {
        hasLoss = true;
        void crashDetector.investigateLoss({
          call: requestId,
          request,
          account: content.host,
          target: this.#getIncarnation(target.id),
          address: target.address,
          reason,
        });
      },
      mayRetry: () => !hasLoss || !quarantine.isLastTrial(request),
      end: (succeeded) => {
        if (admission.kind === "trial") admission.end();
        if (succeeded) quarantine.markSuccess(request, clock.readMonotonicMs());
      },
    };
  }

  /** Ends an incarnation after its target crashed. Later losses belong to the next incarnation. */
  endIncarnation(incarnation: string): void {
    this.#incarnations.delete(getTargetId(incarnation));
  }

  #getIncarnation(id: string): string {
    let incarnation = this.#incarnations.get(id);
    if (incarnation === undefined) {
      // Targets do not report their incarnation, so VMs may name one differently.
      incarnation = createId(`${id}${INCARNATION_SEPARATOR}`);
      this.#incarnations.set(id, incarnation);
    }
    return incarnation;
  }
}

const INCARNATION_SEPARATOR = "#";

/** Returns the id of the target of an incarnation. */
export function getTargetId(incarnation: string): string {
  return incarnation.slice(0, incarnation.lastIndexOf(INCARNATION_SEPARATOR));
}
