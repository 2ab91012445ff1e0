/**
 * Performs the duties of the fleet, which one VM at a time has: reports to the platform and orders of
 * targets. The holder keeps its lease as long as it can perform the duties.
 *
 * @module
 */
import {
  type Clock,
  computeRendezvousWeight,
  createId,
  sleep,
} from "heatherarch-core";
import { DutyCandidacy, LeaseHolder } from "heatherarch-duties";
import type { LogPort } from "heatherarch-log";
import type { EventLog } from "../event_log.ts";
import type { DutyOutcome } from "../ports.ts";
import { logLeaseChange } from "./lease_log.ts";

/** The right to act for the fleet, as it is now. */
export interface DutySession {
  /** Fencing token of what is done. */
  readonly fencing: number;
  /** Epoch of the log, which rises when it comes back from a copy. */
  readonly epoch: number;
  /** Whether this VM may act now. To be checked in the event loop turn that sends a request. */
  hasAuthority(): boolean;
  /** Reads the lease and returns whether this VM still has it. */
  confirmAuthority(): Promise<boolean>;
  /** Appends a record to the stream of the duties, and reads the stream. */
  append(data: unknown): Promise<void>;
}

/** Something that the holder of the lease does again and again. */
export interface Duty {
  readonly name: string;
  /** Handles a record of the stream, on all VMs that read it. */
  handleRecord(data: unknown): void;
  /** Does what is due. Throws if the platform does not respond. */
  perform(session: DutySession): Promise<DutyOutcome>;
}

/** Options of {@linkcode DutyController}. */
export interface DutyControllerOptions {
  readonly vmId: string;
  readonly incarnation: string;
  readonly log: LogPort;
  readonly leaseMs: number;
  /** Whether the platform refuses a request with a lower fencing token than before. */
  readonly isFencingEnforced: boolean;
  readonly clock: Clock;
  readonly events: EventLog;
  readonly duties: readonly Duty[];
  /** Lists the ids of the live VMs that may have the duties, this one included. */
  readonly listCandidates: () => readonly string[];
  /** Whether this VM may have the duties: it is a coordinator and reads the store. */
  readonly isCandidate: () => boolean;
  /** Called when this VM has begun or ended to hold the duties. */
  readonly onHolding?: (isHolding: boolean) => void;
}

const DUTY_STREAM = "control.duties";
/** Pause between two rounds, milliseconds. */
const ROUND_MS = 250;
/** Time from the start of the process in which the other VMs become known, milliseconds. */
const STARTUP_MS = 3000;
/** Interval between the holder's reads of the lease as a share of its duration. */
const STEP_SHARE = 0.3;
/**
 * Time for which a request without a response may still be carried out, milliseconds. Where fencing
 * tokens are not checked, a new holder lets it pass.
 */
const LATE_REQUEST_MS = 5000;

/** The task that performs the duties of one VM while it holds them. */
export class DutyController {
  readonly #options: DutyControllerOptions;
  readonly #lease: LeaseHolder;
  readonly #candidacy: DutyCandidacy;
  readonly #startedAtMs: number;
  #nextReadMs = 0;
  /** Monotonic time at which this VM's authority began; undefined without authority. */
  #heldSinceMs: number | undefined;
  /** Monotonic time of the first failure since a duty was last performed, by duty. */
  readonly #failingSinceMs = new Map<Duty, number>();
  #isStoreLost = false;
  #stopped = false;

