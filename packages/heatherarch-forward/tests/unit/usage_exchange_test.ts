import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "heatherarch-core";
import {
  type CallHandler,
  type Link,
  type LinkIdentity,
  Membership,
} from "heatherarch-mesh";
import { UsageMeter } from "heatherarch-usage";
import { MemoryEventLog, UsageExchange } from "../../mod.ts";

const WINDOW = 7;
const LINK = {} as Link;

/** VMs that request each other's counts without a network. */
class TestMesh {
  readonly #handlers = new Map<string, CallHandler>();

  /** Adds a VM and returns its exchange with the state that tests change. */
  add(id: string, availabilityZone: string) {
    const self = buildIdentity(id, availabilityZone);
    const clock = new ManualClock();
    const membership = new Membership({ self, silenceMs: 1200 });
    const meter = new UsageMeter();
    const exchange = new UsageExchange({
      self,
      node: {
        call: (peer: string, _: string, body: unknown) =>
          this.#call(peer, body, self),
        registerCall: (_: string, handler: CallHandler) => {
          this.#handlers.set(id, handler);
          return () => undefined;
        },
      },
      membership,
      meter,
      clock,
      log: new MemoryEventLog(),
    });
    exchange.start();
    return { self, clock, membership, meter, exchange };
  }

  remove(id: string): void {
    this.#handlers.delete(id);
  }

  #call(peer: string, body: unknown, from: LinkIdentity): Promise<unknown> {
    const handler = this.#handlers.get(peer);
    return handler?.(body, from) ?? Promise.reject(new Error("timed out"));
  }
}

type TestVm = ReturnType<TestMesh["add"]>;

function buildIdentity(id: string, availabilityZone: string): LinkIdentity {
  return {
    id,
    incarnation: `${id}/1`,
    availabilityZone,
    mesh: "127.0.0.1:1",
    capacity: 1,
  };
}

/** Creates one hub in each of two zones, some time after a window ended by all clocks. */
function createHubs() {
  const mesh = new TestMesh();
  const a = mesh.add("a", "zone-a");
  const b = mesh.add("b", "zone-b");
  const endMs = a.clock.readWallMs();
  for (const { clock } of [a, b]) clock.advance(1000);
  introduce(a, b);
  return { mesh, a, b, endMs };
}

function introduce(...vms: TestVm[]): void {
  for (const { membership, clock } of vms) {
    for (const { self } of vms) {
      membership.recordContact(self, clock.readMonotonicMs());
    }
  }
}

test("the counts of all zones are summed, each VM's once", async () => {
  const { a, b, endMs } = createHubs();
  a.meter.add(WINDOW, "acme");
  b.meter.add(WINDOW, "acme");
  b.meter.add(WINDOW, "beta");
  const usage = b.exchange.buildFields(LINK, a.self);
  a.exchange.handle(usage as Parameters<UsageExchange["handle"]>[0], b.self);
  assert.deepEqual(b.exchange.buildFields(LINK, a.self), {});
  assert.deepEqual(await a.exchange.collect(WINDOW, endMs, ["a", "b"]), {
    counts: { acme: 2, beta: 1 },
    isOver: true,
    isComplete: true,
  });
});

test("counts are incomplete while a zone's hub does not respond", async () => {
  const { mesh, a, b, endMs } = createHubs();
  b.meter.add(WINDOW, "acme");
  mesh.remove("b");
  const { isComplete, counts } = await a.exchange
    .collect(WINDOW, endMs, ["a", "b"]);
  assert.equal(isComplete, false);
  assert.deepEqual(counts, {});
});

test("counts are incomplete while a VM has told nothing since the window ended", async () => {
  const { a, b, endMs } = createHubs();
  const plain = buildIdentity("b2", "zone-b");
  const collect = async () =>
    (await a.exchange.collect(WINDOW, endMs, ["a", "b"])).isComplete;
  b.membership.recordContact(plain, 200);
  assert.equal(await collect(), false);
  b.membership.recordContact(plain, 301);
  assert.equal(await collect(), true);
});

test("a VM that was silent long before the window ended is not awaited", async () => {
  const { a, b, endMs } = createHubs();
  b.membership.recordContact(buildIdentity("b2", "zone-b"), -15_001);
  const { isComplete } = await a.exchange.collect(WINDOW, endMs, ["a", "b"]);
  assert.equal(isComplete, true);
});

// The wall clock of the reporting VM is set forward in the middle of a window.
test("a window is over by the time of most VMs, not by that of the one that asks", async () => {
  const { mesh, a, b, endMs } = createHubs();
  const c = mesh.add("c", "zone-a");
  introduce(a, b, c);
  for (const { clock } of [b, c]) clock.jumpWall(-60_000);
  const hubs = ["a", "b", "c"];
  assert.equal((await a.exchange.collect(WINDOW, endMs, hubs)).isOver, false);
  for (const { clock } of [b, c]) clock.jumpWall(60_000);
  assert.equal((await a.exchange.collect(WINDOW, endMs, hubs)).isOver, true);
});
