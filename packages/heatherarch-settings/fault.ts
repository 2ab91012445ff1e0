/**
 * Faults found in settings: all of them at once, each with its place and its reason.
 *
 * @module
 */
import type { z } from "zod";

/** One thing wrong with a document. */
export interface Fault {
  /** Path into the document, for example `targets[3].address`. */
  readonly place: string;
  readonly reason: string;
}

/** Formats a path of keys and indexes. */
export function formatPlace(path: readonly PropertyKey[]): string {
  let text = "";
  for (const part of path) {
    if (typeof part === "number") text += `[${part}]`;
    else text += text === "" ? String(part) : `.${String(part)}`;
  }
  return text === "" ? "(document)" : text;
}

/** Turns the issues of a failed parse into faults. */
export function buildFaults(error: z.ZodError): Fault[] {
  return error.issues.map((issue) => ({
    place: formatPlace(issue.path),
    reason: issue.message,
  }));
}

/** Formats faults one a line. */
export function formatFaults(faults: readonly Fault[]): string {
  return faults.map((fault) => `${fault.place}: ${fault.reason}`).join("\n");
}
