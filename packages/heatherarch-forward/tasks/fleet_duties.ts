/**
 * The duties of the fleet on one VM: reports of usage and orders of targets, under one lease.
 *
 * @module
 */
import {
  type CapacityStrategyName,
  createCapacityStrategy,
} from "heatherarch-capacity";
import type { ForwardSettings } from "heatherarch-settings";
import { UsageLedger } from "heatherarch-usage";
import type { CollectedUsage } from "../fleet/usage_exchange.ts";
import type { ForwardMetrics } from "../metrics.ts";
import type {
  CapacityRequest,
  OrderResponse,
  PlatformApiPort,
} from "../ports.ts";
import {
  CapacityController,
  type CapacityControllerOptions,
} from "./capacity_controller.ts";
import {
  type Duty,
  DutyController,
  type DutyControllerOptions,
  type DutySession,
} from "./duty_controller.ts";
import { UsageReporter } from "./usage_reporter.ts";

/** Options of {@linkcode FleetDuties}. */
export interface FleetDutiesOptions
  extends
    Omit<DutyControllerOptions, "duties" | "onHolding">,
    Pick<
      CapacityControllerOptions,
      "activeConfig" | "directory" | "isListCurrent"
    > {
  readonly platformApi: PlatformApiPort;
  readonly capacityStrategy: CapacityStrategyName;
  /** Windows of usage to report; undefined if usage is not reported. */
  readonly usage: ForwardSettings["usage"];
  readonly metrics: ForwardMetrics;
  /** Collects the usage of a window that ended at a time, milliseconds since the Unix epoch. */
  readonly collectUsage: (
    window: number,
    endMs: number,
  ) => Promise<CollectedUsage>;
}

/** What operators see of the duties. */
export interface DutyStatus {
  /** The VM that holds the duties according to the log. */
  readonly holder: string | undefined;
  readonly fencing: number;
  /** The last window whose counts are final. */
  readonly lastFinalWindow: number | undefined;
  /** The last window that this VM has reported. */
  readonly lastReportedWindow: number | undefined;
  /** Latest orders of this VM, the newest last, with why they were due. */
  readonly orders: ReturnType<CapacityController["listOrders"]>;
  /** Wanted numbers of targets, on the VM that holds the duties. */
  readonly wanted: ReturnType<CapacityController["listWanted"]>;
}

const MS_PER_SECOND = 1000;
/** Time after the end of a window at which all VMs have told their counts, milliseconds. */
const USAGE_SETTLE_MS = 900;

/** The duties of one VM. */
export class FleetDuties {
  readonly #options: FleetDutiesOptions;
  readonly #controller: DutyController;
  readonly #capacity: CapacityController;
  readonly #ledger: UsageLedger | undefined;

  constructor(options: FleetDutiesOptions) {
    this.#options = options;
    const { events: log } = options;
    this.#ledger = buildLedger(options.usage);
    this.#capacity = new CapacityController({
      ...options,
      log,
      strategy: createCapacityStrategy(options.capacityStrategy),
      send: (session, order) => this.#sendOrder(session, order),
    });
    this.#controller = new DutyController({
      ...options,
      duties: this.#listDuties(),
      onHolding: (isHolding) =>
        options.metrics.holdsDuties.set(isHolding ? 1 : 0),
    });
  }

  start(): void {
    this.#controller.start();
  }

  /** Ends the duties of this VM and hands them over. */
  stop(): Promise<void> {
    return this.#controller.stop();
  }

  getStatus(): DutyStatus {
    const { vm: holder, fencing } = this.#controller.holder;
    return {
      holder,
      fencing,
      lastFinalWindow: this.#ledger?.lastFinal,
      lastReportedWindow: this.#ledger?.lastReported,
      wanted: this.#capacity.listWanted(),
      orders: this.#capacity.listOrders(),
    };
  }

  #listDuties(): Duty[] {
    const { collectUsage, clock, events: log } = this.#options;
    const ledger = this.#ledger;
    if (ledger === undefined) return [this.#capacity];
    const usage = new UsageReporter({
      ledger,
      clock,
      log,
      collect: collectUsage,
      send: (session, report) =>
        this.#options.platformApi.reportUsage(
          this.#buildClaim(session),
          report,
        ),
    });
    return [usage, this.#capacity];
  }

  /** Sends an order. After a refusal the lease tells whether another VM holds the duties. */
  async #sendOrder(
    session: DutySession,
    order: CapacityRequest,
  ): Promise<OrderResponse> {
    const { platformApi } = this.#options;
    const claim = this.#buildClaim(session);
    const response = await platformApi.orderCapacity(claim, order);
    if (response === "accepted") return "accepted";
    const isHolder = await session.confirmAuthority();
    return isHolder ? "unavailable" : "fenced";
  }

  #buildClaim({ fencing }: DutySession) {
    return { holder: this.#options.vmId, fencing };
  }
}

function buildLedger(usage: ForwardSettings["usage"]): UsageLedger | undefined {
  if (usage === undefined) return undefined;
  return new UsageLedger({
    windowMs: usage.windowSeconds * MS_PER_SECOND,
    settleMs: USAGE_SETTLE_MS,
    lateMs: usage.lateSeconds * MS_PER_SECOND,
  });
}
