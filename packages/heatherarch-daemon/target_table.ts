/**
 * State of all targets as known to this VM: configuration, reports, directives and open orders.
 *
 * @module
 */
import { type Clock, ENGINE_ROLES, type EngineRole } from "heatherarch-core";
import type { TargetProvider } from "heatherarch-gateway";
import type { ConfigState } from "heatherarch-log";
import { LeavingSet, type ReportRow } from "heatherarch-mesh";
import type { Candidate, LoadReport, LoadTracker } from "heatherarch-policy";
import type { ProcessSettings, Target } from "heatherarch-settings";
import {
  createEngine,
  type EngineOptions,
  type EnginePort,
  HttpService,
  type ServicePort,
} from "heatherarch-targets";

/** Options of {@linkcode TargetTable}. */
export interface TargetTableOptions {
  readonly availabilityZone: string;
  readonly clock: Clock;
  readonly tracker: LoadTracker;
  readonly settings: ProcessSettings;
}

/** Last report of a target. */
export interface TargetReport extends LoadReport {
  readonly role: EngineRole;
  readonly busyWithOrder: boolean;
  readonly leaving: boolean;
  readonly unreachable: boolean;
  /** Id of the VM that sent the report. */
  readonly watcher: string;
  /** Version of the table at the last change of the row. */
  readonly version: number;
}

/** State of a target for operators. */
export interface TargetStatus {
  readonly id: string;
  readonly service: string;
  readonly availabilityZone: string;
  readonly role: EngineRole;
  readonly directive: string;
  readonly usable: boolean;
  /** Why the target receives no new requests; empty if it does. */
  readonly reason: string;
  readonly running: number;
  readonly waiting: number;
  readonly outstandingHere: number;
  readonly reportAgeMs: number | null;
}

/** Targets of one zone with an open order. */
export interface ChangingTargets {
  /** Control offset of the list; -1 before the first list was received. */
  readonly controlOffset: number;
  readonly targets: readonly string[];
}

const NO_CHANGING_TARGETS: ChangingTargets = { controlOffset: -1, targets: [] };
const FLAG_BUSY = 1;
const FLAG_LEAVING = 2;
const FLAG_UNREACHABLE = 4;
const INITIAL_EJECTION_MS = 250;
const MAX_EJECTION_MS = 4000;
/** Round trip to another availability zone that ranking assumes. */
const CROSS_ZONE_ROUND_TRIP_MS = 8;

interface Ejection {
  readonly untilMs: number;
  readonly failures: number;
}

/** The targets of one process. */
export class TargetTable implements TargetProvider {
  readonly leaving = new LeavingSet();
  readonly #options: TargetTableOptions;
  readonly #engines = new Map<string, EnginePort>();
  readonly #services = new Map<string, ServicePort>();
  readonly #reports = new Map<string, TargetReport>();
  readonly #ejections = new Map<string, Ejection>();
  #targets = new Map<string, Target>();
  #targetsByService = new Map<string, Target[]>();
  readonly #targetsByZone = new Map<string, readonly Target[]>();
  #config: ConfigState | undefined;
  readonly #changingByZone = new Map<string, ChangingTargets>();
  #lastVersion = 0;

  constructor(options: TargetTableOptions) {
    this.#options = options;
  }

  /** Applies a new configuration. */
  applyConfig(state: ConfigState): void {
    this.#config = state;
    const targets = state.fleet?.targets ?? [];
    this.#targets = new Map(targets.map((target) => [target.id, target]));
    this.#targetsByService = new Map();
    this.#targetsByZone.clear();
    for (const target of targets) {
      const list = this.#targetsByService.get(target.service) ?? [];
      list.push(target);
      this.#targetsByService.set(target.service, list);
    }
    for (
      const [id, { directive, revision }] of Object.entries(state.directives)
    ) {
      if (directive === "active") this.leaving.restore(id, revision);
      else this.leaving.mark(id, revision);
    }
    this.#closeRemovedTargets();
  }

  /** Applies the list of a zone's targets with an open order, unless a newer one is known. */
  applyChanging(availabilityZone: string, changing: ChangingTargets): void {
    const known = this.#changingByZone.get(availabilityZone);
    if (known !== undefined && changing.controlOffset < known.controlOffset) {
      return;
    }
    this.#changingByZone.set(availabilityZone, changing);
  }

  /** Returns the targets of a zone with an open order, as known to this VM. */
  getChanging(availabilityZone: string): ChangingTargets {
    return this.#changingByZone.get(availabilityZone) ?? NO_CHANGING_TARGETS;
  }

