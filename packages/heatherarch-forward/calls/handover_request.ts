/**
 * Sends a call to a peer that has accepted it.
 *
 * @module
 */
import type { HandoverConnection } from "heatherarch-handover";
import type { CallContext } from "./call_context.ts";
import { encodeHandoverCall } from "./handover_codec.ts";
import type { HandoverState } from "../model.ts";
import { sendToPeer } from "./peer_exchange.ts";
import { runReported } from "../report_error.ts";
import type { TargetExchange } from "./target_exchange.ts";

/** Sends a call to the peer of a connection, to go on after the last event that the client has. */
export function sendHandover(
  context: CallContext,
  connection: HandoverConnection,
  state: HandoverState,
): TargetExchange {
  const { receivedCall, streamPosition, nowMs } = context;
  const lastEventId = streamPosition?.lastEventId ?? receivedCall.lastEventId;
  const call = { ...receivedCall, lastEventId };
  const exchange = sendToPeer(
    connection,
    encodeOrClose(connection, () => encodeHandoverCall(call, state, nowMs)),
    call.body,
  );
  // The peer may run the call from here on, whatever becomes of the log.
  runReported(
    context.dependencies,
    "offer",
    () =>
      context.dependencies.log.write("info", "callHandedOver", {
        call: call.id,
        peer: connection.peer.id,
        service: context.service.name,
        isHedge: state.isHedge,
        atMs: Math.round(nowMs - call.arrivedAtMs),
      }),
  );
  return exchange;
}

/** Encodes a call. The connection is closed if that fails, as the peer waits for the call. */
function encodeOrClose(
  connection: HandoverConnection,
  encode: () => unknown,
): unknown {
  try {
    return encode();
  } catch (error) {
    connection.close();
    throw error;
  }
}
