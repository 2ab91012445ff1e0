/**
 * What targets say of themselves in their answers: that they leave, or that they want no requests
 * for a while. Every answer may say so, whatever it was asked for.
 *
 * @module
 */
import type { TargetDirectory } from "../beliefs/target_directory.ts";
import type { EventLog } from "../event_log.ts";
import type { Target } from "../model.ts";
import type { CallCodec } from "../ports.ts";
import type { AnswerHead } from "./target_exchange.ts";

/** Options of {@linkcode AnswerNotices}. */
export interface AnswerNoticesOptions {
  readonly codec: Pick<CallCodec, "decodeAnswer">;
  readonly directory: Pick<TargetDirectory, "markLeaving">;
  readonly log: EventLog;
}

/** Takes notice of answers' heads. */
export class AnswerNotices {
  readonly #options: AnswerNoticesOptions;

  constructor(options: AnswerNoticesOptions) {
    this.#options = options;
  }

  /** Takes in the head of an answer from the connections of `target`. */
  take(target: Target, { status, headers }: AnswerHead): void {
    const { codec, directory, log } = this.#options;
    const { answeredBy, isLeaving, restMs } = codec.decodeAnswer(
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
    if (restMs !== undefined) {
      log.write("info", "restAsked", { target: target.id, restMs });
    }
  }
}
