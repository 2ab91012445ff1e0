/**
 * Proof of the target list. VMs read it from a store that has outages, refuses single VMs and drops
 * the entries of targets that stop writing, while targets leave, stay and restart.
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
import { assertProperty, buildGuardSet, type Proof } from "./proof.ts";

const VMS = 3;
const STEP_MS = 100;
/** Interval between list reads of a VM whose bound is two seconds. */
const POLL_INTERVAL_MS = 700;
const RETRY_DELAY_MS = 200;
const HEARTBEAT_MS = 1000;
/** Time without a heartbeat after which the store drops an entry. */
const ENTRY_TIMEOUT_MS = 3 * HEARTBEAT_MS;
/** Time after an outage within which the entries of live targets are back in the store. */
const RECOVERY_GRACE_MS = 2000;
const SERVICE = "s";
const LIVE_TARGET = "living";
const LEAVING_TARGET = "leaver";
const EARLIER_INCARNATIONS_GUARD = "laterLifeHolds";
const OLDER_UPDATES_GUARD = "newerReadingHolds";

/** A fault: the store is down, the store refuses one VM, or a VM is paused. */
interface Fault {
  readonly kind: "storeAway" | "turnedAway" | "paused";
  readonly vm: number;
  readonly atStep: number;
  readonly steps: number;
}

/** The faults and changes of one run. */
interface Schedule {
  readonly faults: readonly Fault[];
  readonly leavesAtStep: number;
  readonly restartsAtSteps: readonly number[];
  /** Steps at which a VM receives an update with the list's content at the start. */
  readonly staleUpdates: readonly {
    readonly vm: number;
    readonly atStep: number;
  }[];
  readonly steps: number;
}

interface SimulatedVm {
  readonly directory: TargetDirectory;
  nextReadMs: number;
  readAtMs: number;
  /** Whether the VM was paused since its last list read. */
  wasPaused: boolean;
  /**
   * Until this time the VM may use targets that left while it was paused, since it cannot
   * distinguish its pause from an outage.
   */
  graceUntilMs: number;
}

/** The store, the targets and the VMs, simulated in steps of equal length. */
class TargetListSimulation {
  readonly #schedule: Schedule;
  readonly #vms: SimulatedVm[];
  readonly #entries = new Map<string, Target>();
  readonly #lastHeartbeatMs = new Map<string, number>();
  #incarnation = 1;
  #nowMs = 0;
  #outageEndMs = -Infinity;

