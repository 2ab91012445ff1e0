import assert from "node:assert/strict";
import { test } from "node:test";
import type { Heartbeat, Link, LinkIdentity } from "heatherarch-mesh";
import {
  computeStreamKey,
  StreamVersionExchange,
  StreamVersions,
} from "../../mod.ts";

type Handler = (body: unknown, from: LinkIdentity) => Promise<unknown>;

interface Vm {
  readonly identity: LinkIdentity;
  readonly streams: StreamVersions;
  readonly exchange: StreamVersionExchange;
  readonly isHub: boolean;
  handler: Handler;
}

const KEY = computeStreamKey({ attemptId: "a", host: "h", service: "s" });

/** Builds VMs named after their zone; those whose names end in `hub` are the hubs of the zones. */
function buildFleet(ids: readonly string[], hasHubs: boolean): Map<string, Vm> {
  const vms = new Map<string, Vm>();
  const zones = [...new Set(ids.map((id) => id.split("-")[0]))].sort();
  for (const id of ids) {
    const availabilityZone = id.split("-")[0];
    const identity = { id, incarnation: id, availabilityZone, mesh: "" };
    const streams = new StreamVersions();
    const isHub = hasHubs && id.endsWith("hub");
    const listPeers = (): LinkIdentity[] =>
      [...vms.values()].filter((peer) =>
        peer.identity.id !== id && (!hasHubs || peer.isHub) &&
        (isHub || !hasHubs ||
          peer.identity.availabilityZone === availabilityZone)
      ).map((peer) => peer.identity);
    const exchange = new StreamVersionExchange({
      self: identity,
      streamVersions: streams,
      membership: {
        hasHubs,
        isHub,
        pickLinkPeers: () => listPeers() as never,
        listZones: () => zones,
      },
      node: {
        hasLink: () => true,
        registerCall: (_method, handler) => {
          const vm = vms.get(id);
          if (vm !== undefined) vm.handler = handler;
          return () => undefined;
        },
        call: (peer, _method, body) => {
          const vm = vms.get(peer);
          if (vm === undefined) return Promise.reject(new Error("gone"));
          return vm.handler(body, identity);
        },
      },
    });
    const handler: Handler = () => Promise.reject(new Error("not started"));
    vms.set(id, { identity, streams, exchange, isHub, handler });
    exchange.start();
  }
  return vms;
}

function findVm(vms: Map<string, Vm>, id: string): Vm {
  const vm = vms.get(id);
  assert.ok(vm, id);
  return vm;
}

/** Sends one heartbeat, and returns whether it names streams. */
function tell(vms: Map<string, Vm>, from: string, to: string): boolean {
  const sender = findVm(vms, from);
  const receiver = findVm(vms, to);
  const fields = sender.exchange.buildFields({} as Link, receiver.identity);
  receiver.exchange.handle(fields as Heartbeat, sender.identity);
  return fields.streams !== undefined;
}

test("without hubs, a VM tells its peers, and they don't tell it on", async () => {
  const vms = buildFleet(["a-1", "a-2", "b-1"], false);
  findVm(vms, "a-1").streams.recordStream({
    key: KEY,
    softwareVersion: "v1.1",
  });
  assert.ok(tell(vms, "a-1", "a-2"));
  assert.ok(!tell(vms, "a-2", "b-1"));
  vms.delete("a-1");
  assert.equal(await findVm(vms, "b-1").exchange.findVersion(KEY), "v1.1");
});

test("a stream is known after the loss of its VM, its hub and its zone", async () => {
  const ids = ["a-1", "a-2", "a-hub", "b-1", "b-hub", "c-1", "c-hub"];
  const vms = buildFleet(ids, true);
  findVm(vms, "a-1").streams.recordStream({ key: KEY, softwareVersion: "v1" });
  assert.ok(!tell(vms, "a-1", "a-2"));
  assert.ok(tell(vms, "a-1", "a-hub"));
  assert.ok(tell(vms, "a-hub", "b-hub"));
  assert.ok(!tell(vms, "a-hub", "c-hub"));
  assert.ok(!tell(vms, "b-hub", "c-hub"));
  vms.delete("a-1");
  assert.equal(await findVm(vms, "a-2").exchange.findVersion(KEY), "v1");
  for (const id of ["a-2", "a-hub"]) vms.delete(id);
  for (const id of ["b-1", "c-1", "c-hub"]) {
    assert.equal(await findVm(vms, id).exchange.findVersion(KEY), "v1", id);
  }
});

test("a stream that no VM began is unknown to all, and so are malformed requests", async () => {
  const vms = buildFleet(["a-1", "a-hub", "b-hub"], true);
  assert.equal(await findVm(vms, "a-1").exchange.findVersion(KEY), undefined);
  const { identity } = findVm(vms, "a-1");
  assert.equal(await findVm(vms, "a-hub").handler({ key: 1 }, identity), null);
});
