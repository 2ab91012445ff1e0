/**
 * Decides which orders of capacity are due: what the plan wants, what was ordered, and what is listed.
 * An order states a number of targets, so it may be repeated. The module has no clock; each update
 * carries the time.
 *
 * @module
 */
import type { CapacityKind, ZoneCounts } from "./capacity_strategy.ts";

/** An order of targets of one kind in one availability zone. */
export interface CapacityOrder {
  readonly availabilityZone: string;
  readonly kind: CapacityKind;
  readonly count: number;
  readonly reason: OrderReason;
}

/**
 * Why an order is due: the plan wants another number, more targets were lost than ordered, or the
 * platform could not carry out the last order.
 */
export type OrderReason = "planned" | "lost" | "repeated";

/** Result of an order. */
export type OrderOutcome =
  | "accepted"
  /** The platform has no such targets now. */
  | "unavailable"
  /** No response, so the order may or may not have been accepted. */
  | "failed";

/** Options of {@linkcode CapacityOrders}. */
export interface CapacityOrdersOptions {
  /** Time from an order to the listing of the new targets, milliseconds. */
  readonly bootMs: number;
  /** Targets of both kinds that a zone may have at most. */
  readonly max: number;
}

interface SentOrder {
  readonly count: number;
  readonly outcome: OrderOutcome;
  readonly atMs: number;
}

/** Time from the boot of a target to its entry in the target list, milliseconds. */
const LISTING_MS = 4000;
/** Time after which an order that the platform could not carry out is repeated, milliseconds. */
const RETRY_MS = 1500;
/** Share of the wanted spot targets that must be listed before standard ones are given up. */
const READY_SHARE = 0.9;

/** Orders for one service. */
export class CapacityOrders {
  readonly #options: CapacityOrdersOptions;
  readonly #sent = new Map<string, SentOrder>();

  constructor(options: CapacityOrdersOptions) {
    this.#options = options;
  }

  /** Lists the orders to send now. Additions come before removals. */
  listDue(
    wanted: readonly ZoneCounts[],
    listed: readonly ZoneCounts[],
    nowMs: number,
  ): CapacityOrder[] {
    const listedByZone = new Map(
      listed.map((zone) => [zone.availabilityZone, zone]),
    );
    const possible = wanted.map((zone) =>
      this.#clampSpot(zone, listedByZone.get(zone.availabilityZone))
    );
    const mayShrink = hasWantedSpot(possible, listed);
    const orders: CapacityOrder[] = [];
    for (const kind of ["spot", "standard"] as const) {
      for (const zone of possible) {
        const { availabilityZone } = zone;
        const count = zone[kind];
        const current = listedByZone.get(availabilityZone)?.[kind] ?? 0;
        if (count < current && !mayShrink) continue;
        const subject = { availabilityZone, kind, count };
        const reason = this.#findReason(subject, current, nowMs);
        if (reason !== undefined) orders.push({ ...subject, reason });
      }
    }
    return orders;
  }

  /** Records the result of an order. */
  recordOutcome(
    order: CapacityOrder,
    outcome: OrderOutcome,
    nowMs: number,
  ): void {
    this.#sent.set(buildSubject(order), {
      count: order.count,
      outcome,
      atMs: nowMs,
    });
  }

  /** Leaves room for the zone's standard targets until these have been given up. */
  #clampSpot(wanted: ZoneCounts, listed: ZoneCounts | undefined): ZoneCounts {
    const standard = Math.max(wanted.standard, listed?.standard ?? 0);
    const room = Math.max(0, this.#options.max - standard);
    return { ...wanted, spot: Math.min(wanted.spot, room) };
  }

  /** Returns why an order is due now; undefined if it is not. */
  #findReason(
    order: Omit<CapacityOrder, "reason">,
    current: number,
    nowMs: number,
  ): OrderReason | undefined {
    const { count } = order;
    if (count === current) return undefined;
    const sent = this.#sent.get(buildSubject(order));
    if (sent === undefined) return "planned";
    const elapsedMs = nowMs - sent.atMs;
    if (sent.outcome !== "accepted") {
      return elapsedMs < RETRY_MS ? undefined : "repeated";
    }
    if (sent.count !== count) return "planned";
    const isListingDue = elapsedMs >= this.#options.bootMs + LISTING_MS;
    return isListingDue ? "lost" : undefined;
  }
}

function buildSubject(
  { availabilityZone, kind }: Pick<CapacityOrder, "availabilityZone" | "kind">,
): string {
  return `${kind} ${availabilityZone}`;
}

function hasWantedSpot(
  wanted: readonly ZoneCounts[],
  listed: readonly ZoneCounts[],
): boolean {
  return sumSpot(listed) >= sumSpot(wanted) * READY_SHARE;
}

function sumSpot(zones: readonly ZoneCounts[]): number {
  return zones.reduce((sum, { spot }) => sum + spot, 0);
}
