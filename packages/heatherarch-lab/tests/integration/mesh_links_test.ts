import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { setImmediate } from "node:timers/promises";
import { RuntimeClock, sleep } from "heatherarch-core";
import {
  computeMinRoundIntervalMs,
  Membership,
  MeshNode,
} from "heatherarch-mesh";
import { FaultProxy, findFreePorts } from "heatherarch-standins";

/** A timer of Node.js may fire up to one millisecond early. */
const TIMER_TOLERANCE_MS = 1;

interface TestNode {
  readonly mesh: MeshNode;
  readonly membership: Membership;
  readonly address: string;
  readonly faults: string[];
}

async function startNode(
  id: string,
  options: {
    port: number;
    sharedKey?: string;
    translate?: Record<string, string>;
    peers?: Record<string, string>;
    heartbeatMs?: number;
    onBuildHeartbeat?: () => void;
  },
): Promise<TestNode> {
  const address = `127.0.0.1:${options.port}`;
  const self = {
    id,
    incarnation: `${id}-run`,
    availabilityZone: "a",
    mesh: address,
  };
  const membership = new Membership({ self, silenceMs: 300 });
  const faults: string[] = [];
  const mesh = new MeshNode({
    self,
    listen: address,
    sharedKey: options.sharedKey ?? "key",
    maxFrameBytes: 64 * 1024,
    heartbeatMs: options.heartbeatMs ?? 50,
    silenceMs: 300,
    clock: new RuntimeClock(),
    membership,
    translate: (to) => options.translate?.[to] ?? to,
    buildHeartbeat: () => {
      options.onBuildHeartbeat?.();
      return {
        kind: "heartbeat",
        configOffset: 0,
        controlOffset: 0,
        intervalMs: 50,
        leaving: false,
      };
    },
    onLinkClosed: (fault) => faults.push(fault),
  });
  mesh.registerCall("echo", (body) => Promise.resolve(body));
  const peers = Object.entries(options.peers ?? {});
  membership.recordListing(
    peers.map(([peer, mesh]) => ({ id: peer, availabilityZone: "a", mesh })),
  );
  await mesh.start();
  return { mesh, membership, address, faults };
}

async function waitUntil(
  check: () => boolean,
  description: string,
): Promise<void> {
  const limit = performance.now() + 5000;
  while (!check()) {
    assert.ok(performance.now() < limit, description);
    await sleep(10);
  }
}

test("a silent link is replaced by a working one, and calls succeed again", async () => {
  const [portA, portB] = await findFreePorts(2);
  const b = await startNode("b", { port: portB });
  const proxy = new FaultProxy(b.address);
  const proxyAddress = await proxy.listen();
  const a = await startNode("a", {
    port: portA,
    peers: { b: b.address },
    translate: { [b.address]: proxyAddress },
  });
  try {
    await waitUntil(() => a.mesh.hasLink("b"), "the link is established");
    for (const direction of ["silentForward", "silentBack"] as const) {
      const before = a.mesh.resets;
      assert.ok(proxy.silenceOpenConnections(direction) > 0);
      await waitUntil(() => a.mesh.resets > before, `${direction} is detected`);
      assert.deepEqual(await a.mesh.call("b", "echo", { n: 1 }, 1000), {
        n: 1,
      });
    }
    assert.deepEqual(a.membership.listLive(), ["a", "b"]);
  } finally {
    a.mesh.stop();
    b.mesh.stop();
    await proxy.close();
  }
});

test("a peer with another key, malformed bytes and oversized frames are refused and reported", async () => {
  const [portA, portB] = await findFreePorts(2);
  const b = await startNode("b", { port: portB });
  const a = await startNode("a", {
    port: portA,
    sharedKey: "other",
    peers: { b: b.address },
  });
  try {
    await waitUntil(
      () => b.faults.includes("badProof"),
      "the wrong key is refused",
    );
    assert.equal(b.mesh.hasLink("a"), false);
    for (
      const bytes of [
        Buffer.from("GET / HTTP/1.1\r\n\r\n"),
        Buffer.from([0, 0, 0, 1, 0xff]),
      ]
    ) {
      const before = b.faults.length;
      const socket = connect(portB, "127.0.0.1");
      socket.on("error", () => undefined);
      socket.write(bytes);
      await waitUntil(
        () => b.faults.length > before,
        "malformed bytes are refused",
      );
      socket.destroy();
    }
    assert.ok(b.faults.includes("badFrame"));
  } finally {
    a.mesh.stop();
    b.mesh.stop();
  }
});

test("a call to an unreachable peer fails and reports that its outcome is unknown", async () => {
  const [portA] = await findFreePorts(1);
  const a = await startNode("a", { port: portA });
  try {
    await assert.rejects(a.mesh.call("b", "echo", 1, 100), /mesh call/);
  } finally {
    a.mesh.stop();
  }
});

// Requests for a round must not wait for the interval, and a burst of them must not become a burst
// of heartbeats.
test("requested heartbeats are sent at once, one per tick, and at least the minimum interval apart", async () => {
  const [portA, portB] = await findFreePorts(2);
  const sentAtMs: number[] = [];
  const b = await startNode("b", { port: portB });
  const a = await startNode("a", {
    port: portA,
    peers: { b: b.address },
    heartbeatMs: 10_000,
    onBuildHeartbeat: () => sentAtMs.push(performance.now()),
  });
  try {
    // Each node dials the other one. Both links carry a heartbeat when they are ready.
    await waitUntil(() => sentAtMs.length === 2, "both links are established");
    await sleep(60);
    const startMs = performance.now();
    for (let i = 0; i < 20; i++) a.mesh.requestRound();
    await waitUntil(
      () => sentAtMs.length === 3,
      "the requested heartbeat is sent",
    );
    assert.ok(
      sentAtMs[2] - startMs < 2000,
      "the heartbeat was not sent ahead of its interval",
    );
    for (let i = 0; i < 20; i++) a.mesh.requestRound();
    await waitUntil(
      () => sentAtMs.length === 4,
      "the next requested heartbeat is sent",
    );
    await sleep(150);
    assert.equal(sentAtMs.length, 4);
    const burstStartMs = performance.now();
    while (performance.now() < burstStartMs + 100) {
      a.mesh.requestRound();
      await setImmediate();
    }
    const burstMs = performance.now() - burstStartMs;
    const minIntervalMs = computeMinRoundIntervalMs(false, 1) -
      TIMER_TOLERANCE_MS;
    assert.ok(
      sentAtMs.length - 4 <= burstMs / minIntervalMs + 1,
      `${sentAtMs.length - 4} heartbeats within ${burstMs} ms`,
    );
  } finally {
    a.mesh.stop();
    b.mesh.stop();
  }
});
