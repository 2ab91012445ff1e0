/**
 * Issues of settings and other input documents. All issues of a document are reported at once, each
 * with its location and reason.
 *
 * @module
 */
import type { z } from "zod";

/** One issue of a document. */
export interface InputIssue {
  /** Path into the document, for example `targets[3].address`. */
  readonly location: string;
  readonly reason: string;
}

/** Formats a path of keys and indexes as a location. */
export function formatPath(path: readonly PropertyKey[]): string {
  let text = "";
  for (const part of path) {
    if (typeof part === "number") text += `[${part}]`;
    else text += text === "" ? String(part) : `.${String(part)}`;
  }
  return text === "" ? "(document)" : text;
}

/** Converts the issues of a failed validation. */
export function buildIssues(error: z.ZodError): InputIssue[] {
  return error.issues.map((issue) => ({
    location: formatPath(issue.path),
    reason: issue.message,
  }));
}

/** Formats issues, one per line. */
export function formatIssues(issues: readonly InputIssue[]): string {
  return issues.map((issue) => `${issue.location}: ${issue.reason}`).join("\n");
}
