/**
 * Tells when everything that has arrived in the sockets of this process has been read.
 *
 * A process that is late reads a request some time before the end of the connection behind it, although
 * both have arrived: the event loop delivers one event of a socket at a time, and runs timers before it
 * looks at sockets. Whoever acts on an event waits for the barrier first, so that later events which are
 * there already are known.
 *
 * @module
 */
import { type Clock, RuntimeClock } from "./clock.ts";

/** Options of {@linkcode ReadBarrier}. */
export interface ReadBarrierOptions {
  readonly clock?: Pick<Clock, "readMonotonicMs">;
  /** Called with the time that a pass over all sockets took, milliseconds. */
  readonly onPass?: (tookMs: number) => void;
}

type Waiter = () => void;

/** The barrier of one process. */
export class ReadBarrier {
  readonly #options: Required<ReadBarrierOptions>;
  /** Waiters whose pass begins with the next check phase of the event loop. */
  #beginning: Waiter[] = [];
  /** Waiters whose pass began with the last check phase, and ends with the next one. */
  #passing: Waiter[] = [];
  #passBeganAtMs = 0;
  #lastPassMs = 0;
  #isScheduled = false;

  constructor(options: ReadBarrierOptions = {}) {
    this.#options = {
      clock: new RuntimeClock(),
      onPass: () => undefined,
      ...options,
    };
  }

  /** Time that the last pass over all sockets took, milliseconds. */
  get lastPassMs(): number {
    return this.#lastPassMs;
  }

  /** Resolves when what has arrived by now has been read. */
  awaitRead(): Promise<void> {
    return new Promise((resolve) => {
      this.#beginning.push(resolve);
      this.#schedule();
    });
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    // Immediates run in the check phase, right after the phase in which sockets are read.
    setImmediate(() => this.#check());
  }

  #check(): void {
    this.#isScheduled = false;
    const nowMs = this.#options.clock.readMonotonicMs();
    const passed = this.#passing;
    if (passed.length > 0) this.#recordPass(nowMs - this.#passBeganAtMs);
    this.#passing = this.#beginning;
    this.#beginning = [];
    this.#passBeganAtMs = nowMs;
    if (this.#passing.length > 0) this.#schedule();
    for (const resolve of passed) resolve();
  }

  #recordPass(tookMs: number): void {
    this.#lastPassMs = tookMs;
    this.#options.onPass(tookMs);
  }
}
