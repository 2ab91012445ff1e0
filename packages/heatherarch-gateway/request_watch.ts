/**
 * Keeps a request from being handed over where it ends the targets that run it.
 *
 * @module
 */
import { type Clock, createId, ServeError } from "heatherarch-core";
import {
  hashRequest,
  type LossInquiry,
  type RequestContent,
  type RequestQuarantine,
} from "heatherarch-quarantine";
import type { Target } from "heatherarch-settings";

/** A request in progress. */
export interface WatchedRequest {
  /** A try that was handed over was lost. */
  noteLost(target: Target, reason: string): void;
  /** Whether the system may hand the request over again. */
  mayRepeat(): boolean;
  /** The request has ended; with `isWhole` by a whole answer. To be called once. */
  end(isWhole: boolean): void;
}

/** Admits requests. */
export interface RequestWatch {
  /** Throws a {@linkcode ServeError} where the request may not be handed over. */
  admit(content: RequestContent, requestId: string): WatchedRequest;
}

/** Options of {@linkcode QuarantineWatch}. */
export interface QuarantineWatchOptions {
  readonly quarantine: RequestQuarantine;
  readonly losses: LossInquiry;
  readonly clock: Clock;
}

const TRIAL_RETRY_AFTER_MS = 1000;

/** Watches requests by the quarantine. */
export class QuarantineWatch implements RequestWatch {
  readonly #options: QuarantineWatchOptions;
  /** Name of each target's present life, as far as this VM tells one from the next. */
  readonly #lives = new Map<string, string>();

  constructor(options: QuarantineWatchOptions) {
    this.#options = options;
  }

  admit(content: RequestContent, requestId: string): WatchedRequest {
    const request = hashRequest(content);
    const { quarantine, losses, clock } = this.#options;
    const nowMs = clock.readMonotonicMs();
    const admission = quarantine.admit(request, nowMs);
    if (admission.kind === "quarantined") {
      const message =
        "the request is quarantined: targets end when they run it";
      const retryAfterMs = admission.held.untilMs - nowMs;
      throw new ServeError("quarantined", message, { retryAfterMs });
    }
    if (admission.kind === "onTrial") {
      throw new ServeError(
        "overloaded",
        "another copy of the request is on trial",
        { retryAfterMs: TRIAL_RETRY_AFTER_MS },
      );
    }
    let hasLost = false;
    return {
      noteLost: (target, reason) => {
        hasLost = true;
        void losses.take({
          call: requestId,
          request,
          account: content.host,
          target: this.#nameLife(target.id),
          address: target.address,
          reason,
        });
      },
      mayRepeat: () => !hasLost || !quarantine.isLastTrial(request),
      end: (isWhole) => {
        if (admission.kind === "trial") admission.end();
        if (isWhole) quarantine.clear(request, clock.readMonotonicMs());
      },
    };
  }

  /** A life of a target has ended; what is lost there from now on is another one's. */
  noteEnded(life: string): void {
    this.#lives.delete(getTargetId(life));
  }

  #nameLife(id: string): string {
    let life = this.#lives.get(id);
    if (life === undefined) {
      // Targets tell nothing of their start, so two VMs may name one life differently.
      life = createId(`${id}${LIFE_MARK}`);
      this.#lives.set(id, life);
    }
    return life;
  }
}

const LIFE_MARK = "#";

/** Id of the target that a life belongs to. */
export function getTargetId(life: string): string {
  return life.slice(0, life.lastIndexOf(LIFE_MARK));
}
