/**
 * Gossip of crash reports, of targets that announced that they are leaving, of targets' rate limits,
 * and of targets' loads. Each VM forwards what is new to it on all its links, so it reaches every VM
 * over a full mesh as well as over hubs; a new link gets everything. Only hubs forward the loads that
 * peers have observed, as they change too often to be sent twice.
 *
 * @module
 */
import type { Clock } from "heatherarch-core";
import {
  type LoadScope,
  SLOWDOWN_PERIOD_MS,
  type TargetLoads,
} from "heatherarch-load";
import type { Heartbeat, Link } from "heatherarch-mesh";
import type { PartQuarantine, RequestQuarantine } from "heatherarch-quarantine";
import type { TargetRateLimits } from "../state/target_rate_limits.ts";
import type { TargetDirectory } from "../state/target_directory.ts";
import type { EventLog } from "../event_log.ts";

/** Options of {@linkcode FleetGossip}. */
export interface FleetGossipOptions {
  readonly quarantine: RequestQuarantine;
  readonly partQuarantine: PartQuarantine;
  readonly directory: TargetDirectory;
  readonly rateLimits: TargetRateLimits;
  readonly targetLoads: TargetLoads;
  readonly clock: Clock;
  readonly log: EventLog;
}

/** The heartbeat fields that this module fills. */
export type GossipFields = Pick<
  Heartbeat,
  "crashes" | "partCrashes" | "leavingTargets" | "rateLimits" | "loads"
>;

type CrashMessage = NonNullable<Heartbeat["crashes"]>[number];
type RateLimitMessage = NonNullable<Heartbeat["rateLimits"]>[number];

type LoadMessage = NonNullable<Heartbeat["loads"]>[number];

/** Positions up to which one link has been sent everything. */
interface LinkCursors {
  crashes: number | undefined;
  partCrashes: number | undefined;
  leaving: number;
  rateLimits: number;
  loads: number;
}

/** Offset of a mark that came from the target itself, which no log record removes. */
const NO_LOG_OFFSET = -1;
/** Encoded rate limit that has ended. */
const NO_RATE_LIMIT = -1;
/** Rate limits are encoded as requests per this many seconds. */
const RATE_SCALE = 1000;
/** Most rows of loads in a heartbeat: about 500 bytes. */
const MAX_LOAD_ROWS = 24;
/** Slowdowns are encoded in percent. */
const PERCENT = 100;

/** The gossip of one VM. */
export class FleetGossip {
  readonly #options: FleetGossipOptions;
  readonly #links = new WeakMap<Link, LinkCursors>();

  constructor(options: FleetGossipOptions) {
    this.#options = options;
  }

  /** Registers a listener for whatever is new; returns its removal. */
  registerListener(listener: () => void): () => void {
    const { quarantine, partQuarantine, directory, rateLimits, targetLoads } =
      this.#options;
    const undos = [
      quarantine.registerReportListener(listener),
      partQuarantine.registerListener(listener),
      directory.registerLeavingListener(listener),
      rateLimits.registerListener(listener),
      targetLoads.registerListener(listener),
    ];
    return () => {
      for (const undo of undos) undo();
    };
  }

  /**
   * Builds what is new since the last heartbeat on a link. `loadScope` tells whose loads the peer gets
   * from this VM.
   */
  buildFields(
    link: Link,
    loadScope: LoadScope | "none" = "own",
  ): GossipFields {
    let cursors = this.#links.get(link);
    if (cursors === undefined) {
      cursors = {
        crashes: undefined,
        partCrashes: undefined,
        leaving: 0,
        rateLimits: 0,
        loads: 0,
      };
      this.#links.set(link, cursors);
    }
    return {
      ...this.#buildCrashes(cursors),
      ...this.#buildPartCrashes(cursors),
      ...this.#buildLeaving(cursors),
      ...this.#buildRateLimits(cursors),
      ...this.#buildLoads(cursors, loadScope),
    };
  }

  /**
   * Merges a peer's heartbeat, which may have waited here for `waitedMs` milliseconds. `loadScope`
   * tells whose loads the peer sends.
   */
  handle(
    { crashes, partCrashes, leavingTargets, rateLimits = [], loads = [] }:
      Heartbeat,
    waitedMs: number,
    loadScope: LoadScope = "zone",
  ): void {
    const { quarantine, partQuarantine, directory, clock, log } = this.#options;
    if (partCrashes !== undefined) {
      partQuarantine.evidence.mergePeerReports(
        partCrashes,
        clock.readMonotonicMs() - waitedMs,
      );
    }
    if (crashes !== undefined) {
      quarantine.mergePeerReports(crashes, clock.readMonotonicMs() - waitedMs);
    }
    for (const { target } of leavingTargets ?? []) {
      if (!directory.markLeaving(target)) continue;
      log.write("info", "targetLeaving", { target, source: "peer" });
    }
    for (const message of rateLimits) this.#mergeRateLimit(message, waitedMs);
    for (const message of loads) {
      this.#mergeLoad(message, waitedMs, loadScope);
    }
  }

