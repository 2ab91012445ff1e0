/**
 * Gives up exchanges in progress when their path is lost, but only for a peer that has accepted the
 * call: targets that are silent may respond a moment later.
 *
 * @module
 */
import { sleep } from "heatherarch-core";
import type { Target } from "../model.ts";
import type { CallContext } from "./call_context.ts";
import type { TargetExchange } from "./target_exchange.ts";

/** Interval between rounds of offers while no peer accepts the call, milliseconds. */
const OFFER_INTERVAL_MS = 250;
/**
 * A response that has begun counts as silent after this time, milliseconds. Events of a stream that
 * works are closer together; a peer accepts within a few milliseconds, which shows nothing.
 */
const SILENCE_MS = 250;

/**
 * Offers the call to peers while the path to its target is lost, and aborts the exchange once one has
 * accepted if the exchange is silent. Returns a function that stops this.
 */
export function watchPathLoss(
  context: CallContext,
  target: Target,
  exchange: TargetExchange,
): () => void {
  const { pathMonitor } = context.dependencies;
  let isStopped = false;
  let isOffering = false;
  let wake = (): void => undefined;
  const isLost = (): boolean => !isStopped && !pathMonitor.hasPathTo(target);
  const isSilent = (): boolean =>
    exchange.isSent && exchange.getSilentMs(context.nowMs) >= SILENCE_MS;
  /** Returns whether the exchange was given up. */
  const offer = async (): Promise<boolean> => {
    if (!await context.peerOffer.reserve()) return false;
    if (!isLost() || !isSilent()) {
      context.peerOffer.release();
      return false;
    }
    context.recordLoss("pathLost");
    exchange.abort("path lost");
    return true;
  };
  const offerWhileLost = async (): Promise<void> => {
    if (isOffering) return;
    isOffering = true;
    while (!isStopped && !context.hasPath && context.mayHandOver) {
      // Only the path of another role may be known as lost; nothing else asks for that of a stream.
      if (isSilent() && !isLost()) pathMonitor.recordTrouble(target);
      else if (isSilent() && await offer()) return;
      // A response that goes on may fall silent later, as long as the path is lost.
      const silentMs = exchange.getSilentMs(context.nowMs);
      const untilSilentMs = SILENCE_MS - Math.min(silentMs, SILENCE_MS);
      const waitMs = untilSilentMs > 0 ? untilSilentMs : OFFER_INTERVAL_MS;
      const loss = new Promise<void>((resolve) => wake = resolve);
      await Promise.race([sleep(Math.ceil(waitMs)), loss, context.ended]);
    }
    isOffering = false;
  };
  const removeListener = pathMonitor.registerLossListener(
    target.service,
    () => {
      wake();
      void offerWhileLost();
    },
  );
  // The path may have been lost before.
  void offerWhileLost();
  return () => {
    isStopped = true;
    removeListener();
  };
}
