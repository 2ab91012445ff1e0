/**
 * Adds jitter to the choice of an engine, so that VMs with the same data do not all pick the same
 * engine.
 *
 * The data that VMs have on each other's work is 30 ms old in a small fleet, and 100 ms or more when
 * it passes through hubs. With 195 VMs, some 50 prompts are placed within that time. Without jitter
 * all of them go to the engine that appeared to have the least work.
 *
 * Each VM adds its own delay to the estimate of each engine, so that different VMs pick different
 * engines among nearly equal ones. Half of the delay is drawn for each prompt. The other half is
 * constant, so that a VM prefers engines to which it already has connections.
 *
 * @module
 */
import { computeRendezvousWeight } from "heatherarch-core";

/** Options of {@linkcode EngineJitter}. */
export interface EngineJitterOptions {
  readonly vmId: string;
  /** Returns a random number, uniform in [0, 1). */
  readonly drawUnit: () => number;
  /** Longest added delay, in milliseconds. */
  readonly maxMs?: number;
}

/**
 * About the prefill time of a short prompt. With few engines, a longer delay makes a VM leave idle
 * engines to other VMs.
 */
const DEFAULT_MAX_MS = 20;
const MAX_WEIGHT = 2 ** 32;
/** Constant fraction of the added delay. */
const PERSISTENT_FRACTION = 0.5;

/** Delays that one VM adds to its estimates. */
export class EngineJitter {
  readonly #options: Required<EngineJitterOptions>;
  readonly #persistentUnits = new Map<string, number>();

  constructor(options: EngineJitterOptions) {
    this.#options = { maxMs: DEFAULT_MAX_MS, ...options };
  }

  /** Draws the delay that is added to an engine for one prompt, in milliseconds. */
  drawMs(target: string): number {
    const { maxMs, drawUnit } = this.#options;
    const constant = this.#getPersistentUnit(target) * PERSISTENT_FRACTION;
    return maxMs * (constant + drawUnit() * (1 - PERSISTENT_FRACTION));
  }

  /** Drops the data of an engine that has left the fleet. */
  forget(target: string): void {
    this.#persistentUnits.delete(target);
  }

  /** Number in [0, 1) that is constant for this VM and the engine. */
  #getPersistentUnit(target: string): number {
    let unit = this.#persistentUnits.get(target);
    if (unit === undefined) {
      const { vmId } = this.#options;
      unit = computeRendezvousWeight(vmId, target) / MAX_WEIGHT;
      this.#persistentUnits.set(target, unit);
    }
    return unit;
  }
}
