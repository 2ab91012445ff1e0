/**
 * Proof of the leaving set. Marks propagate between peers in any order, and restores are read from
 * the log. The oracle compares the highest mark with the last restore.
 *
 * @module
 */
import fc from "fast-check";
import {
  LEAVING_GUARDS,
  type LeavingGuard,
  type LeavingMark,
  LeavingSet,
} from "heatherarch-mesh";
import { assertProperty, buildGuardSet, type Proof } from "./proof.ts";

const PEERS = 3;
const TARGET = "engine";

type Operation =
  | { readonly kind: "mark"; readonly peer: number }
  | { readonly kind: "restore" }
  | { readonly kind: "other" }
  | { readonly kind: "read"; readonly peer: number }
  | { readonly kind: "send"; readonly from: number }
  | {
    readonly kind: "arrive";
    readonly to: number;
    readonly messageIndex: number;
  };

/** Peers, their messages in flight, and the oracle. */
class LeavingSimulation {
  readonly #sets: LeavingSet[] = [];
  readonly #offsets: number[] = [];
  readonly #inFlight: LeavingMark[][] = [];
  #restores: number[] = [];
  #newestOffset = 0;
  #highestMark = -1;

  constructor(disabledGuards: ReadonlySet<LeavingGuard>) {
    for (let i = 0; i < PEERS; i++) {
      this.#sets.push(new LeavingSet({ disabledGuards }));
      this.#offsets.push(0);
    }
  }

  apply(operation: Operation): void {
    switch (operation.kind) {
      case "mark": {
        const offset = this.#offsets[operation.peer];
        this.#sets[operation.peer].mark(TARGET, offset);
        const outranked = this.#restores.some((restore) => restore > offset);
        if (!outranked) this.#highestMark = Math.max(this.#highestMark, offset);
        break;
      }
      case "restore":
        this.#restores.push(++this.#newestOffset);
        break;
      case "other":
        this.#newestOffset++;
        break;
      case "read":
        this.#read(operation.peer);
        break;
      case "send":
        this.#inFlight.push(this.#sets[operation.from].listMarks());
        break;
      case "arrive":
        this.#arrive(operation.to, operation.messageIndex);
        break;
    }
  }

  #read(peer: number): void {
    this.#offsets[peer] = this.#newestOffset;
    for (const restore of this.#restores) {
      this.#sets[peer].restore(TARGET, restore);
    }
  }

  #arrive(to: number, messageIndex: number): void {
    if (this.#inFlight.length === 0) return;
    for (const mark of this.#inFlight[messageIndex % this.#inFlight.length]) {
      this.#sets[to].mark(mark.target, mark.sinceOffset);
    }
  }

  /** Delivers all messages to all peers and checks that the peers agree with the oracle. */
  finish(): void {
    for (let peer = 0; peer < PEERS; peer++) this.#read(peer);
    for (const set of this.#sets) this.#inFlight.push(set.listMarks());
    for (let peer = 0; peer < PEERS; peer++) {
      for (
        let messageIndex = this.#inFlight.length - 1;
        messageIndex >= 0;
        messageIndex--
      ) {
        this.#arrive(peer, messageIndex);
      }
    }
    const lastRestore = this.#restores.at(-1) ?? -1;
    const expected = this.#highestMark >= 0 && this.#highestMark >= lastRestore;
    for (const set of this.#sets) {
      assertProperty(
        set.has(TARGET) === expected,
        "all peers agree on whether the target is leaving",
        `expected ${expected}`,
      );
      const [mark] = set.listMarks();
      assertProperty(
        !expected || mark.sinceOffset === this.#highestMark,
        "the highest mark is kept",
        `${mark?.sinceOffset} of ${this.#highestMark}`,
      );
    }
  }
}

const PEER = fc.integer({ min: 0, max: PEERS - 1 });

const OPERATION: fc.Arbitrary<Operation> = fc.oneof(
  fc.record({ kind: fc.constant("mark" as const), peer: PEER }),
  fc.record({ kind: fc.constant("restore" as const) }),
  fc.record({ kind: fc.constant("other" as const) }),
  fc.record({ kind: fc.constant("read" as const), peer: PEER }),
  fc.record({ kind: fc.constant("send" as const), from: PEER }),
  fc.record({
    kind: fc.constant("arrive" as const),
    to: PEER,
    messageIndex: fc.nat({ max: 50 }),
  }),
);

/** The leaving set under random schedules. */
export const LEAVING_PROOF: Proof = {
  name: "leaving",
  guards: LEAVING_GUARDS,
  build: (disabledGuard) =>
    fc.property(
      fc.array(OPERATION, { minLength: 4, maxLength: 60, size: "max" }),
      (operations) => {
        const simulation = new LeavingSimulation(
          buildGuardSet<LeavingGuard>(disabledGuard),
        );
        for (const operation of operations) simulation.apply(operation);
        simulation.finish();
      },
    ),
};
