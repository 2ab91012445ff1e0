/**
 * Hands a call over to a peer, because this VM does not reach the targets of its service.
 *
 * A call is offered first, and sent to the first peer that accepts it. From then on, its end is known
 * only from that peer: without a response, the call may have run.
 *
 * @module
 */
import type { ServeError } from "heatherarch-core";
import type { HandoverConnection } from "heatherarch-handover";
import type { CallContext } from "./call_context.ts";
import { encodeHandoverCall } from "./handover_codec.ts";
import { PeerFailureError, sendToPeer } from "./peer_exchange.ts";
import type { RelayResult, StreamRelay } from "./response_relay.ts";
import { isSuccessStatus } from "./http_status.ts";
import {
  ExchangeError,
  type ResponseHead,
  type TargetExchange,
} from "./target_exchange.ts";

/** Whether a peer served the call to its end. If all declined, nothing was sent. */
export type HandoverResult = "ended" | "declined";

/** Options of {@linkcode CallHandover}. */
export interface CallHandoverOptions {
  readonly context: CallContext;
  /** Relays the response to the client. */
  readonly relay: StreamRelay;
  /** Software version at which the stream has to go on, if it has begun. */
  readonly softwareVersion?: string;
}

/** Peers that are asked for one call. */
const MAX_OFFERS = 6;
/** With less time left, no response can reach the client before the deadline, milliseconds. */
const MIN_HANDOVER_MS = 30;
/** Errors of a peer after which another peer may serve the call. */
const ELSEWHERE: ReadonlySet<string> = new Set([
  "noTarget",
  "notReady",
  "shuttingDown",
]);

/** Result of one call sent to one peer. */
type PeerResult =
  | { readonly kind: "ended" }
  | { readonly kind: "refused"; readonly error: ServeError };

/** Hands a call over to a peer that accepts it, and relays the response. */
export class CallHandover {
  readonly #context: CallContext;
  readonly #relay: StreamRelay;
  readonly #softwareVersion: string | undefined;
  readonly #asked = new Set<string>();

  constructor(options: CallHandoverOptions) {
    this.#context = options.context;
    this.#relay = options.relay;
    this.#softwareVersion = options.softwareVersion;
  }

  /** Serves the call, as far as peers take it. */
  async serve(): Promise<HandoverResult> {
    const context = this.#context;
    for (;;) {
      const connection = await this.#findPeer();
      await context.awaitSendable();
      if (context.hasEnded) {
        connection?.close();
        return "ended";
      }
      if (connection === undefined) return "declined";
      const result = await this.#serveAt(connection);
      if (result.kind === "ended" || context.hasEnded) return "ended";
      if (ELSEWHERE.has(result.error.kind)) continue;
      context.endWithPeerFailure(result.error);
      return "ended";
    }
  }

  /** Offers the call to one peer after another until one accepts. */
  async #findPeer(): Promise<HandoverConnection | undefined> {
    const { dependencies, service, configVersion } = this.#context;
    const offer = { service: service.name, configVersion };
    while (
      this.#asked.size < MAX_OFFERS && !this.#context.hasEnded &&
      this.#context.remainingMs >= MIN_HANDOVER_MS
    ) {
      const reply = await dependencies.handoverClient.offerCall(
        offer,
        this.#asked,
      );
      if (reply !== "declined") return reply;
    }
    return undefined;
  }

  async #serveAt(connection: HandoverConnection): Promise<PeerResult> {
    const context = this.#context;
    const { receivedCall, handoverState, nowMs } = context;
    const lastEventId = this.#relay.lastEventId ?? receivedCall.lastEventId;
    const call = { ...receivedCall, lastEventId };
    const softwareVersion = this.#softwareVersion;
    const state = { ...handoverState, softwareVersion };
    const exchange = sendToPeer(
      connection,
      encodeHandoverCall(call, state, nowMs),
      call.body,
    );
    const undo = context.beginHandover(exchange);
    context.dependencies.log.write("info", "callHandedOver", {
      call: call.id,
      peer: connection.peer.id,
      service: context.service.name,
      atMs: Math.round(nowMs - call.arrivedAtMs),
    });
    try {
      return await this.#relayResponse(
        connection.peer.id,
        exchange,
        await exchange.head,
      );
    } catch (error) {
      if (!(error instanceof ExchangeError)) throw error;
      const { cause } = error;
      if (!(cause instanceof PeerFailureError)) {
        return this.#endWithLoss(error.message);
      }
      if (cause.failure.run === "no") {
        undo(cause.attempts);
        return { kind: "refused", error: cause.failure };
      }
      context.endWithPeerFailure(cause.failure);
      return { kind: "ended" };
    }
  }

  async #relayResponse(
    peer: string,
    exchange: TargetExchange,
    head: ResponseHead,
  ): Promise<PeerResult> {
    const context = this.#context;
    if (context.hasEnded) return { kind: "ended" };
    if (this.#relay.isStarted && !isSuccessStatus(head.status)) {
      const reason = `the stream could not be resumed: status ${head.status}`;
      exchange.abort(reason);
      return this.#endWithLoss(reason);
    }
    const result: RelayResult = await this.#relay.relay(exchange, head);
    if (context.hasEnded) return { kind: "ended" };
    if (result !== "whole") return this.#endWithLoss(result.message);
    context.clientResponse.end();
    context.finish("delivered", { status: head.status, peer });
    return { kind: "ended" };
  }

  /** Ends the call: it may have run at the peer as often as it may run. */
  #endWithLoss(reason: string): PeerResult {
    this.#context.recordLoss("peer");
    this.#context.fail("answerIncomplete", reason);
    return { kind: "ended" };
  }
}
