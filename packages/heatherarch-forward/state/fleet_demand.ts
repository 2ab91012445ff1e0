/**
 * This VM's share of the calls that the fleet receives. VMs share the rate limits of targets by it,
 * so that a VM which receives most calls may also send most requests. The module has no clock: each
 * update carries the time.
 *
 * @module
 */
import type { WorkScope } from "./work_tracker.ts";

/** Decides which part of a limit on the whole fleet belongs to this VM. */
export interface FleetShare {
  /** Share of this VM, above 0 and at most 1. The shares of all VMs add up to 1 at most. */
  computeShare(nowMs: number): number;
}

/** Calls that one or more VMs receive. */
export interface CallRate {
  readonly callsPerMinute: number;
  /** Number of VMs that receive them. */
  readonly vms: number;
}

interface PeerRate extends CallRate {
  readonly atMs: number;
  readonly scope: WorkScope;
}

const MS_PER_MINUTE = 60_000;
/** Time over which the own rate is averaged, milliseconds. */
const AVERAGING_MS = 2000;
/** A peer without a report for this long no longer counts as receiving calls. */
const PEER_TIMEOUT_MS = 1500;
/** Calls per minute that every VM counts as receiving, so that no share is 0. */
const BASE_CALLS_PER_MINUTE = 6;

/** Calls that this VM and its peers receive. */
export class FleetDemand implements FleetShare {
  #callsPerMs = 0;
  #updatedAtMs = -Infinity;
  /** VMs that share the limits, including those that are listed and not live. */
  #vmCount = 1;
  readonly #peers = new Map<string, PeerRate>();

  /** Sets the number of VMs that share the fleet's limits. */
  setVmCount(count: number): void {
    this.#vmCount = Math.max(1, count);
  }

  /** Records a call that this VM received. */
  recordCall(nowMs: number): void {
    this.#callsPerMs = this.#computeCallsPerMs(nowMs) + 1 / AVERAGING_MS;
    this.#updatedAtMs = nowMs;
  }

  /** Takes back a call that another VM counts. */
  forgetCall(nowMs: number): void {
    const callsPerMs = this.#computeCallsPerMs(nowMs) - 1 / AVERAGING_MS;
    this.#callsPerMs = Math.max(0, callsPerMs);
    this.#updatedAtMs = nowMs;
  }

  /** Calls that this VM receives, per minute. */
  getOwnCallsPerMinute(nowMs: number): number {
    return Math.round(this.#computeCallsPerMs(nowMs) * MS_PER_MINUTE);
  }

  /** Replaces what a peer reports, of itself or of several VMs. */
  setPeerRate(
    peer: string,
    rate: CallRate,
    nowMs: number,
    scope: WorkScope = "own",
  ): void {
    this.#peers.set(peer, { ...rate, atMs: nowMs, scope });
  }

  /** Removes the rates of all peers, because their reports change their form. */
  forgetAllPeers(): void {
    this.#peers.clear();
  }

  /** Removes what a peer has reported. */
  forgetPeer(peer: string): void {
    this.#peers.delete(peer);
  }

  /** Sums the rates of this VM and its peers, with or without those that peers gathered. */
  sumRates(nowMs: number, includeGathered: boolean): CallRate {
    let callsPerMinute = this.getOwnCallsPerMinute(nowMs);
    let vms = 1;
    for (const [peer, rate] of this.#peers) {
      if (nowMs - rate.atMs > PEER_TIMEOUT_MS) {
        this.#peers.delete(peer);
        continue;
      }
      if (rate.scope === "gathered" && !includeGathered) continue;
      callsPerMinute += rate.callsPerMinute;
      vms += rate.vms;
    }
    return { callsPerMinute, vms };
  }

  /**
   * Share by calls among the VMs whose rates are known. The others, which may be cut off and still
   * reach the targets, count as receiving as many calls on average.
   */
  computeShare(nowMs: number): number {
    const { callsPerMinute, vms } = this.sumRates(nowMs, true);
    const own = this.getOwnCallsPerMinute(nowMs) + BASE_CALLS_PER_MINUTE;
    const known = callsPerMinute + vms * BASE_CALLS_PER_MINUTE;
    return own / known * vms / Math.max(vms, this.#vmCount);
  }

  #computeCallsPerMs(nowMs: number): number {
    const elapsedMs = nowMs - this.#updatedAtMs;
    return this.#callsPerMs * Math.exp(-elapsedMs / AVERAGING_MS);
  }
}
