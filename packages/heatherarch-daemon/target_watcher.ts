/**
 * Reads the state of the targets that this VM watches. Each target is watched by a few VMs of its
 * availability zone, which send their reports to the others.
 *
 * @module
 */
import { type Clock, ENGINE_ROLES, pickRendezvous } from "heatherarch-core";
import type { ListedVm } from "heatherarch-log";
import type { Membership, ReportRow } from "heatherarch-mesh";
import type { ProcessSettings, Service, Target } from "heatherarch-settings";
import { buildFlags, type TargetTable } from "./target_table.ts";

/** Options of {@linkcode TargetWatcher}. */
export interface TargetWatcherOptions {
  readonly vmId: string;
  readonly availabilityZone: string;
  readonly clock: Clock;
  readonly membership: Membership;
  readonly table: TargetTable;
  readonly settings: ProcessSettings["targets"];
  readonly listServices: () => readonly Service[];
  /** Returns the configuration offset for leaving marks. */
  readonly readConfigOffset: () => number;
}

/** Number of consecutive failed reads after which a target counts as unreachable. */
const UNREACHABLE_AFTER_FAILURES = 2;

/** Polls the targets that this VM watches. */
export class TargetWatcher {
  readonly #options: TargetWatcherOptions;
  readonly #readsInProgress = new Set<string>();
  /** Targets that this VM has reported on since it began to watch them. */
  readonly #reported = new Set<string>();
  readonly #failures = new Map<string, number>();
  #timer: NodeJS.Timeout | undefined;
  #nextPollMs = 0;

  constructor(options: TargetWatcherOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(
      () => this.#tick(),
      this.#options.settings.reportIntervalMs,
    );
    this.#tick();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Whether this VM currently watches a target. */
  isWatching(target: Target): boolean {
    const { availabilityZone, membership, settings, vmId } = this.#options;
    if (target.availabilityZone !== availabilityZone) return false;
    const live = membership.listLive(availabilityZone);
    return pickRendezvous(target.id, live, settings.watchersPerTarget).includes(
      vmId,
    );
  }

  /** Marks targets as leaving that the platform's VM list names as such. The list is a hint. */
  recordListing(vms: readonly ListedVm[]): void {
    const { table, readConfigOffset } = this.#options;
    for (const vm of vms) {
      if (vm.kind === "target" && vm.state === "leaving") {
        table.leaving.mark(vm.id, readConfigOffset());
      }
    }
  }

  #tick(): void {
    const { table, availabilityZone, settings, clock } = this.#options;
    const nowMs = clock.readMonotonicMs();
    if (nowMs < this.#nextPollMs) return;
    const watched = table.listZoneTargets(availabilityZone)
      .filter((target) => this.isWatching(target));
    const intervalMs = Math.max(
      settings.reportIntervalMs,
      settings.reportPerTargetMs * watched.length,
    );
    this.#nextPollMs = nowMs + intervalMs - settings.reportIntervalMs / 2;
    const watchedIds = new Set(watched.map(({ id }) => id));
    for (const id of this.#reported) {
      if (!watchedIds.has(id)) this.#reported.delete(id);
    }
    for (const target of watched) {
      if (this.#readsInProgress.has(target.id)) continue;
      this.#readsInProgress.add(target.id);
      void this.#readTarget(target).finally(() =>
        this.#readsInProgress.delete(target.id)
      );
    }
  }

  async #readTarget(target: Target): Promise<void> {
    try {
      const row = await this.#readRow(target);
      this.#failures.delete(target.id);
      this.#recordReport(row);
    } catch {
      const failures = (this.#failures.get(target.id) ?? 0) + 1;
      this.#failures.set(target.id, failures);
      if (failures < UNREACHABLE_AFTER_FAILURES) return;
      const flags = buildFlags({
        busyWithOrder: false,
        leaving: false,
        unreachable: true,
      });
      const role = ENGINE_ROLES.indexOf(target.role);
      this.#recordReport([target.id, role, flags, 0, 0, 0]);
    }
  }

  #recordReport(row: ReportRow): void {
    const { table, vmId } = this.#options;
    const [id] = row;
    table.recordReport(row, vmId, !this.#reported.has(id));
    this.#reported.add(id);
  }

  async #readRow(target: Target): Promise<ReportRow> {
    const { table, settings, listServices } = this.#options;
    const timeoutMs = settings.reportTimeoutMs;
    const service = listServices().find((entry) =>
      entry.name === target.service
    );
    if (service?.kind === "plain") {
      const { running, leaving } = await table.getService(target).readState({
        timeoutMs,
      });
      const flags = buildFlags({
        busyWithOrder: false,
        leaving,
        unreachable: false,
      });
      return [target.id, ENGINE_ROLES.indexOf("mixed"), flags, running, 0, 0];
    }
    const state = await table.getEngine(target).readState({ timeoutMs });
    const flags = buildFlags({ ...state, unreachable: false });
    const { running, waiting } = state;
    const pendingPrefillTokens = Math.round(state.pendingPrefillTokens);
    return [
      target.id,
      ENGINE_ROLES.indexOf(state.role),
      flags,
      running,
      waiting,
      pendingPrefillTokens,
    ];
  }
}
