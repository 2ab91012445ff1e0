/**
 * Predicts how long a queued call waits for the calls ahead of it.
 *
 * While the demand exceeds the capacity, calls that can be on time keep arriving and go before the
 * late ones. Late calls then progress at the rate that is left, which may be none. How long this
 * lasts is unknown. As for `Retry-After` (see `retry_after.ts`), an overload is expected to last as
 * long as it has lasted already. After that, late calls get the whole rate. In a burst of 2 s, late
 * calls with some seconds left therefore keep waiting, and in a lasting overload they are rejected at
 * once.
 *
 * Several bursts in a row are one overload while late calls are left. Its length then says little about
 * the time at which it ends, but the rate of the last late calls rises when it does. The shorter of the
 * two predictions holds.
 *
 * @module
 */

/** What is known about the wait of a call. */
export interface WaitForecastInput {
  readonly callsAhead: number;
  /** Rate at which the queue dispatches all calls, per millisecond. */
  readonly callsPerMs: number;
  /** The overload that delays a late call; undefined for a call that can be on time. */
  readonly overload?: Overload;
}

/** An overload, from the first late call until no call waits. */
export interface Overload {
  /** Time for which it has lasted, milliseconds. */
  readonly lastedMs: number;
  /** Rate at which late calls were dispatched in this time, per millisecond. */
  readonly lateCallsPerMs: number;
  /** The same rate over the last second; undefined while it is unknown. */
  readonly recentLateCallsPerMs?: number;
}

/** Time until the calls ahead have been dispatched, milliseconds. */
export function predictWaitMs(
  { callsAhead, callsPerMs, overload }: WaitForecastInput,
): number {
  if (callsAhead === 0) return 0;
  if (overload === undefined) return callsAhead / callsPerMs;
  const { recentLateCallsPerMs = 0 } = overload;
  return Math.min(
    predictByDuration(callsAhead, callsPerMs, overload),
    // A rate of 0 gives no bound.
    callsAhead / recentLateCallsPerMs,
  );
}

/** Predicts the wait for an overload that lasts as long as it has lasted already. */
function predictByDuration(
  callsAhead: number,
  callsPerMs: number,
  { lastedMs, lateCallsPerMs }: Overload,
): number {
  const duringOverload = lateCallsPerMs * lastedMs;
  if (callsAhead <= duringOverload) return callsAhead / lateCallsPerMs;
  return lastedMs + (callsAhead - duringOverload) / callsPerMs;
}
