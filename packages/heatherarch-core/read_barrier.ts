/**
 * Tells when everything that has arrived in the sockets of this process has been read.
 *
 * A process that is late reads a request some time before the end of the connection behind it, although
 * both have arrived: the event loop delivers one event of a socket at a time, accepts one connection per
 * turn, and runs timers before it looks at sockets. Whoever acts on an event waits for the barrier first,
 * so that later events which are there already are known.
 *
 * @module
 */
import { type Clock, RuntimeClock } from "./clock.ts";

/**
 * What keeps unread events from being missed: a waiter waits for a whole pass that begins after it, and
 * work is started only as long as the pass is current.
 */
export const READ_BARRIER_GUARDS = ["wholePass", "boundedWork"] as const;

/** Name of a guard of {@linkcode ReadBarrier}. */
export type ReadBarrierGuard = typeof READ_BARRIER_GUARDS[number];

/** Options of {@linkcode ReadBarrier}. */
export interface ReadBarrierOptions {
  readonly clock?: Pick<Clock, "readMonotonicMs">;
  /** Called with the time that a pass over all sockets took, milliseconds. */
  readonly onPass?: (tookMs: number) => void;
  /** Runs a function in the next check phase of the event loop, right after sockets are read. */
  readonly scheduleCheck?: (run: () => void) => void;
  /** Guards that a proof disables. */
  readonly disabledGuards?: ReadonlySet<ReadBarrierGuard>;
}

type Waiter = () => void;

/**
 * Time for which the result of a pass is used, milliseconds: what arrives meanwhile is not known. It is a
 * fifth of the time within which the disconnect of a client should end its call. With 50 ms, calls of a
 * busy process, whose passes take as long, waited for another pass before each of their sends.
 */
const MAX_READ_AGE_MS = 100;

/** The barrier of one process. */
export class ReadBarrier {
  readonly #options: Required<ReadBarrierOptions>;
  /** Waiters whose pass begins with the next check phase of the event loop. */
  #beginning: Waiter[] = [];
  /** Waiters whose pass began with the last check phase, and ends with the next one. */
  #passing: Waiter[] = [];
  /** Work that waits for its turn, in its order. */
  readonly #work: Waiter[] = [];
  #passBeganAtMs = 0;
  #passEndedAtMs = -Infinity;
  #lastPassMs = 0;
  #isScheduled = false;

  constructor(options: ReadBarrierOptions = {}) {
    this.#options = {
      clock: new RuntimeClock(),
      onPass: () => undefined,
      scheduleCheck: (run) => void setImmediate(run),
      disabledGuards: new Set(),
      ...options,
    };
  }

  /** Time that the last pass over all sockets took, milliseconds. */
  get lastPassMs(): number {
    return this.#lastPassMs;
  }

  /** Whether a pass has just ended, so that what it read may be acted on without another one. */
  get isCurrent(): boolean {
    return this.#nowMs - this.#passEndedAtMs <= MAX_READ_AGE_MS;
  }

  /** Resolves when what has arrived by now has been read. */
  awaitRead(): Promise<void> {
    return new Promise((resolve) => {
      const isWhole = !this.#options.disabledGuards.has("wholePass");
      (isWhole ? this.#beginning : this.#passing).push(resolve);
      this.#schedule();
    });
  }

  /**
   * Resolves when what has arrived by now has been read and it is the caller's turn: work is started
   * after a pass only as long as the pass is current, and the rest waits for another one.
   */
  async awaitTurn(): Promise<void> {
    await this.awaitRead();
    await new Promise<void>((resolve) => {
      this.#work.push(resolve);
      if (this.#work.length === 1) this.#startWork();
    });
  }

  get #nowMs(): number {
    return this.#options.clock.readMonotonicMs();
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    this.#options.scheduleCheck(() => this.#check());
  }

  #check(): void {
    this.#isScheduled = false;
    const passed = this.#passing;
    const isPass = passed.length > 0;
    if (isPass) this.#recordPass();
    this.#passing = this.#beginning;
    this.#beginning = [];
    this.#passBeganAtMs = this.#nowMs;
    if (this.#passing.length > 0) this.#schedule();
    for (const resolve of passed) resolve();
  }

  #recordPass(): void {
    this.#passEndedAtMs = this.#nowMs;
    this.#lastPassMs = this.#passEndedAtMs - this.#passBeganAtMs;
    this.#options.onPass(this.#lastPassMs);
  }

  /** Starts the first work, or has it wait for another pass. */
  #startWork(): void {
    const isBounded = !this.#options.disabledGuards.has("boundedWork");
    if (isBounded && !this.isCurrent) {
      void this.awaitRead().then(() => this.#startNext());
      return;
    }
    this.#startNext();
  }

  #startNext(): void {
    const [resolve] = this.#work;
    resolve();
    // The tick follows the microtasks in which the work that was started runs.
    queueMicrotask(() =>
      process.nextTick(() => {
        this.#work.shift();
        if (this.#work.length > 0) this.#startWork();
      })
    );
  }
}
