import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock, Random, sleep } from "heatherarch-core";
import {
  computeStreamLifeMs,
  type EventLog,
  ForwardMetrics,
  TargetDirectory,
  TaskLog,
  VersionHistory,
  VersionLives,
  VersionPersistence,
  type VersionRecord,
  type WritableTopicPort,
} from "../../mod.ts";
import { buildTarget } from "./fixtures.ts";

const CONFIG = {
  routes: [{
    kind: "resumableStream",
    timeoutMs: 2000,
    services: [{ service: "s", weight: 1 }],
  }],
};
const LIFE_MS = computeStreamLifeMs(CONFIG as never);
/** Longest difference of clocks that is tolerated, and some ticks, milliseconds. */
const MARGIN_MS = 11_000;
const TICK_MS = 250;

/** A store of version records that VMs share and that may come back from a copy. */
class World implements WritableTopicPort<VersionRecord> {
  readonly clock = new ManualClock();
  records = new Map<string, VersionRecord>();
  epoch = 0;
  isDown = false;
  isFleetRunning = false;
  listed: (string | undefined)[] = ["v1"];
  /** Times of the reads of all VMs. */
  readonly readsAtMs: number[] = [];
  /** Responses to reads wait for this. */
  responsesHeld: Promise<void> | undefined;

  async load(): ReturnType<WritableTopicPort<VersionRecord>["load"]> {
    this.readsAtMs.push(this.clock.readMonotonicMs());
    if (this.isDown) throw new Error("down");
    const entries = [...this.records].map(([key, value]) => ({ key, value }));
    const { epoch } = this;
    await this.responsesHeld;
    return { entries, next: 0, epoch };
  }

  readChanges(): Promise<undefined> {
    return Promise.resolve(undefined);
  }

  put(key: string, value: VersionRecord | undefined): Promise<void> {
    if (this.isDown) return Promise.reject(new Error("down"));
    if (value === undefined) this.records.delete(key);
    else this.records.set(key, value);
    return Promise.resolve();
  }

  startVm(options: VmOptions = {}): Vm {
    return new Vm(this, options);
  }
}

interface VmOptions {
  readonly isCoordinator?: boolean;
  readonly vms?: number;
  readonly drawUnit?: () => number;
  readonly log?: EventLog;
}

const NO_LOG: EventLog = { write: () => undefined };

class Vm {
  readonly #world: World;
  readonly #directory = new TargetDirectory();
  readonly history = new VersionHistory({
    directory: this.#directory,
    maxListAgeMs: 400,
  });
  readonly lives = new VersionLives();
  readonly persistence: VersionPersistence;
  /** Early reads of the list of targets that were requested. */
  listRefreshes = 0;

  constructor(
    world: World,
    { isCoordinator = true, vms = 1, drawUnit = () => 0, log = NO_LOG }:
      VmOptions,
  ) {
    this.#world = world;
    this.persistence = new VersionPersistence({
      topic: world,
      history: this.history,
      lives: this.lives,
      activeConfig: { table: { config: CONFIG } } as never,
      clock: world.clock,
      log,
      isCoordinator: () => isCoordinator,
      countVms: () => vms,
      refreshTargetList: () => this.listRefreshes++,
      drawUnit,
      isFleetRunning: () => Promise.resolve(world.isFleetRunning),
    });
  }

  /** Reads the list of targets and the records for some time. */
  async run(forMs: number): Promise<void> {
    for (let ranMs = 0; ranMs < forMs; ranMs += TICK_MS) {
      this.#world.clock.advance(TICK_MS);
      await this.tick();
    }
  }

  /** Reads the list of targets, and the records if that is due. */
  async tick(): Promise<void> {
    const { clock, listed } = this.#world;
    const nowMs = clock.readMonotonicMs();
    const entries = listed.map((softwareVersion) => ({
      key: `target ${softwareVersion}`,
      value: buildTarget(`target ${softwareVersion}`, { softwareVersion }),
    }));
    this.#directory.applyList(entries, nowMs);
    this.history.observe(nowMs);
    this.persistence.tick();
    await new Promise((resolve) => setImmediate(resolve));
  }

  find(): Promise<string | undefined> {
    return this.persistence.findOnlyVersion("s");
  }
}

// Guards against streams that nobody continues after the loss of all VMs although their engines serve.
test("a VM that starts after the loss of all VMs knows the only version from the store", async () => {
  const world = new World();
  await world.startVm().run(1000);
  const next = world.startVm();
  await next.run(TICK_MS);
  assert.equal(await next.find(), "v1");
  assert.ok(next.lives.isLoaded);
});

