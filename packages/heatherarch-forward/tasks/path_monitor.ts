/**
 * Tells whether this VM reaches the targets of a service. A VM that can't reach any of them, while
 * other VMs may, has lost its path.
 *
 * An attempt that fails or stays without a response makes this VM probe a few targets at once, so a
 * lost path is known within fractions of a second, and a single silent target is not mistaken for
 * one; nor are targets that have all crashed, as they refuse connections while others respond. While
 * the path is lost, probes show when it is back, without any call of a client.
 *
 * @module
 */
import type { Clock } from "heatherarch-core";
import type { EventLog } from "../event_log.ts";
import type { ForwardMetrics } from "../metrics.ts";
import { reportInternalError, runReported } from "../report_error.ts";
import type { Target } from "../model.ts";
import type { ProbeOutcome } from "../calls/response_probe.ts";
import type { TargetConnections } from "../calls/target_connections.ts";
import type { TargetBackoffs } from "../state/target_backoffs.ts";
import type { TargetDirectory } from "../state/target_directory.ts";
import type { TargetHealth } from "../state/target_health.ts";
import type { TargetRateLimits } from "../state/target_rate_limits.ts";

/** Options of {@linkcode PathMonitor}. */
export interface PathMonitorOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Pick<ForwardMetrics, "pathsLost" | "internalErrors">;
  readonly directory: Pick<TargetDirectory, "listServing" | "listAll">;
  readonly backoffs: Pick<TargetBackoffs, "isInBackoff">;
  readonly rateLimits: Pick<TargetRateLimits, "getMaxPerSecond">;
  readonly health: Pick<TargetHealth, "getLastResponseAtMs" | "clearAvoidance">;
  readonly connections: Pick<TargetConnections, "renew">;
  /** Sends the target a request that it does not run, and resolves with the result. Never rejects. */
  readonly probe: (target: Target) => Promise<ProbeOutcome>;
  /** Draws a uniformly distributed number in [0, 1). */
  readonly drawUnit: () => number;
}

/**
 * Number of targets that are probed at once: all of a small service, most of whose targets may be
 * gone while their entries are still listed.
 */
const PROBED_TARGETS = 6;
/** Minimum interval between rounds of probes that attempts start, milliseconds. */
const MIN_ROUND_INTERVAL_MS = 200;
/** Interval between rounds of probes while a path is lost, milliseconds. */
const LOST_ROUND_INTERVAL_MS = 250;
/**
 * A single target that is silent may go on after a second, so a path to it counts as lost only after
 * this time, milliseconds.
 */
const SINGLE_TARGET_SILENCE_MS = 1200;
/** A response within this time shows that a path works, milliseconds. */
const RECENT_CONTACT_MS = 100;

/** Targets of a service that can replace each other: all, or the engines of one role. */
interface TargetGroup {
  readonly service: string;
  readonly role: Target["role"];
  /** Monotonic time of the last response of any of the targets. */
  lastContactAtMs: number;
  /** Monotonic time since which all rounds of probes have failed. */
  failingSinceMs: number;
  lastRoundAtMs: number;
  isLost: boolean;
  round: Promise<boolean> | undefined;
  timer: NodeJS.Timeout | undefined;
}

/** Paths of this VM to the targets of all services. */
export class PathMonitor {
  readonly #options: PathMonitorOptions;
  readonly #groups = new Map<string, TargetGroup>();
  readonly #lossListeners = new Map<string, Set<() => void>>();
  /** Checks of refused connections in progress, by target. */
  readonly #refusalChecks = new Map<string, Promise<boolean>>();
  #isStopped = false;

  constructor(options: PathMonitorOptions) {
    this.#options = options;
  }

  /** Whether this VM may reach the targets of a service: of each role, if they are engines. */
  hasPath(service: string): boolean {
    for (const group of this.#groups.values()) {
      if (group.service === service && group.isLost) return false;
    }
    return true;
  }

  /** Whether this VM may reach a target, or one that could replace it. */
  hasPathTo(target: Pick<Target, "service" | "role">): boolean {
    return !this.#getGroup(target).isLost;
  }

