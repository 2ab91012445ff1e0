/**
 * Keeps the engines in the roles of the plan. Any VM may do it; at a time one does, under a
 * lease in the platform's log, and only while there is something to change.
 *
 * The VMs take turns by rendezvous hashing: the first one acts at once, each next one only when
 * the change is still wanted some seconds later. The lease decides where two act at once.
 *
 * @module
 */
import {
  type Clock,
  computeRendezvousWeight,
  createId,
  sleep,
} from "heatherarch-core";
import {
  type ControlRecord,
  EMPTY_CONTROL_STATE,
  LeaseStateMachine,
} from "heatherarch-lease";
import { classifySlice, type LogPort } from "heatherarch-log";
import type { ActiveConfig } from "../state/active_config.ts";
import { sendEngineRequest } from "./engine_request.ts";
import type { EventLog } from "../event_log.ts";
import type { ForwardMetrics } from "../metrics.ts";
import type { EngineReport, Target, TargetRole } from "../model.ts";
import type { CallCodec, RoleOrder } from "../ports.ts";
import { planRoles, type RoleChange } from "../scheduling/role_plan.ts";
import type { TargetConnections } from "../calls/target_connections.ts";
import type { TargetDirectory } from "../state/target_directory.ts";
import type { TargetHealth } from "../state/target_health.ts";

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
  readonly codec: CallCodec;
  readonly events: EventLog;
  readonly metrics: ForwardMetrics;
  /** Ids of the live VMs that could give orders, this one included. */
  readonly listOrderCandidates: () => readonly string[];
  /** Whether the platform's list is being read without fault. */
  readonly isListCurrent: () => boolean;
  /** Whether this VM is one of those that usually give orders. */
  readonly isCoordinator?: () => boolean;
}

const CONTROL_STREAM = "control.roles";
/** Pause between looks at the plan, milliseconds. */
const LOOK_MS = 300;
/** The same for a VM that usually gives no orders: it waits some seconds for those that do. */
const IDLE_LOOK_MS = 1000;
/**
 * No engine has come for this long before orders are given: each one reports every 1.2 s, so the
 * list fills up for that long.
 */
const SETTLE_MS = 1500;
/**
 * A VM leaves this much time to each VM before it: a look, a claim, the orders, and a heartbeat
 * that tells of them. Should two act at once, the lease decides.
 */
const TURN_MS = 1500;
/** Further wait of a VM that usually gives no orders: all that do must have failed. */
const SPARE_TURN_MS = 6000;
/** A lease without anything to do is given up after this time, milliseconds. */
const IDLE_MS = 2000;
/** Two reports of a target, so that its new role has been listed. */
const REPORT_MS = 2600;
/** Drift of monotonic clocks within a lease, milliseconds. */
const DRIFT_MS = 200;
/** Wall and monotonic time that part by more than this hint at a suspended machine. */
const MAX_CLOCK_PART_MS = 150;
const HTTP_OK = 200;
const HTTP_FENCED = 412;

interface Campaign {
  readonly machine: LeaseStateMachine;
  readAtMs: number;
  idleSinceMs: number;
}

/** The task that gives orders to engines. */
export class RoleController {
  readonly #options: RoleControllerOptions;
  /** Engines whose change has been ordered, with the role and the end of the wait for it. */
  readonly #pending = new Map<string, { role: TargetRole; untilMs: number }>();
  #state = EMPTY_CONTROL_STATE;
  #campaign: Campaign | undefined;
  #wantedSinceMs = Infinity;
  #engineCount = -1;
  #countSinceMs = 0;
  #stopped = false;
  #campaigns = 0;
  /** Wall minus monotonic time when the campaign began. */
  #clockPartMs = 0;

  constructor(options: RoleControllerOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#run();
  }

  /** Ends the task and gives the lease up. */
  async stop(): Promise<void> {
    this.#stopped = true;
    await this.#resign("stopping").catch((error) => this.#noteFault(error));
  }

  /**
   * Engines that are changing their role by an order of this VM. A change ends in its time also
   * while the list can't be read: until it ends no VM gives them work.
   */
  listChangingRole(): string[] {
    const nowMs = this.#nowMs;
    return [...this.#pending]
      .filter(([, { untilMs }]) => nowMs <= untilMs)
      .map(([id]) => id);
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      try {
        await this.#step();
      } catch (error) {
        this.#noteFault(error);
      }
      const {
        isCoordinator = () => true,
      } = this.#options;
      await sleep(isCoordinator() ? LOOK_MS : IDLE_LOOK_MS);
    }
  }

