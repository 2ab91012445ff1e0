/**
 * Checks whether a target responds to this VM at all, with a request that the target does not run.
 *
 * @module
 */
import { startStallAwareTimer } from "heatherarch-core";
import type { Target } from "../model.ts";
import type { CallCodec } from "../ports.ts";
import type { TargetConnections } from "./target_connections.ts";
import { ExchangeError } from "./target_exchange.ts";

/** What a probe requires. */
export interface ResponseProbeContext {
  readonly connections: Pick<TargetConnections, "send">;
  readonly codec: Pick<CallCodec, "encodeReportRequest">;
}

/**
 * Result of a probe: a response, whatever it is; no process listens at the address; or neither in
 * time.
 */
export type ProbeOutcome = "response" | "refused" | "silent";

/** Time for a response, milliseconds: several round trips between zones, without any work. */
const PROBE_TIMEOUT_MS = 150;

/** Resolves with whether the target responds in time. Never rejects. */
export async function probeResponse(
  { connections, codec }: ResponseProbeContext,
  target: Target,
): Promise<ProbeOutcome> {
  const exchange = connections.send(
    target,
    codec.encodeReportRequest(target),
    { purpose: "report" },
  );
  const stopTimer = startStallAwareTimer(
    () => exchange.abort("no response to a probe"),
    PROBE_TIMEOUT_MS,
  );
  try {
    await exchange.head;
    exchange.discardBody();
    return "response";
  } catch (error) {
    const isRefused = error instanceof ExchangeError &&
      error.isConnectionRefused;
    return isRefused ? "refused" : "silent";
  } finally {
    stopTimer();
  }
}
