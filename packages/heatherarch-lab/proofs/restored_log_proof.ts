/**
 * Proof of leases in a log that comes back from a copy. Several VMs seek one lease and act under it;
 * VMs are cut off from the log, and the log loses its latest records, at any time and repeatedly.
 *
 * @module
 */
import fc from "fast-check";
import { ManualClock } from "heatherarch-core";
import {
  LeaseHolder,
  RESTORATION_GUARDS,
  type RestorationGuard,
} from "heatherarch-duties";
import {
  type LogPort,
  type LogRecord,
  type LogSlice,
  LogUnavailableError,
} from "heatherarch-log";
import { assertProperty, buildGuardSet, type Proof } from "./proof.ts";

const LEASE_MS = 3000;
const STEP_MS = 250;
const VM_COUNT = 3;

type Event =
  /** All VMs run for a number of steps. */
  | { readonly kind: "run"; readonly steps: number }
  /** The log loses its latest records. */
  | { readonly kind: "restore"; readonly lost: number }
  | { readonly kind: "cut"; readonly vm: number }
  | { readonly kind: "heal"; readonly vm: number }
  | { readonly kind: "resign"; readonly vm: number };

/** A log in memory that comes back from copies. */
class RestorableLog {
  #records: LogRecord[] = [];
  #epoch = 1;

  append(data: unknown): number {
    const offset = this.#records.length;
    this.#records.push({ offset, appendedAtMs: 0, data });
    return offset;
  }

  read(from: number): LogSlice {
    const next = this.#records.length;
    return {
      records: this.#records.slice(from),
      first: 0,
      next,
      epoch: this.#epoch,
    };
  }

  restore(lost: number): void {
    this.#epoch++;
    this.#records = this.#records.slice(
      0,
      Math.max(0, this.#records.length - lost),
    );
  }
}

/** Connection of one VM to the log. */
class CuttableLog implements LogPort {
  readonly #log: RestorableLog;
  isCut = false;

  constructor(log: RestorableLog) {
    this.#log = log;
  }

  append(_stream: string, data: unknown): Promise<number> {
    return this.isCut ? this.#fail() : Promise.resolve(this.#log.append(data));
  }

  read(_stream: string, from: number): Promise<LogSlice> {
    return this.isCut ? this.#fail() : Promise.resolve(this.#log.read(from));
  }

  #fail(): Promise<never> {
    return Promise.reject(new LogUnavailableError("cut off"));
  }
}

interface SimulatedVm {
  readonly id: string;
  readonly log: CuttableLog;
  readonly holder: LeaseHolder;
}

async function checkEvents(
  events: readonly Event[],
  disabledGuard: string | undefined,
): Promise<void> {
  const log = new RestorableLog();
  const clock = new ManualClock();
  const vms = Array.from(
    { length: VM_COUNT },
    (_, i) => buildVm(`vm-${i}`, log, clock, disabledGuard),
  );
  /** The VM that acted under each fencing token, and the highest one. */
  const actors = new Map<number, string>();
  let highestToken = -1;
  const checkActs = (): void => {
    const acting = vms.filter(({ holder }) => holder.hasAuthority());
    assertProperty(
      acting.length <= 1,
      "one VM at a time has authority",
      acting.map(({ id }) => id).join(" and "),
    );
    for (const { id, holder: { fencing } } of acting) {
      assertProperty(
        (actors.get(fencing) ?? id) === id,
        "a fencing token belongs to one VM",
        `${fencing} of ${actors.get(fencing)} and ${id}`,
      );
      assertProperty(
        fencing >= highestToken,
        "fencing tokens never fall",
        `${fencing} after ${highestToken}`,
      );
      actors.set(fencing, id);
      highestToken = fencing;
    }
  };
  for (const event of events) {
    if (event.kind !== "run") {
      await applyEvent(event, vms, log);
      checkActs();
      continue;
    }
    for (let step = 0; step < event.steps; step++) {
      for (const { holder } of vms) {
        holder.seek();
        // A VM that is cut off keeps its authority until its lease expires.
        await holder.step().catch(() => undefined);
        checkActs();
      }
      clock.advance(STEP_MS);
      checkActs();
    }
  }
}

function buildVm(
  id: string,
  log: RestorableLog,
  clock: ManualClock,
  disabledGuard: string | undefined,
): SimulatedVm {
  const ownLog = new CuttableLog(log);
  let ids = 0;
  const holder = new LeaseHolder({
    stream: "s",
    vmId: id,
    incarnation: `${id}/1`,
    log: ownLog,
    leaseMs: LEASE_MS,
    clock,
    createId: () => `${id}-${ids++}`,
    onChange: () => undefined,
    disabledGuards: buildGuardSet<RestorationGuard>(disabledGuard),
  });
  return { id, log: ownLog, holder };
}

async function applyEvent(
  event: Exclude<Event, { kind: "run" }>,
  vms: readonly SimulatedVm[],
  log: RestorableLog,
): Promise<void> {
  switch (event.kind) {
    case "restore":
      return log.restore(event.lost);
    case "cut":
      vms[event.vm].log.isCut = true;
      return;
    case "heal":
      vms[event.vm].log.isCut = false;
      return;
    case "resign":
      await vms[event.vm].holder.resign("test").catch(() => undefined);
  }
}

const VM = fc.integer({ min: 0, max: VM_COUNT - 1 });
const EVENT: fc.Arbitrary<Event> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("run" as const),
      steps: fc.integer({ min: 1, max: 30 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("restore" as const),
      lost: fc.integer({ min: 0, max: 12 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constantFrom("cut" as const, "heal" as const),
      vm: VM,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("resign" as const), vm: VM }),
  },
);

/** Leases in a log that comes back from copies. */
export const RESTORED_LOG_PROOF: Proof = {
  name: "restored-log",
  guards: RESTORATION_GUARDS,
  build: (disabledGuard) =>
    fc.asyncProperty(
      fc.array(EVENT, { minLength: 1, maxLength: 25 }),
      (events) => checkEvents(events, disabledGuard),
    ),
};
