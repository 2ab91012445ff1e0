/**
 * Reads the CPU time and memory use of a process from `/proc`.
 *
 * @module
 */
import { readFileSync } from "node:fs";

const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4096;
const UTIME_FIELD = 11;
const STIME_FIELD = 12;

/** CPU time of a process since its start, and its current memory use. */
export interface ProcessUsage {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}

/** Reads the resource usage of a process by its id. */
export function readUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[UTIME_FIELD]) + Number(fields[STIME_FIELD]);
  const pages = Number(
    readFileSync(`/proc/${pid}/statm`, "utf8").split(" ")[1],
  );
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentBytes: pages * PAGE_BYTES,
  };
}
