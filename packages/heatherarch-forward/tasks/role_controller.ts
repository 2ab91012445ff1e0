/**
 * Orders engines to change to their planned roles. Any VM may do so, but only one at a time, under
 * a lease in the platform's log that is held only while there are changes to make.
 *
 * The plan counts engines that respond. This VM may have sent none of them a call, so before a decode
 * engine is ordered to prefill, all decode engines of the service are asked for their reports.
 *
 * Rendezvous hashing ranks the VMs. The first one acts at once, and each next one only if the
 * change is still due some seconds later. If two act at once, the lease decides.
 *
 * @module
 */
import {
  type Clock,
  computeRendezvousWeight,
  createId,
  sleep,
} from "heatherarch-core";
import { LeaseHolder } from "heatherarch-duties";
import type { LogPort } from "heatherarch-log";
import type { ActiveConfig } from "../state/active_config.ts";
import { sendEngineRequest } from "./engine_request.ts";
import type { EventLog } from "../event_log.ts";
import type { ForwardMetrics } from "../metrics.ts";
import type { EngineReport, Target, TargetRole } from "../model.ts";
import type { CallCodec, RoleOrder } from "../ports.ts";
import { type PlannedRoleChange, planRoles } from "../scheduling/role_plan.ts";
import type { TargetConnections } from "../calls/target_connections.ts";
import type { TargetDirectory } from "../state/target_directory.ts";
import type { TargetHealth } from "../state/target_health.ts";
import type { TargetRateLimits } from "../state/target_rate_limits.ts";
import { logLeaseChange } from "./lease_log.ts";

/** Options of {@linkcode RoleController}. */
export interface RoleControllerOptions {
  readonly vmId: string;
  readonly incarnation: string;
  readonly log: LogPort;
  readonly leaseMs: number;
  readonly clock: Clock;
  readonly activeConfig: ActiveConfig;
  readonly directory: TargetDirectory;
  readonly connections: TargetConnections;
  readonly health: TargetHealth;
  readonly rateLimits: Pick<TargetRateLimits, "getMaxPerSecond">;
  readonly codec: CallCodec;
  readonly events: EventLog;
  readonly metrics: ForwardMetrics;
  /** Whether an engine has runs in progress. */
  readonly hasRuns: (engine: string) => boolean;
  /** Lists the ids of the live VMs that could send orders, this one included. */
  readonly listOrderCandidates: () => readonly string[];
  /** Whether this VM reads the platform's target list itself and its last read succeeded. */
  readonly isListCurrent: () => boolean;
  /** Whether this VM reaches the engines of a service. Without that, other VMs order them. */
  readonly hasPath: (service: string) => boolean;
  /** Whether this VM is one of those that usually send orders. */
  readonly isCoordinator?: () => boolean;
}

const CONTROL_STREAM = "control.roles";
/** Pause between evaluations of the plan, milliseconds. */
const POLL_INTERVAL_MS = 300;
/** The same for a VM that is no coordinator, which waits seconds for the coordinators anyway. */
const SPARE_POLL_INTERVAL_MS = 1000;
/**
 * Time without a new engine before orders are sent, milliseconds. Each engine reports every 1.2 s,
 * so the list is incomplete for that long.
 */
const LIST_SETTLE_MS = 1500;
/**
 * Time that a VM leaves to each VM ranked before it, milliseconds: an evaluation of the plan, a
 * claim, the orders, and a heartbeat that announces them. If two act at once, the lease decides.
 */
const TURN_MS = 1500;
/** Additional wait of a VM that is no coordinator, until all coordinators must have failed. */
const SPARE_TURN_MS = 6000;
/** A lease without changes to make is released after this time, milliseconds. */
const MAX_IDLE_LEASE_MS = 2000;
/** Time of two reports of a target, after which its new role is listed, milliseconds. */
const REPORT_WAIT_MS = 2600;
/**
 * Time for which an engine without a report counts as one that does not respond, milliseconds: longer
 * than the time after which the target list drops a dead one.
 */
const UNCONFIRMED_MS = 5000;
const HTTP_OK = 200;
const HTTP_FENCED = 412;

/** The task that sends role orders to engines. */
export class RoleController {
  readonly #options: RoleControllerOptions;
  /** Ordered changes by engine, with the new role and the time until which it is awaited. */
  readonly #pending = new Map<string, { role: TargetRole; untilMs: number }>();
  /** Engines that did not report when they were asked, with the time until which that counts. */
  readonly #unconfirmed = new Map<string, number>();
  readonly #lease: LeaseHolder;
  /** Monotonic time at which there was last a change to make. */
  #changesDueAtMs = -Infinity;
  #changesDueSinceMs = Infinity;
  #engineCount = -1;
  #countGrewAtMs = 0;
  #stopped = false;

