import assert from "node:assert/strict";
import { test } from "node:test";
import { ManualClock } from "heatherarch-core";
import type { ConfigState } from "heatherarch-log";
import {
  type Link,
  type LinkIdentity,
  Membership,
  type ReportRow,
} from "heatherarch-mesh";
import { LoadTracker } from "heatherarch-policy";
import {
  parseProcessSettings,
  type ProcessSettings,
} from "heatherarch-settings";
import { HeartbeatBuilder, TargetTable } from "../../mod.ts";

const ZONE = "zone-a";
const IDLE = (id: string): ReportRow => [id, 0, 0, 0, 0, 0];

function buildIdentity(id: string): LinkIdentity {
  return { id, incarnation: `${id}/1`, availabilityZone: ZONE, mesh: "" };
}

function buildState(ids: readonly string[]): ConfigState {
  const targets = ids.map((id) => ({
    id,
    service: "reader",
    availabilityZone: ZONE,
  }));
  return { fleet: { targets }, directives: {} } as unknown as ConfigState;
}

/** Creates the table of the VM `b` and its heartbeats to the VM `p`. */
function createVm(ids: readonly string[], subsetSize = 100) {
  const settings = parseProcessSettings({
    vm: { id: "b", availabilityZone: ZONE },
    listen: {
      callers: "127.0.0.1:1",
      operators: "127.0.0.1:2",
      mesh: "127.0.0.1:3",
    },
    platform: { log: "http://127.0.0.1:4", vmList: "http://127.0.0.1:4/vms" },
  }).unwrap() as ProcessSettings;
  const table = new TargetTable({
    availabilityZone: ZONE,
    clock: new ManualClock(),
    tracker: new LoadTracker({ reportLagMs: 0 }),
    settings,
  });
  table.applyConfig(buildState(ids));
  const builder = new HeartbeatBuilder({
    vmId: "b",
    availabilityZone: ZONE,
    membership: new Membership({ self: buildIdentity("b"), silenceMs: 1000 }),
    table,
    subsetSize,
    isPlanner: () => false,
    readIntervalMs: () => 500,
    readProgress: () => ({ configOffset: 0, controlOffset: 0, leaving: false }),
    readDemand: () => ({ prefillTokensPerSecond: 0, decodeTokensPerSecond: 0 }),
    listCrashReports: () => ({ reports: [], cursor: 0 }),
  });
  const link = {} as Link;
  const listSent = (): string[] =>
    (builder.build(link, buildIdentity("p")).reports ?? []).map(([id]) => id);
  return { table, listSent };
}

// The peer had the row from the watcher before, whose heartbeats no longer refreshed it: an idle
// target counted as stale at the peer until its load changed.
test("a new watcher of a target sends its row to peers although it is unchanged", () => {
  const { table, listSent } = createVm(["t1"]);
  table.recordReport(IDLE("t1"), "a");
  assert.deepEqual(listSent(), []);
  table.recordReport(IDLE("t1"), "b", true);
  assert.deepEqual(listSent(), ["t1"]);
  table.recordReport(IDLE("t1"), "b");
  assert.deepEqual(listSent(), []);
});

test("rows of targets that come into a peer's subset are sent although they are unchanged", () => {
  const ids = ["t1", "t2", "t3"];
  const { table, listSent } = createVm(ids, 1);
  for (const id of ids) table.recordReport(IDLE(id), "b", true);
  const [first, ...others] = listSent();
  assert.deepEqual(others, []);
  table.applyConfig(buildState(ids.filter((id) => id !== first)));
  const [second] = listSent();
  assert.ok(second !== undefined && second !== first);
  assert.deepEqual(listSent(), []);
});
