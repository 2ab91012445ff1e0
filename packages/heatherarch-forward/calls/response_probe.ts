/**
 * Checks whether a target responds to this VM at all, with a request that the target does not run.
 *
 * @module
 */
import type { Target } from "../model.ts";
import type { CallCodec } from "../ports.ts";
import type { TargetConnections } from "./target_connections.ts";

/** What a probe requires. */
export interface ResponseProbeContext {
  readonly connections: Pick<TargetConnections, "send">;
  readonly codec: Pick<CallCodec, "encodeReportRequest">;
}

/** Interval at which the wait for a response is checked, milliseconds. */
const CHECK_INTERVAL_MS = 30;
/** A check that comes later than this shows that this process stalled, milliseconds. */
const MAX_CHECK_LATENESS_MS = 12;
/**
 * Punctual checks without a response after which a probe has failed: several round trips between
 * zones, without any work.
 */
const MAX_PUNCTUAL_CHECKS = 5;
/** Checks after which a probe has failed in any case. */
const MAX_CHECKS = 20;

/** Resolves with whether the target responds in time, whatever it responds. Never rejects. */
export async function probeResponse(
  { connections, codec }: ResponseProbeContext,
  target: Target,
): Promise<boolean> {
  const exchange = connections.send(
    target,
    codec.encodeReportRequest(target),
    "control",
  );
  const stopTimer = startTimer(() => exchange.abort("no response to a probe"));
  try {
    await exchange.head;
    // The body is discarded, but reading it keeps the connection reusable.
    exchange.setBodyListener({
      onData: ignore,
      onEnd: ignore,
      onFault: ignore,
    });
    return true;
  } catch {
    // Any end without a response is the result of the probe.
    return false;
  } finally {
    stopTimer();
  }
}

/**
 * Calls `onTimeout` when the time for a response has passed. Time in which this process stalled does
 * not count, because a response may have arrived that it could not read. Returns a function that stops
 * the timer.
 */
function startTimer(onTimeout: () => void): () => void {
  let checks = 0;
  let punctualChecks = 0;
  let dueAtMs = performance.now() + CHECK_INTERVAL_MS;
  const timer = setInterval(() => {
    const nowMs = performance.now();
    checks++;
    if (nowMs - dueAtMs <= MAX_CHECK_LATENESS_MS) punctualChecks++;
    dueAtMs = nowMs + CHECK_INTERVAL_MS;
    if (punctualChecks >= MAX_PUNCTUAL_CHECKS || checks >= MAX_CHECKS) {
      clearInterval(timer);
      setImmediate(onTimeout);
    }
  }, CHECK_INTERVAL_MS);
  return () => clearInterval(timer);
}

function ignore(): void {
  // The body of the response tells nothing that the probe needs.
}
