/**
 * Hands a call over to a peer, because this VM does not reach the targets of its service.
 *
 * A call is offered first, and sent to the first peer that accepts it. From then on, its end is known
 * only from that peer: without a response, the call may have run.
 *
 * @module
 */
import { type ServeError, sleep } from "heatherarch-core";
import type { HandoverConnection } from "heatherarch-handover";
import type { CallContext } from "./call_context.ts";
import type { HandoverHedge } from "./handover_hedge.ts";
import { sendHandover } from "./handover_request.ts";
import { PeerFailureError } from "./peer_exchange.ts";
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
  /** Called when the response of a peer has begun, before it is relayed. */
  readonly onBegun?: () => void;
}

/** Interval between rounds of offers of a call that can't be refused, milliseconds. */
const OFFER_INTERVAL_MS = 250;
/** Interval at which a call that waits for the next round checks the path, milliseconds. */
const PATH_POLL_MS = 25;
/** Errors of a peer after which another peer may serve the call. */
const ELSEWHERE: ReadonlySet<string> = new Set([
  "noTarget",
  "notReady",
  "shuttingDown",
]);

/**
 * Whether another peer may serve a call that a peer has not run. One without a promise fails only since the
 * call had run before, and this peer could not continue it.
 */
function isServedElsewhere({ kind, run }: ServeError): boolean {
  return ELSEWHERE.has(kind) || run !== "no";
}

/** Whether this VM may serve a call that a peer has refused: a peer speaks for itself only. */
function isServedHere({ kind, run }: ServeError): boolean {
  return kind === "overloaded" && run === "no";
}

/** Result of one call sent to one peer. */
type PeerResult =
  | { readonly kind: "ended" }
  | { readonly kind: "refused"; readonly error: ServeError };

/** Hands a call over to a peer that accepts it, and relays the response. */
export class CallHandover {
  readonly #context: CallContext;
  readonly #relay: StreamRelay;
  readonly #onBegun: () => void;

  constructor(options: CallHandoverOptions) {
    this.#context = options.context;
    this.#relay = options.relay;
    this.#onBegun = options.onBegun ?? (() => undefined);
  }

  /**
   * Serves the call, as far as peers take it. One that may have run, and so can't be refused, is
   * offered again until this VM has its path back.
   */
  async serve(): Promise<HandoverResult> {
    for (;;) {
      const result = await this.#serveOnce();
      if (result === "ended" || !this.#mayOfferAgain) return result;
      await this.#awaitPath();
    }
  }

  get #mayOfferAgain(): boolean {
    const { mayHaveRun, mayHandOver, hasPath, peerOffer } = this.#context;
    return mayHaveRun && mayHandOver && !hasPath && peerOffer.mayOffer;
  }

  /** Waits for the path, until the next round of offers is due. */
  async #awaitPath(): Promise<void> {
    const context = this.#context;
    const untilMs = context.nowMs + OFFER_INTERVAL_MS;
    while (context.nowMs < untilMs && !context.hasPath && !context.hasEnded) {
      await sleep(PATH_POLL_MS);
    }
  }

  /** Offers the call to peers in turn until one serves it or all have declined. */
  async #serveOnce(): Promise<HandoverResult> {
    const context = this.#context;
    const asked = new Set<string>();
    const hedge = context.peerOffer.takeHedge();
    if (hedge !== undefined) {
      asked.add(hedge.peer);
      if (await this.#continueHedge(hedge) === "ended") return "ended";
    }
    for (;;) {
      const connection = await context.peerOffer.find(asked);
      await context.awaitSendable();
      if (!context.admitSend()) {
        connection?.close();
        return "ended";
      }
      if (connection === undefined) return "declined";
      // The peer has ended meanwhile, and the call has not been sent.
      if (connection.isClosed) continue;
      const result = await this.#serveAt(connection);
      if (result.kind === "ended" || context.hasEnded) return "ended";
      if (isServedElsewhere(result.error)) continue;
      if (context.hasPath && isServedHere(result.error)) return "declined";
      context.endWithPeerFailure(result.error);
      return "ended";
    }
  }

  /** Goes on with the hedge of an exchange that has ended. A refused one may be served elsewhere. */
  async #continueHedge(hedge: HandoverHedge): Promise<HandoverResult> {
    const context = this.#context;
    context.setExchange(hedge.exchange);
    const start = await hedge.start;
    if (context.hasEnded) return "ended";
    if (start.kind === "refused") return "declined";
    if (start.kind === "begun") {
      await this.#relayResponse(hedge.peer, hedge.exchange, start.head);
    } else if (start.kind === "failed") {
      context.endWithPeerFailure(start.error);
    } else this.#endWithLoss(start.reason);
    return "ended";
  }

  async #serveAt(connection: HandoverConnection): Promise<PeerResult> {
    const context = this.#context;
    const state = context.handoverState;
    const exchange = sendHandover(context, connection, state);
    const undo = context.beginHandover(exchange);
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
      if (cause.hasNotRun(state.attempts)) {
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
    this.#onBegun();
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