// Guards against streams that are joined after a version left while no VM ran.
test("a version that left while no VM ran counts for the life of a stream after its end is seen", async () => {
  const world = new World();
  world.listed = ["v1", "v2"];
  await world.startVm().run(1000);
  world.listed = ["v2"];
  const next = world.startVm();
  await next.run(LIFE_MS);
  assert.equal(await next.find(), undefined);
  world.clock.jumpWall(5000);
  await next.run(MARGIN_MS - 5000 - 3000);
  const third = world.startVm();
  await third.run(TICK_MS);
  assert.equal(await third.find(), undefined);
  await next.run(MARGIN_MS + 3000);
  assert.equal(await next.find(), "v2");
});

// Guards against records that a restored store has lost.
test("a store that came back from a copy doesn't tell of the time before", async () => {
  const world = new World();
  const first = world.startVm();
  await first.run(1000);
  const copy = new Map(world.records);
  world.listed = ["v1", "v2"];
  await first.run(1000);
  world.records = copy;
  world.epoch++;
  world.listed = ["v1"];
  const next = world.startVm();
  await next.run(LIFE_MS);
  assert.equal(await next.find(), undefined);
  await next.run(MARGIN_MS);
  assert.equal(await next.find(), "v1");
});

// Guards against VMs of earlier software that began streams at versions that nobody recorded.
test("where other VMs ran before there were records, they tell of the time since then only", async () => {
  const world = new World();
  world.isFleetRunning = true;
  const vm = world.startVm();
  await vm.run(LIFE_MS - 1000);
  assert.equal(await vm.find(), undefined);
  await vm.run(MARGIN_MS);
  assert.equal(await vm.find(), "v1");
});

// Guards against a VM that concludes from its own list alone, which may be behind that of its peers.
test("without the store no version is known as the only one, and new records are read first", async () => {
  const world = new World();
  const vm = world.startVm();
  await vm.run(LIFE_MS + MARGIN_MS);
  const life = { kind: "life", service: "s", softwareVersion: "v2" } as const;
  world.records.set("of a peer", life);
  world.clock.advance(500);
  await vm.run(TICK_MS);
  assert.equal(await vm.find(), undefined);
  world.records.delete("of a peer");
  await vm.run(1000);
  assert.equal(await vm.find(), "v1");
  world.isDown = true;
  await vm.run(1000);
  assert.equal(await vm.find(), undefined);
});

// Guards against take-ups that are refused although the next read of the list would have come at once:
// the list is briefly too old after each time that the process was late.
test("the only version is known once a list that has become too old is read again", async () => {
  const world = new World();
  await world.startVm().run(1000);
  const next = world.startVm();
  await next.run(TICK_MS);
  world.clock.advance(450);
  const found = Promise.all([next.find(), next.find()]);
  await sleep(50);
  assert.equal(next.listRefreshes, 1);
  await next.tick();
  assert.deepEqual(await found, ["v1", "v1"]);
  // Versions that came while the list was too old count as well.
  world.clock.advance(450);
  const doubtful = next.find();
  await sleep(50);
  world.listed = ["v1", "v2"];
  await next.tick();
  assert.equal(await doubtful, undefined);
});

// Guards against a stream that goes on at another version: it began at one that was listed after this
// VM had read the list, which still counts as current, and before that version was recorded.
test("the only version is known only from a list that is read after the stream began", async () => {
  const world = new World();
  await world.startVm().run(1000);
  const next = world.startVm();
  await next.run(TICK_MS);
  world.clock.advance(300);
  world.listed = ["v2"];
  const found = next.find();
  await sleep(50);
  assert.equal(next.listRefreshes, 1);
  await next.tick();
  assert.equal(await found, undefined);
});

// Guards against a read of the list a call for each stream that is taken up at once.
test("calls that need the list share its reads", async () => {
  const world = new World();
  await world.startVm().run(1000);
  const next = world.startVm();
  await next.run(TICK_MS);
  world.clock.advance(100);
  const first = Array.from({ length: 50 }, () => next.find());
  await sleep(1);
  world.clock.advance(1);
  const later = Array.from({ length: 50 }, () => next.find());
  await sleep(30);
  assert.equal(next.listRefreshes, 1);
  await next.tick();
  const found = await Promise.all([...first, ...later]);
  assert.ok(found.every((version) => version === "v1"));
  assert.equal(next.listRefreshes, 1);
});

// Guards against streams that are refused late because each waits for a version that is gone.
test("only a version that the list has never contained is waited for", async () => {
  const world = new World();
  const vm = world.startVm();
  await vm.run(1000);
  world.listed = ["v2"];
  await vm.run(TICK_MS);
  world.clock.advance(100);
  await vm.persistence.awaitVersionListed("s", "v1");
  await vm.persistence.awaitVersionListed("s", "v2");
  assert.equal(vm.listRefreshes, 0);
  let isDone = false;
  const awaited = vm.persistence.awaitVersionListed("s", "v3")
    .then(() => isDone = true);
  await sleep(50);
  assert.equal(vm.listRefreshes, 1);
  assert.equal(isDone, false);
  await vm.tick();
  await awaited;
});

