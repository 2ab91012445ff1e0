/**
 * Generations that callers may resume, on the VM that serves them.
 *
 * @module
 */
import type { ServeError } from "heatherarch-core";
import type { StreamSlice } from "./gateway_host.ts";

/** One resumable answer. */
export interface StoredGeneration {
  readonly model: string;
  readonly texts: string[];
  state: "running" | "ended" | "failed";
  error: ServeError | undefined;
  /** Called whenever there is more to read. */
  readonly listeners: Set<() => void>;
}

/** Keeps answers until some time after their end. */
export class GenerationStore {
  readonly #entries = new Map<string, StoredGeneration>();

  /** Starts to keep an answer. */
  open(requestId: string, model: string): StoredGeneration {
    const entry: StoredGeneration = {
      model,
      texts: [],
      state: "running",
      error: undefined,
      listeners: new Set(),
    };
    this.#entries.set(requestId, entry);
    return entry;
  }

  /** Marks an answer as over, and forgets it after `keepMs`. */
  complete(
    requestId: string,
    error: ServeError | undefined,
    retentionMs: number,
  ): void {
    const entry = this.#entries.get(requestId);
    if (entry === undefined) return;
    entry.state = error === undefined ? "ended" : "failed";
    entry.error = error;
    for (const notify of [...entry.listeners]) notify();
    setTimeout(() => this.#entries.delete(requestId), retentionMs).unref();
  }

  /** Tokens of an answer from index `from` on. */
  read(requestId: string, from: number): StreamSlice {
    const entry = this.#entries.get(requestId);
    if (entry === undefined) return { texts: [], state: "unknown", model: "" };
    return {
      texts: entry.texts.slice(from),
      state: entry.state,
      model: entry.model,
      ...(entry.error === undefined ? {} : { kind: entry.error.kind }),
    };
  }

  /** Waits until there is something after `from`, or `waitMs` have passed. */
  async readNext(
    requestId: string,
    from: number,
    timeoutMs: number,
  ): Promise<StreamSlice> {
    const entry = this.#entries.get(requestId);
    if (
      entry !== undefined && entry.state === "running" &&
      entry.texts.length <= from
    ) {
      await new Promise<void>((resolve) => {
        const notify = (): void => {
          clearTimeout(timer);
          entry.listeners.delete(notify);
          resolve();
        };
        const timer = setTimeout(notify, timeoutMs);
        entry.listeners.add(notify);
      });
    }
    return this.read(requestId, from);
  }
}
