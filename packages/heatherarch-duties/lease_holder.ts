/**
 * Holds a lease in the platform's log, for tasks that only one VM may perform at a time.
 *
 * @module
 */
import type { Clock } from "heatherarch-core";
import {
  buildTruncatedState,
  type ControlRecord,
  LeaseStateMachine,
} from "heatherarch-lease";
import { classifySlice, type LogPort, type LogSlice } from "heatherarch-log";

/** What happened to a lease; see {@linkcode LeaseHolderOptions.onChange}. */
export type LeaseChange =
  | { readonly kind: "sought"; readonly offset: number }
  | { readonly kind: "taken"; readonly fencing: number }
  /** The clocks diverged: the machine was suspended, so the lease may have expired unnoticed. */
  | { readonly kind: "dropped"; readonly divergenceMs: number }
  /** The log came back from a copy, which may lack claims and renewals. */
  | { readonly kind: "restored"; readonly epoch: number | undefined }
  | {
    readonly kind: "released";
    readonly reason: string;
    readonly fencing: number;
  };

/** Options of {@linkcode LeaseHolder}. */
export interface LeaseHolderOptions {
  /** Stream of the log that holds the lease. */
  readonly stream: string;
  readonly vmId: string;
  /** Id of this process. */
  readonly incarnation: string;
  readonly log: LogPort;
  readonly leaseMs: number;
  /** See `LeaseOptions`. */
  readonly waitsForPredecessor?: boolean;
  readonly clock: Clock;
  readonly createId: () => string;
  readonly onChange: (change: LeaseChange) => void;
  /** Called with each record of the stream, those of the lease included. */
  readonly onRecord?: (data: unknown) => void;
  /** Guards that the proofs disable to show that each is needed. Empty in production. */
  readonly disabledGuards?: ReadonlySet<RestorationGuard>;
}

/** Safety rules for a log that comes back from a copy. */
export const RESTORATION_GUARDS = [
  "waitAfterRestoration",
  "epochInToken",
] as const;
/** Name of a guard. */
export type RestorationGuard = typeof RESTORATION_GUARDS[number];

/** Bound on the drift between monotonic clocks within one lease, milliseconds. */
const DRIFT_MS = 200;
/** Monotonic and boot clocks that diverge by more than this show a suspended machine. */
const MAX_CLOCK_DIVERGENCE_MS = 150;
/** Offsets are given out again in another epoch, so fencing tokens count epochs in steps of this. */
const TOKENS_PER_EPOCH = 2 ** 32;
/** Renewals within the duration of a lease. */
const RENEWALS_PER_LEASE = 3;

/** The lease from the point of view of one VM. */
export class LeaseHolder {
  readonly #options: LeaseHolderOptions;
  #machine: LeaseStateMachine;
  #readAtMs = -Infinity;
  /** Epoch of the log to which the state belongs; undefined before the first read. */
  #epoch: number | undefined;
  #hasRead = false;
  /** Monotonic time before which a holder that the restored log doesn't name may have authority. */
  #claimableFromMs = -Infinity;
  #isSeeking = false;
  #hadAuthority = false;
  #sessions = 0;
  /** Boot time minus monotonic time when this VM began to seek the lease, milliseconds. */
  #clockOffsetMs = 0;

  constructor(options: LeaseHolderOptions) {
    this.#options = options;
    this.#machine = this.#createMachine();
  }

  /** Whether this VM seeks or holds the lease. */
  get isSeeking(): boolean {
    return this.#isSeeking;
  }

  /** Whether the log names this VM as the holder. */
  get isHolder(): boolean {
    return this.#isSeeking && this.#machine.isHolder;
  }

  /** Whether the log, as read last, shows that nobody holds the lease. */
  get isVacant(): boolean {
    return this.#machine.isVacant;
  }

  /** Id of the VM that holds the lease according to the log; undefined if none is known. */
  get holder(): string | undefined {
    const { claim } = this.#machine.state;
    return claim === null || claim.released ? undefined : claim.vm;
  }

  /** Offset of the newest claim or renewal that was read; -1 before the first. */
  get lastSignOffset(): number {
    const { claim, unknownSignOffset = -1 } = this.#machine.state;
    return claim?.lastSignOffset ?? unknownSignOffset;
  }

  /** Whether any holder has ever been seen in the log. */
  get hasHistory(): boolean {
    return this.#machine.state.offset >= 0;
  }

  /** Epoch of the log as of the last read; 0 if it names none. */
  get epoch(): number {
    return this.#epoch ?? 0;
  }

  /** Fencing token of what is done under the lease; higher in each later epoch of the log. */
  get fencing(): number {
    const { fencing } = this.#machine;
    if (fencing < 0 || this.#isDisabled("epochInToken")) return fencing;
    return this.epoch * TOKENS_PER_EPOCH + fencing;
  }

  /** Monotonic time at which the stream was last read to its end; -Infinity before that. */
  get readAtMs(): number {
    return this.#readAtMs;
  }

  /** Starts to seek the lease, as a claimant of its own. */
  seek(): void {
    if (this.#isSeeking) return;
    this.#isSeeking = true;
    this.#clockOffsetMs = this.#computeClockOffsetMs();
    this.#options.onChange({
      kind: "sought",
      offset: this.#machine.state.offset,
    });
  }

