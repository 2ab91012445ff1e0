/**
 * Classes of HTTP statuses.
 *
 * @module
 */

const SUCCESS_STATUS = { min: 200, max: 299 };
/** Clients take these statuses for the promise that the call has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether an HTTP status means success. */
export function isSuccessStatus(status: number): boolean {
  return status >= SUCCESS_STATUS.min && status <= SUCCESS_STATUS.max;
}

/** Whether an HTTP status promises that the call has not run. */
export function isNotRunStatus(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}
