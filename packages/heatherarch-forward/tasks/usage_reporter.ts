/**
 * Reports the usage of the client accounts to the platform, one window after the other. Runs on the VM
 * that holds the duties of the fleet.
 *
 * @module
 */
import type { Clock } from "heatherarch-core";
import type { UsageCounts, UsageLedger } from "heatherarch-usage";
import type { CollectedUsage } from "../fleet/usage_exchange.ts";
import type { EventLog } from "../event_log.ts";
import type { DutyOutcome, UsageReport } from "../ports.ts";
import type { Duty, DutySession } from "./duty_controller.ts";

/** Options of {@linkcode UsageReporter}. */
export interface UsageReporterOptions {
  readonly ledger: UsageLedger;
  readonly clock: Pick<Clock, "readWallMs">;
  /** Collects the counts of a window that ended at a time, milliseconds since the Unix epoch. */
  readonly collect: (window: number, endMs: number) => Promise<CollectedUsage>;
  readonly send: (
    session: DutySession,
    report: UsageReport,
  ) => Promise<DutyOutcome>;
  readonly log: EventLog;
}

/** The duty to report usage. */
export class UsageReporter implements Duty {
  readonly name = "usage";
  readonly #options: UsageReporterOptions;

  constructor(options: UsageReporterOptions) {
    this.#options = options;
  }

  handleRecord(data: unknown): void {
    this.#options.ledger.applyRecord(data);
  }

  async perform(session: DutySession): Promise<DutyOutcome> {
    const { ledger, clock } = this.#options;
    ledger.beginAt(clock.readWallMs());
    await this.#skipLostWindows(session);
    await this.#finalizeNext(session);
    for (const usage of ledger.listUnreported()) {
      if (!session.hasAuthority()) return "done";
      const outcome = await this.#options.send(session, usage);
      if (outcome !== "done") return outcome;
      ledger.recordReport(usage.window);
      this.#logReport(usage.window, usage.counts, session.fencing);
    }
    return "done";
  }

  /** Writes the counts of the next window to the log, whose first record of it is the valid one. */
  async #finalizeNext(session: DutySession): Promise<void> {
    const { ledger, clock, collect, log } = this.#options;
    const window = ledger.findNextWindow(clock.readWallMs());
    if (window === undefined) return;
    const { counts, isComplete, isOver } = await collect(
      window,
      ledger.getEndMs(window),
    );
    if (!isOver) return;
    if (!isComplete) {
      if (!ledger.isUrgent(window, clock.readWallMs())) return;
      log.write("warn", "usageIncomplete", { window });
    }
    if (!session.hasAuthority()) return;
    const { epoch } = session;
    await session.append({ type: "usage", window, counts, epoch });
  }

  /** Writes which windows may have been reported with counts that a restored log has lost. */
  async #skipLostWindows(session: DutySession): Promise<void> {
    const { ledger, clock, log } = this.#options;
    const gap = ledger.buildGapRecord(session.epoch, clock.readWallMs());
    if (gap === undefined || !session.hasAuthority()) return;
    log.write("warn", "usageSkipped", { window: gap.window, epoch: gap.epoch });
    await session.append(gap);
  }

  #logReport(window: number, counts: UsageCounts, fencing: number): void {
    const { log, ledger, clock } = this.#options;
    const values = Object.values(counts);
    log.write("info", "usageReported", {
      window,
      fencing,
      accounts: values.length,
      calls: values.reduce((sum, count) => sum + count, 0),
      endedMsAgo: Math.round(
        clock.readWallMs() - ledger.getEndMs(window),
      ),
    });
  }
}
