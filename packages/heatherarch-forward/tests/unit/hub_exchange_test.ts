import assert from "node:assert/strict";
import { test } from "node:test";
import { type Clock } from "heatherarch-core";
import {
  type Heartbeat,
  type Link,
  type LinkIdentity,
  Membership,
  parseMeshMessage,
} from "heatherarch-mesh";
import {
  HubExchange,
  type HubFields,
  PrefixIndex,
  TargetDirectory,
  WorkTracker,
} from "../../mod.ts";
import { buildEngine, buildTarget } from "./fixtures.ts";

/** Whoever was taken for a hub before the real ones were heard has lapsed by then. */
const WARM_UP_ROUNDS = 30;

/** Time for which a VM heeds the mark of a changing engine after it last heard of it. */
const CHANGING_MS = 1500;

/** One VM with its beliefs, without any socket. */
interface TestVm {
  readonly identity: LinkIdentity;
  readonly membership: Membership;
  readonly workTracker: WorkTracker;
  readonly prefixIndex: PrefixIndex;
  readonly directory: TargetDirectory;
  readonly exchange: HubExchange;
  /** Marks engines that are changing, as a VM does on hearing of them. */
  readonly mark: (engines: readonly string[]) => void;
  listAgeMs: number;
  /** Engines that this VM has ordered to change. */
  ordered: string[];
}

/** VMs of several zones that exchange heartbeats as a mesh would carry them. */
class TestFleet {
  readonly vms = new Map<string, TestVm>();
  readonly #links = new Map<string, Link>();
  readonly #dead = new Set<string>();
  nowMs = 0;

  constructor(zones: readonly string[], perZone: number) {
    const identities = zones.flatMap((zone) =>
      Array.from({ length: perZone }, (_, i): LinkIdentity => ({
        id: `${zone}-${i}`,
        incarnation: `${zone}-${i}/1`,
        availabilityZone: zone,
        mesh: "127.0.0.1:1",
        capacity: i < 2 ? 140 : 7,
      }))
    );
    for (const identity of identities) {
      this.vms.set(identity.id, this.#build(identity, identities));
    }
  }

  get(id: string): TestVm {
    const vm = this.vms.get(id);
    assert.ok(vm);
    return vm;
  }

  kill(id: string): void {
    this.#dead.add(id);
  }

  /** Lets all VMs send one round of heartbeats, `count` times. */
  run(count: number): void {
    for (let i = 0; i < count; i++) {
      this.nowMs += 100;
      const sent = [...this.vms.values()]
        .filter((vm) => !this.#dead.has(vm.identity.id))
        .flatMap((vm) => this.#beginRound(vm));
      for (const deliver of sent) deliver();
    }
  }

  #beginRound(vm: TestVm): (() => void)[] {
    vm.membership.expire(this.nowMs);
    vm.exchange.beginRound();
    const deliveries: (() => void)[] = [];
    for (const peer of this.#listLinked(vm)) {
      // A link that carries nothing else answers to its pings.
      peer.membership.recordContact(vm.identity, this.nowMs);
      const parts = vm.exchange.buildFields(
        this.#link(vm, peer),
        peer.identity,
      );
      if (parts === undefined) continue;
      const heartbeat = buildHeartbeat(parts);
      deliveries.push(() => {
        peer.membership.recordProgress(vm.identity.id, heartbeat);
        peer.exchange.handle(heartbeat, vm.identity);
        peer.mark(heartbeat.changing?.[1] ?? []);
      });
    }
    return deliveries;
  }

  /** Peers that this VM has dialed, or that have dialed it. */
  #listLinked(vm: TestVm): TestVm[] {
    const picks = (a: TestVm, b: TestVm): boolean =>
      a.membership.pickLinkPeers().some(({ id }) => id === b.identity.id);
    return [...this.vms.values()].filter((peer) =>
      peer !== vm && !this.#dead.has(peer.identity.id) &&
      (picks(vm, peer) || picks(peer, vm))
    );
  }

  #link(from: TestVm, to: TestVm): Link {
    const key = `${from.identity.id} ${to.identity.id}`;
    const link = this.#links.get(key) ?? ({} as Link);
    this.#links.set(key, link);
    return link;
  }

