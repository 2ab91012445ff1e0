/**
 * Books capacity for the returns of rejected clients, and decides which calls take the place of a
 * booked return.
 *
 * After a burst, clients that retry at the same time are rejected a second time, while later there is
 * capacity that nobody uses. A rejection therefore states a time at which this VM has capacity that
 * is not booked yet. The client may return to another VM, so VMs tell each other how many returns are
 * due, and each VM gives its part of them precedence.
 *
 * The module has no clock: each update carries the time. Only monotonic times of this VM and
 * durations are used.
 *
 * @module
 */
import {
  BookedSlots,
  computeSlot,
  MAX_DELAY_MS,
  SLOT_MS,
} from "./booked_slots.ts";
import { BookedAccounts } from "./booked_accounts.ts";
import { ClaimWindow } from "./claim_window.ts";

/** A number of returns of a group. */
export type DueRow = readonly [group: string, returns: number];

/** Whether a peer reports its own returns, or the sum of those that others have reported to it. */
export type DueScope = "own" | "gathered";

/** Capacity that a return needs, and when. Delays are milliseconds from now. */
export interface ReturnRequest {
  /** Work of the call, milliseconds of one slot of a target. */
  readonly workMs: number;
  readonly earliestMs: number;
  /** Longest delay that the client waits. */
  readonly latestMs: number;
  /** Work that this VM dispatches for each millisecond. */
  readonly roomPerMs: number;
  /** Share of the room that may be booked; the rest is for new calls. */
  readonly bookableShare?: number;
  /** Client account of the call. */
  readonly account?: string;
}

/** Options of {@linkcode ReturnBook}. */
export interface ReturnBookOptions {
  /** Share of the fleet's calls that this VM receives, above 0 and at most 1. */
  readonly computeShare: (nowMs: number) => number;
  /** Draws a uniformly distributed number in [0, 1). */
  readonly drawUnit: () => number;
}

interface Group {
  readonly slots: BookedSlots;
  readonly accounts: BookedAccounts;
  readonly claims: ClaimWindow;
}

interface PeerDue {
  readonly rows: ReadonlyMap<string, number>;
  readonly atMs: number;
  readonly scope: DueScope;
}

const DEFAULT_BOOKABLE_SHARE = 0.5;
/**
 * A return counts as due from this time before its booked time on, milliseconds. Peers then know of it
 * when the client returns: the path over two hubs takes up to 250 ms, and rows are sent every 250 ms.
 */
const DUE_LEAD_MS = 500;
/** A return that has not come this long after its booked time isn't expected any more, milliseconds. */
const DUE_LAG_MS = 1000;
/** Time for which a return is due; claims are counted over the same time, milliseconds. */
const DUE_WINDOW_MS = DUE_LEAD_MS + DUE_LAG_MS;
/** A peer without a report for this long no longer counts, milliseconds. */
const PEER_TIMEOUT_MS = 1500;
/** Claims of a VM as a multiple of its share of the due returns, because clients pick VMs by chance. */
const CLAIM_FACTOR = 2;
/** Groups that are booked and that are kept of one peer: services of one configuration. */
const MAX_GROUPS = 256;

/** Bookings and claims of one VM, and the due returns of its peers. */
export class ReturnBook {
  readonly #options: ReturnBookOptions;
  readonly #groups = new Map<string, Group>();
  readonly #peers = new Map<string, PeerDue>();

  constructor(options: ReturnBookOptions) {
    this.#options = options;
  }

