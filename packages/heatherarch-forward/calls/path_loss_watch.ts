/**
 * Hedges exchanges in progress when their path is lost. Targets that are silent may respond a moment
 * later, and a peer that accepts a call may not be able to begin it, so an exchange is given up only when
 * the response of a peer has begun. A prefill is given up for a peer that accepts: a call that has not
 * run can still be refused, and two prefills would be booked as twice the work.
 *
 * @module
 */
import { sleep } from "heatherarch-core";
import type { Target } from "../model.ts";
import type { CallContext } from "./call_context.ts";
import { runReported } from "../report_error.ts";
import { HandoverHedge, type HedgeStart } from "./handover_hedge.ts";
import type { TargetExchange } from "./target_exchange.ts";

/** Interval between rounds of offers while no peer serves the call, milliseconds. */
const OFFER_INTERVAL_MS = 250;
/**
 * A response that has begun counts as silent after this time, milliseconds. Events of a stream that
 * works are closer together.
 */
const SILENCE_MS = 250;
/** A peer's response with this status or a higher one is not better than waiting for the target. */
const MIN_FAILURE_STATUS = 500;

/** Options of {@linkcode PathLossWatch}. */
export interface PathLossWatchOptions {
  readonly context: CallContext;
  readonly target: Target;
  readonly exchange: TargetExchange;
  /** Whether the exchange is a prefill, which is no run. */
  readonly isPrefill?: boolean;
}

/**
 * Has a peer serve the call while the path to its target is lost and the exchange is silent. Returns a
 * function that stops this.
 */
export function watchPathLoss(options: PathLossWatchOptions): () => void {
  const watch = new PathLossWatch(options);
  watch.start();
  return () => watch.stop();
}

/** Watches the path of one exchange. */
class PathLossWatch {
  readonly #context: CallContext;
  readonly #target: Target;
  readonly #exchange: TargetExchange;
  readonly #isPrefill: boolean;
  #isStopped = false;
  #isOffering = false;
  #wake = (): void => undefined;
  #removeListener = (): void => undefined;

  constructor(options: PathLossWatchOptions) {
    this.#context = options.context;
    this.#target = options.target;
    this.#exchange = options.exchange;
    this.#isPrefill = options.isPrefill ?? false;
  }

  start(): void {
    const { pathMonitor } = this.#context.dependencies;
    this.#removeListener = pathMonitor.registerLossListener(
      this.#target.service,
      () => {
        this.#wake();
        this.#startOffering();
      },
    );
    // The path may have been lost before.
    this.#startOffering();
  }

  /** Cancels a hedge, unless the exchange has failed: then the call goes on at the peer. */
  stop(): void {
    this.#isStopped = true;
    this.#removeListener();
    if (!this.#exchange.hasFailed) this.#context.peerOffer.release();
  }

  get #isLost(): boolean {
    const { pathMonitor } = this.#context.dependencies;
    return !this.#isStopped && !pathMonitor.hasPathTo(this.#target);
  }

  get #isSilent(): boolean {
    const { isSent } = this.#exchange;
    return isSent &&
      this.#exchange.getSilentMs(this.#context.nowMs) >= SILENCE_MS;
  }

  get #mayHedge(): boolean {
    const { mayHandOver, peerOffer } = this.#context;
    return this.#isLost && this.#isSilent && mayHandOver && peerOffer.mayOffer;
  }

  #startOffering(): void {
    if (this.#isOffering) return;
    this.#isOffering = true;
    runReported(this.#context.dependencies, "offer", async () => {
      let isGivenUp = false;
      try {
        isGivenUp = await this.#offerWhileLost();
      } finally {
        this.#isOffering = isGivenUp;
      }
    });
  }

  /** Resolves with whether the exchange was given up for a peer. */
  async #offerWhileLost(): Promise<boolean> {
    const context = this.#context;
    while (!this.#isStopped && !context.hasPath && context.mayHandOver) {
      // Only the path of another role may be known as lost; nothing else asks for that of a stream.
      if (this.#isSilent && !this.#isLost) {
        context.dependencies.pathMonitor.recordTrouble(this.#target);
      } else if (this.#isSilent && await this.#tryPeers()) return true;
      await this.#awaitNextRound();
    }
    return false;
  }

  /** A response that goes on may fall silent later, as long as the path is lost. */
  async #awaitNextRound(): Promise<void> {
    const silentMs = this.#exchange.getSilentMs(this.#context.nowMs);
    const untilSilentMs = SILENCE_MS - Math.min(silentMs, SILENCE_MS);
    const waitMs = untilSilentMs > 0 ? untilSilentMs : OFFER_INTERVAL_MS;
    const loss = new Promise<void>((resolve) => this.#wake = resolve);
    await Promise.race([sleep(Math.ceil(waitMs)), loss, this.#context.ended]);
  }

  /** Sends the call to peers in turn. Returns whether the exchange was given up for one. */
  async #tryPeers(): Promise<boolean> {
    const { peerOffer } = this.#context;
    const asked = new Set<string>();
    for (;;) {
      const connection = await peerOffer.find(asked, { isHedge: true });
      if (connection === undefined) return false;
      if (!this.#mayHedge) {
        connection.close();
        return false;
      }
      if (this.#isPrefill) {
        peerOffer.keep(connection);
        this.#abortExchange();
        return true;
      }
      const hedge = new HandoverHedge({
        context: this.#context,
        connection,
        target: this.#target,
      });
      peerOffer.setHedge(hedge);
      const start = await this.#awaitStart(hedge);
      if (start === "begun") return true;
      if (start !== "refused") return false;
    }
  }

  #abortExchange(): void {
    this.#context.recordLoss("pathLost");
    this.#exchange.abort("path lost");
  }

  /** Waits for the response of a peer, which bytes of the exchange cancel. */
  async #awaitStart(
    hedge: HandoverHedge,
  ): Promise<HedgeStart["kind"] | "cancelled"> {
    const { peerOffer } = this.#context;
    const removeListener = this.#exchange.registerReceiptListener(() =>
      peerOffer.release()
    );
    const start = await hedge.start;
    removeListener();
    if (this.#isStopped || peerOffer.hedge !== hedge) return "cancelled";
    if (start.kind === "begun" && start.head.status < MIN_FAILURE_STATUS) {
      this.#abortExchange();
      return "begun";
    }
    peerOffer.release();
    return start.kind === "begun" ? "failed" : start.kind;
  }
}