  #build(identity: LinkIdentity, all: readonly LinkIdentity[]): TestVm {
    const clock = { readMonotonicMs: () => this.nowMs } as Clock;
    const membership = new Membership({
      self: identity,
      silenceMs: 1200,
      hubs: { minVms: 6, perZone: 2 },
    });
    membership.recordListing(all);
    const parts = {
      workTracker: new WorkTracker(),
      prefixIndex: new PrefixIndex(),
      directory: new TargetDirectory(),
    };
    const vm: TestVm = {
      identity,
      membership,
      ...parts,
      mark: (engines) => {
        for (const id of engines) {
          const untilMs = this.nowMs + CHANGING_MS;
          parts.directory.markChangingRole(id, untilMs, this.nowMs);
        }
      },
      listAgeMs: 0,
      ordered: [],
      exchange: new HubExchange({
        self: identity,
        membership,
        ...parts,
        clock,
        listChangingRole: () => vm.ordered,
        getListAgeMs: () => vm.listAgeMs,
        maxListAgeMs: 1500,
        applyTargets: (entries, isFull) =>
          parts.directory.applyFeed(entries, isFull, this.nowMs),
        onListStale: () => undefined,
        onSourceChange: () => undefined,
      }),
    };
    return vm;
  }
}

function buildHeartbeat(parts: HubFields): Heartbeat {
  const heartbeat = parseMeshMessage({
    kind: "heartbeat",
    configOffset: 1,
    controlOffset: -1,
    intervalMs: 100,
    leaving: false,
    ...parts,
  });
  assert.ok(heartbeat?.kind === "heartbeat");
  return heartbeat;
}

test("every VM sees the work of all others, and its own once", () => {
  const fleet = new TestFleet(["a", "b", "c"], 6);
  fleet.run(WARM_UP_ROUNDS);
  for (const vm of fleet.vms.values()) vm.workTracker.beginRun("e1", 100);
  fleet.run(6);
  for (const { identity, workTracker: ledger } of fleet.vms.values()) {
    assert.deepEqual(
      ledger.getRunLoad("e1", fleet.nowMs),
      { runs: 18, kvTokens: 1800 },
      identity.id,
    );
  }
});

test("work that ended is forgotten everywhere", () => {
  const fleet = new TestFleet(["a", "b"], 6);
  fleet.run(WARM_UP_ROUNDS);
  const end = fleet.get("a-5").workTracker.beginRun("e1", 100);
  fleet.run(6);
  assert.equal(
    fleet.get("b-5").workTracker.getRunLoad("e1", fleet.nowMs).runs,
    1,
  );
  end();
  fleet.run(6);
  for (const { workTracker: ledger } of fleet.vms.values()) {
    assert.equal(ledger.getRunLoad("e1", fleet.nowMs).runs, 0);
  }
});

test("all VMs are counted, by hubs and by others", () => {
  const fleet = new TestFleet(["a", "b", "c"], 6);
  fleet.run(WARM_UP_ROUNDS);
  for (const { exchange, identity } of fleet.vms.values()) {
    assert.equal(exchange.liveVms, 18, identity.id);
  }
});

test("a note of a prompt reaches every VM once it was made by one", () => {
  const fleet = new TestFleet(["a", "b", "c"], 6);
  fleet.run(WARM_UP_ROUNDS);
  fleet.get("a-5").prefixIndex.recordHolder("k1", "e1", "read", fleet.nowMs);
  fleet.run(4);
  for (const { prefixIndex: prompts, identity } of fleet.vms.values()) {
    const [holder] = prompts.listHolders("k1");
    assert.equal(holder?.target, "e1", identity.id);
  }
});

