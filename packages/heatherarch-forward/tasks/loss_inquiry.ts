/**
 * Looks into exchanges that ended without an answer: a target that has ended refuses
 * connections, one that lost an answer or a connection does not.
 *
 * @module
 */
import type { EventLog } from "../event_log.ts";
import type { Target } from "../model.ts";
import type { ProbeResult, TargetProbe } from "../life/target_probe.ts";

/** An exchange that was sent and ended without a whole answer. */
export interface Loss {
  readonly call: string;
  /** Digest of the request. */
  readonly request: string;
  readonly target: Target;
  readonly reason: string;
}

/** Options of {@linkcode LossInquiry}. */
export interface LossInquiryOptions {
  readonly targetProbe: Pick<TargetProbe, "probe">;
  readonly log: EventLog;
}

/** Inquires into lost exchanges. */
export class LossInquiry {
  readonly #options: LossInquiryOptions;

  constructor(options: LossInquiryOptions) {
    this.#options = options;
  }

  /** Settles when it is known whether the target's process is there. Never rejects. */
  async take(loss: Loss): Promise<ProbeResult> {
    const { call, request, target, reason } = loss;
    const { targetProbe, log } = this.#options;
    const probe = await targetProbe.probe(target);
    log.write("info", "exchangeLost", {
      call,
      request,
      target: target.id,
      address: target.address,
      reason,
      probe,
    });
    return probe;
  }
}
