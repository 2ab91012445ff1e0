/**
 * Proof of the quarantine of parts of prompts. VMs run requests of which some have a part that crashes
 * their engine, while engines also crash for other reasons, and reports take time.
 *
 * @module
 */
import fc from "fast-check";
import {
  type CrashReport,
  PART_QUARANTINE_GUARDS,
  PartQuarantine,
  type PartQuarantineGuard,
  TURN_MS,
} from "heatherarch-quarantine";
import { assertProperty, buildGuardSet, type Proof } from "./proof.ts";

const VMS = 4;
const ENGINES = 4;
const STEP_MS = 100;
const RUN_STEPS = 2;
const RESTART_STEPS = 8;
/** Time within which a report reaches all VMs. */
const REPORT_STEPS = 1;
const BAD = "bad";
const SYSTEM = "system";
const RARE = ["rare0", "rare1"];
const ACCOUNT = "account";
/** Crashes within which the part is found. */
const MAX_CRASHES = 5;
/** Steps without a request after the load, in which trials become possible again. */
const QUIET_STEPS = 250;

interface ScheduledRequest {
  readonly step: number;
  readonly vm: number;
  readonly engine: number;
  /** Index of the rare part, if the request has one; and whether it has the bad one. */
  readonly rare: number;
  readonly isBad: boolean;
}

/** An engine that ends by itself. */
interface ForeignCrash {
  readonly step: number;
  readonly engine: number;
}

interface Schedule {
  readonly requests: readonly ScheduledRequest[];
  readonly foreignCrashes: readonly ForeignCrash[];
}

interface Run {
  readonly vm: number;
  readonly engine: number;
  readonly parts: readonly string[];
  readonly beganStep: number;
  readonly endStep: number;
  readonly endTrial: () => void;
}

