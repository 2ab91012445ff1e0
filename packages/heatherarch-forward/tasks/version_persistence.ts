/**
 * Records in the platform's store which software versions targets have, so that VMs know after the
 * loss of all VMs which versions may have begun a stream.
 *
 * @module
 */
import { type Clock, sleep } from "heatherarch-core";
import type { EventLog } from "../event_log.ts";
import type { VersionRecord, WritableTopicPort } from "../ports.ts";
import type { ActiveConfig } from "../state/active_config.ts";
import { computeStreamLifeMs } from "../state/stream_versions.ts";
import type { VersionHistory } from "../state/version_history.ts";
import {
  buildLifeKey,
  COVERAGE_KEY,
  hasEndedBefore,
  MAX_RECORDS_AGE_MS,
  type VersionLives,
} from "../state/version_lives.ts";

/** Options of {@linkcode VersionPersistence}. */
export interface VersionPersistenceOptions {
  readonly topic: WritableTopicPort<VersionRecord>;
  readonly history: VersionHistory;
  readonly lives: VersionLives;
  readonly activeConfig: Pick<ActiveConfig, "table">;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Whether this VM takes part in tasks that few VMs perform. */
  readonly isCoordinator: () => boolean;
  /** Whether other VMs ran already when this VM started. */
  readonly isFleetRunning: () => Promise<boolean>;
  /** Number of VMs, of which all but the coordinators only read. */
  readonly countVms: () => number;
  /** Requests an early read of the target list. */
  readonly refreshTargetList: () => void;
  /** Draws a uniformly distributed number in [0, 1). */
  readonly drawUnit: () => number;
}

/** A record that is due to be written; undefined removes the key. */
type DueRecord = readonly [key: string, record: VersionRecord | undefined];

/** A wait for a read of the target list that was sent at `sinceMs` or later. */
interface ListWait {
  readonly sinceMs: number;
  readonly done: Promise<boolean>;
}

/** Time without a target of a version after which its end is recorded, milliseconds. */
const END_DELAY_MS = 3000;
const RETRY_MS = 500;
/** With that pause for each VM, the VMs that only read make 200 reads a second at most. */
const READ_PAUSE_PER_VM_MS = 5;
/** Interval at which the age of the target list is checked during a wait for its next read. */
const LIST_POLL_INTERVAL_MS = 20;
/**
 * Smallest number of these checks before a call gives up. A number of checks and not a time, since the
 * list is usually old because the process was late, and a process that is late again has not read it
 * in that time either. A VM that receives its list from a hub needs as many as the list may be old.
 */
const MIN_LIST_POLLS = 25;
/** Shortest interval between two early reads of the target list that calls request. */
const LIST_REQUEST_INTERVAL_MS = 200;
/** Reads of the records for one conclusion, if the target list becomes too old during each of them. */
const MAX_READ_ROUNDS = 4;

/** The task that records versions. */
export class VersionPersistence {
  readonly #options: VersionPersistenceOptions;
  /** The read in progress or the latest one, and when it was sent. */
  #read:
    | { readonly sentAtBootMs: number; readonly done: Promise<boolean> }
    | undefined;
  #isMaintaining = false;
  /** Number of reads that were sent, and which of them was the latest one to be applied. */
  #readCount = 0;
  #appliedRead = 0;
  /** Whether records were due at the last tick. */
  #wasDue = false;
  #nextMaintenanceAtMs = -Infinity;
  /** The wait for the next read of the target list; undefined if there is none. */
  #listWait: ListWait | undefined;
  #nextListRequestAtMs = -Infinity;
  #isStopped = false;

