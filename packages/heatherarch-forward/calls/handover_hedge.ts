/**
 * Hedges an exchange in progress whose target is silent: the call is sent to a peer as well, and the
 * response that begins first is the one that the client gets. An accepted offer does not show that a peer
 * can begin, so the exchange goes on until it has.
 *
 * @module
 */
import type { ServeError } from "heatherarch-core";
import type { HandoverConnection } from "heatherarch-handover";
import type { CallContext } from "./call_context.ts";
import { sendHandover } from "./handover_request.ts";
import type { AttemptCounts, HandoverState, Target } from "../model.ts";
import { PeerFailureError } from "./peer_exchange.ts";
import {
  ExchangeError,
  type ResponseHead,
  type TargetExchange,
} from "./target_exchange.ts";

/** What became of the call at the peer, up to the head of its response. */
export type HedgeStart =
  /** The response has begun. That of a stream begins with its first event. */
  | { readonly kind: "begun"; readonly head: ResponseHead }
  /** No target ran the call for the peer. */
  | { readonly kind: "refused"; readonly error: ServeError }
  /** The call may have run for the peer, which has ended it. */
  | { readonly kind: "failed"; readonly error: ServeError }
  /** The connection to the peer has ended. */
  | { readonly kind: "lost"; readonly reason: string };

/** Options of {@linkcode HandoverHedge}. */
export interface HandoverHedgeOptions {
  readonly context: CallContext;
  /** Connection to a peer that has accepted the call. */
  readonly connection: HandoverConnection;
  /** Target of the exchange that is hedged. */
  readonly target: Target;
}

/**
 * With these counts, the peer takes a retry for each of its requests. So this VM need not know how many
 * there were, which a hedge that is cancelled does not tell.
 */
const HEDGE_ATTEMPTS: AttemptCounts = {
  sent: 3,
  prefills: 1,
  isPrefilled: true,
};

/** A call at a peer, beside an exchange of this VM. */
export class HandoverHedge {
  /** Id of the peer. */
  readonly peer: string;
  readonly exchange: TargetExchange;
  /** Resolves once, when the response of the peer begins or the call has ended there. */
  readonly start: Promise<HedgeStart>;
  readonly #undoRun: () => void;

  constructor({ context, connection, target }: HandoverHedgeOptions) {
    this.peer = connection.peer.id;
    const { handoverState, maxRuns } = context;
    const state: HandoverState = {
      // The peer may run the call once, which is the run that this VM counts for it.
      runs: Math.max(handoverState.runs, maxRuns - 1),
      isUsageRecorded: true,
      attempts: HEDGE_ATTEMPTS,
      softwareVersion: context.chooseSoftwareVersion(target),
      isHedge: true,
    };
    this.#undoRun = context.beginHedge();
    this.exchange = sendHandover(context, connection, state);
    this.start = this.#awaitStart();
  }

  async #awaitStart(): Promise<HedgeStart> {
    try {
      return { kind: "begun", head: await this.exchange.head };
    } catch (error) {
      if (!(error instanceof ExchangeError)) throw error;
      const { cause, message } = error;
      return cause instanceof PeerFailureError
        ? this.#classifyFailure(cause)
        : { kind: "lost", reason: message };
    }
  }

  #classifyFailure(cause: PeerFailureError): HedgeStart {
    const { failure: error } = cause;
    if (!cause.hasNotRun(HEDGE_ATTEMPTS)) return { kind: "failed", error };
    this.#undoRun();
    return { kind: "refused", error };
  }
}