  /** Lists the usable targets of a service. Ejected ones are listed only if there are no others. */
  listCandidates(service: string): Candidate[] {
    const nowMs = this.#options.clock.readMonotonicMs();
    const usable: Candidate[] = [];
    const ejected: Candidate[] = [];
    for (const target of this.#targetsByService.get(service) ?? []) {
      if (this.#findExclusionReason(target, nowMs) !== "") continue;
      const isEjected = (this.#ejections.get(target.id)?.untilMs ?? 0) > nowMs;
      (isEjected ? ejected : usable).push(this.#buildCandidate(target));
    }
    return usable.length > 0 ? usable : ejected;
  }

  findTarget(id: string): Target | undefined {
    return this.#targets.get(id);
  }

  /**
   * Whether a target is in service. A target that is leaving, or that was removed from the fleet,
   * may stop without a crash.
   */
  isInService(id: string): boolean {
    if (!this.#targets.has(id) || this.leaving.has(id)) return false;
    const directive = this.#config?.directives[id]?.directive ?? "active";
    return directive === "active" && this.#reports.get(id)?.leaving !== true;
  }

  /** Returns the targets of one zone; the same array until the configuration changes. */
  listZoneTargets(availabilityZone: string): readonly Target[] {
    let list = this.#targetsByZone.get(availabilityZone);
    if (list === undefined) {
      list = this.listTargets().filter((target) =>
        target.availabilityZone === availabilityZone
      );
      this.#targetsByZone.set(availabilityZone, list);
    }
    return list;
  }

  listTargets(): readonly Target[] {
    return [...this.#targets.values()];
  }

  getEngine(target: Target): EnginePort {
    let engine = this.#engines.get(target.id);
    if (engine === undefined) {
      engine = createEngine(target.dialect, this.#buildConnection(target));
      this.#engines.set(target.id, engine);
    }
    return engine;
  }

  getService(target: Target): ServicePort {
    let service = this.#services.get(target.id);
    if (service === undefined) {
      service = new HttpService(this.#buildConnection(target));
      this.#services.set(target.id, service);
    }
    return service;
  }

  /** Ejects a target. The time doubles with each failure, up to a maximum, until a success. */
  recordFailure(id: string): void {
    const failures = (this.#ejections.get(id)?.failures ?? 0) + 1;
    const ejectionMs = Math.min(
      MAX_EJECTION_MS,
      INITIAL_EJECTION_MS * 2 ** (failures - 1),
    );
    this.#ejections.set(id, {
      untilMs: this.#options.clock.readMonotonicMs() + ejectionMs,
      failures,
    });
  }

  /** Ends the ejection of a target. */
  recordSuccess(id: string): void {
    this.#ejections.delete(id);
  }

  /**
   * Records a report of a target that this VM or a peer watches. With `isFirst` it counts as changed:
   * peers know the same row from another watcher, whose heartbeats may no longer refresh it.
   */
  recordReport(row: ReportRow, watcher: string, isFirst = false): void {
    const [id, role, flags, running, waiting, pendingPrefillTokens] = row;
    const known = this.#reports.get(id);
    const isSame = known !== undefined && !isFirst &&
      isSameRow(buildRow(id, known), row);
    this.#reports.set(id, {
      role: ENGINE_ROLES[role] ?? "mixed",
      busyWithOrder: (flags & FLAG_BUSY) !== 0,
      leaving: (flags & FLAG_LEAVING) !== 0,
      unreachable: (flags & FLAG_UNREACHABLE) !== 0,
      running,
      waiting,
      pendingPrefillTokens,
      atMs: this.#options.clock.readMonotonicMs(),
      watcher,
      version: isSame ? known.version : ++this.#lastVersion,
    });
  }

  /**
   * Refreshes all reports of a watcher that sent a heartbeat. A heartbeat carries only the rows
   * that changed, so the other reports are still valid.
   */
  refreshReports(vmId: string): void {
    const atMs = this.#options.clock.readMonotonicMs();
    for (const [id, report] of this.#reports) {
      if (report.watcher === vmId) this.#reports.set(id, { ...report, atMs });
    }
  }

  /** Lists the rows that changed after `version`, of the targets that `isIncluded` accepts. */
  listRowsSince(
    version: number,
    isIncluded: (target: Target, report: TargetReport) => boolean,
  ): { rows: ReportRow[]; version: number } {
    const rows: ReportRow[] = [];
    for (const [id, report] of this.#reports) {
      const target = this.#targets.get(id);
      if (
        report.version <= version || target === undefined ||
        !isIncluded(target, report)
      ) continue;
      rows.push(buildRow(id, report));
    }
    return { rows, version: this.#lastVersion };
  }

  /** Returns the state of all targets, for operators. */
  listStatus(): TargetStatus[] {
    const nowMs = this.#options.clock.readMonotonicMs();
    return this.listTargets().map((target) => {
      const report = this.#reports.get(target.id);
      const reason = this.#findExclusionReason(target, nowMs);
      return {
        id: target.id,
        service: target.service,
        availabilityZone: target.availabilityZone,
        role: report?.role ?? target.role,
        directive: this.#config?.directives[target.id]?.directive ?? "active",
        usable: reason === "",
        reason,
        running: report?.running ?? 0,
        waiting: report?.waiting ?? 0,
        outstandingHere: this.#options.tracker.countOutstanding(target.id),
        reportAgeMs: report === undefined
          ? null
          : Math.round(nowMs - report.atMs),
      };
    });
  }

  async close(): Promise<void> {
    const ports = [...this.#engines.values(), ...this.#services.values()];
    await Promise.all(ports.map((port) => port.close()));
  }

  /** Returns why a target receives no new requests; empty if it may. */
  #findExclusionReason(target: Target, nowMs: number): string {
    const directive = this.#config?.directives[target.id]?.directive ??
      "active";
    if (directive !== "active") return directive;
    if (this.leaving.has(target.id)) return "leaving";
    const changing = this.getChanging(target.availabilityZone);
    if (changing.targets.includes(target.id)) return "changing";
    const report = this.#reports.get(target.id);
    if (report === undefined) return "not reported yet";
    if (report.leaving) return "leaving by its own report";
    if (report.busyWithOrder) return "busy with an order";
    if (report.unreachable) return "unreachable";
    if (nowMs - report.atMs > this.#options.settings.targets.staleMs) {
      return "report is stale";
    }
    return "";
  }

  #buildCandidate(target: Target): Candidate {
    const report = this.#reports.get(target.id);
    const sameZone = target.availabilityZone === this.#options.availabilityZone;
    return {
      id: target.id,
      sameZone,
      role: report?.role ?? target.role,
      load: this.#options.tracker.estimate(target.id, report),
      tokenGapMs: this.#options.tracker.readTokenGapMs(
        target.id,
        this.#options.clock.readMonotonicMs(),
      ),
      maxConcurrent: target.maxConcurrent,
      roundTripMs: sameZone ? 0 : CROSS_ZONE_ROUND_TRIP_MS,
    };
  }

  #buildConnection(target: Target): EngineOptions {
    const { settings } = this.#options;
    const { connectTimeoutMs, firstByteTimeoutMs, gapTimeoutMs } =
      settings.requests;
    return {
      address: settings.network.translate[target.address] ?? target.address,
      maxConnections: target.maxConcurrent * 2 + 4,
      timeouts: {
        connectMs: connectTimeoutMs,
        firstByteMs: firstByteTimeoutMs,
        gapMs: gapTimeoutMs,
      },
    };
  }

  /**
   * Closes the connections to targets that were removed from the fleet and have no outstanding
   * requests of this VM, and drops their reports.
   */
  #closeRemovedTargets(): void {
    for (const id of [...this.#engines.keys(), ...this.#services.keys()]) {
      if (
        this.#targets.has(id) || this.#options.tracker.countOutstanding(id) > 0
      ) continue;
      void this.#engines.get(id)?.close();
      void this.#services.get(id)?.close();
      this.#engines.delete(id);
      this.#services.delete(id);
      this.#reports.delete(id);
    }
  }
}

/** Builds the flags of a report row. */
export function buildFlags(
  state: { busyWithOrder: boolean; leaving: boolean; unreachable: boolean },
): number {
  return (state.busyWithOrder ? FLAG_BUSY : 0) |
    (state.leaving ? FLAG_LEAVING : 0) |
    (state.unreachable ? FLAG_UNREACHABLE : 0);
}

function buildRow(id: string, report: TargetReport): ReportRow {
  const role = ENGINE_ROLES.indexOf(report.role);
  const { running, waiting, pendingPrefillTokens } = report;
  return [id, role, buildFlags(report), running, waiting, pendingPrefillTokens];
}

function isSameRow(a: ReportRow, b: ReportRow): boolean {
  return a.every((value, index) => value === b[index]);
}
