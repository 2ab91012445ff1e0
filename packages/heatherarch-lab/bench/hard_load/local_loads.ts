/**
 * Reported slowdowns and learned speeds of targets, as the design page describes them.
 *
 * @module
 */

/** A slowdown that a target reported. */
export interface LocalLoadSample {
  readonly target: string;
  readonly slowdown: number;
  readonly atMs: number;
}

/** Time after which a report says nothing about the present, milliseconds. */
const PERIOD_MS = 600;
const MEAN_WEIGHT = 0.05;
const SPEED_WEIGHT = 0.05;

/** Slowdowns that one VM knows. */
export class LocalTargetLoads {
  readonly #loads = new Map<string, { sample: LocalLoadSample; mean: number }>();

  record(sample: LocalLoadSample): void {
    const load = this.#loads.get(sample.target);
    if (load === undefined) {
      this.#loads.set(sample.target, { sample, mean: 1 });
      return;
    }
    if (sample.atMs <= load.sample.atMs) return;
    load.mean += (sample.slowdown - load.mean) * MEAN_WEIGHT;
    load.sample = sample;
  }

  mergePeerSample(sample: LocalLoadSample): void {
    this.record(sample);
  }

  estimateSlowdown(target: string, nowMs: number): number {
    const load = this.#loads.get(target);
    if (load === undefined) return 1;
    const { sample, mean } = load;
    const trust = Math.max(0, 1 - (nowMs - sample.atMs) / PERIOD_MS);
    return mean + (sample.slowdown - mean) * trust;
  }
}

/** Speeds of targets that one VM has learned. */
export class LocalTargetSpeeds {
  readonly #factors = new Map<string, number>();

  learn(
    target: string,
    { tookMs, expectedMs, slowdown }: {
      tookMs: number;
      expectedMs: number;
      slowdown: number;
    },
  ): void {
    const before = this.#factors.get(target) ?? 0;
    const factor = Math.log(tookMs / expectedMs / slowdown);
    this.#factors.set(target, before + (factor - before) * SPEED_WEIGHT);
  }

  getFactor(target: string): number {
    return Math.exp(this.#factors.get(target) ?? 0);
  }
}