class PartSimulation {
  readonly #schedule: Schedule;
  readonly #vms: PartQuarantine[];
  readonly #availableFromStep = Array.from({ length: ENGINES }, () => 0);
  readonly #incarnations = Array.from({ length: ENGINES }, () => 0);
  readonly #messages: {
    to: number;
    reports: readonly CrashReport[];
    step: number;
  }[] = [];
  readonly #cursors = new Map<string, number>();
  #runs: Run[] = [];
  #step = 0;
  #badCrashes = 0;
  /** Step of the latest crash of an engine that ran the bad part. */
  #accusedStep = Infinity;
  /** VMs that began to run the bad part since then. */
  #triers = new Set<number>();
  /** Incarnations that crashed while they ran a part, since its last success. */
  readonly #crashes = new Map<string, Set<string>>();

  constructor(schedule: Schedule, disabledGuard: string | undefined) {
    this.#schedule = schedule;
    this.#vms = Array.from({ length: VMS }, (_, vm) =>
      new PartQuarantine({
        holdMs: 1e9,
        rankSelf: (part) => (vm + part.length) % VMS,
        disabledGuards: buildGuardSet<PartQuarantineGuard>(disabledGuard),
      }));
  }

  run(): void {
    // All VMs have served the system part before.
    for (const vm of this.#vms) vm.recordSuccess([SYSTEM], 0);
    const steps = Math.max(0, ...this.#schedule.requests.map((r) => r.step));
    for (; this.#step <= steps + REPORT_STEPS + RUN_STEPS; this.#step++) {
      this.#completeRuns();
      for (const { step, engine } of this.#schedule.foreignCrashes) {
        if (step === this.#step) this.#crashEngine(engine);
      }
      this.#exchangeReports();
      for (const request of this.#schedule.requests) {
        if (request.step === this.#step) this.#begin(request);
      }
    }
    this.#checkExplainedParts();
    this.#step += QUIET_STEPS;
    this.#checkSoundParts();
  }

  #begin({ vm, engine, rare, isBad }: ScheduledRequest): void {
    if (this.#step < this.#availableFromStep[engine]) return;
    const parts = isBad ? [SYSTEM, BAD] : [SYSTEM, RARE[rare]];
    const admission = this.#vms[vm].admit(parts, this.#nowMs);
    const isRefused = admission.kind === "quarantined" ||
      admission.kind === "onTrial";
    if (isRefused) return;
    if (isBad) this.#checkTrial(vm);
    const endTrial = admission.kind === "trial"
      ? admission.end
      : () => undefined;
    const endStep = this.#step + RUN_STEPS;
    const beganStep = this.#step;
    this.#runs.push({ vm, engine, parts, beganStep, endStep, endTrial });
  }

  /** Checks a run of the bad part that begins once all VMs know that it is suspected. */
  #checkTrial(vm: number): void {
    if (this.#step <= this.#accusedStep + REPORT_STEPS) return;
    const isTriedHere = this.#runs.some((run) =>
      run.vm === vm && run.parts.includes(BAD) &&
      run.beganStep > this.#accusedStep + REPORT_STEPS
    );
    assertProperty(
      !isTriedHere,
      "a VM tries a suspected part with one run at a time",
    );
    this.#triers.add(vm);
    const sinceMs = (this.#step - this.#accusedStep) * STEP_MS;
    assertProperty(
      sinceMs >= TURN_MS || this.#triers.size === 1,
      "one VM tries a suspected part first",
    );
  }

  #completeRuns(): void {
    for (const run of this.#runs.filter((r) => r.endStep <= this.#step)) {
      if (!this.#runs.includes(run)) continue;
      if (run.parts.includes(BAD)) {
        this.#badCrashes++;
        this.#crashEngine(run.engine);
        continue;
      }
      this.#runs = this.#runs.filter((other) => other !== run);
      this.#vms[run.vm].recordSuccess(run.parts, this.#nowMs);
      for (const part of run.parts) this.#crashes.delete(part);
      run.endTrial();
    }
    assertProperty(
      this.#badCrashes <= MAX_CRASHES,
      "a part that crashes engines is found within five crashes",
      JSON.stringify(this.#schedule),
    );
  }

  #crashEngine(engine: number): void {
    const incarnation = `${engine}/${this.#incarnations[engine]++}`;
    this.#availableFromStep[engine] = this.#step + RESTART_STEPS;
    const lost = this.#runs.filter((run) => run.engine === engine);
    this.#runs = this.#runs.filter((run) => run.engine !== engine);
    for (const { vm, parts, endTrial } of lost) {
      this.#vms[vm].recordCrash(parts, ACCOUNT, incarnation, this.#nowMs);
      endTrial();
      for (const part of parts) {
        const crashes = this.#crashes.get(part) ?? new Set();
        this.#crashes.set(part, crashes.add(incarnation));
      }
      if (!parts.includes(BAD)) continue;
      this.#accusedStep = this.#step;
      this.#triers = new Set();
    }
  }

  #exchangeReports(): void {
    for (let from = 0; from < VMS; from++) {
      for (let to = 0; to < VMS; to++) {
        if (from === to) continue;
        const link = `${from}-${to}`;
        const { reports, cursor } = this.#vms[from].evidence.listReports(
          this.#cursors.get(link),
          this.#nowMs,
        );
        this.#cursors.set(link, cursor);
        const step = this.#step + REPORT_STEPS;
        if (reports.length > 0) this.#messages.push({ to, reports, step });
      }
    }
    for (const { to, reports, step } of this.#messages) {
      if (step !== this.#step) continue;
      this.#vms[to].evidence.mergePeerReports(reports, this.#nowMs);
    }
  }

  /** A part whose crashes the bad one explains is free as soon as that is known. */
  #checkExplainedParts(): void {
    const bad = this.#crashes.get(BAD) ?? new Set();
    for (const rare of RARE) {
      const crashes = this.#crashes.get(rare) ?? new Set();
      const isExplained = bad.size > crashes.size &&
        [...crashes].every((incarnation) => bad.has(incarnation));
      if (!isExplained) continue;
      for (const vm of this.#vms) {
        assertProperty(
          !vm.isSuspected([rare]),
          "a crash that another part explains doesn't count",
        );
      }
    }
  }

  /** A part of sound requests is refused for a short time only. */
  #checkSoundParts(): void {
    const lastTurnMs = Math.ceil(Math.log2(VMS)) * TURN_MS;
    this.#step += Math.ceil(lastTurnMs / STEP_MS);
    for (const vm of this.#vms) {
      const isSystemFree = vm.admit([SYSTEM], this.#nowMs).kind === "free";
      assertProperty(
        isSystemFree,
        "a part that succeeds all the time is not suspected",
      );
      const foreign = this.#schedule.foreignCrashes.length;
      for (const rare of RARE) {
        const { kind } = vm.admit([rare], this.#nowMs);
        assertProperty(
          kind !== "quarantined" || foreign > 1 || this.#badCrashes > 2,
          "a sound part is not held for long",
          JSON.stringify(this.#schedule),
        );
      }
    }
  }

  get #nowMs(): number {
    return this.#step * STEP_MS;
  }
}

const REQUEST = fc.record<ScheduledRequest>({
  step: fc.integer({ min: 0, max: 60 }),
  vm: fc.integer({ min: 0, max: VMS - 1 }),
  engine: fc.integer({ min: 0, max: ENGINES - 1 }),
  rare: fc.integer({ min: 0, max: RARE.length - 1 }),
  isBad: fc.boolean(),
});
const FOREIGN_CRASH = fc.record<ForeignCrash>({
  step: fc.integer({ min: 0, max: 60 }),
  engine: fc.integer({ min: 0, max: ENGINES - 1 }),
});

/** The quarantine of parts of prompts under random schedules. */
export const PART_QUARANTINE_PROOF: Proof = {
  name: "parts",
  guards: PART_QUARANTINE_GUARDS,
  build: (disabledGuard) =>
    fc.property(
      fc.record<Schedule>({
        requests: fc.array(REQUEST, { minLength: 10, maxLength: 80 }),
        foreignCrashes: fc.array(FOREIGN_CRASH, { maxLength: 2 }),
      }),
      (schedule) => new PartSimulation(schedule, disabledGuard).run(),
    ),
};
