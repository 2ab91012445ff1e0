import assert from "node:assert/strict";
import { test } from "node:test";
import { type Clock } from "heatherarch-core";
import { ReturnBook } from "heatherarch-returns";
import { FairShares, type UseRow } from "heatherarch-shares";
import {
  type Heartbeat,
  type Link,
  type LinkIdentity,
  Membership,
  parseMeshMessage,
} from "heatherarch-mesh";
import {
  ActiveConfig,
  buildFleetSums,
  FleetDemand,
  HubExchange,
  type HubFields,
  PrefixIndex,
  SumExchange,
  TargetDirectory,
  TargetFailures,
  WorkTracker,
} from "../../mod.ts";
import { buildConfig, buildEngine, buildTarget } from "./fixtures.ts";

/** Rounds after which VMs no longer use hubs that they chose before they heard of the real ones. */
const WARM_UP_ROUNDS = 30;

/** Time for which a VM keeps the mark of an engine that is changing its role, milliseconds. */
const CHANGING_ROLE_MS = 1500;

/** One VM with its state, without sockets. */
interface TestVm {
  readonly identity: LinkIdentity;
  readonly membership: Membership;
  readonly workTracker: WorkTracker;
  readonly fleetDemand: FleetDemand;
  readonly shares: FairShares;
  readonly returns: ReturnBook;
  readonly targetFailures: TargetFailures;
  readonly prefixIndex: PrefixIndex;
  readonly directory: TargetDirectory;
  readonly activeConfig: ActiveConfig;
  readonly exchange: HubExchange;
  /** Marks engines as changing their role, as a VM does on a heartbeat that lists them. */
  readonly markChangingRole: (engines: readonly string[]) => void;
  listAgeMs: number;
  /** Engines that this VM has ordered to change their role. */
  orderedEngines: string[];
}

/** VMs of several zones that exchange heartbeats as over a mesh. */
class TestFleet {
  readonly vms = new Map<string, TestVm>();
  readonly #links = new Map<string, Link>();
  readonly #dead = new Set<string>();
  /** VMs of an older version, which neither send nor read sums. */
  readonly olderVms = new Set<string>();
  /** Number of times that each heartbeat arrives. */
  copies = 1;
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

  /** Runs `count` rounds in which all VMs send heartbeats. */
  run(count: number): void {
    for (let i = 0; i < count; i++) {
      this.nowMs += 100;
      const deliveries = [...this.vms.values()]
        .filter((vm) => !this.#dead.has(vm.identity.id))
        .flatMap((vm) => this.#beginRound(vm));
      for (const deliver of deliveries) deliver();
    }
  }

  /** Lists the fields that a VM sends in one more round. */
  listFields(vm: TestVm): HubFields[] {
    vm.exchange.beginRound();
    return this.#listLinkedPeers(vm)
      .map((peer) =>
        vm.exchange.buildFields(this.#link(vm, peer), peer.identity)
      )
      .filter((fields) => fields !== undefined);
  }

  #beginRound(vm: TestVm): (() => void)[] {
    vm.membership.expire(this.nowMs);
    vm.exchange.beginRound();
    const deliveries: (() => void)[] = [];
    for (const peer of this.#listLinkedPeers(vm)) {
      // A link without heartbeats still answers pings.
      peer.membership.recordContact(vm.identity, this.nowMs);
      const fields = vm.exchange.buildFields(
        this.#link(vm, peer),
        peer.identity,
      );
      if (fields === undefined) continue;
      const isOlder = this.olderVms.has(vm.identity.id) ||
        this.olderVms.has(peer.identity.id);
      const heartbeat = buildHeartbeat(isOlder ? dropSums(fields) : fields);
      const deliver = (): void => {
        peer.membership.recordProgress(vm.identity.id, heartbeat);
        peer.exchange.handle(heartbeat, vm.identity);
        peer.markChangingRole(heartbeat.changing?.[1] ?? []);
      };
      for (let i = 0; i < this.copies; i++) deliveries.push(deliver);
    }
    return deliveries;
  }

  /** Lists peers that this VM keeps a link to, or that keep one to it. */
  #listLinkedPeers(vm: TestVm): TestVm[] {
    const keepsLink = (a: TestVm, b: TestVm): boolean =>
      a.membership.pickLinkPeers().some(({ id }) => id === b.identity.id);
    return [...this.vms.values()].filter((peer) =>
      peer !== vm && !this.#dead.has(peer.identity.id) &&
      (keepsLink(vm, peer) || keepsLink(peer, vm))
    );
  }

  #link(from: TestVm, to: TestVm): Link {
    const key = `${from.identity.id} ${to.identity.id}`;
    const link = this.#links.get(key) ?? ({} as Link);
    this.#links.set(key, link);
    return link;
  }

