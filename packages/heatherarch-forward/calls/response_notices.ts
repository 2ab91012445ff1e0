/**
 * Notices in the response heads of targets: a target is leaving, requests a backoff, has a rate
 * limit, or reports its load. Any response may carry a notice, whatever the request was for.
 *
 * @module
 */
import type { Clock } from "heatherarch-core";
import type { LoadReport, TargetLoads } from "heatherarch-load";
import type { TargetDirectory } from "../state/target_directory.ts";
import type { TargetBackoffs } from "../state/target_backoffs.ts";
import type { TargetRateLimits } from "../state/target_rate_limits.ts";
import type { EventLog } from "../event_log.ts";
import type { Target } from "../model.ts";
import type { CallCodec } from "../ports.ts";
import type { SentRequest } from "./target_connections.ts";
import type { ResponseHead } from "./target_exchange.ts";

/** Options of {@linkcode ResponseNotices}. */
export interface ResponseNoticesOptions {
  readonly codec: Pick<CallCodec, "decodeResponse">;
  readonly directory: Pick<TargetDirectory, "markLeaving" | "findTarget">;
  readonly backoffs: TargetBackoffs;
  readonly rateLimits: TargetRateLimits;
  readonly targetLoads: Pick<TargetLoads, "record">;
  /** Called for each report that names a slowdown. */
  readonly onSlowdownReport?: (target: Target, slowdown: number) => void;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** Applies the notices in response heads to the state of this VM. */
export class ResponseNotices {
  readonly #options: ResponseNoticesOptions;

  constructor(options: ResponseNoticesOptions) {
    this.#options = options;
  }

  /**
   * Applies the head of a response that arrived on a connection to `target` after `request`.
   *
   * A head that does not name the call of the request is an earlier one of unknown age. What it says of
   * its target still holds if it only restrains this VM: a target that leaves does not come back, and a
   * backoff that begins late ends late by as much. A limit or a load would count as newer than it is, and
   * the lack of a limit would end one that has begun since.
   */
  apply(
    target: Target,
    { status, headers }: ResponseHead,
    { sentAtMs, callId }: SentRequest,
  ): void {
    const { codec, directory, log } = this.#options;
    const metadata = codec.decodeResponse(status, headers);
    const { answeredBy, isLeaving, backoffMs, maxRequestsPerSecond, load } =
      metadata;
    const instance = target.instance ?? target.id;
    if (answeredBy !== undefined && answeredBy !== instance) return;
    if (isLeaving && directory.markLeaving(target.id)) {
      log.write("info", "targetLeaving", {
        target: target.id,
        source: "answer",
      });
    }
    if (backoffMs !== undefined) this.#recordBackoff(target.id, backoffMs);
    if (metadata.callId !== callId) return;
    this.#recordRateLimit(target.id, maxRequestsPerSecond, sentAtMs);
    if (load !== undefined) this.#recordLoad(target, load);
  }

  #recordLoad(target: Target, load: LoadReport): void {
    const { directory, targetLoads, clock, onSlowdownReport } = this.#options;
    // A late response of a target that is gone would leave a report that nothing removes.
    if (directory.findTarget(target.id) === undefined) return;
    const atMs = clock.readMonotonicMs();
    targetLoads.record({ ...load, target: target.id, atMs });
    if (load.slowdown !== undefined) onSlowdownReport?.(target, load.slowdown);
  }

  #recordRateLimit(
    id: string,
    maxPerSecond: number | undefined,
    sentAtMs: number,
  ): void {
    const { directory, rateLimits, clock, log } = this.#options;
    // A late response of a target that is gone would leave a limit that nothing ends.
    if (directory.findTarget(id) === undefined) return;
    const change = rateLimits.recordObservation(id, {
      maxPerSecond,
      sentAtMs,
      atMs: clock.readMonotonicMs(),
    });
    if (change === undefined) return;
    log.write("info", "targetRateLimit", {
      target: id,
      change,
      maxPerSecond,
      source: "answer",
    });
  }

  #recordBackoff(id: string, backoffMs: number): void {
    const { backoffs, clock, log } = this.#options;
    // All requests in flight get the same notice; only the first one is logged.
    if (!backoffs.recordBackoff(id, backoffMs, clock.readMonotonicMs())) return;
    log.write("info", "targetResting", { target: id, restMs: backoffMs });
  }
}
