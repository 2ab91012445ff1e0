/**
 * Proof of the configuration view under concurrent operators, duplicate appends, log trimming and
 * peers that lag behind. The oracle is a table of the accepted revisions.
 *
 * @module
 */
import fc from "fast-check";
import {
  CONFIG_FORMAT,
  CONFIG_GUARDS,
  CONFIG_VIEW_GUARDS,
  type ConfigGuard,
  type ConfigState,
  ConfigView,
  type ConfigViewGuard,
  loadConfigSnapshot,
  type LogRecord,
} from "heatherarch-log";
import { assertProperty, buildGuardSet, type Proof } from "./proof.ts";

const VIEWS = 3;
const NAMES = ["fast", "slow"];

type Operation =
  | {
    readonly kind: "publish";
    readonly view: number;
    readonly name: number;
    readonly value: number;
    readonly isDeletion: boolean;
    readonly isRepeated: boolean;
  }
  | { readonly kind: "read"; readonly view: number; readonly limit: number }
  | { readonly kind: "ask"; readonly view: number; readonly peer: number }
  | { readonly kind: "restart"; readonly view: number }
  | { readonly kind: "trim"; readonly view: number }
  | { readonly kind: "arrive" };

interface ExpectedProfile {
  readonly revision: number;
  readonly value: number;
}

interface PublishedRecord {
  readonly type: string;
  readonly id: string;
  readonly baseRevision: number;
  readonly change: {
    readonly name?: string;
    readonly profile?: { readonly name: string; readonly deadlineMs: number };
  };
}

/** The configuration stream, the views that follow it, and the oracle. */
class ConfigSimulation {
  readonly #disabledGuard: string | undefined;
  readonly #log: LogRecord[] = [];
  readonly #delayed: unknown[] = [];
  readonly #views: ConfigView[] = [];
  readonly #appliedOffsets: number[] = [];
  readonly #expectedProfiles = new Map<string, ExpectedProfile>();
  readonly #seenIds = new Set<string>();
  /** Expected profiles after the record at each offset. */
  readonly #expectedByOffset: ReadonlyMap<string, ExpectedProfile>[] = [];
  #oldestOffset = 0;
  #idCount = 0;

  constructor(disabledGuard: string | undefined) {
    this.#disabledGuard = disabledGuard;
    for (let i = 0; i < VIEWS; i++) this.#restart(i);
  }

  apply(operation: Operation): void {
    switch (operation.kind) {
      case "publish":
        return this.#publish(operation);
      case "read":
        return this.#read(operation.view, operation.limit);
      case "ask":
        return this.#fetchFromPeer(operation.view, operation.peer);
      case "restart":
        return this.#restart(operation.view);
      case "trim":
        return this.#trim(operation.view);
      case "arrive":
        if (this.#delayed.length > 0) this.#append(this.#delayed.shift());
    }
  }

  #restart(index: number): void {
    this.#views[index] = new ConfigView({
      maxRecentRecords: 4,
      disabledGuards: buildGuardSet<ConfigGuard>(this.#disabledGuard),
      disabledViewGuards: buildGuardSet<ConfigViewGuard>(this.#disabledGuard),
    });
    this.#appliedOffsets[index] = -1;
  }

