/**
 * Calls and targets of the simulation of loads.
 *
 * @module
 */
import type { SlowSpanOptions } from "./simulated_target.ts";

/** A group of similar targets. */
export type PoolName = "plain" | "uneven" | "prefill";

/** A kind of call. */
export interface LoadKind {
  readonly name: string;
  readonly pool: PoolName;
  readonly meanWorkMs: number;
  /** Share of the work of its pool. */
  readonly workShare: number;
  readonly aimMs: number;
  readonly timeoutMs: number;
  /** Largest deviation of the work of a call from its mean, as a share of it. */
  readonly workSpread: number;
}

/** Targets of a group. */
export interface PoolTraits {
  readonly slots: number;
  readonly speeds: readonly number[];
  readonly slow: SlowSpanOptions;
}

/** Objectives and client timeouts of the first deployment; the work of prompts is the model's. */
export const LOAD_KINDS: readonly LoadKind[] = [
  {
    name: "long",
    pool: "prefill",
    meanWorkMs: 210,
    workShare: 0.5,
    aimMs: 627,
    timeoutMs: 5226,
    workSpread: 0.5,
  },
  {
    name: "middle",
    pool: "prefill",
    meanWorkMs: 150,
    workShare: 0.3,
    aimMs: 519,
    timeoutMs: 3115,
    workSpread: 0.5,
  },
  {
    name: "short",
    pool: "prefill",
    meanWorkMs: 60,
    workShare: 0.2,
    aimMs: 311,
    timeoutMs: 5187,
    workSpread: 0.5,
  },
  {
    name: "plain",
    pool: "plain",
    meanWorkMs: 21.4,
    workShare: 1,
    aimMs: 152,
    timeoutMs: 1611,
    workSpread: 0.5,
  },
  {
    name: "uneven",
    pool: "uneven",
    meanWorkMs: 80,
    workShare: 1,
    aimMs: 150,
    timeoutMs: 1611,
    workSpread: 0,
  },
];
const SPEEDS = [0.6, 1, 1.6];
/** Spans in which the targets of the deployments are slow. */
export const SLOW_SPANS = { share: 0.15, spanMs: 600, slowdown: 2.5 };
/**
 * Plain targets of the first deployment, prefill engines, and the uneven plain targets of the page's
 * bound, at which a call is late if the target is slow.
 */
export const POOLS: Readonly<Record<PoolName, PoolTraits>> = {
  plain: { slots: 6, speeds: SPEEDS, slow: SLOW_SPANS },
  prefill: { slots: 1, speeds: SPEEDS, slow: SLOW_SPANS },
  uneven: { slots: 3, speeds: [1], slow: { ...SLOW_SPANS, share: 0.3 } },
};
