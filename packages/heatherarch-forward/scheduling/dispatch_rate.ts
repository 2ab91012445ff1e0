/**
 * Measures how fast a queue dispatches calls while calls wait in it.
 *
 * Only time in which calls wait counts. The rate is then the capacity that this VM gets of the
 * targets, not the demand of its clients.
 *
 * @module
 */

/** Rate at which a queue dispatches while calls wait. */
export interface DispatchRate {
  readonly callsPerMs: number;
  /** Work of the dispatched calls, milliseconds of one slot per millisecond. */
  readonly workPerMs: number;
}

interface Dispatch {
  /** Total waiting time until the dispatch, see {@linkcode DispatchRateMeter}. */
  readonly atBusyMs: number;
  readonly workMs: number;
}

/** Time over which the rate is averaged, as far as there are enough dispatches in it. */
const WINDOW_MS = 1000;
/**
 * With fewer dispatches the rate is unknown. A VM with a few calls per second averages over as many
 * dispatches instead of the window.
 */
const MIN_DISPATCHES = 8;
/** Bounds the memory. At more dispatches per second, the average is over a shorter time. */
const MAX_DISPATCHES = 512;
/**
 * After this long without waiting calls, a rate is forgotten. Targets and the shares of VMs change
 * within seconds.
 */
const RETENTION_MS = 5000;

/** Counts dispatches on a clock that advances only while calls wait. */
export class DispatchRateMeter {
  #dispatches: Dispatch[] = [];
  /** Total time in which calls waited, until the last update. */
  #busyMs = 0;
  #isBusy = false;
  #updatedAtMs = -Infinity;
  /** Last time at which calls were known to wait. */
  #busyAtMs = -Infinity;

  /** Records whether calls wait from now on. */
  setBusy(isBusy: boolean, nowMs: number): void {
    this.#advance(nowMs);
    this.#isBusy = isBusy;
  }

  /** Records a dispatch; it counts only if calls were waiting. */
  record(workMs: number, nowMs: number): void {
    this.#advance(nowMs);
    if (!this.#isBusy) return;
    this.#dispatches.push({ atBusyMs: this.#busyMs, workMs });
    if (this.#dispatches.length > MAX_DISPATCHES) this.#dispatches.shift();
  }

  /** Average rate of the last second of waiting; undefined if it is unknown. */
  measure(nowMs: number): DispatchRate | undefined {
    this.#advance(nowMs);
    const [oldest, ...later] = this.#dispatches;
    if (later.length < MIN_DISPATCHES) return undefined;
    const elapsedMs = Math.max(1, this.#busyMs - oldest.atBusyMs);
    const workMs = later.reduce((sum, dispatch) => sum + dispatch.workMs, 0);
    return {
      callsPerMs: later.length / elapsedMs,
      workPerMs: workMs / elapsedMs,
    };
  }

  #advance(nowMs: number): void {
    const elapsedMs = nowMs - this.#updatedAtMs;
    this.#updatedAtMs = nowMs;
    if (this.#isBusy) {
      this.#busyMs += elapsedMs;
      this.#busyAtMs = nowMs;
    } else if (nowMs - this.#busyAtMs > RETENTION_MS) {
      this.#dispatches = [];
    }
    this.#dropOldest();
  }

  #dropOldest(): void {
    const oldestMs = this.#busyMs - WINDOW_MS;
    let dropped = 0;
    while (
      this.#dispatches.length - dropped > MIN_DISPATCHES + 1 &&
      this.#dispatches[dropped].atBusyMs < oldestMs
    ) dropped++;
    if (dropped > 0) this.#dispatches.splice(0, dropped);
  }
}
