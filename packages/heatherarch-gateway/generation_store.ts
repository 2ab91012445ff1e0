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
    keepMs: number,
  ): void {
    const entry = this.#entries.get(requestId);
    if (entry === undefined) return;
    entry.state = error === undefined ? "ended" : "failed";
    entry.error = error;
    for (const wake of [...entry.listeners]) wake();
    setTimeout(() => this.#entries.delete(requestId), keepMs).unref();
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
    waitMs: number,
  ): Promise<StreamSlice> {
    const entry = this.#entries.get(requestId);
    if (
      entry !== undefined && entry.state === "running" &&
      entry.texts.length <= from
    ) {
      await new Promise<void>((resolve) => {
        const wake = (): void => {
          clearTimeout(timer);
          entry.listeners.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, waitMs);
        entry.listeners.add(wake);
      });
    }
    return this.read(requestId, from);
  }
}
