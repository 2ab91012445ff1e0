/**
 * Finds violated invariants in the logs of the VMs, with the log lines that precede each.
 *
 * @module
 */
import { existsSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { INVARIANT_VIOLATED } from "heatherarch-daemon";

/** One violated invariant. */
export interface ViolationEntry {
  readonly vm: string;
  readonly invariant: string;
  readonly detail: string;
  /** Time since the start of the run, milliseconds. */
  readonly atMs: number;
  /** Last log lines of the VM, up to and including the violation. */
  readonly lines: readonly string[];
}

/** Options of {@linkcode listViolations}. */
export interface ViolationListOptions {
  /** Folder with the log files of the VMs. */
  readonly folder: string;
  readonly vms: readonly string[];
  /** Start of the run, milliseconds since the Unix epoch. */
  readonly startedAtUnixMs: number;
}

/** Number of log lines that are listed with a violation. */
const CONTEXT_LINES = 20;

/** Lists the violations of all VMs in order of time. */
export function listViolations(
  { folder, vms, startedAtUnixMs }: ViolationListOptions,
): ViolationEntry[] {
  return vms
    .flatMap((vm) => {
      const file = join(folder, `${vm}.log`);
      if (!existsSync(file)) return [];
      const text = readFileSync(file, "utf8");
      return parseViolations(vm, text, startedAtUnixMs);
    })
    .sort((a, b) => a.atMs - b.atMs);
}

/** Finds the violations in the log of one VM. */
export function parseViolations(
  vm: string,
  text: string,
  startedAtUnixMs: number,
): ViolationEntry[] {
  const lines = text.split("\n").filter((line) => line !== "");
  return lines.flatMap((line, index) => {
    const entry = parseLine(line);
    if (entry?.message !== INVARIANT_VIOLATED) return [];
    return [{
      vm,
      invariant: String(entry.invariant),
      detail: String(entry.detail),
      atMs: Date.parse(String(entry.timestamp)) - startedAtUnixMs,
      lines: lines.slice(Math.max(0, index + 1 - CONTEXT_LINES), index + 1),
    }];
  });
}

/** Parses a log line. Other output, such as warnings of the runtime, is ignored. */
function parseLine(line: string): Record<string, unknown> | undefined {
  if (!line.startsWith("{")) return undefined;
  try {
    return JSON.parse(line) as Record<string, unknown>;
  } catch {
    return undefined;
  }
}
