/**
 * The log of a VM's background tasks and listeners. The loop of a task logs the failures that it has caught, so
 * an error of the log there would end it for good; one in a listener would end the work that called it.
 *
 * @module
 */
import type { EventLog, LogLevel } from "./event_log.ts";
import { type ErrorSink, reportInternalError } from "./report_error.ts";

/** A log that reports its own errors and never throws. */
export class TaskLog implements EventLog {
  readonly #sink: ErrorSink;

  constructor(sink: ErrorSink) {
    this.#sink = sink;
  }

  write(
    level: LogLevel,
    event: string,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    try {
      this.#sink.log.write(level, event, fields);
    } catch (error) {
      reportInternalError(this.#sink, "process", error, { event });
    }
  }
}
