/**
 * Gives up exchanges in progress when their path is lost, but only for a peer that has accepted the
 * call: targets that are silent may respond a moment later.
 *
 * @module
 */
import { sleep } from "heatherarch-core";
import type { CallContext } from "./call_context.ts";
import type { TargetExchange } from "./target_exchange.ts";

/** Interval between rounds of offers while no peer accepts the call, milliseconds. */
const OFFER_INTERVAL_MS = 250;

/**
 * Offers the call to peers while the path to its targets is lost, and aborts the exchange once one has
 * accepted and no response has arrived meanwhile. Returns a function that stops this.
 */
export function watchPathLoss(
  context: CallContext,
  exchange: TargetExchange,
): () => void {
  const { pathMonitor } = context.dependencies;
  let isStopped = false;
  let isOffering = false;
  const offerWhileLost = async (): Promise<void> => {
    if (isOffering || !exchange.isSent) return;
    isOffering = true;
    const { receivedBytes } = exchange;
    const isSilent = (): boolean =>
      !isStopped && !context.hasPath &&
      exchange.receivedBytes === receivedBytes;
    while (isSilent() && context.mayHandOver) {
      const isReserved = await context.peerOffer.reserve();
      if (isReserved && isSilent()) {
        context.recordLoss("pathLost");
        exchange.abort("path lost");
        return;
      }
      if (isReserved) context.peerOffer.release();
      else await Promise.race([sleep(OFFER_INTERVAL_MS), context.ended]);
    }
    isOffering = false;
  };
  const removeListener = pathMonitor.registerLossListener(
    context.service.name,
    () => void offerWhileLost(),
  );
  return () => {
    isStopped = true;
    removeListener();
  };
}