  #build(identity: LinkIdentity, all: readonly LinkIdentity[]): TestVm {
    const readMs = (): number => this.nowMs;
    const clock = {
      readMonotonicMs: readMs,
      readBootMs: readMs,
    } as Clock;
    const activeConfig = new ActiveConfig({ clock });
    activeConfig.applyConfig(buildConfig({ version: 1 }), "store");
    const membership = new Membership({
      self: identity,
      silenceMs: 1200,
      hubs: { minVms: 6, perZone: 2 },
    });
    membership.recordListing(all);
    const components = {
      workTracker: new WorkTracker(),
      fleetDemand: new FleetDemand(),
      needsCallRates: () => true,
      prefixIndex: new PrefixIndex(),
      directory: new TargetDirectory(),
      activeConfig,
    };
    const shares = new FairShares();
    const targetFailures = new TargetFailures();
    const returns = new ReturnBook({
      computeShare: () => 1,
      drawUnit: () => 0,
    });
    const vm: TestVm = {
      identity,
      membership,
      ...components,
      shares,
      returns,
      targetFailures,
      markChangingRole: (engines) => {
        for (const id of engines) {
          const untilMs = this.nowMs + CHANGING_ROLE_MS;
          components.directory.markChangingRole(id, untilMs, this.nowMs);
        }
      },
      listAgeMs: 0,
      orderedEngines: [],
      exchange: new HubExchange({
        self: identity,
        membership,
        ...components,
        sums: new SumExchange(
          buildFleetSums({ shares, returns, targetFailures }),
        ),
        clock,
        listChangingRole: () => vm.orderedEngines,
        getListAgeMs: () => vm.listAgeMs,
        maxListAgeMs: 1500,
        applyTargets: (entries, isFull) =>
          components.directory.applyFeed(entries, isFull, this.nowMs),
        onListStale: () => undefined,
        onSourceChange: () => undefined,
      }),
    };
    return vm;
  }
}

/** Removes the fields that an older version does not know. */
function dropSums(
  { accountUse: _, dueReturns: __, digest, ...fields }: HubFields,
): HubFields {
  if (digest === undefined) return fields;
  const { accountUse: ___, dueReturns: ____, ...olderDigest } = digest;
  return { ...fields, digest: olderDigest };
}

function buildHeartbeat(fields: HubFields): Heartbeat {
  const heartbeat = parseMeshMessage({
    kind: "heartbeat",
    configOffset: 1,
    controlOffset: -1,
    intervalMs: 100,
    leaving: false,
    ...fields,
  });
  assert.ok(heartbeat?.kind === "heartbeat");
  return heartbeat;
}

test("the VMs' shares of a rate limit follow their calls and add up to 1", () => {
  const fleet = new TestFleet(["a", "b", "c"], 6);
  fleet.run(WARM_UP_ROUNDS);
  const vms = [...fleet.vms.values()];
  for (let round = 0; round < 30; round++) {
    for (const { fleetDemand } of vms) fleetDemand.recordCall(fleet.nowMs);
    for (let i = 0; i < 18; i++) {
      fleet.get("c-5").fleetDemand.recordCall(fleet.nowMs);
    }
    fleet.run(1);
  }
  for (const { fleetDemand } of vms) fleetDemand.setVmCount(vms.length);
  const shares = vms.map(({ identity, fleetDemand }) => ({
    id: identity.id,
    share: fleetDemand.computeShare(fleet.nowMs),
  }));
  const sum = shares.reduce((total, { share }) => total + share, 0);
  assert.ok(sum > 0.9 && sum < 1.1, `${sum}`);
  const busiest = shares.find(({ id }) => id === "c-5")?.share ?? 0;
  assert.ok(busiest > 0.45 && busiest < 0.6, `${busiest}`);
});

