/**
 * Reads the configuration and the target list from the platform's store. Reading pauses while hubs
 * provide them.
 *
 * @module
 */
import { type Clock, type Moment, readMoment } from "heatherarch-core";
import type { ConfigReadTiming } from "../scheduling/config_reads.ts";
import type { ActiveConfig } from "../state/active_config.ts";
import { ConfigConfirmation } from "../state/config_confirmation.ts";
import type { EngineJitter } from "../scheduling/engine_jitter.ts";
import type { EventLog } from "../event_log.ts";
import type { ForwardMetrics } from "../metrics.ts";
import type { RoutingConfig, Target } from "../model.ts";
import type { KeyedEntry, KeyedTopicPort } from "../ports.ts";
import type { PrefixIndex } from "../state/prefix_index.ts";
import type { PlainTimeModel } from "../state/plain_time_model.ts";
import type { PrefillTimeModel } from "../state/prefill_time_model.ts";
import type { TargetConnections } from "../calls/target_connections.ts";
import type { TargetDirectory } from "../state/target_directory.ts";
import type { TargetHealth } from "../state/target_health.ts";
import type { TargetBackoffs } from "../state/target_backoffs.ts";
import type { TargetLoads } from "heatherarch-load";
import type { TargetRateLimits } from "../state/target_rate_limits.ts";
import type { CrashDetector } from "heatherarch-quarantine";
import { TopicFollower } from "./topic_follower.ts";
import type { UnreadableStatus } from "../state/unreadable_entries.ts";

/** Options of {@linkcode StoreReader}. */
export interface StoreReaderOptions {
  readonly configTopic: KeyedTopicPort<RoutingConfig>;
  readonly targetTopic: KeyedTopicPort<Target>;
  readonly configReadTiming: ConfigReadTiming;
  /** Pause between reads of the target list, milliseconds. */
  readonly targetPollMs: number;
  /** Returns the monotonic time as of which a hub's feed is valid; -Infinity without one. */
  readonly getFeedValidAtMs: () => number;
  /** Whether the process has stalled since a monotonic time. */
  readonly hasStalledSince: (atMs: number) => boolean;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: ForwardMetrics;
  readonly activeConfig: ActiveConfig;
  readonly directory: TargetDirectory;
  readonly connections: TargetConnections;
  readonly crashDetector: CrashDetector;
  readonly prefixIndex: PrefixIndex;
  readonly health: TargetHealth;
  readonly backoffs: TargetBackoffs;
  readonly rateLimits: TargetRateLimits;
  readonly targetLoads: TargetLoads;
  readonly prefillTimeModel: PrefillTimeModel;
  readonly plainTimeModel: PlainTimeModel;
  readonly engineJitter: EngineJitter;
}

/** What this VM reads itself; see {@linkcode StoreReader.setActive}. */
export interface ReadingState {
  /** Whether this VM reads the store's topics itself. */
  readonly isActive: boolean;
  /** Whether no hub has confirmed the configuration lately. */
  readonly isConfigUnconfirmed: boolean;
  /** Whether this VM is a coordinator, which retries sooner than the many other VMs. */
  readonly isCoordinator: boolean;
}

/** How this VM learned that a target is leaving. */
export type LeavingSource = "store" | "hub" | "otherIncarnation" | "grace";

/** Follows the two topics of the store. */
export class StoreReader {
  readonly #options: StoreReaderOptions;
  readonly #configFollower: TopicFollower<RoutingConfig>;
  readonly #targetFollower: TopicFollower<Target>;
  readonly #confirmation = new ConfigConfirmation();
  #hasLoadedConfig = false;

  constructor(options: StoreReaderOptions) {
    this.#options = options;
    this.#configFollower = this.#buildConfigFollower();
    this.#targetFollower = this.#buildTargetFollower();
  }

  start(): void {
    this.#configFollower.start();
    this.#targetFollower.start();
  }

  stop(): void {
    this.#configFollower.stop();
    this.#targetFollower.stop();
  }

  /** Whether this VM reads the target list itself and its last read succeeded. */
  get isListCurrent(): boolean {
    return this.#targetFollower.isCurrent;
  }

  /** Monotonic time of this VM's own last successful read of the target list. */
  get listReadAtMs(): number {
    return this.#targetFollower.readAtMs;
  }

