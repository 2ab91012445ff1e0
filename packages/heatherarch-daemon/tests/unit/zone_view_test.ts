import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "heatherarch-core";
import {
  type Heartbeat,
  type LinkIdentity,
  Membership,
} from "heatherarch-mesh";
import { DemandMeter } from "heatherarch-policy";
import { ZoneView } from "../../mod.ts";

function buildIdentity(id: string, availabilityZone: string): LinkIdentity {
  return { id, incarnation: `${id}/1`, availabilityZone, mesh: "127.0.0.1:1" };
}

function buildHeartbeat(zone: [number, number]): Heartbeat {
  return {
    kind: "heartbeat",
    configOffset: zone[0],
    controlOffset: -1,
    intervalMs: 500,
    leaving: false,
    zone,
  };
}

// A change with `--wait` never ended after a zone had been taken out of service.
test("a zone that sends no summary any more is forgotten", () => {
  const clock = new ManualClock();
  const view = new ZoneView({
    availabilityZone: "a",
    clock,
    membership: new Membership({
      self: buildIdentity("a-1", "a"),
      silenceMs: 1000,
    }),
    demand: new DemandMeter(1000),
  });
  view.recordHeartbeat(buildHeartbeat([3, 4]), buildIdentity("b-1", "b"));
  view.recordHeartbeat(buildHeartbeat([5, 2]), buildIdentity("c-1", "c"));
  assert.equal(view.countVms(), 7);
  clock.advance(40_000);
  view.recordHeartbeat(buildHeartbeat([6, 2]), buildIdentity("c-1", "c"));
  clock.advance(40_000);
  assert.deepEqual(Object.keys(view.listZones()), ["c"]);
  assert.equal(view.countVms(), 3);
});
