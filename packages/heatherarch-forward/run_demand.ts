/**
 * How many places the runs of a service need, averaged so that a burst that ends before an engine
 * has changed its role changes nothing.
 *
 * Pattern of load: bursts double the runs in progress for three seconds, which is as long as a
 * change of role takes an engine away; a shift to longer answers lasts.
 *
 * Pure: time comes in with each update.
 *
 * @module
 */

/** Time constants of a growing and of a shrinking demand, milliseconds. */
const GROWING_MS = 6000;
const SHRINKING_MS = 30_000;

/** Demand of one service. */
export class RunDemand {
  #runs = 0;
  #atMs: number | undefined;

  /** Runs that places are needed for. */
  get runs(): number {
    return this.#runs;
  }

  /** Takes in the runs in progress or waiting at the engines now. */
  noteRuns(runs: number, nowMs: number): void {
    const elapsedMs = nowMs - (this.#atMs ?? nowMs);
    this.#atMs = nowMs;
    const constantMs = runs > this.#runs ? GROWING_MS : SHRINKING_MS;
    const part = 1 - Math.exp(-elapsedMs / constantMs);
    this.#runs += (runs - this.#runs) * part;
  }
}