  async #step(): Promise<void> {
    const nowMs = this.#nowMs;
    const changes = this.#plan(nowMs);
    if (changes.length === 0) {
      this.#wantedSinceMs = Infinity;
      await this.#restIfIdle(nowMs);
      return;
    }
    this.#wantedSinceMs = Math.min(this.#wantedSinceMs, nowMs);
    if (nowMs - this.#wantedSinceMs < this.#computeTurnMs()) return;
    const campaign = this.#campaign ?? this.#begin();
    campaign.idleSinceMs = nowMs;
    await this.#readControl(campaign);
    await this.#appendAll(campaign);
    await this.#readControl(campaign);
    for (const change of changes) {
      if (!(await this.#order(campaign, change))) return;
    }
  }

  #plan(nowMs: number): RoleChange[] {
    const {
      activeConfig,
      directory,
      health,
      isListCurrent,
    } = this.#options;
    const { table } = activeConfig;
    if (table === undefined || !isListCurrent()) return [];
    const changes: RoleChange[] = [];
    let count = 0;
    for (const service of table.config.services) {
      if (service.engine === undefined) continue;
      const engines = directory.listServing(service.name)
        .filter((target) => target.role !== undefined)
        .map((target) => this.#applyPending(target, nowMs));
      count += engines.length;
      changes.push(...planRoles(engines, {
        isReachable: ({ id }) => health.isReachable(id),
        slots: service.engine.slots,
      }));
    }
    // Engines that go are replaced at once; those that come may be followed by more.
    if (count > this.#engineCount) this.#countSinceMs = nowMs;
    this.#engineCount = count;
    return nowMs - this.#countSinceMs < SETTLE_MS ? [] : changes;
  }

  #applyPending(target: Target, nowMs: number): Target {
    const pending = this.#pending.get(target.id);
    if (pending === undefined) return this.#applyChanging(target, nowMs);
    if (target.role === pending.role || nowMs > pending.untilMs) {
      this.#pending.delete(target.id);
      return target;
    }
    return { ...target, role: pending.role };
  }

  /** An engine that another VM has ordered to change counts in its new role. */
  #applyChanging(target: Target, nowMs: number): Target {
    if (!this.#options.directory.hasRoleChange(target.id, nowMs)) return target;
    return {
      ...target,
      role: target.role === "prefill" ? "decode" : "prefill",
    };
  }

  /** Time to wait for the VMs whose turn comes first. */
  #computeTurnMs(): number {
    const { vmId, listOrderCandidates, isCoordinator = () => true } =
      this.#options;
    const ownWeight = computeRendezvousWeight(CONTROL_STREAM, vmId);
    const before = listOrderCandidates().filter((id) =>
      computeRendezvousWeight(CONTROL_STREAM, id) > ownWeight
    );
    return before.length * TURN_MS + (isCoordinator() ? 0 : SPARE_TURN_MS);
  }

  #begin(): Campaign {
    const { vmId, incarnation, leaseMs } = this.#options;
    this.#clockPartMs = this.#readClockPart();
    const machine = new LeaseStateMachine({
      vm: vmId,
      // A claim of an earlier campaign is another's claim, whose silence is waited for.
      incarnation: `${incarnation}.${this.#campaigns++}`,
      durationMs: leaseMs,
      driftMs: DRIFT_MS,
      renewMs: leaseMs / 3,
      createId: () => createId("order"),
    });
    machine.loadState(this.#state, this.#nowMs);
    const campaign = { machine, readAtMs: -Infinity, idleSinceMs: this.#nowMs };
    this.#campaign = campaign;
    this.#options.events.write("info", "leaseSought", {
      stream: CONTROL_STREAM,
      offset: this.#state.offset,
    });
    return campaign;
  }

  async #readControl(campaign: Campaign): Promise<void> {
    const { machine } = campaign;
    while (true) {
      const sentAtMs = this.#nowMs;
      const from = machine.state.offset + 1;
      const slice = await this.#options.log.read(CONTROL_STREAM, from);
      const verdict = classifySlice(from, slice);
      if (verdict.kind === "gap") {
        // What expired is older than any lease; the claims that follow tell the rest.
        machine.loadState(
          { ...EMPTY_CONTROL_STATE, offset: verdict.first - 1 },
          this.#nowMs,
        );
        continue;
      }
      for (const record of verdict.records) {
        machine.applyRecord(record, this.#nowMs);
      }
      this.#state = machine.state;
      if (!verdict.isCurrent) continue;
      campaign.readAtMs = sentAtMs;
      return;
    }
  }

