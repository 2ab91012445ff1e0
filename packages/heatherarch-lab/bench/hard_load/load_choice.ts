/**
 * Ways in which a simulated VM chooses by the predicted times of targets.
 *
 * @module
 */
import type { Random } from "heatherarch-core";

/** How a VM chooses by the predicted times of targets. */
export const LOAD_CHOICES = [
  /** The shortest predicted time plus jitter. */
  "best",
  /** A draw, weighted by predicted time. */
  "draw",
  /** The shortest predicted time of a few targets that are drawn with equal weights. */
  "few",
] as const;

/** Name of a way to choose. */
export type LoadChoice = typeof LOAD_CHOICES[number];

/** Weight of a target in a draw: its predicted time to this negative power. */
const DRAW_POWER = 2;
/** Targets that are drawn for a choice among a few. */
const FEW_TARGETS = 3;

/** Picks the target with the shortest time among a few that are drawn with equal weights. */
export function pickBestOfFew(
  times: readonly number[],
  random: Random,
): number {
  let best = random.drawInteger(0, times.length - 1);
  for (let i = 1; i < FEW_TARGETS; i++) {
    const other = random.drawInteger(0, times.length - 1);
    if (times[other] < times[best]) best = other;
  }
  return best;
}

/** Draws a target, weighted by its predicted time in milliseconds. */
export function drawIndex(times: readonly number[], random: Random): number {
  const weights = times.map((timeMs) => (timeMs + 1) ** -DRAW_POWER);
  let drawn = random.drawUnit() *
    weights.reduce((sum, weight) => sum + weight, 0);
  const picked = weights.findIndex((weight) => (drawn -= weight) < 0);
  return Math.max(0, picked);
}
