/**
 * Classes of HTTP statuses.
 *
 * @module
 */

const SUCCESS_STATUS = { min: 200, max: 299 };

/** Whether an HTTP status means success. */
export function isSuccessStatus(status: number): boolean {
  return status >= SUCCESS_STATUS.min && status <= SUCCESS_STATUS.max;
}
