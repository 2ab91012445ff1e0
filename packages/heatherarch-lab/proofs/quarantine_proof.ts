/**
 * Proof of the quarantine: VMs that send a request which ends each target, and a popular one
 * beside it, over links that delay, reorder and are cut.
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
import { buildGuardSet, type Proof, requirePromise } from "./proof.ts";

const VMS = 3;
const PLACES = 4;
const STEP_MS = 100;
const MAX_CRASHES = 3;
/** Longest delay of a message, time after which all VMs know, and until a target is back, steps. */
const MAX_DELAY = 3;
const KNOWN_AFTER = 10;
const RESTART_AFTER = 5;
const POISON = "poison";
const POPULAR = "popular";
const ACCOUNT = "account";

/** A request that a VM is sent, and the place of the target that it picks. */
interface Send {
  readonly step: number;
  readonly vm: number;
  readonly request: typeof POISON | typeof POPULAR;
  readonly place: number;
  /** Steps for which it runs. */
  readonly takes: number;
}

/** A link that carries nothing for some steps. */
interface Cut {
  readonly from: number;
  readonly to: number;
  readonly atStep: number;
  readonly steps: number;
}

interface Schedule {
  readonly sends: readonly Send[];
  readonly cuts: readonly Cut[];
  readonly delays: readonly number[];
}

interface Run {
  readonly vm: number;
  readonly request: string;
  readonly place: number;
  readonly endStep: number;
  readonly endTrial: () => void;
}

interface Message {
  readonly to: number;
  readonly notes: readonly CrashReport[];
  readonly sentStep: number;
  readonly step: number;
}

/** The VMs, their links and the targets, in steps of equal length. */
class QuarantineWorld {
  readonly #schedule: Schedule;
  readonly #vms: RequestQuarantine[];
  readonly #cursors = new Map<string, number>();
  readonly #lives = Array.from({ length: PLACES }, () => 1);
  /** Step from which on a place has a target. */
  readonly #upFrom = Array.from({ length: PLACES }, () => 0);
  readonly #crashSteps: number[] = [];
  #runs: Run[] = [];
  #messages: Message[] = [];
  #step = 0;
  #lateArrivals = 0;
  #delays = 0;
  /** VMs at which a run of the popular request went well. */
  readonly #succeeded = new Set<number>();
  #isHealed = false;
  /** A run of the popular request went well after its latest loss. */
  #isPopularSound = true;