  #mergeLoad(
    [target, percent, ageMs, running, waiting, slots]: LoadMessage,
    waitedMs: number,
    scope: LoadScope,
  ): void {
    const { targetLoads, directory, clock } = this.#options;
    // The load of a target that is gone would be kept for good.
    if (directory.findTarget(target) === undefined) return;
    targetLoads.mergePeerSample({
      target,
      slowdown: percent / PERCENT,
      running,
      waiting,
      slots,
      atMs: clock.readMonotonicMs() - waitedMs - ageMs,
    }, scope);
  }

  #mergeRateLimit(
    [target, encoded, ageMs]: RateLimitMessage,
    waitedMs: number,
  ): void {
    const { rateLimits, directory, clock, log } = this.#options;
    // The limit of a target that is gone would be kept for good.
    if (directory.findTarget(target) === undefined) return;
    const maxPerSecond = encoded === NO_RATE_LIMIT
      ? undefined
      : encoded / RATE_SCALE;
    const atMs = clock.readMonotonicMs() - waitedMs - ageMs;
    const change = rateLimits.mergePeerNews({ target, maxPerSecond, atMs });
    if (change === undefined) return;
    log.write("info", "targetRateLimit", {
      target,
      change,
      maxPerSecond,
      source: "peer",
    });
  }

  #buildCrashes(cursors: LinkCursors): GossipFields {
    const { quarantine } = this.#options;
    const { crashes, cursor } = this.#listCrashes(quarantine, cursors.crashes);
    cursors.crashes = cursor;
    return crashes === undefined ? {} : { crashes };
  }

  #buildPartCrashes(cursors: LinkCursors): GossipFields {
    const { evidence } = this.#options.partQuarantine;
    const { crashes, cursor } = this.#listCrashes(
      evidence,
      cursors.partCrashes,
    );
    cursors.partCrashes = cursor;
    return crashes === undefined ? {} : { partCrashes: crashes };
  }

  #listCrashes(
    quarantine: RequestQuarantine,
    from: number | undefined,
  ): { crashes?: CrashMessage[]; cursor: number | undefined } {
    if (quarantine.isEmpty) return { cursor: from };
    const { reports, cursor } = quarantine.listReports(
      from,
      this.#options.clock.readMonotonicMs(),
    );
    if (reports.length === 0) return { cursor };
    const crashes = reports.map((report): CrashMessage => [...report]);
    return { crashes, cursor };
  }

  #buildLeaving(cursors: LinkCursors): GossipFields {
    const { targetIds, cursor } = this.#options.directory
      .listAnnouncedLeaving(cursors.leaving);
    cursors.leaving = cursor;
    if (targetIds.length === 0) return {};
    return {
      leavingTargets: targetIds.map((target) => ({
        target,
        sinceOffset: NO_LOG_OFFSET,
      })),
    };
  }

  #buildRateLimits(cursors: LinkCursors): GossipFields {
    const { rateLimits, clock } = this.#options;
    const { news, position } = rateLimits.listNews(cursors.rateLimits);
    cursors.rateLimits = position;
    if (news.length === 0) return {};
    const nowMs = clock.readMonotonicMs();
    return {
      rateLimits: news.map((
        { target, maxPerSecond, atMs },
      ): RateLimitMessage => [
        target,
        maxPerSecond === undefined
          ? NO_RATE_LIMIT
          : Math.round(maxPerSecond * RATE_SCALE),
        Math.max(0, Math.ceil(nowMs - atMs)),
      ]),
    };
  }

  #buildLoads(
    cursors: LinkCursors,
    scope: LoadScope | "none",
  ): GossipFields {
    if (scope === "none") return {};
    const { targetLoads, clock } = this.#options;
    const { news, position } = targetLoads.listNews(
      cursors.loads,
      MAX_LOAD_ROWS,
      scope,
    );
    cursors.loads = position;
    const nowMs = clock.readMonotonicMs();
    const loads = news
      .filter(({ atMs }) => nowMs - atMs < SLOWDOWN_PERIOD_MS)
      .map((sample): LoadMessage => [
        sample.target,
        Math.round((sample.slowdown ?? 1) * PERCENT),
        Math.max(0, Math.ceil(nowMs - sample.atMs)),
        sample.running,
        sample.waiting,
        sample.slots,
      ]);
    return loads.length === 0 ? {} : { loads };
  }
}
