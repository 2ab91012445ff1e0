/**
 * Listening on an address that is not available for a moment.
 *
 * @module
 */
import type { ListenOptions, Server } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** Options of {@linkcode retryListen}. */
export interface ListenRetryOptions {
  /** Time for which an address that is not available is tried, milliseconds. */
  readonly maxWaitMs?: number;
  /** Called with the reason before the address is tried again for the first time. */
  readonly onRetry?: (reason: string) => void;
  /** Ends the tries; the result is then rejected. */
  readonly signal?: AbortSignal;
}

/**
 * An address may still be used by a process that has just ended or by a client's connection, or may not be
 * assigned to the machine yet.
 */
const TRANSIENT_CODES: ReadonlySet<string> = new Set([
  "EADDRINUSE",
  "EADDRNOTAVAIL",
]);
const DEFAULT_MAX_WAIT_MS = 10_000;
const RETRY_DELAY_MS = 100;

/** Listens once. A listener that a failed try left behind would be added again at each further one. */
export async function listenOnce(
  server: Server,
  options: ListenOptions,
): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once("error", (error) => {
      server.off("listening", resolve);
      reject(error);
    });
    server.listen(options, resolve);
  });
}

/** Listens, and tries again for a while if the address is not available. Rejects with the last error. */
export async function retryListen<T>(
  listen: () => Promise<T>,
  options: ListenRetryOptions = {},
): Promise<T> {
  const { maxWaitMs = DEFAULT_MAX_WAIT_MS, onRetry, signal } = options;
  for (let waitedMs = 0;; waitedMs += RETRY_DELAY_MS) {
    try {
      return await listen();
    } catch (error) {
      const { code, message } = error as NodeJS.ErrnoException;
      const isTransient = TRANSIENT_CODES.has(code ?? "");
      if (!isTransient || waitedMs >= maxWaitMs) throw error;
      if (waitedMs === 0) onRetry?.(message);
      await sleep(RETRY_DELAY_MS, undefined, { signal });
    }
  }
}
