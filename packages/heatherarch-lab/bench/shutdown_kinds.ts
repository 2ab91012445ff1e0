/**
 * Kinds of calls of the simulated shutdowns.
 *
 * @module
 */
import type { Random } from "heatherarch-core";

/** A distribution of durations or numbers: log-normal, with a tail, up to a maximum. */
export interface SkewedSpread {
  readonly mean: number;
  /** Standard deviation in units of the mean. */
  readonly spread: number;
  readonly max: number;
  /** Share of the values that are multiplied by `tailFactor`. */
  readonly tail?: number;
  readonly tailFactor?: number;
}

/** A kind of calls; each has a route of its own. */
export interface SimulatedKind {
  readonly name: string;
  /** Relative number of calls. */
  readonly weight: number;
  /** `once` may not run twice, `again` may be sent again, `resumable` goes on between two events. */
  readonly repetition: "once" | "again" | "resumable";
  readonly timeoutMs: number;
  /** Latency objective: time in which the response, or its first piece, should come. */
  readonly objectiveMs: number;
  /** Time of a plain call, or until the first piece of a stream, milliseconds. */
  readonly work: SkewedSpread;
  /** Pieces of a stream. */
  readonly pieces?: SkewedSpread;
}

/** How long calls may take: as in the users' configurations, or raised to 10 or 30 s. */
export const TIMEOUTS = ["short", "10 s", "30 s"] as const;

/** Name of a case of timeouts. */
export type Timeouts = typeof TIMEOUTS[number];

/** Time between two pieces of a stream on an engine under usual load, milliseconds. */
const PIECE_GAP_MS = 50;
const RAISED_TIMEOUT_MS: Readonly<Partial<Record<Timeouts, number>>> = {
  "10 s": 10_000,
  "30 s": 30_000,
};

const PLAIN = {
  work: { mean: 60, spread: 0.5, tail: 0.01, tailFactor: 5, max: 450 },
  objectiveMs: 300,
};

const KINDS: readonly SimulatedKind[] = [
  {
    name: "booking",
    weight: 22,
    repetition: "once",
    timeoutMs: 2000,
    ...PLAIN,
  },
  { name: "lookup", weight: 9, repetition: "again", timeoutMs: 2000, ...PLAIN },
  {
    name: "quick booking",
    weight: 10,
    repetition: "once",
    timeoutMs: 1200,
    objectiveMs: 150,
    work: { mean: 30, spread: 0.5, tail: 0.01, tailFactor: 5, max: 220 },
  },
  {
    name: "short stream",
    weight: 19,
    repetition: "resumable",
    timeoutMs: 3000,
    objectiveMs: 500,
    work: { mean: 120, spread: 0.7, max: 800 },
    pieces: { mean: 4.3, spread: 1.4, max: 17 },
  },
  {
    name: "long stream",
    weight: 24,
    repetition: "once",
    timeoutMs: 5000,
    objectiveMs: 600,
    work: { mean: 300, spread: 0.9, max: 1600 },
    pieces: { mean: 10, spread: 1.4, max: 40 },
  },
  {
    name: "tagging stream",
    weight: 44,
    repetition: "once",
    timeoutMs: 5000,
    objectiveMs: 300,
    work: { mean: 40, spread: 0.8, max: 300 },
    pieces: { mean: 14, spread: 0.9, max: 50 },
  },
];

/**
 * Builds the kinds of calls. `slowdown` multiplies the time of each call, as targets are busy: at 5, a long
 * stream takes 4 s in the mean.
 */
export function buildKinds(
  timeouts: Timeouts,
  slowdown: number,
): SimulatedKind[] {
  return KINDS.map((kind) => ({
    ...kind,
    timeoutMs: RAISED_TIMEOUT_MS[timeouts] ?? kind.timeoutMs,
    work: buildMultiple(kind.work, slowdown),
    pieces: kind.pieces && buildMultiple(kind.pieces, slowdown),
  }));
}

/** Draws the time that a call takes if its target is never silent, milliseconds. */
export function drawWorkMs(
  { work, pieces }: SimulatedKind,
  random: Random,
): number {
  const workMs = drawSkewed(work, random);
  if (pieces === undefined) return workMs;
  return workMs + drawSkewed(pieces, random) * PIECE_GAP_MS;
}

function drawSkewed(
  { mean, spread, max, tail = 0, tailFactor = 1 }: SkewedSpread,
  random: Random,
): number {
  const variance = Math.log(1 + spread ** 2);
  const normal = Math.sqrt(-2 * Math.log(1 - random.drawUnit())) *
    Math.cos(2 * Math.PI * random.drawUnit());
  const value = mean * Math.exp(Math.sqrt(variance) * normal - variance / 2);
  const isTail = random.drawUnit() < tail;
  return Math.min(max, isTail ? value * tailFactor : value);
}

function buildMultiple(values: SkewedSpread, factor: number): SkewedSpread {
  return { ...values, mean: values.mean * factor, max: values.max * factor };
}
