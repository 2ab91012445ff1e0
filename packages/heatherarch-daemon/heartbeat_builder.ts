/**
 * Builds the heartbeats to each peer. A heartbeat carries this VM's progress, the targets that are
 * leaving or changing, and the report rows that changed since the last heartbeat on the link.
 *
 * @module
 */
import type {
  Heartbeat,
  Link,
  LinkIdentity,
  Membership,
  ReportRow,
} from "heatherarch-mesh";
import { pickRendezvous } from "heatherarch-core";
import type { CrashReportPage } from "heatherarch-quarantine";
import type { Demand } from "heatherarch-policy";
import type { Target } from "heatherarch-settings";
import type { TargetTable } from "./target_table.ts";

/** Options of {@linkcode HeartbeatBuilder}. */
export interface HeartbeatBuilderOptions {
  readonly vmId: string;
  readonly availabilityZone: string;
  readonly membership: Membership;
  readonly table: TargetTable;
  readonly subsetSize: number;
  /** Whether a peer may plan roles for the zone, and therefore needs the reports of all targets. */
  readonly isPlanner: (vmId: string) => boolean;
  readonly readIntervalMs: () => number;
  readonly readProgress: () => {
    configOffset: number;
    controlOffset: number;
    leaving: boolean;
  };
  readonly readDemand: () => Demand;
  /** Lists the crash reports after a cursor. */
  readonly listCrashReports: (cursor: number | undefined) => CrashReportPage;
}

/** What has already been sent on a link. */
interface LinkProgress {
  crashCursor: number | undefined;
  leavingVersion: number;
  rowVersion: number;
  /** Targets of the last rows; undefined for all. */
  subset: ReadonlySet<string> | undefined;
  changingKey: string;
}

type CrashMessage = NonNullable<Heartbeat["crashes"]>[number];

/** The subset for a VM of another zone is smaller by this factor. */
const CROSS_ZONE_SUBSET_DIVISOR = 8;

/** Targets whose reports are sent to one peer. Valid until the zone's targets change. */
interface Subset {
  readonly targets: readonly Target[];
  readonly ids: ReadonlySet<string>;
}

/** Builds heartbeats. */
export class HeartbeatBuilder {
  readonly #options: HeartbeatBuilderOptions;
  readonly #progress = new WeakMap<Link, LinkProgress>();
  readonly #subsets = new Map<string, Subset>();

  constructor(options: HeartbeatBuilderOptions) {
    this.#options = options;
  }

  build(link: Link, peer: LinkIdentity): Heartbeat {
    let progress = this.#progress.get(link);
    if (progress === undefined) {
      progress = {
        crashCursor: undefined,
        leavingVersion: 0,
        rowVersion: 0,
        subset: undefined,
        changingKey: "",
      };
      this.#progress.set(link, progress);
    }
    const { configOffset, controlOffset, leaving } = this.#options
      .readProgress();
    return {
      kind: "heartbeat",
      configOffset,
      controlOffset,
      leaving,
      intervalMs: Math.round(this.#options.readIntervalMs()),
      zone: this.#summarizeZone(configOffset),
      ...this.#buildLeaving(progress),
      ...this.#buildCrashes(progress),
      ...this.#buildReports(progress, peer),
      ...this.#buildChanging(progress),
      ...this.#buildDemand(peer),
    };
  }

  #buildLeaving(progress: LinkProgress): Partial<Heartbeat> {
    const { leaving } = this.#options.table;
    if (leaving.version === progress.leavingVersion) return {};
    progress.leavingVersion = leaving.version;
    return { leavingTargets: leaving.listMarks() };
  }

  /** Every VM forwards crash reports that are new to it, so they reach all VMs over any link. */
  #buildCrashes(progress: LinkProgress): Partial<Heartbeat> {
    const { reports, cursor } = this.#options.listCrashReports(
      progress.crashCursor,
    );
    progress.crashCursor = cursor;
    if (reports.length === 0) return {};
    return { crashes: reports.map((report): CrashMessage => [...report]) };
  }

  /**
   * Builds the report rows for a peer. A peer in this VM's zone receives the reports of the targets
   * that this VM watches itself. A peer in another zone receives those of all targets in this VM's
   * zone.
   */
  #buildReports(
    progress: LinkProgress,
    peer: LinkIdentity,
  ): Partial<Heartbeat> {
    const { vmId, availabilityZone, table } = this.#options;
    const sameZone = peer.availabilityZone === availabilityZone;
    const subset = this.#pickSubset(peer);
    // Rows of targets that have come into the subset may be older than the last heartbeat.
    if (subset !== progress.subset) progress.rowVersion = 0;
    progress.subset = subset;
    const { rows, version } = table.listRowsSince(
      progress.rowVersion,
      (target, report) => {
        if (subset !== undefined && !subset.has(target.id)) return false;
        return sameZone
          ? report.watcher === vmId
          : target.availabilityZone === availabilityZone;
      },
    );
    progress.rowVersion = version;
    return rows.length === 0 ? {} : { reports: rows as ReportRow[] };
  }

  /**
   * Picks the ids of the targets whose reports are sent to a peer; undefined means all. All VMs of
   * the zone pick the same subset for a peer, so the reports of each of its targets reach the peer.
   */
  #pickSubset(peer: LinkIdentity): ReadonlySet<string> | undefined {
    const { table, subsetSize, isPlanner, availabilityZone } = this.#options;
    const targets = table.listZoneTargets(availabilityZone);
    if (targets.length <= subsetSize || isPlanner(peer.id)) return undefined;
    const known = this.#subsets.get(peer.id);
    if (known?.targets === targets) return known.ids;
    const sameZone = peer.availabilityZone === availabilityZone;
    const size = sameZone
      ? subsetSize
      : Math.ceil(subsetSize / CROSS_ZONE_SUBSET_DIVISOR);
    const picked = pickRendezvous(
      peer.id,
      targets.map((target) => target.id),
      size,
    );
    const subset = { targets, ids: new Set(picked) };
    this.#subsets.set(peer.id, subset);
    return subset.ids;
  }

  #buildChanging(progress: LinkProgress): Partial<Heartbeat> {
    const { table, availabilityZone } = this.#options;
    const { controlOffset, targets } = table.getChanging(availabilityZone);
    const key = targets.join(" ");
    if (key === progress.changingKey) return {};
    progress.changingKey = key;
    return { changing: [controlOffset, [...targets]] };
  }

  #buildDemand(peer: LinkIdentity): Partial<Heartbeat> {
    if (peer.availabilityZone !== this.#options.availabilityZone) return {};
    const demand = this.#options.readDemand();
    return {
      demand: [
        Math.round(demand.prefillTokensPerSecond),
        Math.round(demand.decodeTokensPerSecond),
      ],
    };
  }

  #summarizeZone(ownOffset: number): [number, number] {
    const { membership, availabilityZone } = this.#options;
    const live = membership.listMembers().filter((member) =>
      member.status === "live" && member.availabilityZone === availabilityZone
    );
    const lowest = live.reduce(
      (low, member) => Math.min(low, member.configOffset),
      ownOffset,
    );
    return [lowest, live.length + 1];
  }
}
