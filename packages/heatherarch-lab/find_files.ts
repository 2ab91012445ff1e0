/**
 * Finds and reads files.
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

/** Lists the files below `folder` whose path matches `pattern`, sorted by path. */
export function findFiles(folder: string, pattern: RegExp): string[] {
  const files = readdirSync(folder, { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile())
    .map((entry) => join(entry.parentPath ?? entry.path, entry.name))
    .filter((file) => pattern.test(file) && !file.includes("node_modules"));
  return files.sort();
}
