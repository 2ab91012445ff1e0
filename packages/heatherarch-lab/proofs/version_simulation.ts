/**
 * VMs that conclude which software version alone may have begun a stream, while versions come and go,
 * VMs are killed, and the store comes back from copies. The simulation runs the real records of
 * versions on all VMs.
 *
 * @module
 */
import { ManualClock } from "heatherarch-core";
import {
  computeStreamLifeMs,
  type RoutingConfig,
  type Target,
  TargetDirectory,
  VersionHistory,
  VersionLives,
  VersionPersistence,
  type VersionPersistenceOptions,
  type VersionRecord,
  type WritableTopicPort,
} from "heatherarch-forward";

/** What keeps a VM from concluding a version that did not begin the stream. */
export const VERSION_GUARDS = [
  "countsRecorded",
  "needsCoverage",
  "checksEpoch",
  "recordsFirst",
  "readsRecords",
  "readsList",
] as const;
/** Name of a guard. */
export type VersionGuard = typeof VERSION_GUARDS[number];

/** One step of a schedule. */
export type VersionStep =
  | { readonly kind: "add" | "remove"; readonly version: number }
  /** One version takes the place of all others at once. */
  | { readonly kind: "replace"; readonly version: number }
  /** A version comes, serves beside the others and leaves. */
  | { readonly kind: "visit"; readonly version: number }
  /** From now on, a VM stands still, and the others go on. */
  | { readonly kind: "stand"; readonly vm: number; readonly ms: number }
  /** From now on, nothing can be recorded. */
  | { readonly kind: "failWrites"; readonly ms: number }
  | { readonly kind: "wait"; readonly ms: number }
  | { readonly kind: "kill"; readonly vm: number | undefined }
  | {
    readonly kind: "restore";
    readonly ageMs: number;
    readonly kills: boolean;
  };

const VERSIONS = ["v1", "v2", "v3"];
const VMS = 2;
const TICK_MS = 500;
/** The list of the second VM is that much older, which is within its largest age. */
const LAG_TICKS = 3;
const MAX_LIST_AGE_MS = 2100;
/** Time for which a version serves before another one comes or leaves, milliseconds. */
const BETWEEN_CHANGES_MS = 1000;
const SERVICE = "s";
const CONFIG = {
  routes: [{
    kind: "resumableStream",
    timeoutMs: 2000,
    services: [{ service: SERVICE, weight: 1 }],
  }],
} as unknown as RoutingConfig;
const STREAM_LIFE_MS = computeStreamLifeMs(CONFIG);

type Records = ReadonlyMap<string, VersionRecord>;

/** Runs the steps and returns the wrong conclusions. */
export async function simulateVersions(
  steps: readonly VersionStep[],
  disabledGuard?: VersionGuard,
): Promise<string[]> {
  return await new VersionSimulation(disabledGuard).run(steps);
}

class VersionSimulation {
  readonly clock = new ManualClock();
  readonly disabledGuard: VersionGuard | undefined;
  epoch = 0;
  #records = new Map<string, VersionRecord>();
  /** Records at each tick, as copies of the store. */
  readonly #copies: Records[] = [];
  /** Versions that are listed, at each tick. */
  readonly #lists: string[][] = [];
  #listed = new Set([VERSIONS[0]]);
  /** Time at which the latest stream began at each version. */
  readonly #begunAtMs = new Map<string, number>();
  readonly #wrong: string[] = [];
  #vms: SimulatedVm[];
  #standingVm: number | undefined;
  #standsUntilMs = -Infinity;
  #failsWritesUntilMs = -Infinity;

  constructor(disabledGuard: VersionGuard | undefined) {
    this.disabledGuard = disabledGuard;
    this.#vms = Array.from({ length: VMS }, (_, i) => new SimulatedVm(this, i));
  }

