/**
 * Keeps quarantined requests from being sent, and reports lost tries.
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

/** A request in progress. */
export interface AdmittedRequest {
  /** A try that was sent got no answer. */
  recordLoss(target: Target, reason: string): void;
  /** Whether the system may retry the request. */
  mayRetry(): boolean;
  /** The request has ended; `isWhole` after a whole answer. To be called once. */
  end(succeeded: boolean): void;
}

/** Admits requests. */
export interface RequestWatch {
  /** Throws a {@linkcode ServeError} if the request may not be sent. */
  admit(content: RequestContent, requestId: string): AdmittedRequest;
}

/** Options of {@linkcode QuarantineWatch}. */
export interface QuarantineWatchOptions {
  readonly quarantine: RequestQuarantine;
  readonly crashDetector: CrashDetector;
  readonly clock: Clock;
}

const TRIAL_RETRY_AFTER_MS = 1000;

/** Watches requests by the quarantine. */
export class QuarantineWatch implements RequestWatch {
  readonly #options: QuarantineWatchOptions;
  /** Current incarnation of each target, as named by this VM. */
  readonly #incarnations = new Map<string, string>();

  constructor(options: QuarantineWatchOptions) {
    this.#options = options;
  }

  admit(content: RequestContent, requestId: string): AdmittedRequest {
    const request = hashRequest(content);
    const { quarantine, crashDetector: losses, clock } = this.#options;
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
        void losses.investigateLoss({
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

  /** A target crashed; later losses there belong to its next incarnation. */
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

/** Id of the target of an incarnation. */
export function getTargetId(incarnation: string): string {
  return incarnation.slice(0, incarnation.lastIndexOf(INCARNATION_SEPARATOR));
}
