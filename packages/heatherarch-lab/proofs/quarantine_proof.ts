/**
 * Proof of the request quarantine. VMs send a poison request, which crashes every target, beside a
 * popular request that succeeds. The links between VMs delay and reorder messages and have outages.
 *
 * @module
 */
import fc from "fast-check";
import {
  type CrashReport,
  QUARANTINE_GUARDS,
  type QuarantineGuard,
  RequestQuarantine,
} from "heatherarch-quarantine";
import { assertProperty, buildGuardSet, type Proof } from "./proof.ts";

const VMS = 3;
const TARGET_COUNT = 4;
const STEP_MS = 100;
const MAX_CRASHES = 3;
/** Longest delay of a message. */
const MAX_DELAY_STEPS = 3;
/** Time within which all VMs know of a crash. */
const PROPAGATION_STEPS = 10;
/** Time from the crash of a target until its next incarnation is available. */
const RESTART_STEPS = 5;
const POISON = "poison";
const POPULAR = "popular";
const ACCOUNT = "account";

/** A request that a VM receives, and the target that the VM selects. */
interface ScheduledRequest {
  readonly step: number;
  readonly vm: number;
  readonly request: typeof POISON | typeof POPULAR;
  readonly targetIndex: number;
  /** Duration of the run. */
  readonly durationSteps: number;
}

/** An outage of a link in one direction. */
interface LinkOutage {
  readonly from: number;
  readonly to: number;
  readonly atStep: number;
  readonly steps: number;
}

interface Schedule {
  readonly requests: readonly ScheduledRequest[];
  readonly linkOutages: readonly LinkOutage[];
  readonly delays: readonly number[];
}

interface ActiveRun {
  readonly vm: number;
  readonly request: string;
  readonly targetIndex: number;
  readonly endStep: number;
  readonly endTrial: () => void;
}

interface PendingMessage {
  readonly to: number;
  readonly reports: readonly CrashReport[];
  readonly sentStep: number;
  readonly step: number;
}

/** The VMs, their links and the targets, simulated in steps of equal length. */
class QuarantineSimulation {
  readonly #schedule: Schedule;
  readonly #vms: RequestQuarantine[];
  readonly #cursors = new Map<string, number>();
  readonly #incarnations = Array.from({ length: TARGET_COUNT }, () => 1);
  /** Step from which on a target is available. */
  readonly #availableFromStep = Array.from({ length: TARGET_COUNT }, () => 0);
  readonly #crashSteps: number[] = [];
  #runs: ActiveRun[] = [];
  #messages: PendingMessage[] = [];
  #step = 0;
  #lateArrivalCount = 0;
  #delayCount = 0;
  /** VMs at which a run of the popular request succeeded. */
  readonly #vmsWithSuccess = new Set<number>();
  #isHealed = false;
  /** Whether a run of the popular request succeeded after its latest loss, if any. */
  #hasPopularSucceeded = true;

