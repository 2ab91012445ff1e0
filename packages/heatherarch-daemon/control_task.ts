/**
 * Reads the control stream of the availability zone and drives the lease state machine. The executor
 * may act while this VM has authority.
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
  classifySlice,
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

/** Number of VMs of a zone that read its control stream and may claim its lease. */
const CANDIDATES_PER_ZONE = 3;
const TICK_INTERVAL_MS = 100;
const RETRY_DELAY_MS = 150;
const CANDIDATE_CHECK_INTERVAL_MS = 300;
/** Maximum number of records in one read. */
const READ_PAGE_SIZE = 500;

/** The control stream of one availability zone, as one VM sees it. */
export class ControlTask {
  readonly machine: LeaseStateMachine;
  readonly #options: ControlTaskOptions;
  readonly #stream: string;
  /** Monotonic time at which the last read that reached the end of the stream was sent. */
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

  /** Whether an order may be sent now. */
  hasAuthority(): boolean {
    return this.machine.hasAuthority(this.#options.clock.readMonotonicMs());
  }

  /** Reads the stream and drives the state machine until stopped. */
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

  /** Releases the lease and stops. All orders must have been concluded before. */
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

  /**
   * Whether a VM, by default this one, reads the control stream. This VM always does while it holds
   * the lease.
   */
  isCandidate(vmId = this.#options.vmId): boolean {
    const { membership, availabilityZone } = this.#options;
    if (vmId === this.#options.vmId && this.machine.isHolder) return true;
    const live = membership.listLive(availabilityZone);
    return pickRendezvous("lease", live, CANDIDATES_PER_ZONE).includes(vmId);
  }

  /**
   * Appends a record and waits until this VM has read it. Returns false after the timeout. The
   * caller must not act on an append that has not been read.
   */
  async appendAndRead(
    record: ControlRecord,
    isRead: (state: ControlState) => boolean,
    timeoutMs: number,
  ): Promise<boolean> {
    const deadlineMs = this.#options.clock.readMonotonicMs() + timeoutMs;
    let nextAppendMs = -Infinity;
    while (!isRead(this.state)) {
      const nowMs = this.#options.clock.readMonotonicMs();
      if (nowMs >= deadlineMs || this.#stopped) return false;
      if (nowMs >= nextAppendMs) {
        // A retry has the same id, so the fold drops a duplicate.
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
      maxRecords: READ_PAGE_SIZE,
      waitMs: Math.min(
        this.#options.pollWaitMs,
        this.#options.settings.renewMs,
      ),
    });
    const verdict = classifySlice(from, slice);
    if (verdict.kind === "gap") {
      await this.#recoverFromGap();
      return;
    }
    for (const record of verdict.records) this.#applyRecord(record);
    if (verdict.isCurrent) this.#readSentAtMs = sentAtMs;
    await this.#writeSnapshotWhenDue();
  }

  async #recoverFromGap(): Promise<void> {
    const records = await readWholeStream(this.#options.log, this.#stream);
    const state = loadControlSnapshot(records);
    if (state === undefined) {
      throw new LogUnavailableError(
        "the control stream has a gap and no snapshot",
      );
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

  /** Waits for the next state, at most one tick. */
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
    const hasAuthority = this.machine.hasAuthority(nowMs);
    if (hasAuthority === this.#hadAuthority) return;
    this.#hadAuthority = hasAuthority;
    this.#options.logger.info(
      hasAuthority ? "authority gained" : "authority lost",
      {
        fencing: this.machine.fencing,
      },
    );
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