  constructor(options: DutyControllerOptions) {
    this.#options = options;
    this.#startedAtMs = options.clock.readMonotonicMs();
    this.#candidacy = new DutyCandidacy({
      leaseMs: options.leaseMs,
      startedAtMs: this.#startedAtMs,
    });
    this.#lease = new LeaseHolder({
      ...options,
      stream: DUTY_STREAM,
      waitsForPredecessor: !options.isFencingEnforced,
      createId: () => createId("duty"),
      onChange: (change) => logLeaseChange(options.events, DUTY_STREAM, change),
      onRecord: (data) => {
        for (const duty of options.duties) duty.handleRecord(data);
      },
    });
  }

  /** The holder of the duties as far as this VM knows, and its fencing token. */
  get holder(): { vm: string | undefined; fencing: number } {
    return { vm: this.#lease.holder, fencing: this.#lease.fencing };
  }

  start(): void {
    void this.#run();
  }

  /** Ends the task and hands the duties over. */
  async stop(): Promise<void> {
    this.#stopped = true;
    try {
      await this.#resign("stopping");
    } catch (error) {
      this.#handleStoreError(error);
    }
  }

  async #run(): Promise<void> {
    while (!this.#stopped) {
      try {
        await this.#runRound();
        this.#isStoreLost = false;
      } catch (error) {
        this.#handleStoreError(error);
      }
      await sleep(ROUND_MS);
    }
  }

  async #runRound(): Promise<void> {
    if (this.#nowMs - this.#startedAtMs < STARTUP_MS) return;
    if (this.#lease.isSeeking) return await this.#hold();
    // A read showed that the store came back from a copy, or a suspension of the machine.
    if (this.#heldSinceMs !== undefined) await this.#resign("lease lost");
    await this.#watch();
  }

  /** Follows the lease of another VM, and seeks it when it is this VM's turn. */
  async #watch(): Promise<void> {
    const rank = this.#computeRank();
    if (this.#nowMs < this.#nextReadMs) return;
    this.#nextReadMs = this.#nowMs + this.#candidacy.getPollMs(rank);
    if (rank === undefined) return;
    await this.#lease.read();
    const { isVacant, hasHistory, lastSignOffset } = this.#lease;
    const view = { rank, isVacant, hasHistory, lastSignOffset };
    if (!this.#candidacy.shouldSeek(view, this.#nowMs)) return;
    this.#lease.seek();
    this.#nextReadMs = 0;
  }

  async #hold(): Promise<void> {
    if (!this.#options.isCandidate() && !this.#lease.isHolder) {
      return await this.#resign("no candidate any more");
    }
    await this.#renewIfDue();
    const hasAuthority = this.#lease.hasAuthority();
    if (!hasAuthority && this.#heldSinceMs !== undefined) {
      return await this.#resign("lease lost");
    }
    // Another VM was faster.
    if (this.#lease.holder !== undefined && !this.#lease.isHolder) {
      return await this.#resign("claimed by another VM");
    }
    if (!hasAuthority) return;
    if (this.#heldSinceMs === undefined) this.#beginHolding();
    if (this.#isSettled()) await this.#performDuties();
  }

  async #renewIfDue(): Promise<void> {
    if (this.#nowMs < this.#nextReadMs) return;
    this.#nextReadMs = this.#nowMs + this.#options.leaseMs * STEP_SHARE;
    await this.#lease.step();
  }

  #beginHolding(): void {
    this.#heldSinceMs = this.#nowMs;
    this.#failingSinceMs.clear();
    this.#options.onHolding?.(true);
  }

  #isSettled(): boolean {
    const { isFencingEnforced } = this.#options;
    const heldMs = this.#nowMs - (this.#heldSinceMs ?? this.#nowMs);
    return isFencingEnforced || heldMs >= LATE_REQUEST_MS;
  }

  async #performDuties(): Promise<void> {
    for (const duty of this.#options.duties) {
      // The duty before may have waited for the platform.
      await this.#renewIfDue();
      if (!this.#lease.hasAuthority()) return;
      if (!await this.#perform(duty)) return;
    }
  }

  /** Performs one duty. Returns whether this VM still holds the duties. */
  async #perform(duty: Duty): Promise<boolean> {
    try {
      const outcome = await duty.perform(this.#buildSession());
      this.#failingSinceMs.delete(duty);
      if (outcome === "done") return true;
      // A higher fencing token was seen, so another VM has the duties.
      await this.#resign("fenced");
      return false;
    } catch (error) {
      return await this.#handleFailure(duty, error);
    }
  }

  /** Hands the duties over if the platform has not responded to this VM for long. */
  async #handleFailure(duty: Duty, error: unknown): Promise<boolean> {
    const { events, leaseMs } = this.#options;
    const nowMs = this.#nowMs;
    const failingSinceMs = this.#failingSinceMs.get(duty) ?? nowMs;
    if (failingSinceMs === nowMs) {
      this.#failingSinceMs.set(duty, nowMs);
      events.write("warn", "dutyFailed", {
        duty: duty.name,
        reason: (error as Error).message,
      });
    }
    if (nowMs - failingSinceMs < leaseMs) return true;
    await this.#resign("the platform does not respond");
    return false;
  }

  #buildSession(): DutySession {
    return {
      fencing: this.#lease.fencing,
      epoch: this.#lease.epoch,
      hasAuthority: () => this.#lease.hasAuthority(),
      confirmAuthority: async () => {
        await this.#lease.read();
        return this.#lease.hasAuthority();
      },
      append: async (data) => {
        await this.#lease.append(data);
        await this.#lease.read();
      },
    };
  }

  async #resign(reason: string): Promise<void> {
    if (this.#heldSinceMs !== undefined) {
      this.#heldSinceMs = undefined;
      this.#candidacy.recordEnd(this.#nowMs);
      this.#options.onHolding?.(false);
    }
    await this.#lease.resign(reason);
  }

  /** Position of this VM among the candidates; undefined if it is none. */
  #computeRank(): number | undefined {
    const { vmId, isCandidate, listCandidates } = this.#options;
    if (!isCandidate()) return undefined;
    const ownWeight = computeRendezvousWeight(DUTY_STREAM, vmId);
    return listCandidates().filter((id) =>
      id !== vmId && computeRendezvousWeight(DUTY_STREAM, id) > ownWeight
    ).length;
  }

  #handleStoreError(error: unknown): void {
    if (this.#isStoreLost) return;
    this.#isStoreLost = true;
    this.#options.events.write("warn", "dutyStreamLost", {
      reason: (error as Error).message,
    });
  }

  get #nowMs(): number {
    return this.#options.clock.readMonotonicMs();
  }
}