  /** Whether no path of this VM is lost. */
  get hasAllPaths(): boolean {
    return [...this.#groups.values()].every(({ isLost }) => !isLost);
  }

  /** Records a response of a target. */
  recordContact(target: Target): void {
    const group = this.#getGroup(target);
    group.lastContactAtMs = this.#nowMs;
    group.failingSinceMs = Infinity;
    if (group.isLost) this.#restorePath(group);
  }

  /** Monotonic time of the last response of a target, or of one that could replace it. */
  getLastContactAtMs(target: Target): number {
    return this.#getGroup(target).lastContactAtMs;
  }

  /** Records that an attempt at a target got no response. Probes targets that could replace it. */
  recordTrouble(target: Target): void {
    const group = this.#getGroup(target);
    if (group.isLost || group.round !== undefined) return;
    if (this.#nowMs - group.lastRoundAtMs < MIN_ROUND_INTERVAL_MS) return;
    void this.#probeGroup(group);
  }

  /** Resolves with whether this VM reaches the targets of a service now. */
  async confirmPath(service: string): Promise<boolean> {
    if (!this.hasPath(service)) return false;
    const confirmations = this.#listServiceGroups(service).map((group) => {
      const silentMs = this.#nowMs - group.lastContactAtMs;
      if (silentMs < RECENT_CONTACT_MS) return true;
      return group.round ?? this.#probeGroup(group);
    });
    return (await Promise.all(confirmations)).every((isOpen) => isOpen);
  }

  /**
   * Resolves with whether targets of each role respond to this VM now. The path to a single target counts
   * as open for a while although it is silent, which is enough for a call that runs nowhere else.
   */
  async confirmContact(service: string): Promise<boolean> {
    const sinceMs = this.#nowMs - RECENT_CONTACT_MS;
    if (!await this.confirmPath(service)) return false;
    return this.#listServiceGroups(service)
      .every(({ lastContactAtMs }) => lastContactAtMs >= sinceMs);
  }

  /**
   * Resolves with whether a target that refuses connections does so by itself: another target, of the
   * same service if there is one, responds to this VM.
   */
  async confirmRefusal({ id, service }: Target): Promise<boolean> {
    const { directory } = this.#options;
    const isOther = (target: Target): boolean => target.id !== id;
    const siblings = directory.listServing(service).filter(isOther);
    const others = siblings.length > 0
      ? siblings
      : directory.listAll().filter(isOther);
    if (others.length === 0) return true;
    let check = this.#refusalChecks.get(id);
    if (check === undefined) {
      check = this.#probeAny(this.#listProbed(others))
        .then((outcome) => outcome === "response")
        .finally(() => this.#refusalChecks.delete(id));
      this.#refusalChecks.set(id, check);
    }
    return await check;
  }

  /** Registers a listener for the loss of a path to a service. Returns its removal. */
  registerLossListener(service: string, listener: () => void): () => void {
    let listeners = this.#lossListeners.get(service);
    if (listeners === undefined) {
      listeners = new Set();
      this.#lossListeners.set(service, listeners);
    }
    listeners.add(listener);
    return () => {
      listeners.delete(listener);
    };
  }

  stop(): void {
    this.#isStopped = true;
    for (const { timer } of this.#groups.values()) clearTimeout(timer);
  }

  get #nowMs(): number {
    return this.#options.clock.readMonotonicMs();
  }

  #getGroup({ service, role }: Pick<Target, "service" | "role">): TargetGroup {
    const key = `${service} ${role ?? ""}`;
    let group = this.#groups.get(key);
    if (group === undefined) {
      group = {
        service,
        role,
        lastContactAtMs: -Infinity,
        failingSinceMs: Infinity,
        lastRoundAtMs: -Infinity,
        isLost: false,
        round: undefined,
        timer: undefined,
      };
      this.#groups.set(key, group);
    }
    return group;
  }