  async #appendAll(campaign: Campaign): Promise<void> {
    const actions = campaign.machine.tick(this.#nowMs, campaign.readAtMs);
    for (const { record } of actions) await this.#append(record);
  }

  async #append(record: ControlRecord): Promise<void> {
    await this.#options.log.append(CONTROL_STREAM, record);
  }

  /** Gives one order; false where no further one may be given now. */
  async #order(campaign: Campaign, change: RoleChange): Promise<boolean> {
    const { target, role } = change;
    const { codec, vmId, activeConfig } = this.#options;
    const report = await this.#readReport(target);
    if (report === undefined || report.isChangingRole) return true;
    // The list is older than the engine's start: its count of orders is not this life's.
    if (isOtherLife(report, target)) return true;
    if (report.role === role) return true;
    if (!this.#hasAuthority(campaign)) return false;
    const { fencing } = campaign.machine;
    const { ordersTaken } = report;
    const order = { target, role, holder: vmId, fencing, ordersTaken };
    const traits = activeConfig.table?.findService(target.service)?.engine;
    const untilMs = this.#nowMs + (traits?.roleChangeMs ?? 0) + REPORT_MS;
    this.#pending.set(target.id, { role, untilMs });
    const request = codec.encodeRoleOrder(order);
    const answer = await sendEngineRequest(this.#options, target, request);
    // Without an answer it may have been accepted: the expected count makes a repetition harmless.
    this.#noteOrder(order, answer?.status ?? "unanswered");
    if (answer?.status !== HTTP_FENCED) return true;
    // Another VM holds the lease now; this token is never used again.
    this.#pending.delete(target.id);
    await this.#resign("fenced");
    return false;
  }

  async #readReport(target: Target): Promise<EngineReport | undefined> {
    const { codec } = this.#options;
    const answer = await sendEngineRequest(
      this.#options,
      target,
      codec.encodeReportRequest(target),
    );
    if (answer?.status !== HTTP_OK) return undefined;
    return codec.decodeReport(answer.body);
  }

  #noteOrder(order: RoleOrder, outcome: number | string): void {
    this.#options.metrics.orders.inc({ outcome: String(outcome) });
    this.#options.events.write("info", "roleOrdered", {
      target: order.target.id,
      role: order.role,
      fencing: order.fencing,
      ordersTaken: order.ordersTaken,
      outcome,
    });
  }

  /** A suspended machine's monotonic clock stands still, so a lease could outlive its time. */
  #hasAuthority(campaign: Campaign): boolean {
    const parted = Math.abs(this.#readClockPart() - this.#clockPartMs);
    if (parted > MAX_CLOCK_PART_MS) {
      this.#campaign = undefined;
      this.#options.events.write("warn", "leaseDropped", {
        reason: "wall and monotonic time parted",
        partedMs: Math.round(parted),
      });
      return false;
    }
    return campaign.machine.hasAuthority(this.#nowMs);
  }

  async #restIfIdle(nowMs: number): Promise<void> {
    const campaign = this.#campaign;
    if (campaign === undefined) return;
    if (nowMs - campaign.idleSinceMs < IDLE_MS) return;
    await this.#resign("nothing to change");
  }

  async #resign(reason: string): Promise<void> {
    const campaign = this.#campaign;
    if (campaign === undefined) return;
    this.#campaign = undefined;
    this.#options.events.write("info", "leaseGivenUp", {
      reason,
      fencing: campaign.machine.fencing,
    });
    for (const { record } of campaign.machine.resign()) {
      await this.#append(record);
    }
  }

  #readClockPart(): number {
    const { clock } = this.#options;
    return clock.readWallMs() - clock.readMonotonicMs();
  }

  get #nowMs(): number {
    return this.#options.clock.readMonotonicMs();
  }

  #noteFault(error: unknown): void {
    this.#options.events.write("warn", "roleKeeperFault", {
      reason: (error as Error).message,
    });
  }
}

/** Whether an engine's report is of another life than the list's; unknown starts tell nothing. */
function isOtherLife(report: EngineReport, target: Target): boolean {
  const isKnown = report.startedAtMs !== undefined &&
    target.startedAtMs !== undefined;
  return isKnown && report.startedAtMs !== target.startedAtMs;
}
