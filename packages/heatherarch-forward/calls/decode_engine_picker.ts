/**
 * Picks the decode engine of a call, and waits for one if that is worth the client's time.
 *
 * @module
 */
import { sleep } from "heatherarch-core";
import type { CallContext } from "./call_context.ts";
import type { EngineTraits, Target } from "../model.ts";
import {
  beginEngineWait,
  type EngineSelection,
  findEngineBackoffMs,
  listAvailableEngines,
  predictEngineRateLimitDelayMs,
} from "../scheduling/engine_selection.ts";
import {
  isWorthWaiting,
  predictDecodeReadyMs,
} from "../scheduling/decode_wait.ts";
import {
  pickLeastLoaded,
  type TargetCandidate,
} from "../scheduling/least_loaded_target.ts";
import {
  preferContinuable,
  preferRecorded,
} from "../scheduling/version_preference.ts";

/** Options of {@linkcode DecodeEnginePicker}. */
export interface DecodeEnginePickerOptions {
  readonly context: CallContext;
  readonly traits: EngineTraits;
  /** With less time left, a first token can't reach the client before the deadline, milliseconds. */
  readonly minRemainingMs: number;
}

/** Interval at which a waiting call checks for a decode engine, milliseconds. */
const POLL_INTERVAL_MS = 40;

/** Picks the decode engines of one call. */
export class DecodeEnginePicker {
  readonly #context: CallContext;
  readonly #traits: EngineTraits;
  readonly #minRemainingMs: number;
  readonly #tried = new Set<string>();
  #softwareVersion: string | undefined;
  /** Ends the wait for an engine; undefined if the call does not wait for one. */
  #endWait: (() => void) | undefined;

  constructor(options: DecodeEnginePickerOptions) {
    this.#context = options.context;
    this.#traits = options.traits;
    this.#minRemainingMs = options.minRemainingMs;
  }

  /** Software version at which the stream has to go on; undefined if any will do. */
  get softwareVersion(): string | undefined {
    return this.#softwareVersion;
  }

  /** From now on, only engines of this software version are picked. */
  setSoftwareVersion(softwareVersion: string): void {
    this.#softwareVersion = softwareVersion;
  }

  /** Excludes an engine that an attempt of the call was sent to. */
  addTried(id: string): void {
    this.#tried.add(id);
  }

  /** Lists the excluded engines. */
  listTried(): string[] {
    return [...this.#tried];
  }

  /** Whether an engine besides this one can be picked. */
  hasOther(id: string): boolean {
    const tried = new Set([...this.#tried, id]);
    return this.#pick(undefined, { ...this.#selection, tried }) !== undefined;
  }

  /** Returns the least loaded engine, preferably in `zone`; undefined if there is none. */
  pick(zone: string | undefined): Target | undefined {
    return this.#pick(zone, this.#selection);
  }

  #pick(
    zone: string | undefined,
    selection: EngineSelection,
  ): Target | undefined {
    const { workTracker, targetLoads, connectionPreference, drawUnit } =
      this.#context.dependencies;
    const nowMs = this.#context.nowMs;
    const maxKvTokens = this.#traits.kvTokens;
    const engines = listAvailableEngines(this.#context, selection);
    const needsConnection = connectionPreference.buildCheck(
      engines.length,
      nowMs,
    );
    const candidates = engines.map((target): TargetCandidate => ({
      target,
      ...workTracker.getRunLoad(target.id, nowMs),
      maxKvTokens,
      timeFactor: targetLoads.estimateSlowdown(target.id, nowMs),
      needsConnection: needsConnection(target),
    }));
    const isBeginning = this.#softwareVersion === undefined &&
      this.#context.route.kind === "resumableStream";
    const preferred = isBeginning
      ? preferContinuable(this.#preferRecorded(candidates))
      : candidates;
    return pickLeastLoaded(preferred, zone, drawUnit)?.target;
  }

  #preferRecorded(
    candidates: readonly TargetCandidate[],
  ): readonly TargetCandidate[] {
    const { dependencies: { versionLives }, service, nowMs } = this.#context;
    return preferRecorded(
      candidates,
      (version) => versionLives.isRecorded(service.name, version, nowMs),
    );
  }

  /**
   * Returns an engine. If there is none, waits for an engine that is about to take the role, or for
   * room in the rate limits of the engines that have it.
   */
  async awaitEngine(zone: string | undefined): Promise<Target | undefined> {
    for (;;) {
      await this.#context.awaitSendable();
      if (this.#context.hasEnded || !this.#hasPath) return undefined;
      const target = this.pick(zone);
      if (target !== undefined) {
        this.endWait();
        return target;
      }
      this.beginWait();
      if (!this.mayWait()) return undefined;
      await sleep(POLL_INTERVAL_MS);
    }
  }

  /** Whether this VM may reach the decode engines; the call needs no other role from here on. */
  get #hasPath(): boolean {
    const { service, dependencies } = this.#context;
    return dependencies.pathMonitor.hasPathTo({
      service: service.name,
      role: "decode",
    });
  }

  /** Counts the call among those that wait for an engine. */
  beginWait(): void {
    this.endWait();
    this.#endWait = beginEngineWait(this.#context, "generating");
  }

  /** Ends the wait, if there is one. */
  endWait(): void {
    this.#endWait?.();
    this.#endWait = undefined;
  }

  /** Whether an engine is expected while the client still waits. */
  mayWait(): boolean {
    const { nowMs, call, route, remainingMs } = this.#context;
    if (remainingMs < this.#minRemainingMs) return false;
    return isWorthWaiting(
      this.predictReadyMs(),
      nowMs - call.arrivedAtMs,
      route.aimMs,
    );
  }

  /**
   * Predicts the time until an engine takes the call; undefined if no engine is changing to the
   * decode role or is kept by its rate limit.
   */
  predictReadyMs(): number | undefined {
    const delaysMs = [
      this.predictRoleChangeMs(),
      predictEngineRateLimitDelayMs(this.#context, this.#selection),
    ].filter((delayMs) => delayMs !== undefined);
    return delaysMs.length === 0 ? undefined : Math.min(...delaysMs);
  }

  /** Predicts the time until an engine has changed to the decode role; undefined if none changes. */
  predictRoleChangeMs(): number | undefined {
    const { dependencies, service, nowMs } = this.#context;
    const { directory } = dependencies;
    const version = this.#softwareVersion;
    const roleChangeStartsMs = directory.listServing(service.name)
      .filter((engine) => engine.role === "prefill")
      .filter((engine) =>
        version === undefined || engine.softwareVersion === version
      )
      .map((engine) => directory.findRoleChangeStartMs(engine.id, nowMs))
      .filter((startedAtMs) => startedAtMs !== undefined);
    return predictDecodeReadyMs(
      roleChangeStartsMs,
      this.#traits.roleChangeMs,
      nowMs,
    );
  }

  /** Time until the first backoff ends if all engines are in backoff, in milliseconds. */
  findBackoffMs(): number | undefined {
    return findEngineBackoffMs(this.#context, this.#selection);
  }

  get #selection(): EngineSelection {
    return {
      phase: "generating",
      tried: this.#tried,
      softwareVersion: this.#softwareVersion,
    };
  }
}
