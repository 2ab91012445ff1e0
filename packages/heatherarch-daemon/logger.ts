/**
 * JSON logs. Only changes of state are logged.
 *
 * @module
 */
import winston from "winston";

/** Writes log lines. */
export type Logger = Pick<winston.Logger, "info" | "warn" | "error" | "debug">;

/** Message of the log line for a violated invariant. */
export const INVARIANT_VIOLATED = "invariant violated";

/** Creates the logger of the process, which writes JSON lines to standard error. */
export function createLogger(options: { level: string; vm: string }): Logger {
  return winston.createLogger({
    level: options.level,
    defaultMeta: { vm: options.vm },
    format: winston.format.combine(
      winston.format.timestamp(),
      winston.format.json(),
    ),
    transports: [
      new winston.transports.Console({
        stderrLevels: ["error", "warn", "info", "debug"],
      }),
    ],
  });
}
