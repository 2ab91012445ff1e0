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
    encodeHandoverCall(call, state, nowMs),
    call.body,
  );
  context.dependencies.log.write("info", "callHandedOver", {
    call: call.id,
    peer: connection.peer.id,
    service: context.service.name,
    isHedge: state.isHedge,
    atMs: Math.round(nowMs - call.arrivedAtMs),
  });
  return exchange;
}
