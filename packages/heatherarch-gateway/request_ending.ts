/**
 * The end of a request by the shutdown of its VM.
 *
 * @module
 */
import { ServeError } from "heatherarch-core";
import type { EndableCall } from "heatherarch-shutdown";

/** Says that the VM shuts down before it has run the request. */
export function buildShutdownRefusal(): ServeError {
  return new ServeError(
    "shuttingDown",
    "this VM shuts down before the request can end; it has not run",
  );
}

/** What a plain call tells of its attempts. */
export interface AttemptWatch {
  /** Whether the request has ended, so that nothing may be sent any more. */
  readonly hasEnded: boolean;
  /** Records that an attempt is being written. Returns a function for one that certainly did not run. */
  recordSend(): () => void;
}

/** Ends one request if it is open when the VM ends. */
export class RequestEnding implements EndableCall, AttemptWatch {
  /** Rejects when the VM ends, unless the request has a handler of its own. */
  readonly ended: Promise<never>;
  #reject: (error: ServeError) => void = () => undefined;
  #handler: (() => void) | undefined;
  #hasEnded = false;
  /** Attempts that may have run. */
  #attempts = 0;

  constructor() {
    this.ended = new Promise((_, reject) => {
      this.#reject = reject;
    });
    // It may reject before anything waits for it.
    this.ended.catch(() => undefined);
  }

  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Lets `handler` end the request, which can tell what became of it. */
  setHandler(handler: () => void): void {
    this.#handler = handler;
    if (this.#hasEnded) handler();
  }

  recordSend(): () => void {
    this.#attempts++;
    return () => {
      this.#attempts--;
    };
  }

  endForShutdown(): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    if (this.#handler !== undefined) return this.#handler();
    this.#reject(
      this.#attempts === 0 ? buildShutdownRefusal() : new ServeError(
        "targetFailed",
        "this VM shut down before the response arrived; the call may have run",
      ),
    );
  }
}
