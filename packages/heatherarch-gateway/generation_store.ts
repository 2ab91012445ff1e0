/**
 * Stores resumable generations on the VM that serves them.
 *
 * @module
 */
import type { ServeError } from "heatherarch-core";
import type { StreamSlice } from "./gateway_host.ts";
import type { GenerationRequest } from "./openai_format.ts";

/** One resumable generation. */
export interface StoredGeneration {
  readonly model: string;
  readonly requestKind: GenerationRequest["kind"];
  readonly texts: string[];
  state: "running" | "ended" | "failed";
  error: ServeError | undefined;
  /** Called when tokens were added or the generation ended. */
  readonly listeners: Set<() => void>;
}

/** Stores generations, and drops each some time after its end. */
export class GenerationStore {
  readonly #entries = new Map<string, StoredGeneration>();

  /** Number of generations that have not ended. */
  get running(): number {
    return [...this.#entries.values()]
      .filter(({ state }) => state === "running").length;
  }

  /** Adds a generation. */
  open(
    requestId: string,
    { model, kind }: Pick<GenerationRequest, "model" | "kind">,
  ): StoredGeneration {
    const entry: StoredGeneration = {
      model,
      requestKind: kind,
      texts: [],
      state: "running",
      error: undefined,
      listeners: new Set(),
    };
    this.#entries.set(requestId, entry);
    return entry;
  }

  /** Marks a generation as ended or failed, and drops it after `retentionMs`. */
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

  /** Returns the tokens of a generation from index `from` on. */
  read(requestId: string, from: number): StreamSlice {
    const entry = this.#entries.get(requestId);
    if (entry === undefined) return { texts: [], state: "unknown", model: "" };
    return {
      texts: entry.texts.slice(from),
      state: entry.state,
      model: entry.model,
      requestKind: entry.requestKind,
      ...(entry.error === undefined ? {} : { kind: entry.error.kind }),
    };
  }

  /** Reads tokens from index `from` on. If there are none yet, waits at most `timeoutMs`. */
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
