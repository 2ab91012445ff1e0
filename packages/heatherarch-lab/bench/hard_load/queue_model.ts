/**
 * Calls of a simulation of queues, rules for sending them, and what a simulation decides by itself.
 *
 * @module
 */

/** When a VM sends a call of its queue to a target. */
export const GATES = [
  /** While the calls that are known at the target are below its slots. */
  "known",
  /** Also at the rate of the VM's share of all slots, up to twice the slots. */
  "turns",
  /**
   * The product's: as `turns`, but at a limited multiple of that rate while calls wait. Calls of
   * accounts within their shares need no turn; busy targets get fewer calls of the other accounts.
   */
  "product",
  /**
   * While the fleet asks for more than the room, at the rate of the VM's share and to a target that is
   * drawn, unless it is far above its slots; otherwise as with `known`.
   */
  "paced",
] as const;

/** Name of a rule for sending. */
export type Gate = typeof GATES[number];

/** A call at a VM. */
export interface SimulatedCall {
  readonly vm: number;
  readonly account: string;
  readonly arrivedAtMs: number;
  readonly aimMs: number;
  /** Time at which the client gives up. */
  readonly timeoutAtMs: number;
}

/** Decisions and outcomes of a simulation of queues. */
export interface QueueHandler<C extends SimulatedCall> {
  /** Calls of a lower rank go first at a VM. */
  computeRank(vm: number, account: string): number;
  handleDispatch(call: C): void;
  handleResponse(call: C, isTooLate: boolean): void;
  handleRejection(call: C, rejection: Rejection): void;
}

/** What a VM knows when it rejects a call. */
export interface Rejection {
  /** Rate at which the VM dispatches while calls wait, in calls per millisecond. */
  readonly callsPerMs: number | undefined;
  /** Time by which the call would be too late, milliseconds. */
  readonly excessMs: number;
}
