/**
 * Appends that survive lost answers: every record carries an id, and after an uncertain
 * append the stream is read forward for that id before the record is appended again.
 *
 * @module
 */
import { sleep } from "heatherarch-core";
import { type LogPort, LogUnavailableError } from "./log_port.ts";

/** A record content with its idempotency id. */
export interface IdentifiedRecord {
  readonly id: string;
}

/** Options of {@linkcode appendOnce}. */
export interface AppendOnceOptions {
  /** Offset from which the record may stand: the writer's applied offset before it appended. */
  readonly searchFrom: number;
  /** Total time to try, milliseconds. */
  readonly timeoutMs: number;
  readonly retryMs?: number;
  readonly readMonotonicMs: () => number;
}

const DEFAULT_RETRY_MS = 100;
const SEARCH_PAGE_SIZE = 1000;

/**
 * Appends `record` so that readers see it once, and returns its offset. Readers must still
 * drop a repeated id: an append whose answer was lost may surface after the search.
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

/** Reads forward from `from` for the record with `id`. */
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
