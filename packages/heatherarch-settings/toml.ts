/**
 * Reading TOML with the place of a syntax error.
 *
 * @module
 */
import { parse, TomlError } from "smol-toml";
import { Err, Ok, type Result } from "heatherarch-core";
import type { Fault } from "./fault.ts";

/** Parses TOML text into a plain object. */
export function parseToml(
  text: string,
): Result<Record<string, unknown>, Fault[]> {
  try {
    return Ok(parse(text) as Record<string, unknown>);
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    const place = `line ${error.line}, column ${error.column}`;
    return Err([{ place, reason: error.message.split("\n")[0] }]);
  }
}
