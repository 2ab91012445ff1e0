/**
 * The graceful shutdown of one VM: its phases, its deadline, and the calls that it still owes an end.
 *
 * @module
 */
import { assertInvariant, type Clock } from "heatherarch-core";
import { CallDurations } from "./call_durations.ts";
import {
  type KindCounts,
  type ShutdownOutcome,
  ShutdownTally,
} from "./shutdown_tally.ts";

/**
 * `running` until a shutdown begins; `notice` while the VM still takes new connections, as others learn of
 * it; `draining` while it completes calls; `ending` once nothing is accepted any more; `gone` when all
 * sockets are closed.
 */
export type ShutdownPhase =
  | "running"
  | "notice"
  | "draining"
  | "ending"
  | "gone";

/** Options of {@linkcode Shutdown}. */
export interface ShutdownOptions {
  readonly clock: Clock;
  /** Time from the begin of the shutdown until the process is killed, milliseconds. */
  readonly graceMs: number;
  /** Duration of the notice, milliseconds. */
  readonly noticeMs: number;
  /** Time before the kill at which the last calls end, milliseconds. */
  readonly exitMarginMs?: number;
  /**
   * Resolves when what has arrived in the sockets has been read. If the process stood still over the end,
   * calls end after it, so that the responses that wait in the sockets are delivered.
   */
  readonly awaitRead?: () => Promise<void>;
  /** Called with each call that has ended since the begin. */
  readonly onCallEnd?: (kind: string, outcome: ShutdownOutcome) => void;
  /** Called with each error of a listener or of a call that is ended. Never throws. */
  readonly onError?: (thrown: unknown) => void;
}

/** A call that asks to be served. */
export interface ArrivingCall {
  /** Name of the call's route. */
  readonly route: string;
  /** Time until the timeout of the client or the route expires, whichever is first, milliseconds. */
  readonly timeoutMs: number;
}

/** Something in progress that has to end before the VM does. */
export interface EndableCall {
  /** Ends the call with what can be said of it now. */
  endForShutdown(): void;
}

/** What serves calls has to know of a shutdown. */
export interface CallShutdown {
  readonly phase: ShutdownPhase;
  /** Whether a call that arrives now can end before the VM does. */
  admits(call: ArrivingCall): boolean;
  /** Whether a call that was admitted, and has waited since, can end before the VM does. */
  canStillEnd(call: ArrivingCall): boolean;
  /** Records how long a call took that was served. */
  recordServed(route: string, tookMs: number): void;
  /** Ends the call if it is still open when the VM ends. Returns a function for when it has ended. */
  trackCall(call: EndableCall): () => void;
  /** Counts a call that has ended. Has no effect before a shutdown. */
  recordEnd(kind: string, outcome: ShutdownOutcome): void;
}

/** Time before the kill in which the last responses and log lines are written, milliseconds. */
const EXIT_MARGIN_MS = 300;
/** A process that learns this late of its end has stood still, and has not read what arrived, milliseconds. */
const LATE_MS = 20;
/**
 * Longest time for which a late end of calls waits for what has arrived, milliseconds. It is a part of the
 * exit margin; a pass over all sockets of a busy process takes less.
 */
const MAX_READ_MS = 100;
/** A sound target may fall silent for this long and go on, milliseconds. */
const TARGET_SILENCE_MS = 1500;

/** Time after the begin in which calls are served whose timeouts expire after the end, milliseconds. */
const FORECAST_MS = 2000;
/** The same as a share of the time until the end, for short grace periods. */
const MAX_FORECAST_SHARE = 0.3;

const PHASES: readonly ShutdownPhase[] = [
  "running",
  "notice",
  "draining",
  "ending",
  "gone",
];