  #publish(operation: Extract<Operation, { kind: "publish" }>): void {
    const name = NAMES[operation.name];
    const { state } = this.#views[operation.view];
    const record = {
      type: "change",
      format: CONFIG_FORMAT,
      id: `id${this.#idCount++}`,
      author: `operator${operation.view}`,
      atMs: 0,
      baseRevision: state.profiles[name]?.revision ?? -1,
      change: operation.isDeletion ? { kind: "deleteProfile", name } : {
        kind: "putProfile",
        profile: { name, deadlineMs: operation.value },
      },
    };
    this.#append(record);
    if (operation.isRepeated) this.#delayed.push(record);
  }

  #append(data: unknown): void {
    const offset = this.#oldestOffset + this.#log.length;
    this.#log.push({ offset, appendedAtMs: 0, data });
    this.#applyToExpected(offset, data as never);
    this.#expectedByOffset[offset] = new Map(this.#expectedProfiles);
  }

  #applyToExpected(offset: number, record: PublishedRecord): void {
    if (record.type !== "change" || this.#seenIds.has(record.id)) return;
    this.#seenIds.add(record.id);
    const { change } = record;
    const name = change.name ?? change.profile?.name ?? "";
    if (
      (this.#expectedProfiles.get(name)?.revision ?? -1) !== record.baseRevision
    ) {
      return;
    }
    if (change.profile === undefined) this.#expectedProfiles.delete(name);
    else {
      this.#expectedProfiles.set(name, {
        revision: offset,
        value: change.profile.deadlineMs,
      });
    }
  }

  #read(index: number, limit: number): void {
    const view = this.#views[index];
    const nextOffset = view.state.offset + 1;
    if (nextOffset < this.#oldestOffset) {
      const state = loadConfigSnapshot(this.#log);
      if (state !== undefined) view.loadState(state);
    } else {
      const start = nextOffset - this.#oldestOffset;
      view.applyRecords(this.#log.slice(start, start + limit));
    }
    this.#check(index);
  }

  #fetchFromPeer(index: number, peer: number): void {
    const view = this.#views[index];
    // A peer's response may be delayed. Offset 0 stands for a request that was sent long ago.
    const update = this.#views[peer].buildUpdate(0);
    if (update.kind === "records") view.applyRecords(update.records);
    else view.loadState(update.state);
    this.#check(index);
  }

  #trim(index: number): void {
    this.#read(index, Infinity);
    const { state } = this.#views[index];
    if (state.offset !== this.#oldestOffset + this.#log.length - 1) return;
    const trimCount = this.#log.length;
    const id = `snap${this.#idCount++}`;
    this.#append({
      type: "snapshot",
      format: CONFIG_FORMAT,
      id,
      coversOffset: state.offset,
      state,
    });
    this.#log.splice(0, trimCount);
    this.#oldestOffset += trimCount;
  }

  #check(index: number): void {
    const { state } = this.#views[index];
    assertProperty(
      state.offset >= this.#appliedOffsets[index],
      "the configuration offset never decreases",
      `${state.offset} after ${this.#appliedOffsets[index]}`,
    );
    this.#appliedOffsets[index] = state.offset;
    assertProperty(
      this.#isExpected(state),
      "the state at an offset is the expected one",
      `offset ${state.offset}`,
    );
  }

  #isExpected(state: ConfigState): boolean {
    if (state.offset < 0) return Object.keys(state.profiles).length === 0;
    const expected = this.#expectedByOffset[state.offset];
    return NAMES.every((name) => {
      const actual = state.profiles[name];
      const wanted = expected.get(name);
      return actual?.revision === wanted?.revision &&
        actual?.profile.deadlineMs === wanted?.value;
    });
  }
}

const VIEW = fc.integer({ min: 0, max: VIEWS - 1 });

const OPERATION: fc.Arbitrary<Operation> = fc.oneof(
  {
    weight: 5,
    arbitrary: fc.record({
      kind: fc.constant("publish" as const),
      view: VIEW,
      name: fc.integer({ min: 0, max: NAMES.length - 1 }),
      value: fc.integer({ min: 50, max: 5000 }),
      isDeletion: fc.boolean(),
      isRepeated: fc.boolean(),
    }),
  },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant("read" as const),
      view: VIEW,
      limit: fc.constantFrom(1, 100),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant("ask" as const),
      view: VIEW,
      peer: VIEW,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("restart" as const), view: VIEW }),
  },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("trim" as const), view: VIEW }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant("arrive" as const) }) },
);

/** The configuration under random schedules. */
export const CONFIG_PROOF: Proof = {
  name: "config",
  guards: [...CONFIG_GUARDS, ...CONFIG_VIEW_GUARDS],
  build: (disabledGuard) =>
    fc.property(
      fc.array(OPERATION, { minLength: 10, maxLength: 80, size: "max" }),
      (operations) => {
        const simulation = new ConfigSimulation(disabledGuard);
        for (const operation of operations) simulation.apply(operation);
      },
    ),
};
