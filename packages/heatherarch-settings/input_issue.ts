/**
 * Faults found in settings: all of them at once, each with its place and its reason.
 *
 * @module
 */
import type { z } from "zod";

/** One thing wrong with a document. */
export interface InputIssue {
  /** Path into the document, for example `targets[3].address`. */
  readonly location: string;
  readonly reason: string;
}

/** Formats a path of keys and indexes. */
export function formatPath(path: readonly PropertyKey[]): string {
  let text = "";
  for (const part of path) {
    if (typeof part === "number") text += `[${part}]`;
    else text += text === "" ? String(part) : `.${String(part)}`;
  }
  return text === "" ? "(document)" : text;
}

/** Turns the issues of a failed parse into faults. */
export function buildIssues(error: z.ZodError): InputIssue[] {
  return error.issues.map((issue) => ({
    location: formatPath(issue.path),
    reason: issue.message,
  }));
}

/** Formats faults one a line. */
export function formatIssues(faults: readonly InputIssue[]): string {
  return faults.map((fault) => `${fault.location}: ${fault.reason}`).join("\n");
}
