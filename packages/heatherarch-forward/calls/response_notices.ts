/**
 * Notices in answers of targets: that they are leaving, or want no requests for a while. Any answer
 * may carry one, whatever the request was for.
 *
 * @module
 */
import type { Clock } from "heatherarch-core";
import type { TargetDirectory } from "../state/target_directory.ts";
import type { TargetBackoffs } from "../state/target_backoffs.ts";
import type { EventLog } from "../event_log.ts";
import type { Target } from "../model.ts";
import type { CallCodec } from "../ports.ts";
import type { ResponseHead } from "./target_exchange.ts";

/** Options of {@linkcode ResponseNotices}. */
export interface ResponseNoticesOptions {
  readonly codec: Pick<CallCodec, "decodeResponse">;
  readonly directory: Pick<TargetDirectory, "markLeaving">;
  readonly backoffs: TargetBackoffs;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Applies the notices in the heads of answers. */
export class ResponseNotices {
  readonly #options: ResponseNoticesOptions;

  constructor(options: ResponseNoticesOptions) {
    this.#options = options;
  }

  /** Takes in the head of an answer from the connections of `target`. */
  apply(target: Target, { status, headers }: ResponseHead): void {
    const { codec, directory, log } = this.#options;
    const { answeredBy, isLeaving, backoffMs: restMs } = codec.decodeResponse(
      status,
      headers,
    );
    const instance = target.instance ?? target.id;
    if (answeredBy !== undefined && answeredBy !== instance) return;
    if (isLeaving && directory.markLeaving(target.id)) {
      log.write("info", "targetLeaving", {
        target: target.id,
        source: "answer",
      });
    }
    if (restMs !== undefined) this.#noteRest(target.id, restMs);
  }

  #noteRest(target: string, restMs: number): void {
    const { backoffs: rests, clock, log } = this.#options;
    // Requests in flight get the same answer; the first one is logged.
    if (!rests.recordBackoff(target, restMs, clock.readMonotonicMs())) return;
    log.write("info", "targetResting", { target, restMs });
  }
}
