import assert from "node:assert/strict";
import { test } from "node:test";
import { type Clock, sleep } from "heatherarch-core";
import {
  ForwardMetrics,
  MemoryEventLog,
  PathMonitor,
  type Target,
  TargetBackoffs,
  TargetDirectory,
  TargetHealth,
} from "../../mod.ts";
import { buildEngine, buildRateLimits, buildTarget } from "./fixtures.ts";

/** Builds a monitor whose probes reach the targets in `reachable`. */
function buildMonitor(targets: readonly Target[]) {
  let skippedMs = 0;
  const clock = {
    readMonotonicMs: () => performance.now() + skippedMs,
  } as unknown as Clock;
  const directory = new TargetDirectory();
  directory.applyList(
    targets.map((value) => ({ key: value.id, value })),
    clock.readMonotonicMs(),
  );
  const reachable = new Set(targets.map(({ id }) => id));
  const refusing = new Set<string>();
  const probed: string[] = [];
  const renewed: string[] = [];
  const health = new TargetHealth();
  const log = new MemoryEventLog();
  const monitor = new PathMonitor({
    clock,
    log,
    metrics: new ForwardMetrics(),
    directory,
    backoffs: new TargetBackoffs(),
    health,
    ...buildRateLimits(),
    connections: { renew: (ids) => void renewed.push(...ids) },
    probe: (target) => {
      probed.push(target.id);
      if (reachable.has(target.id)) return Promise.resolve("response");
      return Promise.resolve(refusing.has(target.id) ? "refused" : "silent");
    },
    drawUnit: () => 0.5,
  });
  return {
    monitor,
    log,
    health,
    reachable,
    refusing,
    probed,
    renewed,
    events: () => log.lines.map(({ event }) => event),
    skip: (ms: number) => void (skippedMs += ms),
  };
}

const PLAIN = ["a", "b", "c", "d"].map((id) => buildTarget(id));

test("a failed attempt does not lose the path while any probed target responds", async () => {
  const { monitor, reachable, probed } = buildMonitor(PLAIN);
  reachable.delete("a");
  monitor.recordTrouble(PLAIN[0]);
  await sleep(5);
  assert.equal(monitor.hasPath("s"), true);
  assert.equal(probed.length, 4);
  monitor.stop();
});

// Guards against a lost path where most of a service's targets have crashed and are still listed.
test("one target of a small service that responds keeps the path", async () => {
  const { monitor, reachable } = buildMonitor(PLAIN);
  for (const id of ["a", "b", "c"]) reachable.delete(id);
  monitor.recordTrouble(PLAIN[0]);
  await sleep(5);
  assert.equal(monitor.hasPath("s"), true);
  monitor.stop();
});

// Guards against a VM that finds out call by call that it reaches no target.
test("the path is lost when no probed target responds, and back with the first response", async () => {
  const { monitor, reachable, renewed, events } = buildMonitor(PLAIN);
  let losses = 0;
  monitor.registerLossListener("s", () => losses++);
  reachable.clear();
  monitor.recordTrouble(PLAIN[0]);
  await sleep(5);
  assert.equal(monitor.hasPath("s"), false);
  assert.equal(monitor.hasPath("other"), true);
  assert.equal(await monitor.confirmPath("s"), false);
  assert.equal(losses, 1);
  assert.deepEqual(renewed.sort(), ["a", "b", "c", "d"]);
  reachable.add("c");
  monitor.recordContact(PLAIN[2]);
  assert.equal(monitor.hasPath("s"), true);
  assert.deepEqual(events(), ["pathLost", "pathRegained"]);
  monitor.stop();
});

test("probes find out that the path is back, and avoidances from the loss end", async () => {
  const { monitor, reachable, health } = buildMonitor(PLAIN);
  reachable.clear();
  for (let i = 0; i < 4; i++) {
    health.recordOutcome("b", "unreachable", performance.now());
  }
  monitor.recordTrouble(PLAIN[0]);
  await sleep(5);
  for (const { id } of PLAIN) reachable.add(id);
  await sleep(400);
  // The probe's response reaches the monitor as any other response does.
  monitor.recordContact(PLAIN[0]);
  assert.equal(monitor.hasPath("s"), true);
  assert.equal(health.isAvoided("b", performance.now()), false);
  assert.equal(health.isReachable("b"), true);
  monitor.stop();
});

// A sound target may fall silent for a second, which is no lost path.
test("a single target that is silent for a moment is no lost path", async () => {
  const { monitor, reachable, skip } = buildMonitor([buildTarget("a")]);
  reachable.clear();
  monitor.recordTrouble(buildTarget("a"));
  await sleep(5);
  assert.equal(monitor.hasPath("s"), true);
  skip(1300);
  await sleep(300);
  assert.equal(monitor.hasPath("s"), false);
  monitor.stop();
});