  constructor(options: VersionPersistenceOptions) {
    this.#options = options;
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Handles that the store came back from a copy, which may lack what this VM has read. */
  handleRestoration(epoch: number): void {
    this.#options.lives.handleRestoration(epoch);
    this.#read = undefined;
  }

  /** Reads and writes records if that is due. To be called several times a second. */
  tick(): void {
    if (this.#isMaintaining || this.#isStopped) return;
    if (this.#nowMs < this.#nextMaintenanceAtMs) return;
    if (this.#listServices().length === 0) return;
    this.#isMaintaining = true;
    void this.#maintain().finally(() => this.#isMaintaining = false);
  }

  /**
   * Resolves with the only version that targets of a service have had for as long as a stream may be
   * taken up; undefined if there were several, or if that is not known. Never rejects.
   */
  async findOnlyVersion(service: string): Promise<string | undefined> {
    const sinceMs = this.#nowMs;
    const isRead = await this.#refreshWithList(service, sinceMs);
    this.#options.history.observe(this.#nowMs);
    const versions = this.listVersions(service);
    const reason = this.#findDoubt(isRead, versions, sinceMs);
    if (reason === undefined) return versions[0];
    this.#options.log.write("info", "onlyVersionUnknown", { service, reason });
    return undefined;
  }

  /**
   * Waits for the next read of the target list, but not for long, if that has never contained a version
   * which has begun a stream: the list is older than that version. Never rejects.
   */
  async awaitVersionListed(
    service: string,
    softwareVersion: string,
  ): Promise<void> {
    const { history } = this.#options;
    const nowMs = this.#nowMs;
    history.observe(nowMs);
    const isKnown = history.listVersions(service, Infinity, nowMs)
      .some((observed) => observed.softwareVersion === softwareVersion);
    if (!isKnown) await this.#awaitList(nowMs);
  }

  /**
   * Reads the records unless they were read recently, and waits for a read of the target list that is
   * sent from `sinceMs` on, unless several versions are known already. A version at which a stream has
   * begun was listed before, and its record may still be missing, so an earlier list doesn't tell.
   * Either may become too old while the other is read, so both are checked again. Resolves with
   * whether the records are read; the list may still be too old, which the conclusion checks.
   */
  async #refreshWithList(service: string, sinceMs: number): Promise<boolean> {
    for (let round = 1;; round++) {
      const isRead = await this.#refresh();
      if (!isRead || round === MAX_READ_ROUNDS) return isRead;
      if (this.#isListRead(sinceMs)) return true;
      if (this.listVersions(service).length > 1) return true;
      if (!await this.#awaitList(sinceMs)) return isRead;
    }
  }

  /** Whether the target list is current and was read at `sinceMs` or later. */
  #isListRead(sinceMs: number): boolean {
    const { history } = this.#options;
    history.observe(this.#nowMs);
    return history.isCurrent(this.#nowMs) && history.isReadSince(sinceMs);
  }

  /**
   * Waits until the target list is read, but not for long. Resolves with whether it is. One wait
   * serves all calls that came before it began; later ones share the next.
   */
  async #awaitList(sinceMs: number): Promise<boolean> {
    const earlier = this.#listWait;
    if (earlier !== undefined && earlier.sinceMs < sinceMs) {
      await earlier.done;
      if (this.#isListRead(sinceMs)) return true;
    }
    this.#listWait ??= this.#beginListWait();
    return await this.#listWait.done;
  }

  #beginListWait(): ListWait {
    const sinceMs = this.#nowMs;
    const done = this.#pollList(sinceMs).finally(() =>
      this.#listWait = undefined
    );
    return { sinceMs, done };
  }

  async #pollList(sinceMs: number): Promise<boolean> {
    const { history: { maxListAgeMs }, log } = this.#options;
    const maxPolls = Math.max(
      MIN_LIST_POLLS,
      Math.ceil(maxListAgeMs / LIST_POLL_INTERVAL_MS),
    );
    let isRequested = this.#requestList();
    let isCurrent = this.#isListRead(sinceMs);
    for (let i = 0; i < maxPolls && !isCurrent; i++) {
      if (this.#isStopped) break;
      await sleep(LIST_POLL_INTERVAL_MS);
      isRequested ||= this.#requestList();
      isCurrent = this.#isListRead(sinceMs);
    }
    const waitedMs = Math.round(this.#nowMs - sinceMs);
    log.write("info", "targetListAwaited", { waitedMs, isCurrent });
    return isCurrent;
  }

  /** Requests an early read of the target list, unless one was requested just before. */
  #requestList(): boolean {
    const nowMs = this.#nowMs;
    if (nowMs < this.#nextListRequestAtMs) return false;
    this.#nextListRequestAtMs = nowMs + LIST_REQUEST_INTERVAL_MS;
    this.#options.refreshTargetList();
    return true;
  }

  /** Finds why no version is known as the only one; undefined if one is. */
  #findDoubt(
    isRead: boolean,
    versions: readonly (string | undefined)[],
    sinceMs: number,
  ): string | undefined {
    const { history, lives, clock } = this.#options;
    if (!isRead) return "the records of versions are not read";
    if (versions.length > 1) return "there were several versions";
    const nowMs = this.#nowMs;
    if (!history.isCurrent(nowMs) || !history.isReadSince(sinceMs)) {
      return "the target list is not current";
    }
    const isKnown = history.hasHistory(this.#streamLifeMs, nowMs) ||
      lives.hasCoverage(this.#streamLifeMs, clock.readWallMs());
    if (!isKnown) return "versions are not recorded for long enough";
    return versions.length === 1 ? undefined : "no version is listed";
  }

  /** Lists the versions that may have begun a stream that is taken up now. */
  listVersions(service: string): (string | undefined)[] {
    const { history, lives, clock } = this.#options;
    const observed = history.listVersions(
      service,
      this.#streamLifeMs,
      this.#nowMs,
    );
    const recorded = lives.listVersions(
      service,
      this.#streamLifeMs,
      clock.readWallMs(),
    );
    const seen = observed.map(({ softwareVersion }) => softwareVersion);
    return [...new Set([...seen, ...recorded])];
  }

  /** Whether streams that are taken up now may have begun at several versions. */
  hasSeveralVersions(): boolean {
    return this.#listServices()
      .some((service) => this.listVersions(service).length > 1);
  }

  get #nowMs(): number {
    return this.#options.clock.readMonotonicMs();
  }

  get #streamLifeMs(): number {
    return computeStreamLifeMs(this.#options.activeConfig.table?.config);
  }

  /** Services whose streams may be taken up. */
  #listServices(): string[] {
    const routes = this.#options.activeConfig.table?.config.routes ?? [];
    const services = routes.filter(({ kind }) => kind === "resumableStream")
      .flatMap((route) => route.services.map(({ service }) => service));
    return [...new Set(services)];
  }

  async #maintain(): Promise<void> {
    const { isCoordinator, lives } = this.#options;
    const isDue = !lives.isLoaded || this.#hasDueRecords();
    const isNewlyDue = isDue && !this.#wasDue;
    this.#wasDue = isDue;
    if (!isDue) return;
    const isWriter = isCoordinator();
    // A VM that only reads leaves the coordinators time to write.
    const mayWait = isNewlyDue && lives.isLoaded && !isWriter;
    const isDone = !mayWait && await this.#refresh(0) && isWriter &&
      await this.#writeDue();
    if (isDone) return;
    this.#nextMaintenanceAtMs = this.#nowMs + this.#computePauseMs(isWriter);
  }

  /** The reads of a large fleet are spread, as the store serves all VMs together. */
  #computePauseMs(isWriter: boolean): number {
    if (isWriter) return RETRY_MS;
    const { countVms, drawUnit } = this.#options;
    const pauseMs = Math.max(RETRY_MS, countVms() * READ_PAUSE_PER_VM_MS);
    return pauseMs * (0.5 + drawUnit());
  }

  #hasDueRecords(): boolean {
    return this.#isCoverageDue() || this.#listDueLives().length > 0;
  }

  /** Whether it is not recorded since when versions are recorded, and targets name any. */
  #isCoverageDue(): boolean {
    const { history, lives } = this.#options;
    if (lives.coverage !== undefined) return false;
    return this.#listServices().some((service) =>
      history.listVersions(service, END_DELAY_MS, this.#nowMs)
        .some(({ softwareVersion }) => softwareVersion !== undefined)
    );
  }

