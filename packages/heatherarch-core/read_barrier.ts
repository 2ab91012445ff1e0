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
 * What keeps unread events from being missed: a waiter waits for a whole pass that begins after it, a
 * pass that took too long is repeated, and work is started only as long as the pass is current.
 */
export const READ_BARRIER_GUARDS = [
  "wholePass",
  "freshPass",
  "boundedWork",
] as const;

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
 * Time from the begin of a pass for which its result is used, milliseconds: what arrives meanwhile is not
 * known. It is less than half of the time within which the disconnect of a client should end its call,
 * and a few times as long as a pass of a busy process. With 50 ms from the end of a pass, most sends of
 * such a process waited for another pass.
 */
const MAX_READ_AGE_MS = 200;
/**
 * A pass that took longer is repeated: the process may have been frozen after it had read. Without a
 * limit, a process that gets very little processor time would not do any work.
 */
const MAX_REPEATED_PASSES = 3;

/** The barrier of one process. */
export class ReadBarrier {
  readonly #options: Required<ReadBarrierOptions>;
  /** Waiters whose pass begins with the next check phase of the event loop. */
  #beginning: Waiter[] = [];
  /** Waiters whose pass began with the last check phase, and ends with the next one. */
  #passing: Waiter[] = [];
  /** Work that waits for its turn, in its order: that in progress goes before new work. */
  readonly #workInProgress: Waiter[] = [];
  readonly #newWork: Waiter[] = [];
  #isWorking = false;
  #passBeganAtMs = 0;
  /** Everything that had arrived by then has been read. */
  #readUpToMs = -Infinity;
  #lastPassMs = 0;
  #repeatedPasses = 0;
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

  /** Whether what the last pass has read may be acted on without another one. */
  get isCurrent(): boolean {
    return this.#nowMs - this.#readUpToMs <= MAX_READ_AGE_MS;
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
  async awaitTurn(
    { isInProgress = false }: { isInProgress?: boolean } = {},
  ): Promise<void> {
    await this.awaitRead();
    await new Promise<void>((resolve) => {
      (isInProgress ? this.#workInProgress : this.#newWork).push(resolve);
      if (!this.#isWorking) this.#startWork();
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
    if (passed.length > 0) this.#recordPass();
    const isRepeated = passed.length > 0 && this.#mustRepeatPass();
    this.#passing = isRepeated
      ? [...passed, ...this.#beginning]
      : this.#beginning;
    this.#beginning = [];
    this.#passBeganAtMs = this.#nowMs;
    if (this.#passing.length > 0) this.#schedule();
    if (!isRepeated) { for (const resolve of passed) resolve(); }
    // Whatever the listener throws, the waiters are released before.
    if (passed.length > 0) this.#options.onPass(this.#lastPassMs);
  }

  #recordPass(): void {
    this.#readUpToMs = this.#passBeganAtMs;
    this.#lastPassMs = this.#nowMs - this.#passBeganAtMs;
  }

  #mustRepeatPass(): boolean {
    const mustRepeat = !this.isCurrent &&
      this.#repeatedPasses < MAX_REPEATED_PASSES &&
      !this.#options.disabledGuards.has("freshPass");
    this.#repeatedPasses = mustRepeat ? this.#repeatedPasses + 1 : 0;
    return mustRepeat;
  }

  /** Starts the work that is next, or has it wait for another pass. */
  #startWork(): void {
    this.#isWorking = true;
    const isBounded = !this.#options.disabledGuards.has("boundedWork");
    if (isBounded && !this.isCurrent) {
      void this.awaitRead().then(() => this.#startNext());
      return;
    }
    this.#startNext();
  }

  #startNext(): void {
    const resolve = this.#workInProgress.shift() ?? this.#newWork.shift();
    resolve?.();
    // The tick follows the microtasks in which the work that was started runs.
    queueMicrotask(() => process.nextTick(() => this.#continueWork()));
  }

  #continueWork(): void {
    const waiting = this.#workInProgress.length + this.#newWork.length;
    if (waiting > 0) this.#startWork();
    else this.#isWorking = false;
  }
}