test("a hub tells the list of targets, and what changes in it", () => {
  const fleet = new TestFleet(["a", "b"], 6);
  for (const zone of ["a", "b"]) {
    for (const i of [0, 1]) {
      const { directory } = fleet.get(`${zone}-${i}`);
      directory.applyList([
        { key: "e1", value: buildEngine("e1") },
        { key: "e2", value: buildTarget("e2") },
      ], 0);
    }
  }
  fleet.run(WARM_UP_ROUNDS);
  const member = fleet.get("a-5");
  assert.equal(member.exchange.hasFreshFeed(fleet.nowMs), true);
  assert.deepEqual(member.directory.findTarget("e1"), buildEngine("e1"));
  for (const i of [0, 1]) {
    fleet.get(`a-${i}`).directory.applyChanges([
      { key: "e1" },
      { key: "e2", value: buildTarget("e2", { leaving: true }) },
    ], fleet.nowMs);
  }
  fleet.run(2);
  assert.equal(member.directory.findTarget("e1"), undefined);
  assert.equal(member.directory.findTarget("e2")?.leaving, true);
  assert.equal(fleet.get("b-5").directory.findTarget("e1")?.id, "e1");
});

test("a VM whose hub can't read the store is not fed by it", () => {
  const fleet = new TestFleet(["a"], 6);
  fleet.run(WARM_UP_ROUNDS);
  const member = fleet.get("a-5");
  assert.equal(member.exchange.hasFreshFeed(fleet.nowMs), true);
  for (const i of [0, 1]) fleet.get(`a-${i}`).listAgeMs = Infinity;
  fleet.run(20);
  assert.equal(member.exchange.hasFreshFeed(fleet.nowMs), false);
  for (const i of [0, 1]) fleet.get(`a-${i}`).listAgeMs = 50;
  fleet.run(3);
  assert.equal(member.exchange.hasFreshFeed(fleet.nowMs), true);
});

/** Two zones, all hubs of which list the same two targets. */
function createListed(): TestFleet {
  const fleet = new TestFleet(["a", "b"], 6);
  for (const id of ["a-0", "a-1", "b-0", "b-1"]) {
    fleet.get(id).directory.applyList([
      { key: "t1", value: buildTarget("t1") },
      { key: "t2", value: buildTarget("t2") },
    ], 0);
  }
  fleet.run(WARM_UP_ROUNDS);
  return fleet;
}

/** Hubs that read the store take in that a target is listed no more. */
function remove(fleet: TestFleet, target: string): void {
  for (const { directory, listAgeMs, membership } of fleet.vms.values()) {
    if (!membership.isHub || listAgeMs === Infinity) continue;
    directory.applyChanges([{ key: target }], fleet.nowMs);
  }
}

function listTargets(fleet: TestFleet, vm: string): string[] {
  return fleet.get(vm).directory.listServing("s").map(({ id }) => id);
}

// Seen: hubs that the store turned away went on calling targets that had left for up to seven
// seconds, and every VM that they told of the list began to read the store itself.
test("hubs that the store turns away are told the list by others, and tell it on", () => {
  for (const lost of [["a-0"], ["a-0", "a-1"]]) {
    const fleet = createListed();
    for (const id of lost) fleet.get(id).listAgeMs = Infinity;
    fleet.run(15);
    remove(fleet, "t1");
    for (let i = 0; i < 30; i++) {
      fleet.run(1);
      for (const { exchange, membership, identity } of fleet.vms.values()) {
        const isTold = membership.isHub || exchange.hasFreshFeed(fleet.nowMs);
        assert.equal(isTold, true, `${identity.id} after ${lost}`);
      }
    }
    for (const id of fleet.vms.keys()) {
      assert.deepEqual(listTargets(fleet, id), ["t2"], `${id} after ${lost}`);
    }
  }
});

