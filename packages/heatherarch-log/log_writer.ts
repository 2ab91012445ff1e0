/**
 * Idempotent appends. Each record carries an id. If the response to an append is lost, the stream
 * is searched for that id before the record is appended again.
 *
 * @module
 */
import { sleep } from "heatherarch-core";
import { type LogPort, LogUnavailableError } from "./log_port.ts";

/** Content of a record with the id that makes its append idempotent. */
export interface IdentifiedRecord {
  readonly id: string;
}

/** Options of {@linkcode appendOnce}. */
export interface AppendOnceOptions {
  /** First offset that the record can have: the writer's applied offset before the append. */
  readonly searchFrom: number;
  /** Total time for all attempts, milliseconds. */
  readonly timeoutMs: number;
  readonly retryMs?: number;
  readonly readMonotonicMs: () => number;
}

const DEFAULT_RETRY_MS = 100;
const SEARCH_PAGE_SIZE = 1000;

/**
 * Appends `record` once and returns its offset. Readers must still drop a repeated id, since an
 * append whose response was lost may reach the stream after the search.
 */
export async function appendOnce(
  log: LogPort,
  stream: string,
  record: IdentifiedRecord,
  options: AppendOnceOptions,
): Promise<number> {
  const deadlineMs = options.readMonotonicMs() + options.timeoutMs;
  let isUncertain = false;
  while (true) {
    try {
      if (isUncertain) {
        const found = await findRecord(
          log,
          stream,
          record.id,
          options.searchFrom,
        );
        if (found !== undefined) return found;
      }
      return await log.append(stream, record);
    } catch (error) {
      if (!(error instanceof LogUnavailableError)) throw error;
      isUncertain = true;
      if (options.readMonotonicMs() >= deadlineMs) throw error;
      await sleep(options.retryMs ?? DEFAULT_RETRY_MS);
    }
  }
}

/** Searches the stream from offset `from` on for the record with `id`, and returns its offset. */
export async function findRecord(
  log: LogPort,
  stream: string,
  id: string,
  from: number,
): Promise<number | undefined> {
  let position = from;
  while (true) {
    const slice = await log.read(stream, position, {
      maxRecords: SEARCH_PAGE_SIZE,
    });
    for (const record of slice.records) {
      if ((record.data as IdentifiedRecord | null)?.id === id) {
        return record.offset;
      }
    }
    const last = slice.records.at(-1);
    if (last === undefined || last.offset + 1 >= slice.next) return undefined;
    position = last.offset + 1;
  }
}