/** Lets all VMs record 10 ms of work each 100 ms, and returns use that a VM knows of. */
function runWork(
  fleet: TestFleet,
  rounds: number,
  vms = [...fleet.vms.values()],
): void {
  for (let round = 0; round < rounds; round++) {
    for (const { shares } of vms) {
      shares.recordWork("s", "large", 10, fleet.nowMs);
    }
    fleet.run(1);
  }
}

function getUse(fleet: TestFleet, vm: string): number {
  const { shares } = fleet.get(vm);
  return shares.listShares(fleet.nowMs)[0]?.workMs ?? 0;
}

/** Work of one VM at 0.1 slots, summed with a time constant of 3 s. */
const STEADY_USE_MS = 300;

test("every VM knows the use of an account over the fleet, with its own once", () => {
  const fleet = new TestFleet(["a", "b", "c"], 6);
  fleet.run(WARM_UP_ROUNDS);
  runWork(fleet, 200);
  for (const id of fleet.vms.keys()) {
    const parts = getUse(fleet, id) / STEADY_USE_MS;
    assert.ok(parts > 17 && parts < 19, `${id}: ${parts} of 18`);
  }
});

test("use that ended is forgotten everywhere, and nothing is sent for it", () => {
  const fleet = new TestFleet(["a", "b"], 6);
  fleet.run(WARM_UP_ROUNDS);
  const vm = fleet.get("a-5");
  vm.shares.recordWork("s", "large", 400, fleet.nowMs);
  fleet.run(20);
  assert.ok(getUse(fleet, "b-5") > 100, `${getUse(fleet, "b-5")}`);
  fleet.run(300);
  for (const id of fleet.vms.keys()) assert.equal(getUse(fleet, id), 0, id);
  const sent = [...fleet.vms.values()].flatMap((from) =>
    fleet.listFields(from)
  );
  assert.ok(sent.length > 0);
  assert.ok(
    sent.every(({ accountUse, dueReturns, digest }) =>
      accountUse === undefined && dueReturns === undefined &&
      digest?.accountUse === undefined && digest?.dueReturns === undefined
    ),
  );
});

// The other hub of a zone has the same sums. VMs that choose a new hub know less until it has heard of
// all others, and never count any use twice.
test("use stays known at a zone's other hub, and returns to all VMs, when a hub is lost", () => {
  const fleet = new TestFleet(["a", "b"], 6);
  fleet.run(WARM_UP_ROUNDS);
  runWork(fleet, 200);
  const before = getUse(fleet, "a-5");
  fleet.kill("a-0");
  fleet.kill("b-0");
  const vms = [...fleet.vms.values()].filter(({ identity }) =>
    !["a-0", "b-0"].includes(identity.id)
  );
  for (let i = 0; i < 40; i++) {
    runWork(fleet, 1, vms);
    for (const { identity: { id } } of vms) {
      const share = getUse(fleet, id) / before;
      assert.ok(share < 1.05, `${id} ${i}: ${share}`);
      // Two of twelve VMs are gone.
      if (i < 22 && id !== "a-1" && id !== "b-1") continue;
      assert.ok(share > 0.8, `${id} ${i}: ${share}`);
    }
  }
});

test("rows that arrive twice count once", () => {
  const fleet = new TestFleet(["a", "b"], 6);
  fleet.copies = 2;
  fleet.run(WARM_UP_ROUNDS);
  runWork(fleet, 200);
  for (const id of fleet.vms.keys()) {
    const parts = getUse(fleet, id) / STEADY_USE_MS;
    assert.ok(parts > 11 && parts < 13, `${id}: ${parts} of 12`);
  }
});

test("a VM behind hubs of an older version knows its own use only", () => {
  const fleet = new TestFleet(["a", "b"], 6);
  for (const hub of ["a-0", "a-1"]) fleet.olderVms.add(hub);
  fleet.run(WARM_UP_ROUNDS);
  runWork(fleet, 200);
  const own = getUse(fleet, "a-5") / STEADY_USE_MS;
  assert.ok(own > 0.9 && own < 1.1, `${own}`);
  const zone = getUse(fleet, "b-5") / STEADY_USE_MS;
  assert.ok(zone > 5.5 && zone < 6.5, `${zone} of 6`);
});

