/**
 * Finding files below a folder.
 *
 * @module
 */
import { existsSync, readdirSync, readFileSync as readBytes } from "node:fs";
import { join } from "node:path";

export { existsSync };

/** Reads a file as text. */
export function readTextFile(file: string): string {
  return readBytes(file, "utf8");
}

/** Files below `folder` whose path matches, sorted. */
export function findFiles(folder: string, pattern: RegExp): string[] {
  const found = readdirSync(folder, { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile())
    .map((entry) => join(entry.parentPath ?? entry.path, entry.name))
    .filter((file) => pattern.test(file) && !file.includes("node_modules"));
  return found.sort();
}