  /** Reads the stream, claims or renews the lease if this VM seeks it, and reads the result. */
  async step(): Promise<void> {
    // A holder learns from the read of its renewal whether another VM has claimed the lease.
    if (!this.isHolder) await this.read();
    if (!this.#isSeeking || this.#nowMs < this.#claimableFromMs) return;
    const actions = this.#machine.tick(this.#nowMs, this.#readAtMs);
    for (const { record } of actions) await this.#append(record);
    if (actions.length > 0 || this.isHolder) await this.read();
  }

  /** Appends a record that is no part of the lease. */
  async append(data: unknown): Promise<void> {
    await this.#options.log.append(this.#options.stream, data);
  }

  /** Reads the stream to its end. */
  async read(): Promise<void> {
    const { log, stream } = this.#options;
    while (true) {
      const machine = this.#machine;
      const sentAtMs = this.#nowMs;
      const from = machine.state.offset + 1;
      const slice = await log.read(stream, from);
      if (machine !== this.#machine) return;
      if (this.#isRestored(slice, from)) {
        this.#handleRestoration(slice);
        continue;
      }
      const result = classifySlice(from, slice);
      if (result.kind === "gap") {
        machine.loadState(buildTruncatedState(result.first - 1), this.#nowMs);
        continue;
      }
      for (const record of result.records) {
        machine.applyRecord(record, this.#nowMs);
        this.#options.onRecord?.(record.data);
      }
      if (!result.isCurrent) continue;
      this.#readAtMs = sentAtMs;
      this.#notifyTaken();
      return;
    }
  }

  /**
   * Whether this VM may act under the lease now. To be checked in the event loop turn that sends the
   * request.
   */
  hasAuthority(): boolean {
    if (!this.#isSeeking) return false;
    const divergenceMs = Math.abs(
      this.#computeClockOffsetMs() - this.#clockOffsetMs,
    );
    if (divergenceMs > MAX_CLOCK_DIVERGENCE_MS) {
      this.#endSession();
      this.#options.onChange({ kind: "dropped", divergenceMs });
      return false;
    }
    return this.#machine.hasAuthority(this.#nowMs);
  }

  /** Releases the lease and stops seeking it. */
  async resign(reason: string): Promise<void> {
    if (!this.#isSeeking) return;
    const { fencing } = this.#machine;
    const actions = this.#machine.resign();
    this.#endSession();
    this.#options.onChange({ kind: "released", reason, fencing });
    for (const { record } of actions) await this.#append(record);
  }

  /** Whether a slice is of a log that came back from a copy since the last read. */
  #isRestored({ epoch, next }: LogSlice, from: number): boolean {
    if (!this.#hasRead) this.#handleFirstRead(epoch);
    return epoch !== this.#epoch || from > next;
  }

  /** The log may have come back from a copy right before this VM began to read it. */
  #handleFirstRead(epoch: number | undefined): void {
    this.#hasRead = true;
    this.#epoch = epoch;
    if (epoch !== undefined && epoch > 0) this.#delayClaims();
  }

  #delayClaims(): void {
    if (this.#isDisabled("waitAfterRestoration")) return;
    this.#claimableFromMs = this.#nowMs + this.#options.leaseMs + DRIFT_MS;
  }

  /**
   * Begins to read the restored log. The copy may lack the claim or the renewals of a holder, which
   * has authority until its lease has expired or it reads the log itself.
   */
  #handleRestoration({ epoch }: LogSlice): void {
    this.#epoch = epoch;
    this.#delayClaims();
    this.#isSeeking = false;
    this.#hadAuthority = false;
    this.#machine = this.#createMachine();
    this.#options.onChange({ kind: "restored", epoch });
  }

  #isDisabled(guard: RestorationGuard): boolean {
    return this.#options.disabledGuards?.has(guard) === true;
  }

  /** Begins a new claimant. To it, an earlier claim of this VM is that of another holder. */
  #endSession(): void {
    this.#isSeeking = false;
    this.#hadAuthority = false;
    const { state } = this.#machine;
    this.#machine = this.#createMachine();
    this.#machine.loadState(state, this.#nowMs);
  }

  #notifyTaken(): void {
    const hasAuthority = this.#isSeeking &&
      this.#machine.hasAuthority(this.#nowMs);
    if (hasAuthority && !this.#hadAuthority) {
      this.#options.onChange({ kind: "taken", fencing: this.fencing });
    }
    this.#hadAuthority = hasAuthority;
  }

  #createMachine(): LeaseStateMachine {
    const { vmId, incarnation, leaseMs, createId, waitsForPredecessor } =
      this.#options;
    return new LeaseStateMachine({
      vm: vmId,
      incarnation: `${incarnation}.${this.#sessions++}`,
      durationMs: leaseMs,
      driftMs: DRIFT_MS,
      renewMs: leaseMs / RENEWALS_PER_LEASE,
      waitsForPredecessor,
      createId,
    });
  }

  async #append(record: ControlRecord): Promise<void> {
    await this.#options.log.append(this.#options.stream, record);
  }

  #computeClockOffsetMs(): number {
    const { clock } = this.#options;
    return clock.readBootMs() - clock.readMonotonicMs();
  }

  get #nowMs(): number {
    return this.#options.clock.readMonotonicMs();
  }
}
