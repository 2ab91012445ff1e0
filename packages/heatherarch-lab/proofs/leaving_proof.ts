/**
 * Proof of the leaving set: marks spread in any order between peers, restores come through
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
import { buildGuardSet, type Proof, requirePromise } from "./proof.ts";

const PEERS = 3;
const TARGET = "engine";

type Operation =
  | { readonly kind: "mark"; readonly peer: number }
  | { readonly kind: "restore" }
  | { readonly kind: "other" }
  | { readonly kind: "read"; readonly peer: number }
  | { readonly kind: "send"; readonly from: number }
  | { readonly kind: "arrive"; readonly to: number; readonly at: number };

/** Peers with messages in flight between them. */
class LeavingWorld {
  readonly #sets: LeavingSet[] = [];
  readonly #offsets: number[] = [];
  readonly #inFlight: LeavingMark[][] = [];
  #restores: number[] = [];
  #logEnd = 0;
  #highestMark = -1;

  constructor(off: ReadonlySet<LeavingGuard>) {
    for (let i = 0; i < PEERS; i++) {
      this.#sets.push(new LeavingSet({ disabledGuards: off }));
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
        this.#restores.push(++this.#logEnd);
        break;
      case "other":
        this.#logEnd++;
        break;
      case "read":
        this.#read(operation.peer);
        break;
      case "send":
        this.#inFlight.push(this.#sets[operation.from].listMarks());
        break;
      case "arrive":
        this.#arrive(operation.to, operation.at);
        break;
    }
  }

  #read(peer: number): void {
    this.#offsets[peer] = this.#logEnd;
    for (const restore of this.#restores) {
      this.#sets[peer].restore(TARGET, restore);
    }
  }

  #arrive(to: number, at: number): void {
    if (this.#inFlight.length === 0) return;
    for (const mark of this.#inFlight[at % this.#inFlight.length]) {
      this.#sets[to].mark(mark.target, mark.sinceOffset);
    }
  }

  /** Everything that was ever sent arrives everywhere, in any order: all must agree. */
  finish(): void {
    for (let peer = 0; peer < PEERS; peer++) this.#read(peer);
    for (const set of this.#sets) this.#inFlight.push(set.listMarks());
    for (let peer = 0; peer < PEERS; peer++) {
      for (let at = this.#inFlight.length - 1; at >= 0; at--) {
        this.#arrive(peer, at);
      }
    }
    const lastRestore = this.#restores.at(-1) ?? -1;
    const expected = this.#highestMark >= 0 && this.#highestMark >= lastRestore;
    for (const set of this.#sets) {
      requirePromise(
        set.has(TARGET) === expected,
        "leaving converges",
        `expected ${expected}`,
      );
      const [mark] = set.listMarks();
      requirePromise(
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
    at: fc.nat({ max: 50 }),
  }),
);

/** The leaving set under random schedules. */
export const LEAVING_PROOF: Proof = {
  name: "leaving",
  guards: LEAVING_GUARDS,
  build: (off) =>
    fc.property(
      fc.array(OPERATION, { minLength: 4, maxLength: 60, size: "max" }),
      (operations) => {
        const world = new LeavingWorld(buildGuardSet<LeavingGuard>(off));
        for (const operation of operations) world.apply(operation);
        world.finish();
      },
    ),
};