  /** Writes what is due, one record after another, and reads it back. */
  async #writeDue(): Promise<boolean> {
    const { topic, log } = this.#options;
    try {
      // The coverage comes last, as it vouches for the records before it.
      const coverage = await this.#listDueCoverage();
      const due = [...this.#listDueLives(), ...coverage];
      if (due.length === 0) return true;
      for (const [key, record] of due) {
        await topic.put(key, record);
        log.write("info", "versionRecorded", { key, ...record });
      }
    } catch (error) {
      this.#logFailure("write", error);
      return false;
    }
    return await this.#refresh(0);
  }

  #listDueLives(): DueRecord[] {
    const due = this.#listServices().flatMap((service) =>
      this.#listDueOfService(service)
    );
    return [...due, ...this.#listEnded()];
  }

  /** Versions that this VM has seen and the store lacks. */
  #listDueOfService(service: string): DueRecord[] {
    const { history, lives, clock } = this.#options;
    const nowMs = this.#nowMs;
    return history.listVersions(service, this.#streamLifeMs, nowMs).flatMap(
      ({ softwareVersion, atMs }): DueRecord[] => {
        if (softwareVersion === undefined) return [];
        const isListed = nowMs - atMs < END_DELAY_MS;
        const life = lives.findLife(service, softwareVersion);
        const isDue = life === undefined ||
          (isListed && life.endedAtUnixMs !== undefined);
        if (!isDue) return [];
        const endedAtUnixMs = isListed
          ? undefined
          : clock.readWallMs() - (nowMs - atMs);
        const key = buildLifeKey(service, softwareVersion);
        return [[key, {
          kind: "life",
          service,
          softwareVersion,
          endedAtUnixMs,
        }]];
      },
    );
  }

  /** Versions that no target has any more, and those that ended too long ago to matter. */
  #listEnded(): DueRecord[] {
    const { history, lives, clock } = this.#options;
    const nowMs = this.#nowMs;
    const nowUnixMs = clock.readWallMs();
    if (!history.isCurrent(nowMs) || !history.hasHistory(END_DELAY_MS, nowMs)) {
      return [];
    }
    return lives.list().flatMap((life): DueRecord[] => {
      const key = buildLifeKey(life.service, life.softwareVersion);
      if (hasEndedBefore(life, 2 * this.#streamLifeMs, nowUnixMs)) {
        return [[key, undefined]];
      }
      const isListed = history.listVersions(life.service, END_DELAY_MS, nowMs)
        .some(({ softwareVersion }) =>
          softwareVersion === life.softwareVersion
        );
      return isListed || life.endedAtUnixMs !== undefined
        ? []
        : [[key, { ...life, endedAtUnixMs: nowUnixMs }]];
    });
  }

  async #listDueCoverage(): Promise<DueRecord[]> {
    const { lives, clock, isFleetRunning } = this.#options;
    if (!this.#isCoverageDue()) return [];
    const { epoch } = lives;
    const isFirst = epoch === 0 && !await isFleetRunning();
    const sinceUnixMs = isFirst ? 0 : clock.readWallMs();
    return [[COVERAGE_KEY, { kind: "coverage", epoch, sinceUnixMs }]];
  }

  /** Reads the records unless they were read at most `maxAgeMs` ago. Returns whether it succeeded. */
  async #refresh(maxAgeMs = MAX_RECORDS_AGE_MS): Promise<boolean> {
    const { lives, clock } = this.#options;
    // The records age also while the machine is suspended.
    const nowBootMs = clock.readBootMs();
    const isRecent = this.#read !== undefined &&
      nowBootMs - this.#read.sentAtBootMs < maxAgeMs;
    if (!isRecent) this.#read = { sentAtBootMs: nowBootMs, done: this.#load() };
    return await this.#read?.done === true && lives.isLoaded;
  }

  async #load(): Promise<boolean> {
    const { topic, lives } = this.#options;
    const read = ++this.#readCount;
    try {
      const { entries, epoch = 0 } = await topic.load();
      // A read that a later one has overtaken may lack records which that one contained.
      const isOvertaken = read < this.#appliedRead && epoch <= lives.epoch;
      if (isOvertaken) return true;
      this.#appliedRead = read;
      lives.applyList(entries, epoch, this.#nowMs);
      return true;
    } catch (error) {
      this.#logFailure("load", error);
      return false;
    }
  }

  #logFailure(action: "load" | "write", error: unknown): void {
    this.#options.log.write("info", "versionsNotKept", {
      action,
      reason: (error as Error).message,
    });
  }
}