  /** Books capacity for a return; returns the delay until it, milliseconds. */
  book(group: string, request: ReturnRequest, nowMs: number): number {
    const { workMs, roomPerMs } = request;
    const { bookableShare = DEFAULT_BOOKABLE_SHARE } = request;
    const latestMs = clampDelay(request.latestMs, MAX_DELAY_MS);
    const earliestMs = clampDelay(request.earliestMs, latestMs);
    const booked = this.#findGroup(group, nowMs);
    if (booked === undefined) return earliestMs;
    const slot = booked.slots.book(workMs, {
      first: computeSlot(nowMs + earliestMs),
      last: computeSlot(nowMs + latestMs),
      capacityMs: roomPerMs * SLOT_MS * bookableShare,
    });
    // Without jitter, the returns that VMs book for the same slot would come at the same moment.
    const atMs = (slot + this.#options.drawUnit()) * SLOT_MS;
    const delayMs = Math.max(earliestMs, clampDelay(atMs - nowMs, latestMs));
    booked.accounts.record(request.account, nowMs + delayMs);
    return delayMs;
  }

  /** Lists the returns that are due by the bookings of this VM. */
  listDue(nowMs: number): DueRow[] {
    return [...this.#groups.keys()]
      .map((group): DueRow => [group, this.#countOwnDue(group, nowMs)])
      .filter(([, returns]) => returns > 0);
  }

  /** Replaces the due returns that a peer reports, its own or those that it gathered. */
  setPeerDue(
    peer: string,
    rows: readonly DueRow[],
    nowMs: number,
    scope: DueScope = "own",
  ): void {
    const kept = new Map(rows.slice(0, MAX_GROUPS));
    this.#peers.set(peer, { rows: kept, atMs: nowMs, scope });
  }

  /** Sums the due returns of this VM and its peers, with or without those that peers gathered. */
  sumDue(nowMs: number, includeGathered: boolean): DueRow[] {
    const sums = new Map(this.listDue(nowMs));
    for (const { rows } of this.#listPeers(nowMs, includeGathered)) {
      for (const [group, returns] of rows) {
        sums.set(group, (sums.get(group) ?? 0) + returns);
      }
    }
    return [...sums];
  }

  /**
   * Whether a call that looks like a return takes the place of one that is due. The claims of this VM
   * are limited to a multiple of its share of the returns that are due in the fleet, plus one, as a
   * share may be far below one return. If all clients return as told, calls that falsely look like
   * returns gain as many places as were booked, and one. While other accounts claim as well, an account
   * gets at most its share of the returns that this VM has booked, or half if that is more.
   */
  claim(group: string, account: string | undefined, nowMs: number): boolean {
    const due = this.#countFleetDue(group, nowMs);
    if (due <= 0) return false;
    const share = this.#options.computeShare(nowMs);
    const limit = CLAIM_FACTOR * share * due + 1;
    const found = this.#findGroup(group, nowMs);
    if (found === undefined) return false;
    const accountShare = account === undefined
      ? 0
      : found.accounts.computeShare(account, getDueSpan(nowMs));
    return found.claims.claim(account, { limit, accountShare }, nowMs);
  }

  /** Removes what a peer has reported. */
  forgetPeer(peer: string): void {
    this.#peers.delete(peer);
  }

  /** Removes the reports of all peers, because they change their form. */
  forgetAllPeers(): void {
    this.#peers.clear();
  }

  /** Counts the returns that are booked for a time that has not come yet. */
  count(group: string, nowMs: number): number {
    const slots = this.#groups.get(group)?.slots;
    return slots?.countReturns(computeSlot(nowMs) + 1, Infinity) ?? 0;
  }

  #countOwnDue(group: string, nowMs: number): number {
    const slots = this.#groups.get(group)?.slots;
    if (slots === undefined) return 0;
    const { fromMs, untilMs } = getDueSpan(nowMs);
    return slots.countReturns(computeSlot(fromMs), computeSlot(untilMs));
  }

  #countFleetDue(group: string, nowMs: number): number {
    return this.#listPeers(nowMs, true).reduce(
      (sum, { rows }) => sum + (rows.get(group) ?? 0),
      this.#countOwnDue(group, nowMs),
    );
  }

  #listPeers(nowMs: number, includeGathered: boolean): PeerDue[] {
    for (const [peer, { atMs }] of this.#peers) {
      if (nowMs - atMs > PEER_TIMEOUT_MS) this.#peers.delete(peer);
    }
    return [...this.#peers.values()].filter(({ scope }) =>
      includeGathered || scope === "own"
    );
  }

  /** Returns a group without its expired slots; undefined if too many groups are in use. */
  #findGroup(name: string, nowMs: number): Group | undefined {
    let group = this.#groups.get(name);
    if (group === undefined) {
      if (this.#groups.size >= MAX_GROUPS) this.#removeUnused(nowMs);
      if (this.#groups.size >= MAX_GROUPS) return undefined;
      group = {
        slots: new BookedSlots(),
        accounts: new BookedAccounts(),
        claims: new ClaimWindow(DUE_WINDOW_MS),
      };
      this.#groups.set(name, group);
    }
    const { fromMs } = getDueSpan(nowMs);
    group.slots.removeBefore(computeSlot(fromMs));
    group.accounts.removeBefore(fromMs);
    return group;
  }

  #removeUnused(nowMs: number): void {
    const first = computeSlot(nowMs - DUE_LAG_MS);
    for (const [name, { slots, claims }] of this.#groups) {
      slots.removeBefore(first);
      if (slots.size === 0 && claims.isEmpty(nowMs)) this.#groups.delete(name);
    }
  }
}

/** Booked times of the returns that are due. */
function getDueSpan(nowMs: number): { fromMs: number; untilMs: number } {
  return { fromMs: nowMs - DUE_LAG_MS, untilMs: nowMs + DUE_LEAD_MS };
}

function clampDelay(delayMs: number, maxMs: number): number {
  return Math.max(0, Math.min(delayMs, maxMs));
}