/** The shutdown of one VM. */
export class Shutdown implements CallShutdown {
  readonly #options: ShutdownOptions;
  readonly #durations = new CallDurations();
  readonly #tally = new ShutdownTally();
  readonly #listeners = new Set<(phase: ShutdownPhase) => void>();
  readonly #calls = new Set<EndableCall>();
  /** Monotonic time at which the shutdown began; undefined before. */
  #startedAtMs: number | undefined;
  #hasEnded = false;
  #isGone = false;
  /** The last phase that the listeners were told. */
  #announced: ShutdownPhase = "running";
  #isAnnouncing = false;
  #callEnd: Promise<void> | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: ShutdownOptions) {
    this.#options = options;
  }

  /** The phase by the clock. A process that stood still learns of it before its timers run. */
  get phase(): ShutdownPhase {
    if (this.#startedAtMs === undefined) return "running";
    if (this.#isGone) return "gone";
    if (this.#hasEnded || this.remainingMs <= 0) return "ending";
    return this.#elapsedMs < this.#noticeMs ? "notice" : "draining";
  }

  /** Whether a shutdown has begun. */
  get isStopping(): boolean {
    return this.#startedAtMs !== undefined;
  }

  /** Whether the timeout alone decides which calls are served. */
  get admitsByTimeoutAlone(): boolean {
    return this.isStopping && this.#elapsedMs >= this.#forecastMs;
  }

  /** Time until the last calls end, milliseconds; infinite before a shutdown. */
  get remainingMs(): number {
    if (this.#startedAtMs === undefined) return Infinity;
    return this.#lifeMs - this.#elapsedMs;
  }

  /** Time since the begin of the shutdown, milliseconds; 0 before it. */
  get tookMs(): number {
    return this.#startedAtMs === undefined ? 0 : this.#elapsedMs;
  }

  /** Begins the shutdown. Further calls have no effect. */
  begin(): void {
    if (this.isStopping) return;
    this.#startedAtMs = this.#options.clock.readMonotonicMs();
    this.#advance();
  }

  /** Ends the draining early, as no call and no connection is left. */
  end(): void {
    assertInvariant(this.isStopping, "end-after-begin", this.phase);
    this.#hasEnded = true;
    this.#advance();
  }

  /** Resolves when the calls that were open in the ending phase have been ended. */
  async awaitCallEnd(): Promise<void> {
    await this.awaitPhase("ending");
    await this.#callEnd;
  }

  /** Records that all sockets are closed. */
  conclude(): void {
    this.end();
    this.#endOpenCalls();
    this.#isGone = true;
    this.#advance();
  }

  /** Registers a listener for each further phase. Returns a function that removes it. */
  registerPhaseListener(listener: (phase: ShutdownPhase) => void): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /** Resolves when a phase has begun, or a later one. */
  awaitPhase(phase: ShutdownPhase): Promise<void> {
    if (hasReached(this.#announced, phase)) return Promise.resolve();
    return new Promise((resolve) => {
      const remove = this.registerPhaseListener((current) => {
        if (!hasReached(current, phase)) return;
        remove();
        resolve();
      });
    });
  }

  /**
   * A call whose timeout expires before the VM ends always ends in time. In the first seconds another one
   * is served if calls of its route have lately taken less than the time left, with a silence of the target
   * besides, or if nothing is known of its route. Later it is refused: another VM serves it at once, and a
   * call that is cut off is lost.
   */
  admits(call: ArrivingCall): boolean {
    if (!this.isStopping) return true;
    if (hasReached(this.phase, "ending")) return false;
    if (call.timeoutMs <= this.remainingMs) return true;
    return this.#elapsedMs < this.#forecastMs && this.#isExpectedToEnd(call);
  }

  canStillEnd(call: ArrivingCall): boolean {
    if (!this.isStopping) return true;
    if (hasReached(this.phase, "ending")) return false;
    return call.timeoutMs <= this.remainingMs || this.#isExpectedToEnd(call);
  }

  #isExpectedToEnd({ route }: ArrivingCall): boolean {
    const expectedMs = this.#durations.predictMs(route) ?? 0;
    return expectedMs + TARGET_SILENCE_MS <= this.remainingMs;
  }

  recordServed(route: string, tookMs: number): void {
    this.#durations.record(route, tookMs);
  }

  trackCall(call: EndableCall): () => void {
    this.#calls.add(call);
    // One that is accepted while responses are read has not been sent.
    if (hasReached(this.#announced, "ending")) this.#endCall(call);
    return () => {
      this.#calls.delete(call);
    };
  }

  recordEnd(kind: string, outcome: ShutdownOutcome): void {
    if (!this.isStopping) return;
    this.#tally.record(kind, outcome);
    this.#options.onCallEnd?.(kind, outcome);
  }

  /** Returns the numbers of calls that have ended since the begin, by outcome and kind. */
  summarize(): Readonly<Partial<Record<ShutdownOutcome, KindCounts>>> {
    return this.#tally.summarize();
  }

  get #elapsedMs(): number {
    const { clock } = this.#options;
    return clock.readMonotonicMs() - (this.#startedAtMs ?? 0);
  }

  /** Time from the begin until the last calls end, milliseconds. */
  get #lifeMs(): number {
    const { graceMs, exitMarginMs = EXIT_MARGIN_MS } = this.#options;
    return Math.max(0, graceMs - exitMarginMs);
  }

  /** Time from the begin in which forecasts are made, milliseconds. */
  get #forecastMs(): number {
    return Math.min(FORECAST_MS, this.#lifeMs * MAX_FORECAST_SHARE);
  }

  get #noticeMs(): number {
    return Math.min(this.#options.noticeMs, this.#lifeMs);
  }

  /** Tells the listeners of each phase that has begun, and waits for the next one. */
  #advance(): void {
    // A listener that ends the shutdown gets the next phase after all have been told of this one.
    if (this.#isAnnouncing) return;
    clearTimeout(this.#timer);
    this.#isAnnouncing = true;
    while (!hasReached(this.#announced, this.phase)) {
      this.#announced = PHASES[PHASES.indexOf(this.#announced) + 1];
      this.#announce(this.#announced);
    }
    this.#isAnnouncing = false;
    const waitMs = this.#computeWaitMs();
    if (waitMs === undefined) return;
    this.#timer = setTimeout(() => this.#advance(), Math.ceil(waitMs));
  }

  #announce(phase: ShutdownPhase): void {
    for (const listener of [...this.#listeners]) {
      this.#runGuarded(() => listener(phase));
    }
    if (phase === "ending") this.#callEnd = this.#endCalls();
  }

  async #endCalls(): Promise<void> {
    const { awaitRead } = this.#options;
    const isLate = -this.remainingMs >= LATE_MS;
    if (awaitRead !== undefined && isLate && this.#calls.size > 0) {
      await this.#awaitReadBounded(awaitRead);
    }
    this.#endOpenCalls();
  }

  /** Never rejects. */
  async #awaitReadBounded(awaitRead: () => Promise<void>): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    const bound = new Promise<void>((resolve) => {
      timer = setTimeout(resolve, MAX_READ_MS);
    });
    try {
      await Promise.race([awaitRead(), bound]);
    } catch (error) {
      this.#options.onError?.(error);
    } finally {
      clearTimeout(timer);
    }
  }

  #endOpenCalls(): void {
    for (const call of [...this.#calls]) this.#endCall(call);
  }

  #computeWaitMs(): number | undefined {
    if (this.#announced === "notice") return this.#noticeMs - this.#elapsedMs;
    return this.#announced === "draining" ? this.remainingMs : undefined;
  }

  /** Ends a call unless it has ended meanwhile. */
  #endCall(call: EndableCall): void {
    if (!this.#calls.delete(call)) return;
    this.#runGuarded(() => call.endForShutdown());
  }

  /** An error of one call or listener must not keep the others from their end. */
  #runGuarded(step: () => void): void {
    try {
      step();
    } catch (error) {
      this.#options.onError?.(error);
    }
  }
}

function hasReached(current: ShutdownPhase, phase: ShutdownPhase): boolean {
  return PHASES.indexOf(current) >= PHASES.indexOf(phase);
}