test("use that a cut-off VM knows of others expires", () => {
  const fleet = new TestFleet(["a", "b"], 6);
  fleet.run(WARM_UP_ROUNDS);
  runWork(fleet, 100);
  for (const id of fleet.vms.keys()) if (id !== "a-5") fleet.kill(id);
  runWork(fleet, 17, [fleet.get("a-5")]);
  const own = getUse(fleet, "a-5") / STEADY_USE_MS;
  assert.ok(own > 0.9 && own < 1.1, `${own}`);
});

test("every VM counts the due returns of all others, and its own once", () => {
  const fleet = new TestFleet(["a", "b", "c"], 6);
  fleet.run(WARM_UP_ROUNDS);
  for (const { returns } of fleet.vms.values()) {
    const request = { workMs: 10, earliestMs: 0, latestMs: 40, roomPerMs: 1 };
    returns.book("s", request, fleet.nowMs);
  }
  fleet.run(9);
  for (const { returns, identity } of fleet.vms.values()) {
    const due = returns.sumDue(fleet.nowMs, true);
    assert.deepEqual(due, [["s", 18]], identity.id);
  }
  fleet.run(60);
  for (const { returns } of fleet.vms.values()) {
    assert.deepEqual(returns.sumDue(fleet.nowMs, true), []);
  }
});

test("rows of sums that are malformed are rejected", () => {
  const isAccepted = (accountUse: unknown) =>
    parseMeshMessage({
      kind: "heartbeat",
      configOffset: 1,
      controlOffset: -1,
      intervalMs: 100,
      leaving: false,
      accountUse,
    }) !== undefined;
  const row: UseRow = ["s", "a", 5, 1];
  assert.ok(isAccepted([row]) && isAccepted([]));
  const malformed = [
    row,
    [["s", "a", 5]],
    [["s", "a", -1, 1]],
    [["s", "a", 0.5, 1]],
    [["s", "a", 5, "1"]],
    [[1, "a", 5, 1]],
    [["s", "a".repeat(2000), 5, 1]],
  ];
  for (const rows of malformed) assert.ok(!isAccepted(rows), `${rows}`);
});

test("every VM counts the work of all others, and its own once", () => {
  const fleet = new TestFleet(["a", "b", "c"], 6);
  fleet.run(WARM_UP_ROUNDS);
  for (const vm of fleet.vms.values()) vm.workTracker.beginRun("e1", 100);
  fleet.run(6);
  for (const { identity, workTracker } of fleet.vms.values()) {
    assert.deepEqual(
      workTracker.getRunLoad("e1", fleet.nowMs),
      { runs: 18, kvTokens: 1800 },
      identity.id,
    );
  }
});

test("work that ended is removed on every VM", () => {
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
  for (const { workTracker } of fleet.vms.values()) {
    assert.equal(workTracker.getRunLoad("e1", fleet.nowMs).runs, 0);
  }
});

test("hubs and other VMs count all live VMs", () => {
  const fleet = new TestFleet(["a", "b", "c"], 6);
  fleet.run(WARM_UP_ROUNDS);
  for (const { exchange, identity } of fleet.vms.values()) {
    assert.equal(exchange.liveVms, 18, identity.id);
  }
});

test("a prefix holder that one VM records reaches every VM", () => {
  const fleet = new TestFleet(["a", "b", "c"], 6);
  fleet.run(WARM_UP_ROUNDS);
  fleet.get("a-5").prefixIndex.recordHolder("k1", "e1", "read", fleet.nowMs);
  fleet.run(4);
  for (const { prefixIndex, identity } of fleet.vms.values()) {
    const [holder] = prefixIndex.listHolders("k1");
    assert.equal(holder?.target, "e1", identity.id);
  }
});

