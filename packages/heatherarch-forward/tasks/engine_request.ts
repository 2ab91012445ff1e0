/**
 * Requests to engines that belong to no call: reports, orders, lists.
 *
 * @module
 */
import type { EventLog } from "../event_log.ts";
import type { Target } from "../model.ts";
import type { EncodedRequest } from "../ports.ts";
import type { TargetConnections } from "../calls/target_connections.ts";
import { ExchangeError } from "../calls/target_exchange.ts";

/** What an inquiry needs. */
export interface EngineRequestContext {
  readonly connections: TargetConnections;
  readonly events: EventLog;
}

/** An engine's whole answer. */
export interface EngineResponse {
  readonly status: number;
  readonly body: Buffer;
}

/** An engine answers such a request without a slot; a second is hundreds of times its usual time. */
const REQUEST_TIMEOUT_MS = 1000;
const MAX_BODY_BYTES = 1024 * 1024;

/** Asks an engine; undefined where there was no answer. */
export async function sendEngineRequest(
  context: EngineRequestContext,
  target: Target,
  request: EncodedRequest,
): Promise<EngineResponse | undefined> {
  const exchange = context.connections.send(target, request);
  const timer = setTimeout(
    () => exchange.abort("no answer of the engine"),
    REQUEST_TIMEOUT_MS,
  );
  try {
    const { status } = await exchange.head;
    return { status, body: await exchange.readBody(MAX_BODY_BYTES) };
  } catch (error) {
    if (!(error instanceof ExchangeError)) throw error;
    context.events.write("warn", "engineUnanswered", {
      target: target.id,
      path: request.path,
      reason: error.message,
    });
    return undefined;
  } finally {
    clearTimeout(timer);
  }
}
