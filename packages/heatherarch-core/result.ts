/**
 * `ts-results` is a CommonJS package; this module gives its constructors named exports.
 *
 * @module
 */
import tsResults from "ts-results";
import type { Result as LibraryResult } from "ts-results";

/** Success or failure as a value. */
export type Result<T, E> = LibraryResult<T, E>;

/** Wraps a success. */
export const Ok = tsResults.Ok;
/** Wraps a failure. */
export const Err = tsResults.Err;