  get topic(): WritableTopicPort<VersionRecord> {
    return {
      load: () =>
        Promise.resolve({
          entries: [...this.#records].map(([key, value]) => ({ key, value })),
          next: 0,
          epoch: this.disabledGuard === "checksEpoch" ? 0 : this.epoch,
        }),
      readChanges: () => Promise.resolve(undefined),
      put: (key, value) => {
        if (this.#failsWrites) return Promise.reject(new Error("down"));
        if (value === undefined) this.#records.delete(key);
        else this.#records.set(key, value);
        return Promise.resolve();
      },
    };
  }

  async run(steps: readonly VersionStep[]): Promise<string[]> {
    await this.#wait(BETWEEN_CHANGES_MS);
    for (const step of steps) await this.#runStep(step);
    return this.#wrong;
  }

  /** Lists the versions that a VM knows from its list of targets, which is behind at one VM. */
  listVersions(vm: number): string[] {
    return this.#lists.at(-1 - vm * LAG_TICKS) ?? this.#lists[0];
  }

  /** Lists the versions that targets have now. */
  listCurrentVersions(): string[] {
    return [...this.#listed];
  }

  /** The VMs that don't stand still, with their indices. */
  listRunning(): [number, SimulatedVm][] {
    const isStanding = this.clock.readMonotonicMs() < this.#standsUntilMs;
    return [...this.#vms.entries()]
      .filter(([index]) => !isStanding || index !== this.#standingVm);
  }

  get #failsWrites(): boolean {
    return this.clock.readMonotonicMs() < this.#failsWritesUntilMs;
  }

  async #runStep(step: VersionStep): Promise<void> {
    switch (step.kind) {
      case "add":
      case "remove":
        return await this.#changeList(step.kind, VERSIONS[step.version]);
      case "replace":
        if (this.#failsWrites) return;
        this.#listed = new Set([VERSIONS[step.version]]);
        return await this.#wait(BETWEEN_CHANGES_MS);
      case "visit":
        await this.#changeList("add", VERSIONS[step.version]);
        return await this.#changeList("remove", VERSIONS[step.version]);
      case "stand":
        this.#standingVm = step.vm;
        this.#standsUntilMs = this.clock.readMonotonicMs() + step.ms;
        return;
      case "failWrites":
        this.#failsWritesUntilMs = this.clock.readMonotonicMs() + step.ms;
        return;
      case "wait":
        return await this.#wait(step.ms);
      case "kill":
        this.#kill(step.vm);
        return await this.#wait(TICK_MS);
      case "restore":
        return await this.#restore(step.ageMs, step.kills);
    }
  }

  async #changeList(kind: "add" | "remove", version: string): Promise<void> {
    if (kind === "remove" && this.#listed.size === 1) return;
    await this.#wait(BETWEEN_CHANGES_MS);
    if (kind === "add") this.#listed.add(version);
    else if (this.#isRemainderRecorded(version)) this.#listed.delete(version);
    await this.#wait(TICK_MS);
  }

  /** Where no listed version is recorded, streams begin at others, so such a removal is left out. */
  #isRemainderRecorded(removed: string): boolean {
    const recorded = [...this.#records.values()].flatMap((record) =>
      record.kind === "life" ? [record.softwareVersion] : []
    );
    return [...this.#listed].some((version) =>
      version !== removed && recorded.includes(version)
    );
  }

  /** A stream begins at each version at which a VM may begin one. */
  #beginStreams(): void {
    const atMs = this.clock.readMonotonicMs();
    const running = this.listRunning();
    for (const version of running.flatMap(([, vm]) => vm.listPreferred())) {
      // An engine that has left accepts nothing.
      if (this.#listed.has(version)) this.#begunAtMs.set(version, atMs);
    }
  }

  /** Each VM takes up all streams, whose clients don't name them. */
  async #conclude(): Promise<void> {
    const sinceMs = this.clock.readMonotonicMs() - STREAM_LIFE_MS;
    for (const [i, { persistence }] of this.listRunning()) {
      const concluded = await persistence.findOnlyVersion(SERVICE);
      if (concluded === undefined) continue;
      for (const [version, atMs] of this.#begunAtMs) {
        if (version === concluded || atMs <= sinceMs) continue;
        this.#wrong.push(`${concluded} at VM ${i}, begun by ${version}`);
      }
    }
  }

  #kill(killed: number | undefined): void {
    this.#vms = this.#vms.map((vm, i) =>
      killed === undefined || killed === i ? new SimulatedVm(this, i) : vm
    );
  }

  async #restore(ageMs: number, kills: boolean): Promise<void> {
    const copy = this.#copies.at(-1 - Math.round(ageMs / TICK_MS));
    this.#records = new Map(copy ?? this.#copies[0]);
    this.epoch++;
    if (kills) this.#kill(undefined);
    else if (this.disabledGuard !== "checksEpoch") {
      for (const vm of this.#vms) vm.handleRestoration(this.epoch);
    }
    await this.#wait(TICK_MS);
  }

  async #wait(ms: number): Promise<void> {
    for (let waitedMs = 0; waitedMs < ms; waitedMs += TICK_MS) {
      this.clock.advance(TICK_MS);
      this.#lists.push([...this.#listed]);
      for (const [, vm] of this.listRunning()) vm.readList();
      this.#beginStreams();
      await this.#conclude();
      for (const [, vm] of this.listRunning()) vm.persistence.tick();
      await new Promise((resolve) => setImmediate(resolve));
      this.#copies.push(new Map(this.#records));
    }
  }
}