  constructor(schedule: Schedule, disabledGuard: string | undefined) {
    this.#schedule = schedule;
    this.#vms = Array.from({ length: VMS }, () =>
      new RequestQuarantine({
        maxCrashes: MAX_CRASHES,
        holdMs: 1e9,
        disabledGuards: buildGuardSet<QuarantineGuard>(disabledGuard),
      }));
  }

  run(): void {
    const lastStep = Math.max(
      0,
      ...this.#schedule.requests.map(({ step }) => step),
    );
    for (; this.#step <= lastStep + PROPAGATION_STEPS; this.#step++) {
      this.#completeRuns();
      this.#exchangeReports();
      for (const scheduled of this.#schedule.requests) {
        if (scheduled.step === this.#step) this.#send(scheduled);
      }
    }
    this.#deliverPendingMessages();
    this.#checkConvergence();
  }

  #send(
    { vm, request, targetIndex, durationSteps }: ScheduledRequest,
  ): void {
    if (this.#step < this.#availableFromStep[targetIndex]) return;
    const quarantine = this.#vms[vm];
    const admission = quarantine.admit(request, this.#nowMs);
    if (admission.kind === "quarantined" || admission.kind === "onTrial") {
      return;
    }
    const isTrial = admission.kind === "trial";
    const activeCopies = this.#runs.filter((run) =>
      run.vm === vm && run.request === request
    );
    assertProperty(
      !isTrial || !activeCopies.some((run) => run.endTrial !== endWithoutTrial),
      "copies of a request on trial run one at a time",
    );
    if (request === POISON) this.#recordPoisonArrival(vm);
    const endTrial = isTrial ? admission.end : endWithoutTrial;
    const endStep = this.#step + durationSteps;
    this.#runs.push({ vm, request, targetIndex, endStep, endTrial });
  }

  /**
   * Counts poison requests that run after the crash reports should have reached all VMs. VMs with a
   * recent link outage are exempt, since the reports may not have reached them.
   */
  #recordPoisonArrival(vm: number): void {
    const thirdCrashStep = this.#crashSteps[MAX_CRASHES - 1];
    if (
      thirdCrashStep === undefined ||
      this.#step <= thirdCrashStep + PROPAGATION_STEPS
    ) return;
    if (this.#wasRecentlyDisconnected(vm, thirdCrashStep)) return;
    this.#lateArrivalCount++;
    assertProperty(
      this.#lateArrivalCount <= MAX_CRASHES,
      "a request that crashed three targets runs at most three more times",
    );
  }

  #wasRecentlyDisconnected(vm: number, step: number): boolean {
    return this.#schedule.linkOutages.some((outage) =>
      (outage.from === vm || outage.to === vm) && outage.atStep <= this.#step &&
      outage.atStep + outage.steps >= step - PROPAGATION_STEPS
    );
  }

  #completeRuns(): void {
    const ending = this.#runs.filter(({ endStep }) => endStep <= this.#step);
    for (const run of ending) {
      if (!this.#runs.includes(run)) continue;
      if (run.request === POISON) this.#crashTarget(run.targetIndex);
      else this.#completeRun(run);
    }
  }

  /** Crashes a target. All requests that run there are lost. */
  #crashTarget(targetIndex: number): void {
    const incarnation = `${targetIndex}/${this.#incarnations[targetIndex]++}`;
    this.#availableFromStep[targetIndex] = this.#step + RESTART_STEPS;
    this.#crashSteps.push(this.#step);
    const lostRuns = this.#runs.filter((run) =>
      run.targetIndex === targetIndex
    );
    this.#runs = this.#runs.filter((run) => run.targetIndex !== targetIndex);
    for (const { vm, request, endTrial } of lostRuns) {
      endTrial();
      this.#vms[vm].recordCrash(request, ACCOUNT, incarnation, this.#nowMs);
      if (request === POPULAR) this.#hasPopularSucceeded = false;
      assertProperty(
        request === POISON || !this.#vmsWithSuccess.has(vm) ||
          this.#vms[vm].countCrashes(POPULAR) === 0,
        "crashes do not add up for a request that succeeds",
      );
    }
    const crashCount = new Set(this.#crashSteps).size;
    for (const quarantine of this.#vms) {
      assertProperty(
        quarantine.countCrashes(POISON) <=
          Math.max(crashCount, this.#countCrashedIncarnations()),
        "the crash of an incarnation counts once",
      );
    }
  }

  #countCrashedIncarnations(): number {
    return this.#incarnations.reduce(
      (sum, incarnation) => sum + incarnation - 1,
      0,
    );
  }

  #completeRun(run: ActiveRun): void {
    this.#runs = this.#runs.filter((other) => other !== run);
    run.endTrial();
    this.#vms[run.vm].markSuccess(run.request, this.#nowMs);
    assertProperty(
      this.#vms[run.vm].countCrashes(run.request) === 0,
      "a success clears the crashes of a request",
    );
    this.#vmsWithSuccess.add(run.vm);
    this.#hasPopularSucceeded = true;
  }

  /** Each VM sends each other VM its new crash reports, or all of them after a link outage. */
  #exchangeReports(): void {
    for (let from = 0; from < VMS; from++) {
      for (let to = 0; to < VMS; to++) {
        if (from !== to) this.#sendReports(from, to);
      }
    }
    const due = this.#messages.filter(({ step }) => step <= this.#step);
    this.#messages = this.#messages.filter(({ step }) => step > this.#step);
    for (const { to, reports, sentStep } of due) {
      this.#vms[to].mergePeerReports(reports, sentStep * STEP_MS);
    }
  }

  #sendReports(from: number, to: number): void {
    const link = `${from}-${to}`;
    const isDown = !this.#isHealed &&
      this.#schedule.linkOutages.some((outage) =>
        outage.from === from && outage.to === to &&
        this.#step >= outage.atStep &&
        this.#step < outage.atStep + outage.steps
      );
    if (isDown) {
      this.#cursors.delete(link);
      return;
    }
    const page = this.#vms[from].listReports(
      this.#cursors.get(link),
      this.#nowMs,
    );
    this.#cursors.set(link, page.cursor);
    if (page.reports.length === 0) return;
    const { delays } = this.#schedule;
    const delay = delays[this.#delayCount++ % delays.length];
    const sentStep = this.#step;
    const step = sentStep + delay;
    this.#messages.push({ to, reports: page.reports, sentStep, step });
  }

  /** Ends all link outages and delivers messages until none is in flight. */
  #deliverPendingMessages(): void {
    this.#isHealed = true;
    this.#cursors.clear();
    for (let i = 0; i <= (MAX_DELAY_STEPS + 1) * VMS; i++, this.#step++) {
      this.#exchangeReports();
    }
  }

  #checkConvergence(): void {
    for (const request of [POISON, POPULAR]) {
      const counts = this.#vms.map((vm) => vm.countCrashes(request));
      assertProperty(
        new Set(counts).size === 1,
        "VMs that received all reports agree",
        `${request}: ${counts}`,
      );
    }
    const isQuarantined =
      this.#vms[0].findQuarantined(POPULAR, this.#nowMs) !== undefined;
    assertProperty(
      !this.#hasPopularSucceeded || !isQuarantined,
      "a request of which a run succeeds is not quarantined",
    );
  }

  get #nowMs(): number {
    return this.#step * STEP_MS;
  }
}

