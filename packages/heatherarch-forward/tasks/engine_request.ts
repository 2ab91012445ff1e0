/**
 * Control requests to engines, which belong to no call: reports, orders and cache lists.
 *
 * @module
 */
import type { EventLog } from "../event_log.ts";
import type { Target } from "../model.ts";
import type { EncodedRequest } from "../ports.ts";
import type { TargetConnections } from "../calls/target_connections.ts";
import { ExchangeError } from "../calls/target_exchange.ts";

/** What sending a control request requires. */
export interface EngineRequestContext {
  readonly connections: TargetConnections;
  readonly events: EventLog;
}

/** An engine's complete response. */
export interface EngineResponse {
  readonly status: number;
  readonly body: Buffer;
}

/** A control request needs no slot, and usually takes hundreds of times less than this timeout. */
const REQUEST_TIMEOUT_MS = 1000;
const BODY_LIMITS = { maxBytes: 1024 * 1024, timeoutMs: REQUEST_TIMEOUT_MS };

/** Options of {@linkcode sendEngineRequest}. */
export interface EngineRequestOptions {
  /**
   * What follows depends on whether the engine has accepted this request, so its response must not be
   * mistaken for a late one to an earlier request.
   */
  readonly changesTarget?: boolean;
}

/** Sends a control request to an engine; returns undefined if there was no response. */
export async function sendEngineRequest(
  context: EngineRequestContext,
  target: Target,
  request: EncodedRequest,
  { changesTarget = false }: EngineRequestOptions = {},
): Promise<EngineResponse | undefined> {
  const exchange = context.connections.send(target, request, {
    purpose: "control",
    needsOwnConnection: changesTarget,
  });
  const timer = setTimeout(
    () => exchange.abort("no response from the engine"),
    REQUEST_TIMEOUT_MS,
  );
  try {
    const { status } = await exchange.head;
    return { status, body: await exchange.readBody(BODY_LIMITS) };
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
