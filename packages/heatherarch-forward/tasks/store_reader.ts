/**
 * What this VM takes from the platform's store: the configuration and the list of targets. It
 * rests while hubs tell what they say.
 *
 * @module
 */
import type { Clock } from "heatherarch-core";
import type { ConfigReadTiming } from "../scheduling/config_reads.ts";
import type { ActiveConfig } from "../state/active_config.ts";
import type { EngineJitter } from "../scheduling/engine_jitter.ts";
import type { EventLog } from "../event_log.ts";
import type { ForwardMetrics } from "../metrics.ts";
import type { RoutingConfig, Target } from "../model.ts";
import type { KeyedEntry, KeyedTopicPort } from "../ports.ts";
import type { PrefixIndex } from "../state/prefix_index.ts";
import type { PrefillTimeModel } from "../state/prefill_time_model.ts";
import type { TargetConnections } from "../calls/target_connections.ts";
import type { TargetDirectory } from "../state/target_directory.ts";
import type { TargetHealth } from "../state/target_health.ts";
import type { TargetBackoffs } from "../state/target_backoffs.ts";
import type { CrashDetector } from "heatherarch-quarantine";
import { TopicFollower } from "./topic_follower.ts";

/** Options of {@linkcode StoreReader}. */
export interface StoreReaderOptions {
  readonly configTopic: KeyedTopicPort<RoutingConfig>;
  readonly targetTopic: KeyedTopicPort<Target>;
  readonly configReadTiming: ConfigReadTiming;
  /** Pause between reads of the list of targets, milliseconds. */
  readonly targetPollMs: number;
  /** Monotonic time for which a hub's word on the list held; -Infinity without one. */
  readonly getFeedValidAtMs: () => number;
  /** Whether the process has stood still since a monotonic time. */
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
  readonly prefillTimeModel: PrefillTimeModel;
  readonly engineJitter: EngineJitter;
}

/** Who said, or what showed, that a target leaves. */
export type LeavingSource = "store" | "hub" | "otherIncarnation" | "grace";

/** Follows the two topics of the store. */
export class StoreReader {
  readonly #options: StoreReaderOptions;
  readonly #configFollower: TopicFollower<RoutingConfig>;
  readonly #targetFollower: TopicFollower<Target>;

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

  /** Whether this VM itself reads the list of targets without fault. */
  get isListCurrent(): boolean {
    return this.#targetFollower.isCurrent;
  }

  /** Monotonic time at which this VM itself last read the list without fault. */
  get listReadAtMs(): number {
    return this.#targetFollower.readAtMs;
  }

  /** Age of what this VM knows of the list, by its own reading or a hub's, milliseconds. */
  getEffectiveListAgeMs(): number {
    const nowMs = this.#options.clock.readMonotonicMs();
    return nowMs -
      Math.max(this.listReadAtMs, this.#options.getFeedValidAtMs());
  }

  /** Age of what this VM itself has read of the list of targets, milliseconds. */
  getListAgeMs(): number {
    return this.#targetFollower.getAgeMs(this.#options.clock.readMonotonicMs());
  }

  /** Reads or rests; {@linkcode TopicFollower.setCoordinator} says what a VM without duty does. */
  setActive(isActive: boolean, isCoordinator: boolean): void {
    if (isActive !== this.#targetFollower.isActive) {
      this.#options.log.write("info", "storeReading", { isActive });
    }
    for (const follower of [this.#configFollower, this.#targetFollower]) {
      follower.setCoordinator(isCoordinator);
      follower.setActive(isActive);
    }
  }

  /** Reads the list of targets now, where this VM reads it. */
  refreshList(): void {
    this.#targetFollower.refresh();
  }

  /** Reads the configuration once. Throws where the store does not answer. */
  async loadConfig(): Promise<void> {
    const { configTopic, clock } = this.#options;
    const sentAtMs = clock.readMonotonicMs();
    const { entries } = await configTopic.load();
    this.#applyConfigs(entries, sentAtMs);
  }

  /** Takes in what a hub tells of the list of targets. */
  applyTargets(entries: readonly KeyedEntry<Target>[], isFull: boolean): void {
    const { directory, getFeedValidAtMs } = this.#options;
    directory.applyFeed(entries, isFull, getFeedValidAtMs());
    this.#recordTargets(entries, "hub");
  }

  /** A hub that this VM relied on can't read the store, which says nothing of the store. */
  logStaleHub(hub: string): void {
    this.#options.log.write("info", "hubListLost", {
      hub,
      ageMs: Math.round(this.getEffectiveListAgeMs()),
    });
  }

  #applyList(
    entries: readonly KeyedEntry<Target>[],
    sentAtMs: number,
  ): void {
    const { directory, clock } = this.#options;
    const before = new Set(directory.listMissing());
    directory.applyList(entries, clock.readMonotonicMs(), sentAtMs);
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

  /** A reading that timed out while the process stood still says nothing of the store. */
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
    const apply = (
      entries: readonly KeyedEntry<RoutingConfig>[],
      sentAtMs: number,
    ): void => this.#applyConfigs(entries, sentAtMs);
    return new TopicFollower({
      name: "configs",
      clock,
      port: configTopic,
      log,
      pollMs: 0,
      ...configReadTiming,
      onList: apply,
      onChanges: apply,
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
      onList: (entries, sentAtMs) => this.#applyList(entries, sentAtMs),
      onChanges: (entries, sentAtMs) => this.#applyChanges(entries, sentAtMs),
      onUnreadable: () => metrics.entriesUnreadable.inc(),
      onFailed: (sentAtMs) => this.#handleReadFailure(sentAtMs),
    });
  }

  #applyConfigs(
    entries: readonly KeyedEntry<RoutingConfig>[],
    sentAtMs: number,
  ): void {
    const { activeConfig } = this.#options;
    for (const { value } of entries) {
      if (value !== undefined) activeConfig.applyConfig(value, "store");
    }
    activeConfig.recordStoreRead(sentAtMs);
  }

  /** Drops what was learned of targets that are gone, with a line for each. */
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
    const { prefixIndex, health, backoffs, prefillTimeModel, engineJitter } =
      this.#options;
    backoffs.forget(target);
    prefixIndex.forgetTarget(target);
    health.forget(target);
    prefillTimeModel.forget(target);
    engineJitter.forget(target);
  }

  /** A line for each target that leaves, or that is used although it is listed no more. */
  #recordTargets(
    entries: readonly KeyedEntry<Target>[],
    source: LeavingSource,
  ): void {
    const { directory, crashDetector: crashes, metrics } = this.#options;
    for (const { key, value } of entries) {
      if (value !== undefined) crashes.recordListing(value.id, value.address);
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
      // Of what was known before this word.
      ageMs: Math.round(this.getEffectiveListAgeMs()),
    });
  }
}