  #listServiceGroups(service: string): TargetGroup[] {
    const targets = this.#options.directory.listServing(service);
    return [...new Set(targets.map((target) => this.#getGroup(target)))];
  }

  #probeGroup(group: TargetGroup): Promise<boolean> {
    group.round ??= this.#runRound(group)
      .catch((error) => {
        reportInternalError(this.#options, "watch", error);
        // A path that is lost is found again by further rounds only.
        this.#scheduleRound(group);
        return !group.isLost;
      })
      .finally(() => {
        group.round = undefined;
      });
    return group.round;
  }

  /** Probes targets of a group and returns whether this VM reaches any of them. */
  async #runRound(group: TargetGroup): Promise<boolean> {
    const { directory } = this.#options;
    const startedAtMs = this.#nowMs;
    group.lastRoundAtMs = startedAtMs;
    const targets = directory.listServing(group.service)
      .filter(({ role }) => role === group.role);
    const probed = this.#listProbed(targets);
    if (probed.length === 0) {
      this.#restorePath(group);
      return true;
    }
    const outcome = await this.#probeAny(probed);
    const hasResponse = outcome === "response" ||
      group.lastContactAtMs >= startedAtMs;
    if (this.#isStopped || hasResponse) return true;
    if (outcome === "refused" && await this.#reachesOthers(targets)) {
      // No further round would find the targets that replace these.
      this.#restorePath(group);
      return false;
    }
    group.failingSinceMs = Math.min(group.failingSinceMs, startedAtMs);
    const failingMs = this.#nowMs - group.failingSinceMs;
    const isSilentForLong = targets.length > 1 ||
      failingMs >= SINGLE_TARGET_SILENCE_MS;
    if (isSilentForLong) this.#recordLoss(group, targets, probed);
    this.#scheduleRound(group);
    return !group.isLost;
  }

  #scheduleRound(group: TargetGroup): void {
    if (this.#isStopped) return;
    clearTimeout(group.timer);
    group.timer = setTimeout(
      () => void this.#probeGroup(group),
      LOST_ROUND_INTERVAL_MS,
    );
  }

  /** Lists a few targets: the one that responded last, and others, in other zones first. */
  #listProbed(targets: readonly Target[]): Target[] {
    const { health, drawUnit } = this.#options;
    const [latest, ...others] = this.#listAvailable(targets).sort((a, b) =>
      health.getLastResponseAtMs(b.id) - health.getLastResponseAtMs(a.id) || 0
    );
    if (latest === undefined) return [];
    const ranked = others.map((target) => {
      const isNear = target.availabilityZone === latest.availabilityZone;
      return { target, rank: (isNear ? 1 : 0) + drawUnit() };
    });
    ranked.sort((a, b) => a.rank - b.rank);
    const picked = ranked.slice(0, PROBED_TARGETS - 1);
    return [latest, ...picked.map(({ target }) => target)];
  }

  /** Lists targets that are not in backoff; those without a rate limit if there are any. */
  #listAvailable(targets: readonly Target[]): Target[] {
    const { backoffs, rateLimits } = this.#options;
    const nowMs = this.#nowMs;
    const available = targets.filter(({ id }) =>
      !backoffs.isInBackoff(id, nowMs)
    );
    const unlimited = available.filter(({ id }) =>
      rateLimits.getMaxPerSecond(id) === undefined
    );
    return unlimited.length > 0 ? unlimited : available;
  }

  /** Resolves at the first response, or with why there is none: all targets refuse, or not. */
  async #probeAny(targets: readonly Target[]): Promise<ProbeOutcome> {
    const outcomes: ProbeOutcome[] = [];
    const probes = targets.map(async (target) => {
      const outcome = await this.#options.probe(target);
      outcomes.push(outcome);
      if (outcome !== "response") throw new Error("no response");
    });
    try {
      await Promise.any(probes);
      return "response";
    } catch {
      const areDown = outcomes.every((outcome) => outcome === "refused");
      return areDown ? "refused" : "silent";
    }
  }

  /** Resolves with whether a target responds that is not one of these. */
  async #reachesOthers(targets: readonly Target[]): Promise<boolean> {
    const ids = new Set(targets.map(({ id }) => id));
    const others = this.#options.directory.listAll()
      .filter(({ id }) => !ids.has(id));
    return await this.#probeAny(this.#listProbed(others)) === "response";
  }

  #recordLoss(
    group: TargetGroup,
    targets: readonly Target[],
    probed: readonly Target[],
  ): void {
    if (group.isLost) return;
    group.isLost = true;
    const { log, connections } = this.#options;
    const listeners = [...this.#lossListeners.get(group.service) ?? []];
    const steps = [
      () => this.#countLost(),
      () =>
        log.write("warn", "pathLost", {
          service: group.service,
          role: group.role,
          probed: probed.map(({ id }) => id),
          silentMs: Math.round(this.#nowMs - group.lastContactAtMs),
        }),
      // Idle connections may stay silent after the path is back.
      () => connections.renew(targets.map(({ id }) => id)),
      ...listeners,
    ];
    for (const step of steps) {
      runReported(this.#options, "watch", () => void step());
    }
  }

  #restorePath(group: TargetGroup): void {
    clearTimeout(group.timer);
    if (!group.isLost) return;
    group.isLost = false;
    const { directory, health, log } = this.#options;
    this.#countLost();
    const targets = directory.listServing(group.service)
      .filter(({ role }) => role === group.role);
    // What the attempts without a path told is no fault of the targets.
    health.clearAvoidance(targets.map(({ id }) => id));
    log.write("warn", "pathRegained", {
      service: group.service,
      role: group.role,
    });
  }

  #countLost(): void {
    const lost = [...this.#groups.values()].filter(({ isLost }) => isLost);
    this.#options.metrics.pathsLost.set(lost.length);
  }
}
