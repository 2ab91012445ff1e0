/**
 * Orders the targets of services whose number can be chosen. Runs on the VM that holds the duties of
 * the fleet.
 *
 * @module
 */
import {
  type CapacityDemand,
  type CapacityOrder,
  CapacityOrders,
  type CapacityStrategy,
  type OrderOutcome,
  type ZoneCounts,
} from "heatherarch-capacity";
import type { Clock } from "heatherarch-core";
import type { EventLog } from "../event_log.ts";
import type { ServiceScaling, Target } from "../model.ts";
import type { CapacityRequest, DutyOutcome, OrderResponse } from "../ports.ts";
import type { ActiveConfig } from "../state/active_config.ts";
import type { TargetDirectory } from "../state/target_directory.ts";
import type { Duty, DutySession } from "./duty_controller.ts";

/** Options of {@linkcode CapacityController}. */
export interface CapacityControllerOptions {
  readonly strategy: CapacityStrategy;
  readonly activeConfig: ActiveConfig;
  readonly directory: TargetDirectory;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Whether this VM's target list is current. */
  readonly isListCurrent: () => boolean;
  readonly send: (
    session: DutySession,
    order: CapacityRequest,
  ) => Promise<OrderResponse>;
}

/** An order that was sent, and its result. */
export interface SentCapacityOrder extends CapacityOrder {
  readonly service: string;
  readonly outcome: OrderOutcome;
}

/** A record of the stream of duties: the targets that carry the load of a service, by zone. */
interface CapacityRecord {
  readonly type: "capacity";
  readonly service: string;
  readonly neededByZone: Readonly<Record<string, number>>;
}

/** State of one service whose targets are ordered. */
interface ServiceState {
  readonly orders: CapacityOrders;
  /** Number of listed targets, and the monotonic time at which it last changed. */
  count: number;
  changedAtMs: number;
  recordedAtMs: number;
}

/** Time without a change of the list before it counts as complete, milliseconds. */
const LIST_SETTLE_MS = 1500;
/** Orders that are kept for operators. */
const MAX_LISTED_ORDERS = 20;
/** Interval at which the need is recorded anew, as the log keeps records for a limited time. */
const RECORD_INTERVAL_MS = 8000;

/** The duty to order targets. */
export class CapacityController implements Duty {
  readonly name = "capacity";
  readonly #options: CapacityControllerOptions;
  readonly #services = new Map<string, ServiceState>();
  readonly #needed = new Map<string, CapacityRecord["neededByZone"]>();
  #wanted: readonly (ZoneCounts & { service: string })[] = [];
  /** The latest orders, the newest last. */
  #sent: readonly SentCapacityOrder[] = [];

  constructor(options: CapacityControllerOptions) {
    this.#options = options;
  }

  /** Counts that are wanted now, by service and zone; empty on a VM without the duty. */
  listWanted(): readonly (ZoneCounts & { service: string })[] {
    return this.#wanted;
  }

  /** Lists the latest orders of this VM, the newest last. */
  listOrders(): readonly SentCapacityOrder[] {
    return this.#sent;
  }

  handleRecord(data: unknown): void {
    if (isCapacityRecord(data)) {
      this.#needed.set(data.service, data.neededByZone);
    }
  }

  async perform(session: DutySession): Promise<DutyOutcome> {
    const { activeConfig, isListCurrent } = this.#options;
    if (!isListCurrent()) return "done";
    for (const { name, scaling } of activeConfig.table?.config.services ?? []) {
      if (scaling === undefined) continue;
      const outcome = await this.#orderService(session, name, scaling);
      if (outcome !== "done") return outcome;
    }
    return "done";
  }

