/**
 * Carries out orders under the lease, one at a time: resolves an order that an earlier holder left
 * open, drains an engine, sends it an order and waits for the outcome.
 *
 * @module
 */
import {
  type Clock,
  createId,
  type EngineOrder,
  type EngineState,
  sleep,
} from "heatherarch-core";
import {
  CONTROL_FORMAT,
  describeOrder,
  type LeaseStateMachine,
  type OpenIntent,
  type OrderResult,
} from "heatherarch-lease";
import type { Membership } from "heatherarch-mesh";
import {
  createRolePlanner,
  type Demand,
  type EngineModel,
  type PlannedEngine,
  type RolePlanner,
} from "heatherarch-policy";
import type { Fleet, ProcessSettings, Target } from "heatherarch-settings";
import type { ControlTask } from "./control_task.ts";
import type { Logger } from "./logger.ts";
import type { TargetTable } from "./target_table.ts";
import {
  isOrderFulfilled,
  type PlannedOrder,
  VersionChecker,
} from "./version_checker.ts";

/** Members of the control task that the executor uses: its authority, its state and appends. */
export type OrderAuthority =
  & Pick<ControlTask, "appendAndRead" | "hasAuthority" | "state">
  & { readonly machine: Pick<LeaseStateMachine, "fencing"> };

/** Options of {@linkcode OrderExecutor}. */
export interface OrderExecutorOptions {
  readonly availabilityZone: string;
  readonly clock: Clock;
  readonly control: OrderAuthority;
  readonly table: Pick<
    TargetTable,
    "findTarget" | "getEngine" | "listStatus"
  >;
  readonly membership: Pick<Membership, "listMembers">;
  readonly model: EngineModel;
  readonly settings: ProcessSettings["lease"];
  readonly logger: Logger;
  readonly readFleet: () => Fleet | null;
  readonly readDemand: () => Demand;
  readonly onOutcome: (result: OrderResult) => void;
}

const READ_TIMEOUT_MS = 1000;
const ORDER_TIMEOUT_MS = 2000;
const APPEND_TIMEOUT_MS = 3000;
/** Interval at which the executor checks for an order to carry out. */
const STEP_INTERVAL_MS = 250;
const POLL_INTERVAL_MS = 100;
/** Maximum time to wait until the other VMs of the zone have read an intent. */
const INTENT_PROPAGATION_TIMEOUT_MS = 2000;
const DRAIN_TIMEOUT_MS = 60_000;
/** Number of consecutive idle reads after which an engine counts as drained. */
const REQUIRED_IDLE_READS = 3;
const IDLE_READ_INTERVAL_MS = 150;
const CHANGE_TIMEOUT_MS = 60_000;
/** Outcome detail of an announced order that is not sent. */
const LEASE_LAPSED = "authority lapsed before the order was written";

/** Sends orders to the engines of one availability zone. */
export class OrderExecutor {
  readonly #options: OrderExecutorOptions;
  #planner: RolePlanner | undefined;
  /** Settings that `#planner` was created with. */
  #plannerSettings: Fleet["planning"] | undefined;
  #nextPlanMs = 0;
  /** Monotonic time since which this VM has had authority; undefined without authority. */
  #authorityFromMs: number | undefined;
  readonly #versionChecker: VersionChecker;
  #stopped = false;
  #busy = false;

