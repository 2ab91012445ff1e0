/**
 * Counts the requests of one call that reached targets, as the fleet's retry budget counts them.
 *
 * @module
 */

/** Requests of a call that count towards the retry budget, also at the VMs that served it before. */
export interface AttemptCounts {
  /** Requests that reached a target, or may have; rejected ones and prefills included. */
  readonly sent: number;
  /** An engine has prefilled the prompt. The first such prefill is not counted. */
  readonly isPrefilled: boolean;
}

/** Counts of a call that no target has got. */
export const NO_ATTEMPTS: AttemptCounts = { sent: 0, isPrefilled: false };

/** Computes how many requests of a call are retries: all but the first, and the first prefill. */
export function countRetries({ sent, isPrefilled }: AttemptCounts): number {
  return Math.max(0, sent - 1 - (isPrefilled ? 1 : 0));
}

/** The requests of one call. */
export class AttemptLedger {
  #sent: number;
  #isPrefilled: boolean;

  constructor({ sent, isPrefilled }: AttemptCounts = NO_ATTEMPTS) {
    this.#sent = sent;
    this.#isPrefilled = isPrefilled;
  }

  /** What has been counted so far. */
  get counts(): AttemptCounts {
    return { sent: this.#sent, isPrefilled: this.#isPrefilled };
  }

  /** Number of retries among the requests. */
  get retries(): number {
    return countRetries(this.counts);
  }

  /** Counts a request. Returns a function that takes it back if it did not reach its target. */
  recordSent(): () => void {
    this.#sent++;
    return () => {
      this.#sent--;
    };
  }

  /** Records that an engine has prefilled the prompt. */
  recordPrefilled(): void {
    this.#isPrefilled = true;
  }
}