  async #orderService(
    session: DutySession,
    service: string,
    scaling: ServiceScaling,
  ): Promise<DutyOutcome> {
    const { clock, strategy } = this.#options;
    const targets = this.#listTargets(service);
    const state = this.#updateState(service, scaling, targets.length);
    const nowMs = clock.readMonotonicMs();
    const zones = countZones(Object.keys(scaling.pricesByZone), targets);
    const known = this.#needed.get(service);
    const isSettled = nowMs - state.changedAtMs >= LIST_SETTLE_MS;
    if (known === undefined && !isSettled) return "done";
    const neededByZone = known ?? sumByZone(zones);
    await this.#recordNeed(session, state, { service, neededByZone });
    const demand: CapacityDemand = {
      ...scaling,
      zones,
      neededByZone,
      spotPriceFactor: scaling.spotPriceFactor,
    };
    const wanted = strategy.plan(demand);
    this.#setWanted(service, wanted);
    for (const order of state.orders.listDue(wanted, demand.zones, nowMs)) {
      if (!session.hasAuthority()) return "done";
      const outcome = await this.#sendOrder(session, state, service, order);
      if (outcome !== "done") return outcome;
    }
    return "done";
  }

  async #sendOrder(
    session: DutySession,
    state: ServiceState,
    service: string,
    order: CapacityOrder,
  ): Promise<DutyOutcome> {
    const { send, clock, log } = this.#options;
    const record = (outcome: OrderOutcome): void => {
      state.orders.recordOutcome(order, outcome, clock.readMonotonicMs());
      this.#sent = [...this.#sent, { service, ...order, outcome }]
        .slice(-MAX_LISTED_ORDERS);
      log.write("info", "capacityOrdered", {
        service,
        ...order,
        fencing: session.fencing,
        outcome,
      });
    };
    try {
      const response = await send(session, { service, ...order });
      if (response === "fenced") return "fenced";
      record(response);
      return "done";
    } catch (error) {
      record("failed");
      throw error;
    }
  }

  async #recordNeed(
    session: DutySession,
    state: ServiceState,
    need: Omit<CapacityRecord, "type">,
  ): Promise<void> {
    const nowMs = this.#options.clock.readMonotonicMs();
    if (nowMs - state.recordedAtMs < RECORD_INTERVAL_MS) return;
    state.recordedAtMs = nowMs;
    await session.append(
      { type: "capacity", ...need } satisfies CapacityRecord,
    );
  }

  #updateState(
    service: string,
    { bootMs, max }: ServiceScaling,
    count: number,
  ): ServiceState {
    const nowMs = this.#options.clock.readMonotonicMs();
    let state = this.#services.get(service);
    if (state === undefined) {
      state = {
        orders: new CapacityOrders({ bootMs, max }),
        count: -1,
        changedAtMs: nowMs,
        recordedAtMs: -Infinity,
      };
      this.#services.set(service, state);
    }
    if (count !== state.count) state.changedAtMs = nowMs;
    state.count = count;
    return state;
  }

  #listTargets(service: string): Target[] {
    return this.#options.directory.listAll().filter((target) =>
      target.service === service && !target.leaving
    );
  }

  #setWanted(service: string, wanted: readonly ZoneCounts[]): void {
    const others = this.#wanted.filter((entry) => entry.service !== service);
    this.#wanted = [...others, ...wanted.map((zone) => ({ ...zone, service }))];
  }
}

function countZones(
  availabilityZones: readonly string[],
  targets: readonly Target[],
): ZoneCounts[] {
  const count = (zone: string, isSpot: boolean): number =>
    targets.filter((target) =>
      target.availabilityZone === zone && (target.isSpot ?? false) === isSpot
    ).length;
  return availabilityZones.map((availabilityZone) => ({
    availabilityZone,
    standard: count(availabilityZone, false),
    spot: count(availabilityZone, true),
  }));
}

function isCapacityRecord(data: unknown): data is CapacityRecord {
  const record = data as Partial<CapacityRecord> | null;
  return record?.type === "capacity" && typeof record.service === "string" &&
    isCounts(record.neededByZone);
}

function isCounts(value: unknown): boolean {
  return typeof value === "object" && value !== null &&
    Object.values(value).every((count) => Number.isSafeInteger(count));
}

function sumByZone(zones: readonly ZoneCounts[]): Record<string, number> {
  return Object.fromEntries(
    zones.map(({ availabilityZone, standard, spot }) => [
      availabilityZone,
      standard + spot,
    ]),
  );
}
