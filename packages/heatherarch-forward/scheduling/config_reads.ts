/**
 * Times of the reads that bring a newer configuration, from the bound within which a change is in
 * force.
 *
 * A read may be lost at any moment: with the store, or with its connection. The next one has to
 * bring the change in time, whichever read was lost and however shortly before the store is back.
 *
 * @module
 */

/** What the times follow from. */
export interface ConfigReadTimingOptions {
  /** Time within which a change is in force, milliseconds. */
  readonly configBoundMs: number;
  /** How long the store may hold a read, milliseconds. */
  readonly configWaitMs: number;
  /** Longest wait for an answer of the store, milliseconds. */
  readonly requestTimeoutMs: number;
}

/** Times of one VM's reads, milliseconds. */
export interface ConfigReadTiming {
  /** How long the store may hold a read until there is a newer configuration. */
  readonly waitMs: number;
  /** Longest wait for the answer to a long poll, beyond the time for which it is held. */
  readonly answerMs: number;
  /** Longest wait for the answer to a plain read. */
  readonly timeoutMs: number;
  /** Pause after a failed plain read. */
  readonly retryMs: number;
  /** The same on a VM without duty: many of them try at once. */
  readonly spareRetryMs: number;
  /** A VM that reads the store asks a peer that has a change only after this time. */
  readonly askPeerAfterMs: number;
  /** Longest wait for a peer's answer. */
  readonly peerTimeoutMs: number;
}

/** Parts of the bound. What is left is for the answer itself, and for hubs to tell it on. */
const ANSWER_PART = 0.25;
const TIMEOUT_PART = 0.6;
const RETRY_PART = 0.125;
const SPARE_RETRY_PART = 0.25;
const ASK_PEER_PART = 0.35;
const PEER_TIMEOUT_PART = 0.2;

/** Plans the reads of one VM. */
export function planConfigReads(
  options: ConfigReadTimingOptions,
): ConfigReadTiming {
  const { configBoundMs, configWaitMs, requestTimeoutMs } = options;
  const computePart = (part: number): number =>
    Math.round(configBoundMs * part);
  return {
    waitMs: configWaitMs,
    answerMs: Math.min(requestTimeoutMs, computePart(ANSWER_PART)),
    timeoutMs: Math.min(requestTimeoutMs, computePart(TIMEOUT_PART)),
    retryMs: computePart(RETRY_PART),
    spareRetryMs: computePart(SPARE_RETRY_PART),
    askPeerAfterMs: computePart(ASK_PEER_PART),
    peerTimeoutMs: Math.min(requestTimeoutMs, computePart(PEER_TIMEOUT_PART)),
  };
}

/**
 * Longest time from the moment at which the store answers again to the answer that brings a change,
 * without the time that the store takes over it, milliseconds.
 */
export function computeMaxConfigDelayMs(reads: ConfigReadTiming): number {
  const { waitMs, answerMs, timeoutMs, retryMs } = reads;
  return Math.max(waitMs + answerMs, timeoutMs + retryMs);
}