class SimulatedVm {
  readonly persistence: VersionPersistence;
  readonly #simulation: VersionSimulation;
  readonly #index: number;
  readonly #directory = new TargetDirectory();
  readonly #history = new VersionHistory({
    directory: this.#directory,
    maxListAgeMs: MAX_LIST_AGE_MS,
  });
  readonly #lives = new VersionLives();
  #readAtMs = -Infinity;

  constructor(simulation: VersionSimulation, index: number) {
    this.#simulation = simulation;
    this.#index = index;
    const { disabledGuard, clock } = simulation;
    if (disabledGuard === "countsRecorded") this.#lives.listVersions = () => [];
    if (disabledGuard === "readsList") this.#history.isReadSince = () => true;
    if (disabledGuard === "needsCoverage") this.#lives.hasCoverage = () => true;
    this.persistence = new VersionPersistence({
      topic: this.#buildTopic(),
      history: this.#history,
      lives: this.#lives,
      activeConfig: {
        table: { config: CONFIG },
      } as VersionPersistenceOptions["activeConfig"],
      clock,
      log: { write: () => undefined },
      isCoordinator: () => true,
      isFleetRunning: () => Promise.resolve(false),
      countVms: () => 1,
      refreshTargetList: () => this.#refreshList(),
      drawUnit: () => 0,
    });
  }

  readList(): void {
    const { clock } = this.#simulation;
    const lagMs = this.#index * LAG_TICKS * TICK_MS;
    this.#applyList(
      this.#simulation.listVersions(this.#index),
      clock.readMonotonicMs() - lagMs,
    );
  }

  #refreshList(): void {
    const { clock } = this.#simulation;
    this.#applyList(
      this.#simulation.listCurrentVersions(),
      clock.readMonotonicMs(),
    );
  }

  #applyList(versions: readonly string[], sentAtMs: number): void {
    if (sentAtMs < this.#readAtMs) return;
    this.#readAtMs = sentAtMs;
    const nowMs = this.#simulation.clock.readMonotonicMs();
    const entries = versions
      .map((version) => ({ key: version, value: buildTarget(version) }));
    this.#directory.applyList(entries, nowMs, sentAtMs);
    this.#history.observe(nowMs);
  }

  handleRestoration(epoch: number): void {
    const nowMs = this.#simulation.clock.readMonotonicMs();
    this.#history.handleRestoration(nowMs);
    this.persistence.handleRestoration(epoch);
  }

  /** Versions at which a stream may begin. */
  listPreferred(): string[] {
    const { clock, disabledGuard } = this.#simulation;
    const versions = this.#simulation.listVersions(this.#index);
    const nowMs = clock.readMonotonicMs();
    const recorded = versions.filter((version) =>
      this.#lives.isRecorded(SERVICE, version, nowMs)
    );
    const isAny = recorded.length === 0 || disabledGuard === "recordsFirst";
    return isAny ? versions : recorded;
  }

  /** Without its guard, a VM doesn't read again what it read once. */
  #buildTopic(): WritableTopicPort<VersionRecord> {
    const { topic, disabledGuard } = this.#simulation;
    if (disabledGuard !== "readsRecords") return topic;
    let first: ReturnType<typeof topic.load> | undefined;
    return { ...topic, load: () => first ??= topic.load() };
  }
}

function buildTarget(softwareVersion: string): Target {
  return {
    id: softwareVersion,
    service: SERVICE,
    address: "127.0.0.1:1",
    availabilityZone: "zone-a",
    slots: 1,
    leaving: false,
    softwareVersion,
  };
}
