/**
 * Proof of the list of targets: VMs that read a store which goes away, turns single VMs away and
 * drops entries of silent targets, while targets leave, live on and start again.
 *
 * @module
 */
import fc from "fast-check";
import {
  type KeyedEntry,
  STORE_OUTAGE_GUARDS,
  type StoreOutageGuard,
  type Target,
  TargetDirectory,
} from "heatherarch-forward";
import { buildGuardSet, type Proof, requirePromise } from "./proof.ts";

const VMS = 3;
const STEP_MS = 100;
/** Between readings of the list, as VMs with a bound of two seconds read it. */
const POLL_MS = 700;
const RETRY_MS = 200;
const HEARTBEAT_MS = 1000;
/** Silence after which the store drops an entry. */
const LAPSE_MS = 3 * HEARTBEAT_MS;
/** Entries of living targets are back this long after an outage. */
const RETURN_GRACE_MS = 2000;
const SERVICE = "s";
const LIVING = "living";
const LEAVER = "leaver";
const EARLIER_LIVES = "laterLifeHolds";
const OLDER_WORD = "newerReadingHolds";

/** What goes wrong from some step on, for some steps. */
interface Fault {
  readonly kind: "storeAway" | "turnedAway" | "paused";
  readonly vm: number;
  readonly atStep: number;
  readonly steps: number;
}

/** One schedule. */
interface Schedule {
  readonly faults: readonly Fault[];
  readonly leavesAtStep: number;
  readonly restartsAtSteps: readonly number[];
  /** Steps at which a VM is told what the list said at the start. */
  readonly lateWords: readonly {
    readonly vm: number;
    readonly atStep: number;
  }[];
  readonly steps: number;
}

interface ModelVm {
  readonly directory: TargetDirectory;
  nextReadMs: number;
  readAtMs: number;
  /** Whether it has stood still since its last reading. */
  wasPaused: boolean;
  /** Until when it may use what left while it stood still: it can't tell that from an outage. */
  excusedUntilMs: number;
}

/** The store, the targets and the VMs, in steps of equal length. */
class TargetListWorld {
  readonly #schedule: Schedule;
  readonly #vms: ModelVm[];
  readonly #entries = new Map<string, Target>();
  readonly #heardAtMs = new Map<string, number>();
  #born = 1;
  #nowMs = 0;
  #awayUntilMs = -Infinity;

