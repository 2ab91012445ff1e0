/**
 * Exit codes of `heatherarch`.
 *
 * @module
 */

/** Exit codes by outcome. The help text prints the names. */
export const EXIT_CODES = {
  done: 0,
  failed: 1,
  badInput: 2,
  rejected: 3,
  platformUnavailable: 4,
  waitTimedOut: 5,
  unreachable: 6,
} as const;

/** A command failure and the exit code to report. */
export class CommandError extends Error {
  readonly exitCode: number;

  constructor(code: keyof typeof EXIT_CODES, message: string) {
    super(message);
    this.name = "CommandError";
    this.exitCode = EXIT_CODES[code];
  }
}
