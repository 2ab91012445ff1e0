/**
 * Proof of the lease under processes with clock drift and pauses, and under lost, delayed and
 * duplicate appends. An order under a claim must never follow an order under a later claim.
 *
 * @module
 */
import fc from "fast-check";
import {
  buildTruncatedState,
  LEASE_GUARDS,
  type LeaseAction,
  type LeaseGuard,
  LeaseStateMachine,
} from "heatherarch-lease";
import { assertProperty, buildGuardSet, type Proof } from "./proof.ts";

const PROCESSES = 2;
const DURATION_MS = 1000;
const MAX_DRIFT_MS = 520;
const RENEW_INTERVAL_MS = 250;
/** Clock rates. Within one lease, the clocks drift apart by less than `MAX_DRIFT_MS`. */
const CLOCK_RATES = [1.2, 0.8];

type Operation =
  | { readonly kind: "wait"; readonly ms: number }
  | { readonly kind: "read"; readonly process: number; readonly limit: number }
  | {
    readonly kind: "tick";
    readonly process: number;
    readonly fate: AppendFate;
  }
  | { readonly kind: "order"; readonly process: number }
  | {
    readonly kind: "restart";
    readonly process: number;
    /** Number of the newest records that the new process can read; the others have expired. */
    readonly retained: number;
  }
  | { readonly kind: "arrive" };

type AppendFate = "prompt" | "late" | "lost" | "twice";

interface Process {
  readonly incarnation: string;
  machine: LeaseStateMachine;
  lastReadSentMs: number;
}

/** The log, the processes and one engine. */
class LeaseSimulation {
  readonly #disabledGuards: ReadonlySet<LeaseGuard>;
  readonly #log: unknown[] = [];
  readonly #delayed: unknown[] = [];
  readonly #processes: Process[] = [];
  readonly #readOffsetAtClaim = new Map<string, number>();
  #trueTimeMs = 0;
  #idCount = 0;
  #incarnationCount = 0;
  #highestOrderToken = -1;

  constructor(disabledGuards: ReadonlySet<LeaseGuard>) {
    this.#disabledGuards = disabledGuards;
    for (let i = 0; i < PROCESSES; i++) {
      this.#processes.push(this.#createProcess(i));
    }
  }

  apply(operation: Operation): void {
    switch (operation.kind) {
      case "wait":
        this.#trueTimeMs += operation.ms;
        break;
      case "read":
        this.#read(operation.process, operation.limit);
        break;
      case "tick":
        this.#tick(operation.process, operation.fate);
        break;
      case "order":
        this.#sendOrder(operation.process);
        break;
      case "restart":
        this.#restart(operation.process, operation.retained);
        break;
      case "arrive":
        if (this.#delayed.length > 0) this.#log.push(this.#delayed.shift());
        break;
    }
  }

  #createProcess(index: number): Process {
    const incarnation = `run${this.#incarnationCount++}`;
    const machine = new LeaseStateMachine({
      vm: `vm${index}`,
      incarnation,
      durationMs: DURATION_MS,
      driftMs: MAX_DRIFT_MS,
      renewMs: RENEW_INTERVAL_MS,
      createId: () => `id${this.#idCount++}`,
      disabledGuards: this.#disabledGuards,
    });
    return { incarnation, machine, lastReadSentMs: -Infinity };
  }

  #restart(index: number, retained: number): void {
    const process = this.#createProcess(index);
    const oldestOffset = Math.max(0, this.#log.length - retained);
    if (oldestOffset > 0) {
      process.machine.loadState(
        buildTruncatedState(oldestOffset - 1),
        this.#readClock(index),
      );
    }
    this.#processes[index] = process;
  }

  #readClock(index: number): number {
    return 1e6 * index + this.#trueTimeMs * CLOCK_RATES[index];
  }

  #read(index: number, limit: number): void {
    const process = this.#processes[index];
    const nowMs = this.#readClock(index);
    const from = process.machine.state.offset + 1;
    for (
      let offset = from;
      offset < Math.min(this.#log.length, from + limit);
      offset++
    ) {
      const before = process.machine.state.claim;
      process.machine.applyRecord({ offset, data: this.#log[offset] }, nowMs);
      this.#checkDisplacement(before, process.machine.state.claim, offset);
    }
    if (process.machine.state.offset === this.#log.length - 1) {
      process.lastReadSentMs = nowMs;
    }
  }

  /** Checks that a claim displaces no holder whose last renewal the claimant had not read. */
  #checkDisplacement(
    before: { lastSignOffset: number } | null,
    after: { claimOffset: number } | null,
    offset: number,
  ): void {
    if (after === null || after.claimOffset !== offset || before === null) {
      return;
    }
    const id = (this.#log[offset] as { id: string }).id;
    const readOffset = this.#readOffsetAtClaim.get(id) ?? Infinity;
    assertProperty(
      before.lastSignOffset <= readOffset,
      "no holder is displaced before its last renewal is read",
      `last record of the holder at ${before.lastSignOffset}, read up to ${readOffset}`,
    );
  }

  #tick(index: number, fate: AppendFate): void {
    const process = this.#processes[index];
    const actions = process.machine.tick(
      this.#readClock(index),
      process.lastReadSentMs,
    );
    for (const action of actions) this.#append(process, action, fate);
  }

  #append(process: Process, { record }: LeaseAction, fate: AppendFate): void {
    if (record.type === "claim") {
      this.#readOffsetAtClaim.set(record.id, process.machine.state.offset);
    }
    if (fate === "lost") return;
    if (fate === "late" || fate === "twice") this.#delayed.push(record);
    if (fate !== "late") this.#log.push(record);
  }

  /** Checks the authority and sends an order in one step, as the order executor's guard does. */
  #sendOrder(index: number): void {
    const { machine, incarnation } = this.#processes[index];
    if (!machine.hasAuthority(this.#readClock(index))) return;
    const claim = this.#log[machine.fencing] as { incarnation?: string };
    assertProperty(
      claim.incarnation === incarnation,
      "only the claimant sends orders under its claim",
      `${incarnation} under the claim of ${claim.incarnation}`,
    );
    assertProperty(
      machine.fencing >= this.#highestOrderToken,
      "no order is sent under an expired authority",
      `order under ${machine.fencing} after one under ${this.#highestOrderToken}`,
    );
    this.#highestOrderToken = machine.fencing;
  }
}

const PROCESS = fc.integer({ min: 0, max: PROCESSES - 1 });
const FATE = fc.constantFrom<AppendFate>(
  "prompt",
  "prompt",
  "prompt",
  "late",
  "lost",
  "twice",
);

const OPERATION: fc.Arbitrary<Operation> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("wait" as const),
      ms: fc.integer({ min: 20, max: 1100 }),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("read" as const),
      process: PROCESS,
      limit: fc.constantFrom(1, 2, 100, 100),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("tick" as const),
      process: PROCESS,
      fate: FATE,
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("order" as const),
      process: PROCESS,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("restart" as const),
      process: PROCESS,
      retained: fc.constantFrom(0, 1, 2, 4, 1000, 1000),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("arrive" as const) }) },
);

/** The lease under random schedules. */
export const LEASE_PROOF: Proof = {
  name: "lease",
  guards: LEASE_GUARDS,
  build: (disabledGuard) =>
    fc.property(
      fc.array(OPERATION, { minLength: 40, maxLength: 220, size: "max" }),
      (operations) => {
        const simulation = new LeaseSimulation(
          buildGuardSet<LeaseGuard>(disabledGuard),
        );
        for (const operation of operations) simulation.apply(operation);
      },
    ),
};
