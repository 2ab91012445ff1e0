/**
 * Derives the timing of configuration reads from the bound within which a change must take effect.
 *
 * A read can be lost at any moment, with the store or with its connection. The next read has to
 * deliver the change in time, whichever read was lost and however shortly before the store recovers.
 *
 * @module
 */

/** Options of {@linkcode planConfigReads}. */
export interface ConfigReadTimingOptions {
  /** Time within which a change must take effect, in milliseconds. */
  readonly configBoundMs: number;
  /** How long the store may hold a long poll, in milliseconds. */
  readonly configWaitMs: number;
  /** Timeout of requests to the store, in milliseconds. */
  readonly requestTimeoutMs: number;
  /**
   * Time within which a configuration must be confirmed as the newest one for its API keys to be
   * used, in milliseconds; by default, it need not be.
   */
  readonly revokeBoundMs?: number;
}

/** Timing of the configuration reads of one VM, in milliseconds. */
export interface ConfigReadTiming {
  /** How long the store may hold a long poll until there is a newer configuration. */
  readonly waitMs: number;
  /** Timeout of a long poll, in addition to the time for which the store holds it. */
  readonly answerMs: number;
  /** Timeout of a plain read. */
  readonly timeoutMs: number;
  /** Delay before the retry of a failed plain read. */
  readonly retryMs: number;
  /** Retry delay on a VM that is not a coordinator: many such VMs retry at once. */
  readonly spareRetryMs: number;
  /** Delay before a VM that reads the store requests a change from a peer that has it. */
  readonly askPeerAfterMs: number;
  /** Timeout of a request to a peer. */
  readonly peerTimeoutMs: number;
}

/** Fractions of the bound. The rest is left for the response and for its distribution by hubs. */
const RESPONSE_FRACTION = 0.25;
const TIMEOUT_FRACTION = 0.6;
const RETRY_FRACTION = 0.125;
const SPARE_RETRY_FRACTION = 0.25;
const ASK_PEER_FRACTION = 0.35;
const PEER_TIMEOUT_FRACTION = 0.2;

/**
 * Fractions of the time within which a configuration must be confirmed. A read confirms it as of
 * the time at which the read was sent, so reads that are held for long confirm little.
 */
const CONFIRM_WAIT_FRACTION = 0.2;
const CONFIRM_RESPONSE_FRACTION = 0.1;
const CONFIRM_TIMEOUT_FRACTION = 0.2;
const CONFIRM_RETRY_FRACTION = 0.05;

/** Computes the timing of the configuration reads of one VM. */
export function planConfigReads(
  options: ConfigReadTimingOptions,
): ConfigReadTiming {
  const { configBoundMs, configWaitMs, requestTimeoutMs } = options;
  const { revokeBoundMs = Infinity } = options;
  const computeFractionMs = (fraction: number): number =>
    Math.round(configBoundMs * fraction);
  const limitMs = (ms: number, confirmFraction: number): number =>
    Math.min(ms, Math.round(revokeBoundMs * confirmFraction));
  const answerMs = Math.min(
    requestTimeoutMs,
    computeFractionMs(RESPONSE_FRACTION),
  );
  const timeoutMs = Math.min(
    requestTimeoutMs,
    computeFractionMs(TIMEOUT_FRACTION),
  );
  return {
    waitMs: limitMs(configWaitMs, CONFIRM_WAIT_FRACTION),
    answerMs: limitMs(answerMs, CONFIRM_RESPONSE_FRACTION),
    timeoutMs: limitMs(timeoutMs, CONFIRM_TIMEOUT_FRACTION),
    retryMs: limitMs(computeFractionMs(RETRY_FRACTION), CONFIRM_RETRY_FRACTION),
    spareRetryMs: computeFractionMs(SPARE_RETRY_FRACTION),
    askPeerAfterMs: computeFractionMs(ASK_PEER_FRACTION),
    peerTimeoutMs: Math.min(
      requestTimeoutMs,
      computeFractionMs(PEER_TIMEOUT_FRACTION),
    ),
  };
}

/**
 * Longest time from the recovery of the store to the response that delivers a change, in
 * milliseconds, without the time that the store takes to respond.
 */
export function computeMaxConfigDelayMs(timing: ConfigReadTiming): number {
  const { waitMs, answerMs, timeoutMs, retryMs } = timing;
  return Math.max(waitMs + answerMs, timeoutMs + retryMs);
}