test("a service of engines needs paths to engines of each role", async () => {
  const engines = ["p1", "p2"].map((id) => buildEngine(id))
    .concat(["d1", "d2"].map((id) => buildEngine(id, { role: "decode" })));
  const { monitor, reachable } = buildMonitor(engines);
  reachable.delete("d1");
  reachable.delete("d2");
  assert.equal(await monitor.confirmPath("s"), false);
  assert.equal(monitor.hasPath("s"), false);
  assert.equal(monitor.hasAllPaths, false);
  monitor.stop();
});

// Guards against accusations of requests by a VM whose own path refuses connections.
test("a refusal is credible only if another target responds", async () => {
  const { monitor, reachable } = buildMonitor(PLAIN);
  reachable.delete("a");
  assert.equal(await monitor.confirmRefusal(PLAIN[0]), true);
  reachable.clear();
  assert.equal(await monitor.confirmRefusal(PLAIN[0]), false);
  monitor.stop();
});

// Guards against all VMs that took the crash of all decode engines for a lost path of their own, and
// handed calls over to each other.
test("targets that all refuse connections while others respond have crashed; the path is not lost", async () => {
  const decodeEngines = ["d1", "d2"].map((id) =>
    buildEngine(id, { role: "decode" })
  );
  const { monitor, reachable, refusing, events } = buildMonitor([
    ...decodeEngines,
    buildEngine("r1"),
  ]);
  for (const { id } of decodeEngines) {
    reachable.delete(id);
    refusing.add(id);
  }
  monitor.recordTrouble(decodeEngines[0]);
  await sleep(5);
  assert.equal(monitor.hasPath("s"), true);
  assert.equal(await monitor.confirmPath("s"), false);
  assert.deepEqual(events(), []);
  reachable.clear();
  refusing.add("r1");
  await sleep(210);
  monitor.recordTrouble(decodeEngines[0]);
  await sleep(5);
  assert.equal(monitor.hasPath("s"), false);
  monitor.stop();
});

// Guards against a VM that refuses all calls of a service for good, as its targets were silent and then ended.
test("a lost path whose targets all end is no longer lost", async () => {
  const decodeEngines = ["d1", "d2"].map((id) =>
    buildEngine(id, { role: "decode" })
  );
  const { monitor, reachable, refusing, events } = buildMonitor([
    ...decodeEngines,
    buildEngine("r1"),
  ]);
  for (const { id } of decodeEngines) reachable.delete(id);
  monitor.recordTrouble(decodeEngines[0]);
  await sleep(5);
  assert.equal(monitor.hasPath("s"), false);
  for (const { id } of decodeEngines) refusing.add(id);
  await sleep(600);
  assert.equal(monitor.hasPath("s"), true);
  assert.deepEqual(events(), ["pathLost", "pathRegained"]);
  monitor.stop();
});

// Guards against a peer that takes a call which runs elsewhere, although its only target is silent too.
test("a path that counts as open is no contact with its targets", async () => {
  const target = buildTarget("a");
  const { monitor, reachable, skip } = buildMonitor([target]);
  reachable.clear();
  assert.equal(await monitor.confirmPath("s"), true);
  assert.equal(await monitor.confirmContact("s"), false);
  monitor.recordContact(target);
  assert.equal(await monitor.confirmContact("s"), true);
  skip(300);
  assert.equal(await monitor.confirmContact("s"), false);
  monitor.stop();
});

// Guards against a path that stays lost, and calls that are not told of it, because a listener of another
// call or the log failed.
test("an error of a listener or the log keeps neither the loss nor its end from the others", async () => {
  const { monitor, reachable, probed, log } = buildMonitor(PLAIN);
  const told: string[] = [];
  const { write } = log;
  log.write = () => {
    throw new Error("no log");
  };
  for (const name of ["first", "broken", "last"]) {
    monitor.registerLossListener("s", () => {
      told.push(name);
      if (name === "broken") throw new RangeError("broken listener");
    });
  }
  reachable.clear();
  monitor.recordTrouble(PLAIN[0]);
  await sleep(5);
  assert.equal(monitor.hasPath("s"), false);
  assert.deepEqual(told, ["first", "broken", "last"]);
  const probes = probed.length;
  await sleep(600);
  assert.ok(probed.length > probes);
  log.write = write;
  monitor.recordContact(PLAIN[0]);
  assert.equal(monitor.hasPath("s"), true);
  monitor.stop();
});