  constructor(schedule: Schedule, off: string | undefined) {
    this.#schedule = schedule;
    this.#vms = Array.from({ length: VMS }, () =>
      new RequestQuarantine({
        maxCrashes: MAX_CRASHES,
        holdMs: 1e9,
        disabledGuards: buildGuardSet<QuarantineGuard>(off),
      }));
  }

  play(): void {
    const last = Math.max(0, ...this.#schedule.sends.map(({ step }) => step));
    for (; this.#step <= last + KNOWN_AFTER; this.#step++) {
      this.#endRuns();
      this.#exchange();
      for (const send of this.#schedule.sends) {
        if (send.step === this.#step) this.#send(send);
      }
    }
    this.#deliverAll();
    this.#judgeEnd();
  }

  #send({ vm, request, place, takes }: Send): void {
    if (this.#step < this.#upFrom[place]) return;
    const quarantine = this.#vms[vm];
    const admission = quarantine.admit(request, this.#nowMs);
    if (admission.kind === "quarantined" || admission.kind === "onTrial") {
      return;
    }
    const isTrial = admission.kind === "trial";
    const copies = this.#runs.filter((run) =>
      run.vm === vm && run.request === request
    );
    requirePromise(
      !isTrial || !copies.some((run) => run.endTrial !== endNothing),
      "copies of a last trial go one at a time",
    );
    if (request === POISON) this.#noteArrival(vm);
    const endTrial = isTrial ? admission.end : endNothing;
    const endStep = this.#step + takes;
    this.#runs.push({ vm, request, place, endStep, endTrial });
  }

  /** VMs that were cut off lately are not in touch. */
  #noteArrival(vm: number): void {
    const third = this.#crashSteps[MAX_CRASHES - 1];
    if (third === undefined || this.#step <= third + KNOWN_AFTER) return;
    if (this.#isCutSince(vm, third)) return;
    this.#lateArrivals++;
    requirePromise(
      this.#lateArrivals <= MAX_CRASHES,
      "a request that ended three targets reaches others three times at most",
    );
  }

  #isCutSince(vm: number, step: number): boolean {
    return this.#schedule.cuts.some((cut) =>
      (cut.from === vm || cut.to === vm) && cut.atStep <= this.#step &&
      cut.atStep + cut.steps >= step - KNOWN_AFTER
    );
  }

  #endRuns(): void {
    const ending = this.#runs.filter(({ endStep }) => endStep <= this.#step);
    for (const run of ending) {
      if (!this.#runs.includes(run)) continue;
      if (run.request === POISON) this.#crash(run.place);
      else this.#succeed(run);
    }
  }

  /** A target ends under a request: all that ran there is lost. */
  #crash(place: number): void {
    const life = `${place}/${this.#lives[place]++}`;
    this.#upFrom[place] = this.#step + RESTART_AFTER;
    this.#crashSteps.push(this.#step);
    const lost = this.#runs.filter((run) => run.place === place);
    this.#runs = this.#runs.filter((run) => run.place !== place);
    for (const { vm, request, endTrial } of lost) {
      endTrial();
      this.#vms[vm].recordCrash(request, ACCOUNT, life, this.#nowMs);
      if (request === POPULAR) this.#isPopularSound = false;
      requirePromise(
        request === POISON || !this.#succeeded.has(vm) ||
          this.#vms[vm].countCrashes(POPULAR) === 0,
        "crashes do not add up against a request that succeeds",
      );
    }
    const lives = new Set(this.#crashSteps).size;
    for (const quarantine of this.#vms) {
      requirePromise(
        quarantine.countCrashes(POISON) <= Math.max(lives, this.#countLives()),
        "a life counts once",
      );
    }
  }

  #countLives(): number {
    return this.#lives.reduce((sum, life) => sum + life - 1, 0);
  }

  #succeed(run: Run): void {
    this.#runs = this.#runs.filter((other) => other !== run);
    run.endTrial();
    this.#vms[run.vm].markSuccess(run.request, this.#nowMs);
    requirePromise(
      this.#vms[run.vm].countCrashes(run.request) === 0,
      "a success clears",
    );
    this.#succeeded.add(run.vm);
    this.#isPopularSound = true;
  }

  /** Each VM tells each other one what is new since the last time, or all after a cut. */
  #exchange(): void {
    for (let from = 0; from < VMS; from++) {
      for (let to = 0; to < VMS; to++) {
        if (from !== to) this.#tell(from, to);
      }
    }
    const due = this.#messages.filter(({ step }) => step <= this.#step);
    this.#messages = this.#messages.filter(({ step }) => step > this.#step);
    for (const { to, notes, sentStep } of due) {
      this.#vms[to].mergePeerReports(notes, sentStep * STEP_MS);
    }
  }

  #tell(from: number, to: number): void {
    const link = `${from}-${to}`;
    const isCut = !this.#isHealed &&
      this.#schedule.cuts.some((cut) =>
        cut.from === from && cut.to === to && this.#step >= cut.atStep &&
        this.#step < cut.atStep + cut.steps
      );
    if (isCut) {
      this.#cursors.delete(link);
      return;
    }
    const told = this.#vms[from].listReports(
      this.#cursors.get(link),
      this.#nowMs,
    );
    this.#cursors.set(link, told.cursor);
    if (told.reports.length === 0) return;
    const { delays } = this.#schedule;
    const delay = delays[this.#delays++ % delays.length];
    const sentStep = this.#step;
    const step = sentStep + delay;
    this.#messages.push({ to, notes: told.reports, sentStep, step });
  }

  /** All links work, until nothing is on its way. */
  #deliverAll(): void {
    this.#isHealed = true;
    this.#cursors.clear();
    for (let i = 0; i <= (MAX_DELAY + 1) * VMS; i++, this.#step++) {
      this.#exchange();
    }
  }

  #judgeEnd(): void {
    for (const request of [POISON, POPULAR]) {
      const counts = this.#vms.map((vm) => vm.countCrashes(request));
      requirePromise(
        new Set(counts).size === 1,
        "VMs that have heard all agree",
        `${request}: ${counts}`,
      );
    }
    const isHeld =
      this.#vms[0].findQuarantined(POPULAR, this.#nowMs) !== undefined;
    requirePromise(
      !this.#isPopularSound || !isHeld,
      "a request of which a run goes well is not held back",
    );
  }

  get #nowMs(): number {
    return this.#step * STEP_MS;
  }
}

function endNothing(): void {
  // No trial goes on.
}

const SEND = fc.record<Send>({
  step: fc.integer({ min: 0, max: 60 }),
  vm: fc.integer({ min: 0, max: VMS - 1 }),
  request: fc.constantFrom(POISON, POPULAR),
  place: fc.integer({ min: 0, max: PLACES - 1 }),
  takes: fc.integer({ min: 1, max: 6 }),
});
const CUT = fc.record<Cut>({
  from: fc.integer({ min: 0, max: VMS - 1 }),
  to: fc.integer({ min: 0, max: VMS - 1 }),
  atStep: fc.integer({ min: 0, max: 50 }),
  steps: fc.integer({ min: 1, max: 25 }),
});

/** The quarantine over random schedules. */
export const QUARANTINE_PROOF: Proof = {
  name: "quarantine",
  guards: QUARANTINE_GUARDS,
  build: (off) =>
    fc.property(
      fc.record<Schedule>({
        sends: fc.array(SEND, { minLength: 1, maxLength: 60 }),
        cuts: fc.array(CUT, { maxLength: 4 }),
        delays: fc.array(fc.integer({ min: 0, max: MAX_DELAY }), {
          minLength: 1,
          maxLength: 8,
        }),
      }),
      (schedule) => new QuarantineWorld(schedule, off).play(),
    ),
};
