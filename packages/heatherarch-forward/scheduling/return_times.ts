/**
 * Decides when a client that is rejected for load should return, and which calls are returns.
 *
 * It addresses a burst of a few seconds whose rejected clients retry within their timeout. With a
 * delay by the time that they waited, most of them return while the queue is still full, and are
 * rejected again. If the rate is known at which this VM dispatches calls, a return is booked for a
 * time at which there is capacity for it, and it goes before new calls then. If not, the delay is as
 * `retry_after.ts` computes it.
 *
 * The module has no clock: each update carries the time.
 *
 * @module
 */
import { type DueRow, ReturnBook, ReturnDetector } from "heatherarch-returns";
import type { FleetShare } from "../state/fleet_demand.ts";

/** What a VM knows of a queue whose rate of dispatch is known. */
export interface QueueReading {
  /** Calls and work that the VM dispatches for each millisecond while calls wait. */
  readonly callsPerMs: number;
  readonly workPerMs: number;
  /** Work of the waiting calls that a return would be ordered after, milliseconds of one slot. */
  readonly aheadWorkMs: number;
}

/**
 * How a call counts. An "unclaimed" call looks like a return, but no return that is due was left for
 * it.
 */
export type ReturnKind = "new" | "unclaimed" | "claimed";

/** A call on its arrival. */
export interface ArrivedCall {
  readonly service: string;
  readonly route: string;
  readonly account?: string;
  /** Time that the client has left, if it states it. */
  readonly clientTimeoutMs?: number;
}

/** A call that is rejected for load. Durations are milliseconds. */
export interface RejectedCall {
  readonly service: string;
  readonly account?: string;
  readonly kind: ReturnKind;
  /** The queue that the call would wait in; undefined if nothing can be booked. */
  readonly queue?: QueueReading;
  /** Work of the call; by default that of the average call of the queue. */
  readonly workMs?: number;
  /** Time until the client times out. */
  readonly remainingMs: number;
  /** Time before which the call can't be sent whatever the queue, as for a rate limit. */
  readonly blockedMs?: number;
  /** Delay if no return can be booked. */
  readonly unbookedMs: number;
}

/** Delay until a return, and how it was found. Durations are milliseconds. */
export interface ReturnDelay {
  readonly delayMs: number;
  /** For logs: why the delay has this length. */
  readonly detail: {
    readonly returnMs: number;
    readonly returnReason: ReturnReason;
    readonly returnEarliestMs?: number;
    readonly returnLatestMs?: number;
  };
}

/** Why a return has its delay. */
export type ReturnReason =
  | "booked"
  | "rate unknown"
  | "not booked for the service"
  | "no time to return"
  | "client returns once";

/** Returns of one service, for operators. */
export interface ReturnStatus {
  readonly service: string;
  /** Returns that this VM has booked for later. */
  readonly booked: number;
  /** Returns that are due now in the fleet, as far as this VM knows. */
  readonly due: number;
}

/** Options of {@linkcode ReturnTimes}. */
export interface ReturnTimesOptions {
  readonly share: FleetShare;
  /** Whether returns of a service are booked and go first; by default those of all are. */
  readonly isBooked?: (service: string) => boolean;
  /** Draws a uniformly distributed number in [0, 1). */
  readonly drawUnit: () => number;
  readonly onBooking?: () => void;
  readonly onClaim?: () => void;
}

/** Clients honour `Retry-After` up to this share of the time that they have left. */
const MAX_WAIT_SHARE = 1 / 3;
/**
 * Shortest delay of a booked return, milliseconds. A return is recognised by a client timeout that is
 * shorter by 100 ms; the rest is for variations of the timeouts that clients state.
 */
const MIN_RETURN_MS = 150;

/** Return times of one VM. */
export class ReturnTimes {
  /** Bookings of this VM and due returns of its peers. */
  readonly book: ReturnBook;
  readonly #detector = new ReturnDetector();
  readonly #options: ReturnTimesOptions;

  constructor(options: ReturnTimesOptions) {
    this.#options = options;
    this.book = new ReturnBook({
      computeShare: (nowMs) => options.share.computeShare(nowMs),
      drawUnit: options.drawUnit,
    });
  }

  /** Classifies a call on its arrival; claims the place of a due return if it looks like one. */
  classifyArrival(call: ArrivedCall, nowMs: number): ReturnKind {
    const { service, route, account, clientTimeoutMs } = call;
    if (!this.#isBooked(service)) return "new";
    if (!this.#detector.isReturn(route, clientTimeoutMs, nowMs)) return "new";
    if (!this.book.claim(service, account, nowMs)) return "unclaimed";
    this.#options.onClaim?.();
    return "claimed";
  }

  /**
   * Computes the delay after which a rejected client should return. The earliest return is when the
   * queue ahead has been served, the latest when the client stops waiting.
   */
  computeDelay(call: RejectedCall, nowMs: number): ReturnDelay {
    // Clients retry once, so a booking for a second return would keep capacity from others.
    if (call.kind !== "new") return buildUnbooked(call, "client returns once");
    const { queue } = call;
    if (!this.#isBooked(call.service)) {
      return buildUnbooked(call, "not booked for the service");
    }
    // The rate is not known either while only calls of unknown work were dispatched.
    if (queue === undefined || queue.workPerMs === 0) {
      return buildUnbooked(call, "rate unknown");
    }
    const latestMs = call.remainingMs * MAX_WAIT_SHARE;
    if (latestMs < MIN_RETURN_MS) {
      return buildUnbooked(call, "no time to return");
    }
    const { aheadWorkMs, workPerMs, callsPerMs } = queue;
    const earliestMs = Math.max(
      MIN_RETURN_MS,
      call.blockedMs ?? 0,
      aheadWorkMs / workPerMs,
    );
    const delayMs = this.book.book(call.service, {
      workMs: call.workMs ?? workPerMs / callsPerMs,
      earliestMs,
      latestMs,
      roomPerMs: workPerMs,
      account: call.account,
    }, nowMs);
    this.#options.onBooking?.();
    return {
      delayMs,
      detail: {
        returnMs: Math.round(delayMs),
        returnReason: "booked",
        returnEarliestMs: Math.round(earliestMs),
        returnLatestMs: Math.round(latestMs),
      },
    };
  }

  #isBooked(service: string): boolean {
    const { isBooked = () => true } = this.#options;
    return isBooked(service);
  }

  /** Lists the services with returns that are booked or due, for operators. */
  listStatus(services: readonly string[], nowMs: number): ReturnStatus[] {
    const due = new Map<string, DueRow[1]>(this.book.sumDue(nowMs, true));
    return services.map((service) => ({
      service,
      booked: this.book.count(service, nowMs),
      due: due.get(service) ?? 0,
    })).filter((status) => status.booked + status.due > 0);
  }
}

function buildUnbooked(
  { unbookedMs }: RejectedCall,
  returnReason: ReturnReason,
): ReturnDelay {
  const returnMs = Math.round(unbookedMs);
  return { delayMs: unbookedMs, detail: { returnMs, returnReason } };
}
