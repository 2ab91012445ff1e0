/**
 * `ts-results` is a CommonJS package beside a module build; this module gives its constructors
 * named exports whichever of the two is loaded.
 *
 * @module
 */
import * as library from "ts-results";
import type { Result as LibraryResult } from "ts-results";

type Constructors = Pick<typeof library, "Ok" | "Err">;
const { default: wrapped } = library as unknown as { default?: Constructors };
const constructors: Constructors = wrapped ?? library;

/** Success or failure as a value. */
export type Result<T, E> = LibraryResult<T, E>;

/** Wraps a success. */
export const Ok = constructors.Ok;
/** Wraps a failure. */
export const Err = constructors.Err;
