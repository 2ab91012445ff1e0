/**
 * Reads the control stream of the availability zone, keeps the lease machine going, and lets
 * the executor act while this VM has authority.
 *
 * @module
 */
import { type Clock, createId, pickRendezvous, sleep } from "heatherarch-core";
import {
  buildControlStreamName,
  CONTROL_FORMAT,
  type ControlRecord,
  type ControlState,
  LeaseStateMachine,
  loadControlSnapshot,
} from "heatherarch-lease";
import {
  judgeSlice,
  type LogPort,
  type LogRecord,
  LogUnavailableError,
  readWholeStream,
} from "heatherarch-log";
import type { Membership } from "heatherarch-mesh";
import type { ProcessSettings } from "heatherarch-settings";
import type { Logger } from "./logger.ts";

/** Options of {@linkcode ControlTask}. */
export interface ControlTaskOptions {
  readonly vmId: string;
  readonly incarnation: string;
  readonly availabilityZone: string;
  readonly log: LogPort;
  readonly clock: Clock;
  readonly membership: Membership;
  readonly settings: ProcessSettings["lease"];
  readonly pollWaitMs: number;
  readonly snapshotEveryRecords: number;
  readonly logger: Logger;
  /** Called after each record that changed the state. */
  readonly onStateChange: (state: ControlState) => void;
}

/** VMs of a zone that read its control stream and may claim its lease. */
const CANDIDATES_PER_ZONE = 3;
const TICK_INTERVAL_MS = 100;
const RETRY_DELAY_MS = 150;
const CANDIDATE_CHECK_INTERVAL_MS = 300;
const READ_PAGE = 500;

/** The control stream of one availability zone, as one VM sees it. */
export class ControlTask {
  readonly machine: LeaseStateMachine;
  readonly #options: ControlTaskOptions;
  readonly #stream: string;
  #readSentAtMs = -Infinity;
  #snapshotOffset = -1;
  #timer: NodeJS.Timeout | undefined;
  #hadAuthority = false;
  #stopped = false;
  #waiters = new Set<() => void>();

  constructor(options: ControlTaskOptions) {
    this.#options = options;
    this.#stream = buildControlStreamName(options.availabilityZone);
    this.machine = new LeaseStateMachine({
      vm: options.vmId,
      incarnation: options.incarnation,
      durationMs: options.settings.durationMs,
      driftMs: options.settings.driftMs,
      renewMs: options.settings.renewMs,
      createId: () => createId("ctl"),
    });
  }

  get state(): ControlState {
    return this.machine.state;
  }

  /** Whether an order may be given now. */
  hasAuthority(): boolean {
    return this.machine.hasAuthority(this.#options.clock.readMonotonicMs());
  }

  /** Reads and ticks until stopped. */
  async run(): Promise<void> {
    this.#timer = setInterval(() => this.#tick(), TICK_INTERVAL_MS);
    while (!this.#stopped) {
      if (!this.isCandidate()) {
        await sleep(CANDIDATE_CHECK_INTERVAL_MS);
        continue;
      }
      try {
        await this.#readPage();
      } catch (error) {
        if (!(error instanceof LogUnavailableError)) throw error;
        await sleep(RETRY_DELAY_MS);
      }
    }
  }

  /** Gives the lease up and stops. The orders in progress must have been concluded. */
  async resign(): Promise<void> {
    const actions = this.machine.resign();
    for (const action of actions) {
      await this.#options.log.append(this.#stream, action.record).catch(() =>
        undefined
      );
    }
    this.stop();
  }

