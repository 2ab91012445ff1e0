/**
 * Exit codes of `heatherarch`.
 *
 * @module
 */

/** What an exit code means. */
export const EXIT_CODES = {
  done: 0,
  failed: 1,
  badInput: 2,
  rejected: 3,
  platformUnavailable: 4,
  waitTimedOut: 5,
  unreachable: 6,
} as const;

/** A failure with its exit code. */
export class CommandError extends Error {
  readonly exitCode: number;

  constructor(code: keyof typeof EXIT_CODES, message: string) {
    super(message);
    this.name = "CommandError";
    this.exitCode = EXIT_CODES[code];
  }
}
