import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "heatherarch-core";
import { type LoadScope, TargetLoads } from "heatherarch-load";
import {
  encodeFrame,
  type Heartbeat,
  type Link,
  parseMeshMessage,
} from "heatherarch-mesh";
import { PartQuarantine, RequestQuarantine } from "heatherarch-quarantine";
import {
  type CallCodec,
  FleetGossip,
  MemoryEventLog,
  ResponseNotices,
  TargetBackoffs,
  TargetDirectory,
} from "../../mod.ts";
import { buildRateLimits, buildTarget } from "./fixtures.ts";

const TARGETS = 100;

interface Vm {
  readonly gossip: FleetGossip;
  readonly targetLoads: TargetLoads;
}

function buildVm(clock: ManualClock): Vm {
  const directory = new TargetDirectory();
  directory.applyList(
    Array.from({ length: TARGETS }, (_, i) => ({
      key: `engine-${i}`,
      value: buildTarget(`engine-${i}`),
    })),
    0,
  );
  const targetLoads = new TargetLoads();
  const gossip = new FleetGossip({
    quarantine: new RequestQuarantine(),
    partQuarantine: new PartQuarantine(),
    directory,
    ...buildRateLimits(),
    targetLoads,
    clock,
    log: new MemoryEventLog(),
  });
  return { gossip, targetLoads };
}

function observe(vm: Vm, clock: ManualClock, id: string, slowdown: number) {
  vm.targetLoads.record({
    target: id,
    atMs: clock.readMonotonicMs(),
    running: 60,
    waiting: 3,
    slots: 64,
    slowdown,
  });
}

// Guards against slowdowns that reach only the VMs that are linked to the one that observed them, and
// against rows that hubs send to those who have them already.
test("a slowdown reaches the VMs of another zone over two hubs with its age", () => {
  const clock = new ManualClock();
  const vms = Array.from({ length: 4 }, () => buildVm(clock));
  const links = [{} as Link, {} as Link, {} as Link];
  const passOn = (from: number, to: number, scope?: LoadScope): number => {
    const link = links[Math.min(from, to)];
    const fields = vms[from].gossip.buildFields(link, scope);
    // Only the two hubs in the middle are in different zones.
    const received = from + to === 3 ? "fleet" : "zone";
    vms[to].gossip.handle(fields as Heartbeat, 0, received);
    return fields.loads?.length ?? 0;
  };
  clock.advance(1000);
  observe(vms[0], clock, "engine-7", 2.5);
  clock.advance(100);
  assert.equal(passOn(0, 1), 1);
  clock.advance(100);
  assert.equal(passOn(1, 2, "zone"), 1);
  assert.equal(passOn(2, 1, "zone"), 0);
  clock.advance(100);
  assert.equal(passOn(2, 3, "fleet"), 1);
  assert.equal(passOn(3, 2), 0);
  const found = vms[3].targetLoads.find("engine-7", clock.readMonotonicMs());
  assert.equal(found?.ageMs, 300);
  assert.equal(found?.report.slowdown, 2.5);
  assert.equal(found?.report.running, 60);
  assert.equal(passOn(0, 1) + passOn(1, 2, "zone") + passOn(2, 3, "fleet"), 0);
  // A VM that uses another hub gets none.
  observe(vms[1], clock, "engine-8", 2.5);
  assert.deepEqual(vms[1].gossip.buildFields({} as Link, "none"), {});
});

// Guards against heartbeats that exceed the VM's share of the network when all targets change.
test("a heartbeat carries at most 24 loads in some 500 bytes, and none that are outdated", () => {
  const clock = new ManualClock();
  const vm = buildVm(clock);
  clock.advance(1000);
  for (let i = 0; i < TARGETS; i++) observe(vm, clock, `engine-${i}`, 2.5);
  const { loads } = vm.gossip.buildFields({} as Link);
  assert.equal(loads?.length, 24);
  const bytes = encodeFrame({ loads }).length - encodeFrame({}).length;
  assert.ok(bytes <= 500, `${bytes} bytes`);
  clock.advance(600);
  assert.deepEqual(vm.gossip.buildFields({} as Link), {});
});

// Guards against malformed rows that get into the state of a VM, and against links that are closed
// because a build of another version sends or lacks the field.
test("heartbeats are accepted with valid rows of loads and without any", () => {
  const parse = (loads: unknown) =>
    parseMeshMessage({
      kind: "heartbeat",
      configOffset: 0,
      controlOffset: 0,
      intervalMs: 40,
      leaving: false,
      ...(loads === undefined ? {} : { loads }),
    });
  assert.notEqual(parse(undefined), undefined);
  assert.notEqual(parse([["t", 250, 12, 3, 0, 6]]), undefined);
  const malformed = [
    "x",
    [["t", 250]],
    [[1, 250, 12, 3, 0, 6]],
    [["t", -250, 12, 3, 0, 6]],
    [["t", 2.5, 12, 3, 0, 6]],
    [["t", 250, 12, 3, 0, 6, 1]],
    [["t".repeat(300), 250, 12, 3, 0, 6]],
  ];
  for (const rows of malformed) assert.equal(parse(rows), undefined);
});

// Guards against reports that are attributed to another incarnation, or kept of targets that are gone.
test("a response records the load of a listed incarnation only", () => {
  const directory = new TargetDirectory();
  const target = buildTarget("t@1", { instance: "t" });
  directory.applyList([{ key: "t", value: target }], 0);
  const targetLoads = new TargetLoads();
  let answeredBy = "u";
  let reports = 0;
  const notices = new ResponseNotices({
    codec: {
      decodeResponse: () => ({
        answeredBy,
        load: { running: 1, waiting: 0, slots: 6, slowdown: 2 },
      }),
    } as unknown as CallCodec,
    directory,
    backoffs: new TargetBackoffs(),
    ...buildRateLimits(),
    targetLoads,
    onSlowdownReport: () => reports++,
    clock: new ManualClock(),
    log: new MemoryEventLog(),
  });
  const head = { status: 200, headers: {}, rawHeaders: [] };
  notices.apply(target, head, { sentAtMs: 0 });
  assert.equal(targetLoads.reportsSlowdown("t@1"), false);
  answeredBy = "t";
  notices.apply(target, head, { sentAtMs: 0 });
  assert.equal(targetLoads.reportsSlowdown("t@1"), true);
  assert.equal(reports, 1);
  notices.apply(buildTarget("gone"), head, { sentAtMs: 0 });
  assert.equal(targetLoads.reportsSlowdown("gone"), false);
});
