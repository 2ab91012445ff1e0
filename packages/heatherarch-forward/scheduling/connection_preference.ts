/**
 * Prefers engines to which this VM has an idle connection.
 *
 * Opening a connection takes a round trip and time of the engine. In a large fleet, a VM has one
 * request for an engine every some seconds if it spreads them evenly: 88 VMs open connections for
 * half of their requests to 98 engines, because idle ones have been closed before they are used again.
 * Among engines that are nearly equal, the request then goes where a connection is open. A VM whose
 * connections are used again in time has no preference.
 *
 * @module
 */
import type { Target } from "../model.ts";

/** The connections of this VM, as far as the preference needs them. */
export interface ConnectionState {
  /** Whether a connection to the target is open and not in use. */
  hasIdle(target: Target): boolean;
  /** Time after which an idle connection is closed, milliseconds. */
  readonly idleTimeoutMs: number;
}

/** Options of {@linkcode ConnectionPreference}. */
export interface ConnectionPreferenceOptions {
  readonly connections: ConnectionState;
  /** Returns the calls that this VM receives, per minute. */
  readonly getCallsPerMinute: (nowMs: number) => number;
}

/**
 * Time that is added to the prediction of a prefill for a new connection, milliseconds: the drawn half
 * of the jitter with which engines are picked (`engine_jitter.ts`). No VM waits longer than that for
 * the sake of a connection.
 */
export const NEW_CONNECTION_MS = 10;
const MS_PER_MINUTE = 60_000;

/** Tells whether a request to an engine needs a new connection that another engine would not need. */
export class ConnectionPreference {
  readonly #options: ConnectionPreferenceOptions;

  constructor(options: ConnectionPreferenceOptions) {
    this.#options = options;
  }

  /**
   * Returns a function that tells whether a request to one of `engines` engines opens a connection
   * that should be avoided.
   */
  buildCheck(engines: number, nowMs: number): (target: Target) => boolean {
    const { connections } = this.#options;
    if (!this.#isActive(engines, nowMs)) return () => false;
    return (target) => !connections.hasIdle(target);
  }

  /** Whether an even spread leaves connections idle until they are closed. */
  #isActive(engines: number, nowMs: number): boolean {
    const { connections, getCallsPerMinute } = this.#options;
    const callsPerMs = getCallsPerMinute(nowMs) / MS_PER_MINUTE;
    return engines > callsPerMs * connections.idleTimeoutMs;
  }
}