function endWithoutTrial(): void {
  // The run is not a trial.
}

const SCHEDULED_REQUEST = fc.record<ScheduledRequest>({
  step: fc.integer({ min: 0, max: 60 }),
  vm: fc.integer({ min: 0, max: VMS - 1 }),
  request: fc.constantFrom(POISON, POPULAR),
  targetIndex: fc.integer({ min: 0, max: TARGET_COUNT - 1 }),
  durationSteps: fc.integer({ min: 1, max: 6 }),
});
const LINK_OUTAGE = fc.record<LinkOutage>({
  from: fc.integer({ min: 0, max: VMS - 1 }),
  to: fc.integer({ min: 0, max: VMS - 1 }),
  atStep: fc.integer({ min: 0, max: 50 }),
  steps: fc.integer({ min: 1, max: 25 }),
});

/** The request quarantine under random schedules. */
export const QUARANTINE_PROOF: Proof = {
  name: "quarantine",
  guards: QUARANTINE_GUARDS,
  build: (disabledGuard) =>
    fc.property(
      fc.record<Schedule>({
        requests: fc.array(SCHEDULED_REQUEST, { minLength: 1, maxLength: 60 }),
        linkOutages: fc.array(LINK_OUTAGE, { maxLength: 4 }),
        delays: fc.array(fc.integer({ min: 0, max: MAX_DELAY_STEPS }), {
          minLength: 1,
          maxLength: 8,
        }),
      }),
      (schedule) => new QuarantineSimulation(schedule, disabledGuard).run(),
    ),
};