  constructor(options: RoleControllerOptions) {
    this.#options = options;
    this.#lease = new LeaseHolder({
      ...options,
      stream: CONTROL_STREAM,
      createId: () => createId("order"),
      onChange: (change) =>
        logLeaseChange(options.events, CONTROL_STREAM, change),
    });
  }

  start(): void {
    void this.#run();
  }

  /** Ends the task and releases the lease. */
  async stop(): Promise<void> {
    this.#stopped = true;
    await this.#lease.resign("stopping").catch((error) =>
      this.#logError(error)
    );
  }

  /**
   * Lists engines that are changing their role on an order of this VM. No VM gives them work
   * meanwhile, so a change expires in time even if the target list can't be read.
   */
  listChangingRole(): string[] {
    const nowMs = this.#nowMs;
    return [...this.#pending]
      .filter(([, { untilMs }]) => nowMs <= untilMs)
      .map(([id]) => id);
  }

  async #run(): Promise<void> {
    // The first read delays claims, so it comes before there are changes to make.
    await this.#lease.read().catch((error) => this.#logError(error));
    while (!this.#stopped) {
      try {
        await this.#step();
      } catch (error) {
        this.#logError(error);
      }
      const { isCoordinator = () => true } = this.#options;
      await sleep(isCoordinator() ? POLL_INTERVAL_MS : SPARE_POLL_INTERVAL_MS);
    }
  }

  async #step(): Promise<void> {
    const nowMs = this.#nowMs;
    const changes = this.#plan(nowMs);
    if (changes.length === 0) {
      this.#changesDueSinceMs = Infinity;
      if (this.#hasAllPaths) await this.#resignIfIdle(nowMs);
      else await this.#lease.resign("path to engines lost");
      return;
    }
    this.#changesDueSinceMs = Math.min(this.#changesDueSinceMs, nowMs);
    if (nowMs - this.#changesDueSinceMs < this.#computeTurnDelayMs()) return;
    // The next plan does without the engines that did not report.
    if (!await this.#confirmDecodeEngines(changes)) return;
    this.#changesDueAtMs = nowMs;
    this.#lease.seek();
    await this.#lease.step();
    for (const change of changes) {
      if (!(await this.#sendOrder(change))) return;
    }
  }

  #plan(nowMs: number): PlannedRoleChange[] {
    const { activeConfig, health, rateLimits, isListCurrent } = this.#options;
    const { table } = activeConfig;
    if (table === undefined || !isListCurrent()) return [];
    this.#dropConfirmations(nowMs);
    const changes: PlannedRoleChange[] = [];
    let count = 0;
    for (const service of table.config.services) {
      if (service.engine === undefined) continue;
      if (!this.#options.hasPath(service.name)) continue;
      const engines = this.#listEngines(service.name, nowMs);
      count += engines.length;
      changes.push(...planRoles(engines, {
        isReachable: ({ id }) => health.isReachable(id),
        isConfirmed: ({ id }) => !this.#unconfirmed.has(id),
        isRateLimited: ({ id }) => rateLimits.getMaxPerSecond(id) !== undefined,
        hasRuns: ({ id }) => this.#options.hasRuns(id),
        slots: service.engine.slots,
      }));
    }
    // Departed engines are replaced at once, while after an arrival more may follow.
    if (count > this.#engineCount) this.#countGrewAtMs = nowMs;
    this.#engineCount = count;
    return nowMs - this.#countGrewAtMs < LIST_SETTLE_MS ? [] : changes;
  }

  /** Lists the engines of a service with the roles that they have after the changes in progress. */
  #listEngines(service: string, nowMs: number): Target[] {
    return this.#options.directory.listServing(service)
      .filter((target) => target.role !== undefined)
      .map((target) => this.#applyPending(target, nowMs));
  }

  /**
   * Asks the decode engines of each service of which one is to prefill for their reports. Returns
   * whether all of them decode now, so that those that remain can serve. One that is still changing to
   * that role does not yet.
   */
  async #confirmDecodeEngines(
    changes: readonly PlannedRoleChange[],
  ): Promise<boolean> {
    const services = new Set(
      changes.filter(({ role }) => role === "prefill")
        .map(({ target }) => target.service),
    );
    const nowMs = this.#nowMs;
    const asked = [...services]
      .flatMap((service) => this.#listEngines(service, nowMs))
      .filter(({ id, role, leaving }) =>
        role === "decode" && !leaving && !this.#unconfirmed.has(id) &&
        this.#options.health.isReachable(id)
      );
    const reports = await Promise.all(
      asked.map((target) => this.#readReport(target)),
    );
    return reports.every((report) =>
      report?.role === "decode" && !report.isChangingRole
    );
  }

  #dropConfirmations(nowMs: number): void {
    for (const [id, untilMs] of this.#unconfirmed) {
      if (nowMs > untilMs) this.#unconfirmed.delete(id);
    }
  }

  get #hasAllPaths(): boolean {
    const { activeConfig, hasPath } = this.#options;
    const services = activeConfig.table?.config.services ?? [];
    return services.every(({ name, engine }) =>
      engine === undefined || hasPath(name)
    );
  }

  #applyPending(target: Target, nowMs: number): Target {
    const pending = this.#pending.get(target.id);
    if (pending === undefined) return this.#applyPeerOrder(target, nowMs);
    if (target.role === pending.role || nowMs > pending.untilMs) {
      this.#pending.delete(target.id);
      return target;
    }
    return { ...target, role: pending.role };
  }

  /** Counts an engine that another VM has ordered to change in its new role. */
  #applyPeerOrder(target: Target, nowMs: number): Target {
    if (!this.#options.directory.hasRoleChange(target.id, nowMs)) return target;
    return {
      ...target,
      role: target.role === "prefill" ? "decode" : "prefill",
    };
  }

  /** Computes the time to wait for the VMs that are ranked before this one. */
  #computeTurnDelayMs(): number {
    const { vmId, listOrderCandidates, isCoordinator = () => true } =
      this.#options;
    const ownWeight = computeRendezvousWeight(CONTROL_STREAM, vmId);
    const rankedBefore = listOrderCandidates().filter((id) =>
      computeRendezvousWeight(CONTROL_STREAM, id) > ownWeight
    );
    return rankedBefore.length * TURN_MS +
      (isCoordinator() ? 0 : SPARE_TURN_MS);
  }

  /** Sends one order; returns false if no further one may be sent now. */
  async #sendOrder({ target, role }: PlannedRoleChange): Promise<boolean> {
    const { codec, vmId, activeConfig } = this.#options;
    const report = await this.#readReport(target);
    if (report === undefined || report.isChangingRole) return true;
    // The list predates the engine's restart, so the listed role and the reported count of orders
    // are those of different incarnations.
    if (isOtherIncarnation(report, target)) return true;
    if (report.role === role) return true;
    if (!this.#lease.hasAuthority()) return false;
    const { fencing } = this.#lease;
    const { ordersTaken } = report;
    const order = { target, role, holder: vmId, fencing, ordersTaken };
    const traits = activeConfig.table?.findService(target.service)?.engine;
    const untilMs = this.#nowMs + (traits?.roleChangeMs ?? 0) + REPORT_WAIT_MS;
    this.#pending.set(target.id, { role, untilMs });
    const request = codec.encodeRoleOrder(order);
    const response = await sendEngineRequest(this.#options, target, request, {
      changesTarget: true,
    });
    // Without a response the order may have been accepted. `ordersTaken` makes a repeat harmless.
    this.#logOrder(order, response?.status ?? "unanswered");
    if (response?.status !== HTTP_FENCED) return true;
    // Another VM holds the lease now, so this fencing token is never used again.
    this.#pending.delete(target.id);
    await this.#lease.resign("fenced");
    return false;
  }

  /** Reads the report of an engine; one without a report is planned as one that does not respond. */
  async #readReport(target: Target): Promise<EngineReport | undefined> {
    const report = await this.#requestReport(target);
    if (report === undefined) {
      this.#unconfirmed.set(target.id, this.#nowMs + UNCONFIRMED_MS);
    }
    return report;
  }

  async #requestReport(target: Target): Promise<EngineReport | undefined> {
    const { codec } = this.#options;
    const response = await sendEngineRequest(
      this.#options,
      target,
      codec.encodeReportRequest(target),
    );
    if (response?.status !== HTTP_OK) return undefined;
    return codec.decodeReport(response.body);
  }

  #logOrder(order: RoleOrder, outcome: number | string): void {
    this.#options.metrics.orders.inc({ outcome: String(outcome) });
    this.#options.events.write("info", "roleOrdered", {
      target: order.target.id,
      role: order.role,
      fencing: order.fencing,
      ordersTaken: order.ordersTaken,
      outcome,
    });
  }

  async #resignIfIdle(nowMs: number): Promise<void> {
    if (nowMs - this.#changesDueAtMs < MAX_IDLE_LEASE_MS) return;
    await this.#lease.resign("nothing to change");
  }

  get #nowMs(): number {
    return this.#options.clock.readMonotonicMs();
  }

  #logError(error: unknown): void {
    this.#options.events.write("warn", "roleKeeperFault", {
      reason: (error as Error).message,
    });
  }
}

/** Whether a report is from another incarnation than listed; false if a start is unknown. */
function isOtherIncarnation(report: EngineReport, target: Target): boolean {
  const isKnown = report.startedAtMs !== undefined &&
    target.startedAtMs !== undefined;
  return isKnown && report.startedAtMs !== target.startedAtMs;
}