test("a hub sends the target list and its changes", () => {
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

test("a VM has no fresh feed while its hubs can't read the store", () => {
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

/** Creates two zones whose hubs all list the same two targets. */
function createFleetWithTargets(): TestFleet {
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

/** Removes a target from the list of each hub that can read the store. */
function removeTarget(fleet: TestFleet, target: string): void {
  for (const { directory, listAgeMs, membership } of fleet.vms.values()) {
    if (!membership.isHub || listAgeMs === Infinity) continue;
    directory.applyChanges([{ key: target }], fleet.nowMs);
  }
}

function listTargets(fleet: TestFleet, vm: string): string[] {
  return fleet.get(vm).directory.listServing("s").map(({ id }) => id);
}

// Hubs whose reads the store refused continued to call targets for up to seven seconds after these
// had left, and every VM that received the list from them began to read the store itself.
test("hubs whose reads the store refuses receive the list from other hubs and forward it", () => {
  for (const hubsWithoutStore of [["a-0"], ["a-0", "a-1"]]) {
    const fleet = createFleetWithTargets();
    for (const id of hubsWithoutStore) fleet.get(id).listAgeMs = Infinity;
    fleet.run(15);
    removeTarget(fleet, "t1");
    for (let i = 0; i < 30; i++) {
      fleet.run(1);
      for (const { exchange, membership, identity } of fleet.vms.values()) {
        const hasList = membership.isHub || exchange.hasFreshFeed(fleet.nowMs);
        assert.equal(hasList, true, `${identity.id} after ${hubsWithoutStore}`);
      }
    }
    for (const id of fleet.vms.keys()) {
      assert.deepEqual(
        listTargets(fleet, id),
        ["t2"],
        `${id} after ${hubsWithoutStore}`,
      );
    }
  }
});

test("a hub that can read the store again sends what it has read", () => {
  const fleet = createFleetWithTargets();
  fleet.get("a-0").listAgeMs = Infinity;
  fleet.run(15);
  fleet.get("a-0").listAgeMs = 50;
  fleet.run(2);
  fleet.get("a-0").directory.applyChanges([{ key: "t2" }], fleet.nowMs);
  fleet.get("a-1").directory.applyChanges([{ key: "t2" }], fleet.nowMs);
  fleet.run(2);
  assert.deepEqual(listTargets(fleet, "a-5"), ["t1"]);
});

test("a list that hubs forward while none can read the store expires", () => {
  const fleet = createFleetWithTargets();
  for (const id of ["a-0", "a-1", "b-0", "b-1"]) {
    fleet.get(id).listAgeMs = Infinity;
  }
  fleet.run(30);
  for (const { exchange } of fleet.vms.values()) {
    assert.equal(exchange.hasFreshFeed(fleet.nowMs), false);
  }
});

test("other hubs take over from failed ones, and the digests are complete again", () => {
  const fleet = new TestFleet(["a", "b"], 8);
  fleet.run(WARM_UP_ROUNDS);
  for (const vm of fleet.vms.values()) vm.workTracker.beginRun("e1", 1);
  fleet.kill("a-0");
  fleet.run(8);
  assert.equal(fleet.get("a-5").exchange.hasFreshFeed(fleet.nowMs), true);
  fleet.kill("a-1");
  fleet.run(40);
  for (const { identity, workTracker, exchange } of fleet.vms.values()) {
    if (identity.id === "a-0" || identity.id === "a-1") continue;
    const { runs } = workTracker.getRunLoad("e1", fleet.nowMs);
    assert.equal(runs, 14, identity.id);
    const isHub = fleet.get(identity.id).membership.isHub;
    assert.equal(
      isHub || exchange.hasFreshFeed(fleet.nowMs),
      true,
      identity.id,
    );
  }
});

test("the mark of an ordered role change reaches every VM, and expires once the order is done", () => {
  const fleet = new TestFleet(["a", "b"], 6);
  fleet.run(WARM_UP_ROUNDS);
  const hub = fleet.get("a-0");
  const countMarked = (): number =>
    [...fleet.vms.values()].filter((vm) =>
      vm.directory.hasRoleChange("e1", fleet.nowMs)
    ).length;
  hub.orderedEngines = ["e1"];
  hub.markChangingRole(hub.orderedEngines);
  fleet.run(4);
  assert.equal(countMarked(), 12);
  hub.orderedEngines = [];
  // A VM receives the mark last from a hub whose own mark is about to expire.
  fleet.run(40);
  assert.equal(countMarked(), 0);
});

/** Builds a heartbeat of a hub of zone a with a feed without changes of the given age. */
function buildFeedHeartbeat(ageMs: number): Heartbeat {
  return buildHeartbeat({
    digest: { scope: "fleet", counted: -1, vms: 6, work: [] },
    targets: { ageMs, isFull: false, rows: [] },
  });
}

// A VM stalls, its hubs fail meanwhile, and their earlier heartbeats wait in the VM's socket.
test("a feed that waited in the socket while the VM stalled does not count as fresh", () => {
  for (const waitedMs of [0, 2500]) {
    const fleet = createFleetWithTargets();
    const { exchange } = fleet.get("a-5");
    for (const id of ["a-0", "a-1"]) fleet.kill(id);
    fleet.nowMs += 2500;
    for (const id of ["a-0", "a-1"]) {
      exchange.handle(buildFeedHeartbeat(50), fleet.get(id).identity, waitedMs);
    }
    assert.equal(exchange.hasFreshFeed(fleet.nowMs), waitedMs === 0);
  }
});

test("time that the clock did not count makes a hub's feed older", () => {
  const fleet = createFleetWithTargets();
  const { exchange } = fleet.get("a-5");
  assert.equal(exchange.hasFreshFeed(fleet.nowMs), true);
  exchange.addUncountedMs(2500);
  assert.equal(exchange.hasFreshFeed(fleet.nowMs), false);
});

test("a hub confirms the configuration to the VMs of its zone", () => {
  const fleet = new TestFleet(["a", "b", "c"], 4);
  fleet.run(WARM_UP_ROUNDS);
  const vm = fleet.get("a-3");
  assert.equal(vm.activeConfig.getAgeMs(), Infinity);
  for (const { activeConfig, membership } of fleet.vms.values()) {
    const now = { monotonicMs: fleet.nowMs, bootMs: fleet.nowMs };
    if (membership.isHub) activeConfig.recordNewest(1, now);
  }
  fleet.run(2);
  // The hub's confirmation, and one heartbeat in either direction.
  assert.ok(vm.activeConfig.getAgeMs() <= 400, `${vm.activeConfig.getAgeMs()}`);
  fleet.run(20);
  assert.ok(vm.activeConfig.getAgeMs() >= 2000);
  assert.ok(vm.exchange.getConfigConfirmationAgeMs() >= 2000);
});

// A cut connection delivers what it held back when it heals. The age that a hub stated back then
// must not count from the arrival.
test("a confirmation that is held back on its way is no newer than the heartbeat it answers", () => {
  const fleet = new TestFleet(["a", "b", "c"], 4);
  fleet.run(WARM_UP_ROUNDS);
  const vm = fleet.get("a-3");
  const sentAtMs = fleet.nowMs;
  const hubs = [...fleet.vms.values()].filter(({ identity, membership }) =>
    membership.isHub && identity.availabilityZone === "a"
  );
  const held = hubs.map((hub) => ({
    hub,
    heartbeat: buildHeartbeat({
      digest: { scope: "fleet", vms: 12, work: [], counted: WARM_UP_ROUNDS },
      configAgeMs: 10,
    }),
  }));
  fleet.nowMs += 6000;
  for (const { hub, heartbeat } of held) {
    vm.exchange.handle(heartbeat, hub.identity);
  }
  assert.equal(vm.activeConfig.getAgeMs(), fleet.nowMs - sentAtMs + 10);
});

// Guards against VMs that each have to be failed by a target that other VMs know to fail.
test("failures of a target reach all VMs over hubs, each counted once", () => {
  const fleet = new TestFleet(["a", "b"], 6);
  fleet.run(WARM_UP_ROUNDS);
  for (const id of ["a-4", "b-5"]) {
    fleet.get(id).targetFailures.recordAttempt("t0", true, fleet.nowMs);
  }
  fleet.run(4);
  for (const [id, { targetFailures }] of fleet.vms) {
    const [row] = targetFailures.sumRows(fleet.nowMs, true);
    assert.ok(row !== undefined, id);
    assert.ok(row[2] > 10 && row[2] <= 20, `${id}: ${row}`);
  }
});