// Guards against records that look recent after the machine was suspended, as the monotonic clock stood.
test("records that were read before the machine was suspended are read again", async () => {
  const world = new World();
  await world.startVm().run(1000);
  const next = world.startVm();
  await next.run(TICK_MS);
  assert.equal(await next.find(), "v1");
  const life = { kind: "life", service: "s", softwareVersion: "v2" } as const;
  world.records.set("of a peer", life);
  world.clock.suspend(3000);
  await next.tick();
  assert.equal(await next.find(), undefined);
});

// Guards against a stream that goes on at another version, as a slow read of the records is applied after
// a later one that contained that version.
test("a read of the records that a later one has overtaken is not applied", async () => {
  const world = new World();
  await world.startVm().run(1000);
  const next = world.startVm();
  await next.run(TICK_MS);
  world.clock.advance(600);
  await next.tick();
  let release!: () => void;
  world.responsesHeld = new Promise((resolve) => release = resolve);
  const overtaken = next.find();
  world.responsesHeld = undefined;
  world.clock.advance(600);
  world.records.set("s/v2", {
    kind: "life",
    service: "s",
    softwareVersion: "v2",
    endedAtUnixMs: undefined,
  });
  await next.tick();
  assert.equal(await next.find(), undefined);
  release();
  assert.equal(await overtaken, undefined);
  assert.equal(await next.find(), undefined);
});

// Guards against calls that wait to their end for a list that is not read.
test("no version is known as the only one if the list is not read again", async () => {
  const world = new World();
  await world.startVm().run(1000);
  const next = world.startVm();
  await next.run(TICK_MS);
  world.clock.advance(450);
  assert.equal(await next.find(), undefined);
  assert.equal(next.listRefreshes, 1);
});

// Guards against streams that begin at a version that VMs that start later don't know.
test("a version counts as recorded once no VM concludes from records without it", async () => {
  const world = new World();
  const vm = world.startVm();
  await vm.run(TICK_MS);
  const isRecorded = (): boolean =>
    vm.lives.isRecorded("s", "v1", world.clock.readMonotonicMs());
  assert.equal(isRecorded(), false);
  await vm.run(1000);
  assert.equal(isRecorded(), true);
  vm.persistence.handleRestoration(1);
  assert.equal(isRecorded(), false);
});

// Guards against VMs that all read the records several times a second, for as long as one is due.
test("VMs that only read do so less often the more of them there are", async () => {
  const world = new World();
  await world.startVm().run(1000);
  const random = new Random(1);
  const vms = Array.from({ length: 100 }, () =>
    world.startVm({
      isCoordinator: false,
      vms: 1000,
      drawUnit: () => random.drawUnit(),
    }));
  await Promise.all(vms.map((vm) => vm.run(TICK_MS)));
  world.listed = ["v1", "v2"];
  world.readsAtMs.length = 0;
  const startedAtMs = world.clock.readMonotonicMs();
  for (let ranMs = 0; ranMs < 10_000; ranMs += TICK_MS) {
    world.clock.advance(TICK_MS);
    await Promise.all(vms.map((vm) => vm.tick()));
  }
  const perSecond = world.readsAtMs.length / 10;
  // A tenth of the fleet is played.
  assert.ok(perSecond > 5 && perSecond <= 25, `${perSecond} reads/s`);
  const early = world.readsAtMs.filter((atMs) => atMs - startedAtMs < 1000);
  assert.ok(early.length <= 10, `${early.length} reads in the first second`);
});

// Guards against records for targets that name no version, which no stream needs.
test("nothing is written while targets name no version", async () => {
  const world = new World();
  world.listed = [undefined];
  const vm = world.startVm();
  await vm.run(2000);
  assert.equal(world.records.size, 0);
  assert.equal(world.readsAtMs.length, 1);
  world.listed = ["v1"];
  await vm.run(1000);
  assert.equal(world.records.size, 2);
});

// Guards against tasks that end for good, and with an unhandled rejection, as the failure that they have
// caught can't be logged.
test("versions are recorded after the store and the log have failed together", async () => {
  const world = new World();
  const metrics = new ForwardMetrics();
  const log: EventLog = {
    write: () => {
      if (world.isDown) throw new RangeError("broken log");
    },
  };
  world.isDown = true;
  const vm = world.startVm({ log: new TaskLog({ log, metrics }) });
  await vm.run(1000);
  assert.equal(world.records.size, 0);
  const { values } = await metrics.internalErrors.get();
  assert.ok(values.some(({ value }) => value > 0));
  world.isDown = false;
  await vm.run(2000);
  assert.ok(world.records.size > 0);
});
