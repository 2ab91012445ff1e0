/**
 * Limits the work on chunked bodies in very small chunks, those of clients' requests or of targets' responses.
 * The parser hands on each chunk by itself, so a body of one byte a chunk costs thousands of times the
 * processor time of one in a few chunks.
 *
 * @module
 */
import { type Clock, ServeError } from "heatherarch-core";

/** Options of {@linkcode FramingBudget}. */
export interface FramingBudgetOptions {
  readonly clock: Pick<Clock, "readMonotonicMs">;
  /** Framing that is read in a second of several costly bodies together, bytes. */
  readonly bytesPerSecond?: number;
  /** Costly bodies that are read at the same time. */
  readonly maxBodies?: number;
  /** Framing from which a body is costly, bytes. */
  readonly freeBytes?: number;
  /** Part of a body's framing that no longer counts, for each second, bytes. By default all of it counts. */
  readonly forgottenBytesPerSecond?: number;
  /** Whether a costly body is read without pauses while it is the only one. By default it is. */
  readonly isOnlyBodyFree?: boolean;
  readonly onRefused?: () => void;
}

/** About 80,000 chunks of one byte, a third of what a core parses in a second. */
const DEFAULT_BYTES_PER_SECOND = 400_000;
/**
 * Pause of all costly bodies for each millisecond that one is read: they take a quarter of the time of a
 * process, also of one that gets little of a core.
 */
const PAUSE_PER_READ_MS = 3;
/** Longest time that counts as reading: the client may have paused. */
const MAX_READ_MS = 200;
const DEFAULT_MAX_BODIES = 4;
const DEFAULT_FREE_BYTES = 32 * 1024;
const MS_PER_SECOND = 1000;

/** A body that waits until it may be read on. */
interface Turn {
  readonly body: FramedBody;
  readonly costMs: number;
  /** Monotonic time at which the body is read on, milliseconds. */
  endsAtMs: number;
  timer?: NodeJS.Timeout;
  readonly resolve: () => void;
}

/** The work on the chunked bodies of one process. */
export class FramingBudget {
  readonly #options: FramingBudgetOptions;
  readonly #costlyBodies = new Set<FramedBody>();
  /** In the order of their ends. */
  readonly #turns: Turn[] = [];
  /** Monotonic time at which the last turn ends, milliseconds. */
  #paidAtMs = 0;

  constructor(options: FramingBudgetOptions) {
    this.#options = options;
  }

  /** Adds a chunked body. */
  open(): FramedBody {
    return new FramedBody(this, this.#options.clock);
  }

  /** Whether a body with so much framing that counts has to wait for its turns. */
  isCostly(countedBytes: number): boolean {
    const { freeBytes = DEFAULT_FREE_BYTES } = this.#options;
    return countedBytes > freeBytes;
  }

  /** Returns how many bytes of framing have stopped to count since a monotonic time, at most. */
  computeForgottenBytes(sinceMs: number): number {
    const { clock, forgottenBytesPerSecond = 0 } = this.#options;
    if (forgottenBytesPerSecond === 0) return 0;
    const elapsedMs = clock.readMonotonicMs() - sinceMs;
    return elapsedMs / MS_PER_SECOND * forgottenBytesPerSecond;
  }

  /** Waits until a costly body may be read on. Rejects if too many costly bodies are being read. */
  async admit(body: FramedBody, addedBytes: number): Promise<void> {
    const {
      clock,
      bytesPerSecond = DEFAULT_BYTES_PER_SECOND,
      isOnlyBodyFree = true,
    } = this.#options;
    this.#recordCostly(body);
    // A single client is served in calm, whatever its chunks.
    if (isOnlyBodyFree && this.#costlyBodies.size === 1) return;
    const nowMs = clock.readMonotonicMs();
    const readMs = Math.min(nowMs - body.resumedAtMs, MAX_READ_MS);
    const costMs = Math.max(
      addedBytes / bytesPerSecond * MS_PER_SECOND,
      readMs * PAUSE_PER_READ_MS,
    );
    this.#paidAtMs = Math.max(this.#paidAtMs, nowMs) + costMs;
    await this.#awaitTurn(body, costMs);
    body.resumedAtMs = clock.readMonotonicMs();
  }

  /** Removes a body that has ended. Those behind it wait for its turn no longer. */
  remove(body: FramedBody): void {
    this.#costlyBodies.delete(body);
    const turn = this.#turns.find((waiting) => waiting.body === body);
    if (turn !== undefined) this.#cancelTurn(turn);
  }

  #awaitTurn(body: FramedBody, costMs: number): Promise<void> {
    return new Promise((resolve) => {
      const turn: Turn = { body, costMs, endsAtMs: this.#paidAtMs, resolve };
      this.#turns.push(turn);
      this.#startTimer(turn);
    });
  }

  #startTimer(turn: Turn): void {
    clearTimeout(turn.timer);
    const remainingMs = turn.endsAtMs - this.#options.clock.readMonotonicMs();
    turn.timer = setTimeout(() => this.#endTurn(turn), remainingMs);
  }

  #endTurn(turn: Turn): void {
    clearTimeout(turn.timer);
    this.#turns.splice(this.#turns.indexOf(turn), 1);
    turn.resolve();
  }

  /** Ends a turn early, and all later ones by as much earlier. */
  #cancelTurn(turn: Turn): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    const remainingMs = Math.max(0, turn.endsAtMs - nowMs);
    const unusedMs = Math.min(turn.costMs, remainingMs);
    this.#paidAtMs -= unusedMs;
    for (const later of this.#turns.slice(this.#turns.indexOf(turn) + 1)) {
      later.endsAtMs -= unusedMs;
      this.#startTimer(later);
    }
    this.#endTurn(turn);
  }