  constructor(options: OrderExecutorOptions) {
    this.#options = options;
    this.#versionChecker = new VersionChecker({
      clock: options.clock,
      table: options.table,
      readState: (target) => this.#readState(target),
      mayOrder: (target) => this.#hasSettled(target),
    });
  }

  /** Whether an order is in progress. */
  get isBusy(): boolean {
    return this.#busy;
  }

  /** Prevents further orders from being started. */
  stop(): void {
    this.#stopped = true;
  }

  /** Carries out orders until stopped. */
  async run(): Promise<void> {
    while (!this.#stopped) {
      await sleep(STEP_INTERVAL_MS);
      if (!this.#options.control.hasAuthority()) {
        this.#authorityFromMs = undefined;
        continue;
      }
      this.#authorityFromMs ??= this.#options.clock.readMonotonicMs();
      this.#busy = true;
      try {
        await this.#step();
      } finally {
        this.#busy = false;
      }
    }
  }

  async #step(): Promise<void> {
    const { control } = this.#options;
    const [intent] = Object.values(control.state.open);
    if (intent !== undefined) return await this.#resolveOpenIntent(intent);
    const next = await this.#findOutdated() ?? this.#planRoleChange();
    if (next !== undefined) await this.#execute(next.target, next.order);
  }

  /** Concludes an order that was left open, according to the state that the engine reports. */
  async #resolveOpenIntent(intent: OpenIntent): Promise<void> {
    const target = this.#options.table.findTarget(intent.target);
    if (target === undefined) {
      return await this.#conclude(intent, "abandoned", "no such target");
    }
    if (!this.#hasSettled(target)) return;
    const state = await this.#readState(target);
    if (state === undefined) {
      const { directive } = this.#findStatus(target.id);
      if (directive !== "active") {
        await this.#conclude(intent, "abandoned", "target is leaving");
      }
      return;
    }
    if (state.busyWithOrder) return;
    const isFulfilled = isOrderFulfilled(state, intent.order);
    await this.#conclude(
      intent,
      isFulfilled ? "done" : "abandoned",
      "resolved by the state of the engine",
    );
  }

  /**
   * Whether an engine may receive orders. An engine that doesn't check fencing tokens receives none
   * for some time after a takeover.
   */
  #hasSettled(target: Target): boolean {
    if (target.checksFencing) return true;
    const nowMs = this.#options.clock.readMonotonicMs();
    const sinceMs = nowMs - (this.#authorityFromMs ?? nowMs);
    return sinceMs >= this.#options.settings.settleMs;
  }

  async #findOutdated(): Promise<PlannedOrder | undefined> {
    const fleet = this.#options.readFleet();
    if (fleet === null) return undefined;
    const engines = this.#listEngines(fleet).map(({ id }) => id);
    return await this.#versionChecker.findOutdated(fleet, engines);
  }

  #planRoleChange(): PlannedOrder | undefined {
    const fleet = this.#options.readFleet();
    const nowMs = this.#options.clock.readMonotonicMs();
    if (fleet === null || nowMs < this.#nextPlanMs) return undefined;
    this.#nextPlanMs = nowMs + fleet.planning.intervalMs;
    const engines = this.#listEngines(fleet);
    if (this.#plannerSettings !== fleet.planning) {
      this.#plannerSettings = fleet.planning;
      this.#planner = createRolePlanner(fleet.planning, this.#options.model);
    }
    const change = this.#planner?.plan({
      engines,
      demand: this.#options.readDemand(),
      changing: false,
      nowMs,
    });
    if (change === undefined) return undefined;
    const target = this.#options.table.findTarget(change.engine);
    if (target === undefined || !this.#hasSettled(target)) return undefined;
    return { target, order: { kind: "setRole", role: change.role } };
  }

  #listEngines(fleet: Fleet): PlannedEngine[] {
    const { availabilityZone, table } = this.#options;
    const modelServices = new Set(
      fleet.services.filter((service) => service.kind === "model").map((
        service,
      ) => service.name),
    );
    return table.listStatus()
      .filter((status) =>
        status.availabilityZone === availabilityZone && status.usable
      )
      .filter((status) => modelServices.has(status.service))
      .map((status) => ({
        id: status.id,
        role: status.role,
        running: status.running,
      }));
  }

  /** Announces an order, drains the engine, sends the order and concludes it with its outcome. */
  async #execute(target: Target, order: EngineOrder): Promise<void> {
    const { control, logger } = this.#options;
    const id = createId("ord");
    const isAnnounced = await control.appendAndRead(
      {
        type: "intent",
        format: CONTROL_FORMAT,
        id,
        claimOffset: control.machine.fencing,
        target: target.id,
        order,
      },
      (state) => state.open[target.id]?.intentId === id,
      APPEND_TIMEOUT_MS,
    );
    if (!isAnnounced) return;
    const intent = control.state.open[target.id];
    const announcedAtMs = this.#options.clock.readMonotonicMs();
    logger.info("order announced", {
      target: target.id,
      order: describeOrder(order),
    });
    const drainFailure = await this.#drain(target, intent);
    if (drainFailure !== "") {
      return await this.#conclude(intent, "abandoned", drainFailure);
    }
    const failure = await this.#sendOrder(target, intent);
    if (failure !== "") return await this.#conclude(intent, "failed", failure);
    await this.#awaitOutcome(target, intent);
    if (order.kind !== "setRole") return;
    this.#planner?.recordChange?.(
      this.#options.clock.readMonotonicMs() - announcedAtMs,
    );
  }

  /**
   * Waits until no VM sends new requests to the engine and the engine is idle. Returns the reason
   * if the engine could not be drained, and an empty string otherwise.
   */
  async #drain(target: Target, intent: OpenIntent): Promise<string> {
    const { clock, control } = this.#options;
    const startMs = clock.readMonotonicMs();
    while (
      !this.#hasPropagated(intent) &&
      clock.readMonotonicMs() - startMs < INTENT_PROPAGATION_TIMEOUT_MS
    ) {
      await sleep(POLL_INTERVAL_MS);
    }
    let idleReads = 0;
    while (idleReads < REQUIRED_IDLE_READS) {
      if (!control.hasAuthority() || this.#stopped) {
        return "authority lost while draining";
      }
      if (clock.readMonotonicMs() - startMs > DRAIN_TIMEOUT_MS) {
        return "draining took too long";
      }
      if (this.#findStatus(target.id).directive !== "active") {
        return "target is leaving";
      }
      const state = await this.#readState(target);
      const isIdle = state !== undefined && state.running + state.waiting === 0;
      const outstanding = this.#findStatus(target.id).outstandingHere;
      idleReads = isIdle && outstanding === 0 ? idleReads + 1 : 0;
      await sleep(IDLE_READ_INTERVAL_MS);
    }
    return "";
  }

  /** Whether all other live VMs of the zone have read an intent. */
  #hasPropagated(intent: OpenIntent): boolean {
    const { membership, availabilityZone } = this.#options;
    return membership.listMembers()
      .filter((member) => member.status === "live")
      .filter((member) => member.availabilityZone === availabilityZone)
      .every((member) => member.controlOffset >= intent.offset);
  }

  /**
   * Sends an order. Returns the reason if the engine did not accept it, and an empty string if the
   * engine accepted it or may have done so.
   */
  async #sendOrder(target: Target, intent: OpenIntent): Promise<string> {
    const { control, table } = this.#options;
    const engine = table.getEngine(target);
    const state = await this.#readState(target);
    if (state === undefined || state.busyWithOrder) {
      return "engine not ready for an order";
    }
    const { claimOffset } = intent;
    const isUnderOwnClaim = (): boolean =>
      control.hasAuthority() && control.machine.fencing === claimOffset;
    // The lease may have lapsed and been claimed again during the read of the engine's state.
    if (!isUnderOwnClaim()) return LEASE_LAPSED;
    const response = await engine.sendOrder(intent.order, {
      fencing: claimOffset,
      guard: isUnderOwnClaim,
      timeoutMs: ORDER_TIMEOUT_MS,
    });
    switch (response.kind) {
      case "accepted":
      // The order may have arrived. The engine's state shows the outcome.
      case "unknown":
        return "";
      case "fenced":
        return "the engine obeys a later holder";
      case "withheld":
        return LEASE_LAPSED;
      case "refused":
        return response.detail;
    }
  }

  async #awaitOutcome(target: Target, intent: OpenIntent): Promise<void> {
    const { clock, control } = this.#options;
    const startMs = clock.readMonotonicMs();
    while (
      control.hasAuthority() &&
      clock.readMonotonicMs() - startMs < CHANGE_TIMEOUT_MS
    ) {
      await sleep(POLL_INTERVAL_MS);
      const state = await this.#readState(target);
      if (state === undefined || state.busyWithOrder) continue;
      const isFulfilled = isOrderFulfilled(state, intent.order);
      return await this.#conclude(intent, isFulfilled ? "done" : "failed", "");
    }
    if (control.hasAuthority()) {
      await this.#conclude(intent, "failed", "no outcome in time");
    }
  }

  async #conclude(
    intent: OpenIntent,
    result: OrderResult,
    detail: string,
  ): Promise<void> {
    const { control, logger, onOutcome } = this.#options;
    const { intentId, target } = intent;
    const isRead = await control.appendAndRead(
      {
        type: "outcome",
        format: CONTROL_FORMAT,
        id: createId("out"),
        claimOffset: control.machine.fencing,
        intentId,
        result,
        detail,
      },
      (state) => state.open[target]?.intentId !== intentId,
      APPEND_TIMEOUT_MS,
    );
    if (!isRead) return;
    onOutcome(result);
    logger.info("order concluded", {
      target,
      order: describeOrder(intent.order),
      result,
      detail,
    });
  }

  /** Reads an engine's state; undefined if the read fails. */
  async #readState(target: Target): Promise<EngineState | undefined> {
    try {
      const engine = this.#options.table.getEngine(target);
      return await engine.readState({
        timeoutMs: READ_TIMEOUT_MS,
        fresh: true,
      });
    } catch {
      return undefined;
    }
  }

  #findStatus(id: string) {
    const status = this.#options.table.listStatus().find((entry) =>
      entry.id === id
    );
    return status ?? { directive: "withdrawn", outstandingHere: 0 };
  }
}
