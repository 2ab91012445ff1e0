/**
 * A position in a stream that moves without gaps. Feeding it slices tells what may be
 * applied, and whether records were trimmed before they were read.
 *
 * @module
 */
import type { LogPort, LogRecord, LogSlice } from "./log_port.ts";

/** What a slice means to a reader. */
export type SliceVerdict =
  | {
    readonly kind: "apply";
    readonly records: readonly LogRecord[];
    readonly isCurrent: boolean;
  }
  | { readonly kind: "gap"; readonly first: number };

/** Judges `slice` for a reader whose next offset is `wanted`. */
export function classifySlice(wanted: number, slice: LogSlice): SliceVerdict {
  if (wanted < slice.first) return { kind: "gap", first: slice.first };
  const records: LogRecord[] = [];
  let expected = wanted;
  for (const record of slice.records) {
    if (record.offset < expected) continue;
    if (record.offset !== expected) break;
    records.push(record);
    expected++;
  }
  return { kind: "apply", records, isCurrent: expected >= slice.next };
}

const READ_PAGE_SIZE = 500;

/** Reads every record that the log still keeps of a stream. */
export async function readWholeStream(
  log: LogPort,
  stream: string,
): Promise<LogRecord[]> {
  const records: LogRecord[] = [];
  let from = 0;
  while (true) {
    const page = await log.read(stream, from, { maxRecords: READ_PAGE_SIZE });
    records.push(...page.records);
    const last = page.records.at(-1);
    if (last === undefined || last.offset + 1 >= page.next) return records;
    from = last.offset + 1;
  }
}