  constructor(schedule: Schedule, off: string | undefined) {
    this.#schedule = schedule;
    this.#vms = Array.from({ length: VMS }, (_, i) => ({
      directory: new TargetDirectory({
        targetHeartbeatMs: HEARTBEAT_MS,
        disabledGuards: buildGuardSet<StoreOutageGuard>(off),
        acceptsEarlierIncarnations: off === EARLIER_LIVES,
        acceptsOlderUpdates: off === OLDER_WORD,
      }),
      nextReadMs: i * STEP_MS,
      readAtMs: -Infinity,
      wasPaused: false,
      excusedUntilMs: -Infinity,
    }));
    this.#list(LIVING);
    this.#list(LEAVER);
  }

  run(): void {
    for (let step = 0; step < this.#schedule.steps; step++) {
      this.#nowMs = step * STEP_MS;
      if (this.#isReadByNobody(step)) this.#awayUntilMs = this.#nowMs;
      this.#moveTargets(step);
      this.#vms.forEach((vm, i) => this.#moveVm(vm, i, step));
      this.#vms.forEach((vm, i) => this.#check(vm, i));
    }
  }

  /** A store that turns everybody away can't be told from one that is away. */
  #isReadByNobody(step: number): boolean {
    if (this.#isOn("storeAway", step)) return true;
    return this.#vms.every((_, i) =>
      this.#isOn("turnedAway", step, i) || this.#isOn("paused", step, i)
    );
  }

  #isOn(kind: Fault["kind"], step: number, vm = 0): boolean {
    return this.#schedule.faults.some((fault) =>
      fault.kind === kind && step >= fault.atStep &&
      step < fault.atStep + fault.steps &&
      (kind === "storeAway" || fault.vm === vm)
    );
  }

  /** A target writes with each heartbeat, and one heartbeat after the store is back. */
  #moveTargets(step: number): void {
    const { leavesAtStep, restartsAtSteps } = this.#schedule;
    if (restartsAtSteps.includes(step)) this.#born++;
    if (step === leavesAtStep) this.#entries.delete(LEAVER);
    const isAway = this.#isOn("storeAway", step);
    const backMs = this.#nowMs - this.#awayUntilMs;
    const isDue = this.#nowMs % HEARTBEAT_MS === 0 || backMs === HEARTBEAT_MS;
    for (const id of [LIVING, LEAVER]) {
      if (id === LEAVER && step >= leavesAtStep) continue;
      if (!isAway && isDue) this.#list(id);
      const silentMs = this.#nowMs - (this.#heardAtMs.get(id) ?? 0);
      if (silentMs >= LAPSE_MS) this.#entries.delete(id);
    }
  }

  #list(instance: string): void {
    const startedAtMs = this.#born;
    this.#heardAtMs.set(instance, this.#nowMs);
    this.#entries.set(instance, {
      id: `${instance}@${startedAtMs}`,
      instance,
      startedAtMs,
      service: SERVICE,
      address: "127.0.0.1:1",
      availabilityZone: "zone-a",
      slots: 1,
      leaving: false,
    });
  }

  #moveVm(vm: ModelVm, i: number, step: number): void {
    if (this.#isOn("paused", step, i)) {
      vm.wasPaused = true;
      return;
    }
    this.#hearPeers(vm);
    this.#hearLateWord(vm, i, step);
    vm.directory.dropExpired(this.#nowMs);
    if (this.#nowMs < vm.nextReadMs) return;
    const isRefused = this.#isOn("storeAway", step) ||
      this.#isOn("turnedAway", step, i);
    vm.nextReadMs = this.#nowMs + (isRefused ? RETRY_MS : POLL_MS);
    if (isRefused) vm.directory.recordReadFailure();
    else this.#read(vm);
  }

  #hearPeers(vm: ModelVm): void {
    for (const peer of this.#vms) {
      if (peer === vm || peer.readAtMs === -Infinity) continue;
      vm.directory.recordPeerRead(peer.readAtMs);
    }
  }

  /** A hub's word that is as old as the day. */
  #hearLateWord(vm: ModelVm, i: number, step: number): void {
    const isTold = this.#schedule.lateWords.some((word) =>
      word.vm === i && word.atStep === step
    );
    const known = vm.directory.listAll().find((target) =>
      target.instance === LIVING
    );
    if (!isTold || known === undefined) return;
    this.#hearMisdatedWord(vm, known);
    this.#hearDatedWord(vm, known);
  }

  /** A hub that takes its word for younger than it is. */
  #hearMisdatedWord({ directory, readAtMs }: ModelVm, known: Target): void {
    const first = { ...known, id: `${LIVING}@1`, startedAtMs: 1 };
    directory.applyFeed([{ key: first.id, value: first }], false, readAtMs);
    const after = directory.findTarget(known.id);
    requirePromise(after !== undefined, "the later life holds", known.id);
  }

  /** A hub that has read nothing since the start, and says so. */
  #hearDatedWord({ directory }: ModelVm, known: Target): void {
    const before = [...listInstances(directory)].sort().join();
    const leaver = {
      ...known,
      id: `${LEAVER}@1`,
      instance: LEAVER,
      startedAtMs: 1,
    };
    directory.applyFeed([{ key: leaver.id, value: leaver }], true, 0);
    const after = [...listInstances(directory)].sort().join();
    requirePromise(after === before, "a newer reading holds", after);
  }

  #read(vm: ModelVm): void {
    const wasPaused = vm.wasPaused;
    const entries = [...this.#entries].map((
      [key, value],
    ): KeyedEntry<Target> => ({
      key,
      value,
    }));
    vm.directory.applyList(entries, this.#nowMs);
    vm.readAtMs = this.#nowMs;
    vm.wasPaused = wasPaused && !this.#entries.has(LIVING);
    if (wasPaused) vm.excusedUntilMs = this.#nowMs + RETURN_GRACE_MS;
    const isExcused = this.#awayUntilMs > -Infinity ||
      this.#nowMs <= vm.excusedUntilMs;
    const names = listInstances(vm.directory);
    requirePromise(
      isExcused || names.has(LEAVER) === this.#entries.has(LEAVER),
      "what leaves is dropped with the first reading",
      `at ${this.#nowMs} ms`,
    );
  }

  /** A target that lives is known for all of the day to a VM that did not stand still. */
  #check(vm: ModelVm, i: number): void {
    if (vm.readAtMs === -Infinity || vm.wasPaused) return;
    requirePromise(
      listInstances(vm.directory).has(LIVING),
      "a living target stays known",
      `vm ${i} at ${this.#nowMs} ms`,
    );
  }
}

function listInstances(directory: TargetDirectory): Set<string> {
  const targets = directory.listServing(SERVICE);
  return new Set(targets.map(({ instance }) => instance ?? ""));
}

const MAX_STEPS = 200;
const AT_STEP = fc.integer({ min: 10, max: MAX_STEPS });
const VM = fc.integer({ min: 0, max: VMS - 1 });

/** Shorter outages of the store are not told from failed readings, and no lapse is expected. */
const MIN_AWAY_STEPS = HEARTBEAT_MS / STEP_MS;

const FAULT: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({
    kind: fc.constant("storeAway" as const),
    vm: VM,
    atStep: AT_STEP,
    steps: fc.integer({ min: MIN_AWAY_STEPS, max: 60 }),
  }),
  fc.record({
    kind: fc.constantFrom("turnedAway" as const, "paused" as const),
    vm: VM,
    atStep: AT_STEP,
    steps: fc.integer({ min: 1, max: 60 }),
  }),
);

const SCHEDULE: fc.Arbitrary<Schedule> = fc.record({
  faults: fc.array(FAULT, { maxLength: 4 }),
  leavesAtStep: AT_STEP,
  restartsAtSteps: fc.array(AT_STEP, { maxLength: 3 }),
  lateWords: fc.array(fc.record({ vm: VM, atStep: AT_STEP }), { maxLength: 3 }),
  steps: fc.constant(MAX_STEPS),
});

/** The list of targets under random schedules. */
export const TARGET_LIST_PROOF: Proof = {
  name: "target list",
  guards: [...STORE_OUTAGE_GUARDS, EARLIER_LIVES, OLDER_WORD],
  build: (off) =>
    fc.property(SCHEDULE, (schedule) => {
      new TargetListWorld(schedule, off).run();
    }),
};