  constructor(schedule: Schedule, disabledGuard: string | undefined) {
    this.#schedule = schedule;
    this.#vms = Array.from({ length: VMS }, (_, i) => ({
      directory: new TargetDirectory({
        targetHeartbeatMs: HEARTBEAT_MS,
        disabledGuards: buildGuardSet<StoreOutageGuard>(disabledGuard),
        acceptsEarlierIncarnations:
          disabledGuard === EARLIER_INCARNATIONS_GUARD,
        acceptsOlderUpdates: disabledGuard === OLDER_UPDATES_GUARD,
      }),
      nextReadMs: i * STEP_MS,
      readAtMs: -Infinity,
      wasPaused: false,
      graceUntilMs: -Infinity,
    }));
    this.#writeEntry(LIVE_TARGET);
    this.#writeEntry(LEAVING_TARGET);
  }

  run(): void {
    for (let step = 0; step < this.#schedule.steps; step++) {
      this.#nowMs = step * STEP_MS;
      if (this.#isUnreadable(step)) this.#outageEndMs = this.#nowMs;
      this.#updateTargets(step);
      this.#vms.forEach((vm, i) => this.#updateVm(vm, i, step));
      this.#vms.forEach((vm, i) => this.#check(vm, i));
    }
  }

  /** Whether no VM can read the list. VMs cannot distinguish this from an outage of the store. */
  #isUnreadable(step: number): boolean {
    if (this.#isFaultActive("storeAway", step)) return true;
    return this.#vms.every((_, i) =>
      this.#isFaultActive("turnedAway", step, i) ||
      this.#isFaultActive("paused", step, i)
    );
  }

  #isFaultActive(kind: Fault["kind"], step: number, vm = 0): boolean {
    return this.#schedule.faults.some((fault) =>
      fault.kind === kind && step >= fault.atStep &&
      step < fault.atStep + fault.steps &&
      (kind === "storeAway" || fault.vm === vm)
    );
  }

  /** Targets write their entries at each heartbeat, and one heartbeat after an outage. */
  #updateTargets(step: number): void {
    const { leavesAtStep, restartsAtSteps } = this.#schedule;
    if (restartsAtSteps.includes(step)) this.#incarnation++;
    if (step === leavesAtStep) this.#entries.delete(LEAVING_TARGET);
    const isStoreDown = this.#isFaultActive("storeAway", step);
    const sinceOutageMs = this.#nowMs - this.#outageEndMs;
    const isDue = this.#nowMs % HEARTBEAT_MS === 0 ||
      sinceOutageMs === HEARTBEAT_MS;
    for (const id of [LIVE_TARGET, LEAVING_TARGET]) {
      if (id === LEAVING_TARGET && step >= leavesAtStep) continue;
      if (!isStoreDown && isDue) this.#writeEntry(id);
      const silentMs = this.#nowMs - (this.#lastHeartbeatMs.get(id) ?? 0);
      if (silentMs >= ENTRY_TIMEOUT_MS) this.#entries.delete(id);
    }
  }

  #writeEntry(instance: string): void {
    const startedAtMs = this.#incarnation;
    this.#lastHeartbeatMs.set(instance, this.#nowMs);
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

  #updateVm(vm: SimulatedVm, i: number, step: number): void {
    if (this.#isFaultActive("paused", step, i)) {
      vm.wasPaused = true;
      return;
    }
    this.#receivePeerReadTimes(vm);
    this.#receiveStaleUpdate(vm, i, step);
    vm.directory.dropExpired(this.#nowMs);
    if (this.#nowMs < vm.nextReadMs) return;
    const isRefused = this.#isFaultActive("storeAway", step) ||
      this.#isFaultActive("turnedAway", step, i);
    vm.nextReadMs = this.#nowMs +
      (isRefused ? RETRY_DELAY_MS : POLL_INTERVAL_MS);
    if (isRefused) vm.directory.recordReadFailure();
    else this.#read(vm);
  }

  #receivePeerReadTimes(vm: SimulatedVm): void {
    for (const peer of this.#vms) {
      if (peer === vm || peer.readAtMs === -Infinity) continue;
      vm.directory.recordPeerRead(peer.readAtMs);
    }
  }

  /** Applies a hub's update that is as old as the simulation. */
  #receiveStaleUpdate(vm: SimulatedVm, i: number, step: number): void {
    const isScheduled = this.#schedule.staleUpdates.some((update) =>
      update.vm === i && update.atStep === step
    );
    const known = vm.directory.listAll().find((target) =>
      target.instance === LIVE_TARGET
    );
    if (!isScheduled || known === undefined) return;
    this.#receiveMisdatedUpdate(vm, known);
    this.#receiveDatedUpdate(vm, known);
  }

  /** Applies an update of the first incarnation that its hub dates later than it is. */
  #receiveMisdatedUpdate(
    { directory, readAtMs }: SimulatedVm,
    known: Target,
  ): void {
    const firstIncarnation = {
      ...known,
      id: `${LIVE_TARGET}@1`,
      startedAtMs: 1,
    };
    directory.applyFeed(
      [{ key: firstIncarnation.id, value: firstIncarnation }],
      false,
      readAtMs,
    );
    const after = directory.findTarget(known.id);
    assertProperty(
      after !== undefined,
      "no earlier incarnation replaces a later one",
      known.id,
    );
  }

  /** Applies a full update that its hub correctly dates to the start. */
  #receiveDatedUpdate({ directory }: SimulatedVm, known: Target): void {
    const before = [...listInstances(directory)].sort().join();
    const leavingTarget = {
      ...known,
      id: `${LEAVING_TARGET}@1`,
      instance: LEAVING_TARGET,
      startedAtMs: 1,
    };
    directory.applyFeed(
      [{ key: leavingTarget.id, value: leavingTarget }],
      true,
      0,
    );
    const after = [...listInstances(directory)].sort().join();
    assertProperty(
      after === before,
      "no older update replaces a newer list read",
      after,
    );
  }

  #read(vm: SimulatedVm): void {
    const wasPaused = vm.wasPaused;
    const entries = [...this.#entries].map((
      [key, value],
    ): KeyedEntry<Target> => ({
      key,
      value,
    }));
    vm.directory.applyList(entries, this.#nowMs);
    vm.readAtMs = this.#nowMs;
    vm.wasPaused = wasPaused && !this.#entries.has(LIVE_TARGET);
    if (wasPaused) vm.graceUntilMs = this.#nowMs + RECOVERY_GRACE_MS;
    const isInGrace = this.#outageEndMs > -Infinity ||
      this.#nowMs <= vm.graceUntilMs;
    const instances = listInstances(vm.directory);
    assertProperty(
      isInGrace ||
        instances.has(LEAVING_TARGET) === this.#entries.has(LEAVING_TARGET),
      "a target that left is dropped at the next list read",
      `at ${this.#nowMs} ms`,
    );
  }

  /** Checks that a VM that was not paused knows the live target at all times. */
  #check(vm: SimulatedVm, i: number): void {
    if (vm.readAtMs === -Infinity || vm.wasPaused) return;
    assertProperty(
      listInstances(vm.directory).has(LIVE_TARGET),
      "a live target stays known",
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

/**
 * Shorter outages of the store are indistinguishable from failed reads, and no entry expires in
 * them.
 */
const MIN_OUTAGE_STEPS = HEARTBEAT_MS / STEP_MS;

const FAULT: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({
    kind: fc.constant("storeAway" as const),
    vm: VM,
    atStep: AT_STEP,
    steps: fc.integer({ min: MIN_OUTAGE_STEPS, max: 60 }),
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
  staleUpdates: fc.array(fc.record({ vm: VM, atStep: AT_STEP }), {
    maxLength: 3,
  }),
  steps: fc.constant(MAX_STEPS),
});

/** The target directory under random schedules. */
export const TARGET_LIST_PROOF: Proof = {
  name: "target list",
  guards: [
    ...STORE_OUTAGE_GUARDS,
    EARLIER_INCARNATIONS_GUARD,
    OLDER_UPDATES_GUARD,
  ],
  build: (disabledGuard) =>
    fc.property(SCHEDULE, (schedule) => {
      new TargetListSimulation(schedule, disabledGuard).run();
    }),
};
