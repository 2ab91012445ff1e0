/**
 * Reading TOML with the place of a syntax error.
 *
 * @module
 */
import { parse, TomlError } from "smol-toml";
import { Err, Ok, type Result } from "heatherarch-core";
import type { InputIssue } from "./input_issue.ts";

/** Parses TOML text into a plain object. */
export function parseToml(
  text: string,
): Result<Record<string, unknown>, InputIssue[]> {
  try {
    return Ok(parse(text) as Record<string, unknown>);
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    const location = `line ${error.line}, column ${error.column}`;
    return Err([{ location, reason: error.message.split("\n")[0] }]);
  }
}
