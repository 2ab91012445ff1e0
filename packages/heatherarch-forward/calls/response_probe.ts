/**
 * Checks whether a target responds to this VM at all, with a request that the target does not run.
 *
 * @module
 */
import { startStallAwareTimer } from "heatherarch-core";
import type { Target } from "../model.ts";
import type { CallCodec } from "../ports.ts";
import type { TargetConnections } from "./target_connections.ts";

/** What a probe requires. */
export interface ResponseProbeContext {
  readonly connections: Pick<TargetConnections, "send">;
  readonly codec: Pick<CallCodec, "encodeReportRequest">;
}

/** Time for a response, milliseconds: several round trips between zones, without any work. */
const PROBE_TIMEOUT_MS = 150;

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
  const stopTimer = startStallAwareTimer(
    () => exchange.abort("no response to a probe"),
    PROBE_TIMEOUT_MS,
  );
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

function ignore(): void {
  // The body of the response tells nothing that the probe needs.
}
