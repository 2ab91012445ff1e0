/**
 * Moments by two clocks, for beliefs that lapse. A machine that is suspended stops its monotonic
 * clock, so an age by that clock alone would make the belief look fresh after the suspension.
 *
 * @module
 */
import type { Clock } from "./clock.ts";

/** A moment by the monotonic clock and the boot clock, milliseconds. */
export interface Moment {
  readonly monotonicMs: number;
  readonly bootMs: number;
}

/** A moment before any other. */
export const DISTANT_PAST: Moment = {
  monotonicMs: -Infinity,
  bootMs: -Infinity,
};

/** Reads the current moment. */
export function readMoment(clock: Clock): Moment {
  return {
    monotonicMs: clock.readMonotonicMs(),
    bootMs: clock.readBootMs(),
  };
}

/** Computes the moment `ms` milliseconds before `moment`. */
export function subtractFromMoment(moment: Moment, ms: number): Moment {
  return {
    monotonicMs: moment.monotonicMs - ms,
    bootMs: moment.bootMs - ms,
  };
}

/** Computes the time since `moment`, milliseconds: the greater of the two clocks' answers. */
export function computeElapsedMs(clock: Clock, moment: Moment): number {
  return Math.max(
    clock.readMonotonicMs() - moment.monotonicMs,
    clock.readBootMs() - moment.bootMs,
  );
}
