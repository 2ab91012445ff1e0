/**
 * Reports errors that no code expects, such as a failed argument check of a library. The place that
 * reports one continues with what follows from it, so that no operation is left without an end.
 *
 * @module
 */
import type { EventLog } from "./event_log.ts";
import type { ForwardMetrics } from "./metrics.ts";

/**
 * Where an unexpected error came up:
 * - `attempt`: while a request to a target was sent or its response was read.
 * - `call`: elsewhere in a call, which it ends.
 * - `offer`: while a call was offered to a peer.
 * - `queue`: while the place of a waiting call was sought.
 * - `connections`: while what a target's response head says of the target was applied.
 * - `watch`: in a timer or a listener of a call, which goes on.
 * - `process`: anywhere else.
 */
export type ErrorPlace =
  | "attempt"
  | "call"
  | "offer"
  | "queue"
  | "connections"
  | "watch"
  | "process";

/** Where errors are reported. */
export interface ErrorSink {
  readonly log: EventLog;
  readonly metrics: Pick<ForwardMetrics, "internalErrors">;
}

/** Logs and counts an error that nothing handled. Never throws, as that would end the process. */
export function reportUncaught(
  log: EventLog,
  metrics: Pick<ForwardMetrics, "internalErrors"> | undefined,
  thrown: unknown,
): void {
  runQuietly(() => metrics?.internalErrors.inc({ place: "process" }));
  runQuietly(() =>
    log.write("error", "uncaught", { error: formatThrown(thrown) })
  );
}

/** Logs and counts an unexpected error. Never throws, as the log or the metrics may have failed. */
export function reportInternalError(
  { log, metrics }: ErrorSink,
  place: ErrorPlace,
  thrown: unknown,
  fields: Readonly<Record<string, unknown>> = {},
): void {
  runQuietly(() => metrics.internalErrors.inc({ place }));
  runQuietly(() =>
    log.write("error", "internalError", {
      place,
      ...fields,
      error: formatThrown(thrown),
    })
  );
}

/** Runs a step that nothing awaits, and reports if it throws or its promise is rejected. */
export function runReported(
  sink: ErrorSink,
  place: ErrorPlace,
  step: () => void | Promise<void>,
): void {
  const report = (error: unknown): void =>
    reportInternalError(sink, place, error);
  try {
    step()?.catch(report);
  } catch (error) {
    report(error);
  }
}

/** Runs all steps, also after one of them has thrown, and throws the first error afterwards. */
export function runAll(steps: readonly (() => void)[]): void {
  const errors: unknown[] = [];
  for (const step of steps) {
    try {
      step();
    } catch (error) {
      errors.push(error);
    }
  }
  if (errors.length > 0) throw errors[0];
}

function runQuietly(step: () => void): void {
  try {
    step();
  } catch {
    // What reports the errors has failed itself.
  }
}

function formatThrown(thrown: unknown): string {
  return thrown instanceof Error
    ? thrown.stack ?? thrown.message
    : String(thrown);
}