  /** Returns the age of the target list by this VM's reads or a hub's feed, milliseconds. */
  getEffectiveListAgeMs(): number {
    const nowMs = this.#options.clock.readMonotonicMs();
    return nowMs -
      Math.max(this.listReadAtMs, this.#options.getFeedValidAtMs());
  }

  /** Returns the age of the target list as read by this VM itself, milliseconds. */
  getListAgeMs(): number {
    return this.#targetFollower.getAgeMs(this.#options.clock.readMonotonicMs());
  }

  /**
   * Starts or pauses reading, and sets how often reads are retried after a failure. The
   * configuration is also read while a hub can't confirm it.
   */
  setActive({ isActive, isConfigUnconfirmed, isCoordinator }: ReadingState) {
    if (isActive !== this.#targetFollower.isActive) {
      this.#options.log.write("info", "storeReading", { isActive });
    }
    for (const follower of [this.#configFollower, this.#targetFollower]) {
      follower.setCoordinator(isCoordinator);
    }
    this.#configFollower.setActive(isActive || isConfigUnconfirmed);
    this.#targetFollower.setActive(isActive);
  }

  /** Lists the entries of both topics that this VM can't read. */
  listUnreadable(): UnreadableStatus[] {
    return [this.#configFollower, this.#targetFollower]
      .flatMap((follower) => follower.listUnreadable());
  }

  /** Reads the target list now if this VM reads it at all. */
  refreshList(): void {
    this.#targetFollower.refresh();
  }

  /** Reads the configuration once. Throws if the store does not respond. */
  async loadConfig(): Promise<void> {
    const { configTopic, clock } = this.#options;
    const sentAt = readMoment(clock);
    const { entries, epoch = 0 } = await configTopic.load();
    this.#applyConfigList(entries, epoch);
    this.#recordConfigRead(sentAt);
  }

  /** Handles that the store came back from a copy. */
  handleRestoration(): void {
    this.#confirmation.recordRestoration(this.#options.clock.readMonotonicMs());
  }

  /** Applies a hub's updates of the target list. */
  applyTargets(entries: readonly KeyedEntry<Target>[], isFull: boolean): void {
    const { directory, getFeedValidAtMs } = this.#options;
    directory.applyFeed(entries, isFull, getFeedValidAtMs());
    this.#recordTargets(entries, "hub");
  }

  /** Logs that the source hub can't read the store, which this VM might still be able to read. */
  logStaleHub(hub: string): void {
    this.#options.log.write("info", "hubListLost", {
      hub,
      ageMs: Math.round(this.getEffectiveListAgeMs()),
    });
  }

  #applyList(
    entries: readonly KeyedEntry<Target>[],
    sentAtMs: number,
    isRestored: boolean,
  ): void {
    const { directory, clock } = this.#options;
    const before = new Set(directory.listMissing());
    const nowMs = clock.readMonotonicMs();
    if (isRestored) directory.applyRestoredList(entries, nowMs, sentAtMs);
    else directory.applyList(entries, nowMs, sentAtMs);
    const kept = directory.listMissing().filter((id) => !before.has(id));
    this.#recordTargets(
      [...entries, ...kept.map((key) => ({ key }))],
      "store",
    );
  }

  #applyChanges(
    entries: readonly KeyedEntry<Target>[],
    sentAtMs: number,
  ): void {
    const { directory, clock } = this.#options;
    directory.applyChanges(entries, clock.readMonotonicMs(), sentAtMs);
    this.#recordTargets(entries, "store");
  }

  /** Records a failure, unless the process stalled, when a timeout says nothing about the store. */
  #handleReadFailure(sentAtMs: number): void {
    const { directory, log, hasStalledSince } = this.#options;
    if (hasStalledSince(sentAtMs) || !directory.recordReadFailure()) return;
    log.write("warn", "listNotRead", {
      ageMs: Math.round(this.getEffectiveListAgeMs()),
    });
  }

  #buildConfigFollower(): TopicFollower<RoutingConfig> {
    const { configTopic, configReadTiming, clock, log, metrics } =
      this.#options;
    return new TopicFollower({
      name: "configs",
      clock,
      port: configTopic,
      log,
      pollMs: 0,
      waitMs: configReadTiming.waitMs,
      answerMs: configReadTiming.answerMs,
      timeoutMs: configReadTiming.timeoutMs,
      retryMs: configReadTiming.retryMs,
      spareRetryMs: configReadTiming.spareRetryMs,
      onList: (entries, _sentAtMs, { epoch = 0 }) =>
        this.#applyConfigList(entries, epoch),
      onChanges: (entries) => this.#applyConfigs(entries),
      onRead: (sentAt) => this.#recordConfigRead(sentAt),
      onUnreadable: () => metrics.entriesUnreadable.inc(),
    });
  }

  #buildTargetFollower(): TopicFollower<Target> {
    const { targetTopic, targetPollMs, clock, log, metrics } = this.#options;
    return new TopicFollower({
      name: "targets",
      clock,
      port: targetTopic,
      log,
      pollMs: targetPollMs,
      waitMs: 0,
      onList: (entries, sentAtMs, { isRestored }) =>
        this.#applyList(entries, sentAtMs, isRestored),
      onChanges: (entries, sentAtMs) => this.#applyChanges(entries, sentAtMs),
      onUnreadable: () => metrics.entriesUnreadable.inc(),
      onFailed: (sentAtMs) => this.#handleReadFailure(sentAtMs),
    });
  }

  #applyConfigList(
    entries: readonly KeyedEntry<RoutingConfig>[],
    epoch: number,
  ): void {
    // The store may have come back from a copy right before this VM began to read it.
    if (!this.#hasLoadedConfig && epoch > 0) this.handleRestoration();
    this.#hasLoadedConfig = true;
    this.#applyConfigs(entries);
  }

  #applyConfigs(entries: readonly KeyedEntry<RoutingConfig>[]): void {
    const { activeConfig } = this.#options;
    for (const { value } of entries) {
      if (value === undefined) continue;
      this.#confirmation.recordVersion(value.version);
      activeConfig.applyConfig(value, "store");
    }
  }

  #recordConfigRead(sentAt: Moment): void {
    const { activeConfig } = this.#options;
    const { version } = activeConfig;
    if (!this.#confirmation.isConfirmed(version, sentAt.monotonicMs)) return;
    activeConfig.recordNewest(version, sentAt);
  }

  /** Drops the state of targets that are gone, and logs each. */
  purgeDroppedTargets(source: LeavingSource): void {
    const { directory, connections } = this.#options;
    const dropped = directory.takeDropped();
    if (dropped.length === 0) return;
    for (const id of dropped) {
      this.#forgetTarget(id);
      this.#logLeaving("targetLeaving", id, source);
    }
    connections.closeAllExcept(
      new Set(directory.listAll().map((target) => target.id)),
    );
  }

  #forgetTarget(target: string): void {
    const {
      prefixIndex,
      health,
      backoffs,
      rateLimits,
      targetLoads,
      prefillTimeModel,
      plainTimeModel,
      engineJitter,
    } = this.#options;
    backoffs.forget(target);
    rateLimits.forget(target);
    targetLoads.forget(target);
    prefixIndex.forgetTarget(target);
    health.forget(target);
    prefillTimeModel.forget(target);
    plainTimeModel.forget(target);
    engineJitter.forget(target);
  }

  /**
   * Reports listed targets to the crash detector. Logs each target that is leaving, or that stays
   * in use although it is no longer listed.
   */
  #recordTargets(
    entries: readonly KeyedEntry<Target>[],
    source: LeavingSource,
  ): void {
    const { directory, crashDetector: detector, metrics } = this.#options;
    for (const { key, value } of entries) {
      if (value !== undefined) detector.recordListing(value.id, value.address);
      if (value?.leaving) this.#logLeaving("targetLeaving", value.id, source);
      if (value === undefined && directory.isMissing(key)) {
        metrics.targetsKept.inc();
        this.#logLeaving("targetKept", key, source);
      }
    }
    metrics.targets.set(directory.size);
    this.purgeDroppedTargets(source);
  }

  #logLeaving(
    event: "targetLeaving" | "targetKept",
    target: string,
    source: LeavingSource,
  ): void {
    this.#options.log.write("info", event, {
      target,
      source,
      // The age of the list before this update.
      ageMs: Math.round(this.getEffectiveListAgeMs()),
    });
  }
}
