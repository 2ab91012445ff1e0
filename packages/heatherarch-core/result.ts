/**
 * Named exports of the constructors of `ts-results`. That package has a CommonJS and an ES module
 * build, and this module works with either.
 *
 * @module
 */
import * as library from "ts-results";
import type { Result as LibraryResult } from "ts-results";

type Constructors = Pick<typeof library, "Ok" | "Err">;
const { default: wrapped } = library as unknown as { default?: Constructors };
const constructors: Constructors = wrapped ?? library;

/** A success or a failure as a value. */
export type Result<T, E> = LibraryResult<T, E>;

/** Creates a success. */
export const Ok = constructors.Ok;
/** Creates a failure. */
export const Err = constructors.Err;