test("a hub that reads again tells what it has read", () => {
  const fleet = createListed();
  fleet.get("a-0").listAgeMs = Infinity;
  fleet.run(15);
  fleet.get("a-0").listAgeMs = 50;
  fleet.run(2);
  fleet.get("a-0").directory.applyChanges([{ key: "t2" }], fleet.nowMs);
  fleet.get("a-1").directory.applyChanges([{ key: "t2" }], fleet.nowMs);
  fleet.run(2);
  assert.deepEqual(listTargets(fleet, "a-5"), ["t1"]);
});

test("what hubs tell each other of a lost store grows old, and nobody relies on it", () => {
  const fleet = createListed();
  for (const id of ["a-0", "a-1", "b-0", "b-1"]) {
    fleet.get(id).listAgeMs = Infinity;
  }
  fleet.run(30);
  for (const { exchange } of fleet.vms.values()) {
    assert.equal(exchange.hasFreshFeed(fleet.nowMs), false);
  }
});

test("when hubs die the other ones take over, and the sums are whole again", () => {
  const fleet = new TestFleet(["a", "b"], 8);
  fleet.run(WARM_UP_ROUNDS);
  for (const vm of fleet.vms.values()) vm.workTracker.beginRun("e1", 1);
  fleet.kill("a-0");
  fleet.run(8);
  assert.equal(fleet.get("a-5").exchange.hasFreshFeed(fleet.nowMs), true);
  fleet.kill("a-1");
  fleet.run(40);
  for (
    const { identity, workTracker: ledger, exchange } of fleet.vms.values()
  ) {
    if (identity.id === "a-0" || identity.id === "a-1") continue;
    const { runs } = ledger.getRunLoad("e1", fleet.nowMs);
    assert.equal(runs, 14, identity.id);
    const isHub = fleet.get(identity.id).membership.isHub;
    assert.equal(
      isHub || exchange.hasFreshFeed(fleet.nowMs),
      true,
      identity.id,
    );
  }
});

test("an order's mark reaches every VM, and is forgotten everywhere once it is carried out", () => {
  const fleet = new TestFleet(["a", "b"], 6);
  fleet.run(WARM_UP_ROUNDS);
  const hub = fleet.get("a-0");
  const countMarked = (): number =>
    [...fleet.vms.values()].filter((vm) =>
      vm.directory.hasRoleChange("e1", fleet.nowMs)
    ).length;
  hub.ordered = ["e1"];
  hub.mark(hub.ordered);
  fleet.run(4);
  assert.equal(countMarked(), 12);
  hub.ordered = [];
  // A VM hears last of it from a hub whose own mark has just lapsed.
  fleet.run(40);
  assert.equal(countMarked(), 0);
});

/** The last word of a hub of zone a on the list, sent now by a store that it reads. */
function buildWord(ageMs: number): Heartbeat {
  return buildHeartbeat({
    digest: { scope: "fleet", counted: -1, vms: 6, work: [] },
    targets: { ageMs, isFull: false, rows: [] },
  });
}

// A VM stands still, its hubs are lost meanwhile, and what the hub sent before waits in the socket.
test("a word that waited while the VM stood still is not taken for fresh", () => {
  for (const waitedMs of [0, 2500]) {
    const fleet = createListed();
    const { exchange } = fleet.get("a-5");
    for (const id of ["a-0", "a-1"]) fleet.kill(id);
    fleet.nowMs += 2500;
    for (const id of ["a-0", "a-1"]) {
      exchange.handle(buildWord(50), fleet.get(id).identity, waitedMs);
    }
    assert.equal(exchange.hasFreshFeed(fleet.nowMs), waitedMs === 0);
  }
});

test("time that the clock did not count makes a hub's word older", () => {
  const fleet = createListed();
  const { exchange } = fleet.get("a-5");
  assert.equal(exchange.hasFreshFeed(fleet.nowMs), true);
  exchange.addUncountedMs(2500);
  assert.equal(exchange.hasFreshFeed(fleet.nowMs), false);
});
