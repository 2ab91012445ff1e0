/**
 * Violated invariants as the VMs' logs tell them, with the lines that led there.
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
  /** Lines of the VM up to the violation. */
  readonly lines: readonly string[];
}

/** Options of {@linkcode listViolations}. */
export interface ViolationListOptions {
  /** Folder of the VMs' logs. */
  readonly folder: string;
  readonly vms: readonly string[];
  /** Start of the run, Unix milliseconds. */
  readonly startedAtUnixMs: number;
}

/** Lines that are kept of each VM. */
const CONTEXT_LINES = 20;

/** Reads the violations of all VMs, in the order of their times. */
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

/** Processes may write other text than lines of their logger, such as warnings of the runtime. */
function parseLine(line: string): Record<string, unknown> | undefined {
  if (!line.startsWith("{")) return undefined;
  try {
    return JSON.parse(line) as Record<string, unknown>;
  } catch {
    return undefined;
  }
}