  #recordCostly(body: FramedBody): void {
    if (this.#costlyBodies.has(body)) return;
    const { maxBodies = DEFAULT_MAX_BODIES, onRefused } = this.#options;
    if (this.#costlyBodies.size >= maxBodies) {
      onRefused?.();
      throw new ServeError(
        "overloaded",
        "too many bodies in very small chunks at this VM",
      );
    }
    this.#costlyBodies.add(body);
  }
}

/** A chunked body that is being read. */
export class FramedBody {
  /** Monotonic time since which the body is read, milliseconds; infinite before its first pause. */
  resumedAtMs = Infinity;
  readonly #budget: FramingBudget;
  readonly #clock: FramingBudgetOptions["clock"];
  /** All framing that was read, bytes. */
  #recordedBytes = 0;
  /** The part of it that counts. */
  #countedBytes = 0;
  #countedAtMs: number;
  /** Framing since the last turn. */
  #unpaidBytes = 0;

  constructor(budget: FramingBudget, clock: FramingBudgetOptions["clock"]) {
    this.#budget = budget;
    this.#clock = clock;
    this.#countedAtMs = clock.readMonotonicMs();
  }

  /** Records that reading begins. What was waited for before does not count as work. */
  beginRead(): void {
    this.resumedAtMs = this.#clock.readMonotonicMs();
  }

  /** Records the bytes that were read beside the body's own. Returns whether it has to wait for its turn. */
  record(framingBytes: number): boolean {
    const addedBytes = Math.max(0, framingBytes - this.#recordedBytes);
    this.#recordedBytes += addedBytes;
    this.#unpaidBytes += addedBytes;
    const forgottenBytes = this.#budget.computeForgottenBytes(
      this.#countedAtMs,
    );
    this.#countedAtMs = this.#clock.readMonotonicMs();
    this.#countedBytes = addedBytes +
      Math.max(0, this.#countedBytes - forgottenBytes);
    const isCostly = this.#budget.isCostly(this.#countedBytes);
    if (!isCostly) this.#unpaidBytes = 0;
    return isCostly;
  }

  /** Records the bytes that were read beside the body's own, and waits until it may be read on. */
  async awaitTurn(framingBytes: number): Promise<void> {
    if (!this.record(framingBytes)) return;
    const unpaidBytes = this.#unpaidBytes;
    this.#unpaidBytes = 0;
    await this.#budget.admit(this, unpaidBytes);
  }

  close(): void {
    this.#budget.remove(this);
  }
}