  stop(): void {
    this.#stopped = true;
    clearInterval(this.#timer);
  }

  /** Whether a VM reads the control stream, by default this one; a holder always does. */
  isCandidate(vmId = this.#options.vmId): boolean {
    const { membership, availabilityZone } = this.#options;
    if (vmId === this.#options.vmId && this.machine.isHolder) return true;
    const live = membership.listLive(availabilityZone);
    return pickRendezvous("lease", live, CANDIDATES_PER_ZONE).includes(vmId);
  }

  /**
   * Appends a record and waits until this VM has read it; false where that took too long.
   * Nothing follows from an append that has not been read.
   */
  async appendAndRead(
    record: ControlRecord,
    isRead: (state: ControlState) => boolean,
    timeoutMs: number,
  ): Promise<boolean> {
    const until = this.#options.clock.readMonotonicMs() + timeoutMs;
    let nextAppendMs = -Infinity;
    while (!isRead(this.state)) {
      const nowMs = this.#options.clock.readMonotonicMs();
      if (nowMs >= until || this.#stopped) return false;
      if (nowMs >= nextAppendMs) {
        // Repeated with the same id: the fold drops the second one.
        nextAppendMs = nowMs + timeoutMs / 3;
        void this.#options.log.append(this.#stream, record).catch(() =>
          undefined
        );
      }
      await this.#waitForState();
    }
    return true;
  }

  async #readPage(): Promise<void> {
    const from = this.state.offset + 1;
    const sentAtMs = this.#options.clock.readMonotonicMs();
    const slice = await this.#options.log.read(this.#stream, from, {
      maxRecords: READ_PAGE,
      waitMs: Math.min(
        this.#options.pollWaitMs,
        this.#options.settings.renewMs,
      ),
    });
    const verdict = judgeSlice(from, slice);
    if (verdict.kind === "gap") {
      await this.#recoverFromGap();
      return;
    }
    for (const record of verdict.records) this.#applyRecord(record);
    if (verdict.current) this.#readSentAtMs = sentAtMs;
    await this.#writeSnapshotWhenDue();
  }

  async #recoverFromGap(): Promise<void> {
    const records = await readWholeStream(this.#options.log, this.#stream);
    const state = loadControlSnapshot(records);
    if (state === undefined) {
      throw new LogUnavailableError("no snapshot of the control stream");
    }
    this.machine.loadState(state, this.#options.clock.readMonotonicMs());
    this.#snapshotOffset = state.offset;
    this.#notifyState();
  }

  #applyRecord(record: LogRecord): void {
    if (record.offset !== this.state.offset + 1) return;
    const before = this.state;
    this.machine.applyRecord(record, this.#options.clock.readMonotonicMs());
    const isSnapshot =
      (record.data as { type?: string } | null)?.type === "snapshot";
    if (isSnapshot) this.#snapshotOffset = record.offset;
    const { claim } = this.state;
    if (claim?.claimOffset !== before.claim?.claimOffset) {
      this.#options.logger.info("lease claimed", {
        holder: claim?.vm,
        fencing: claim?.claimOffset,
      });
    }
    this.#notifyState();
  }

  #notifyState(): void {
    this.#options.onStateChange(this.state);
    for (const wake of [...this.#waiters]) wake();
  }

  #waitForState(): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        clearTimeout(timer);
        this.#waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, TICK_INTERVAL_MS);
      this.#waiters.add(wake);
    });
  }

  #tick(): void {
    const nowMs = this.#options.clock.readMonotonicMs();
    if (this.isCandidate()) {
      for (const action of this.machine.tick(nowMs, this.#readSentAtMs)) {
        void this.#options.log.append(this.#stream, action.record).catch(() =>
          undefined
        );
      }
    }
    const has = this.machine.hasAuthority(nowMs);
    if (has === this.#hadAuthority) return;
    this.#hadAuthority = has;
    this.#options.logger.info(has ? "authority gained" : "authority lost", {
      fencing: this.machine.fencing,
    });
  }

  async #writeSnapshotWhenDue(): Promise<void> {
    if (!this.machine.isHolder) return;
    if (
      this.state.offset - this.#snapshotOffset <
        this.#options.snapshotEveryRecords
    ) return;
    this.#snapshotOffset = this.state.offset;
    await this.#options.log.append(this.#stream, {
      type: "snapshot",
      format: CONTROL_FORMAT,
      id: createId("snap"),
      coversOffset: this.state.offset,
      state: this.state,
    });
  }
}
