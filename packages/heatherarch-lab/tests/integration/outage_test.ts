import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { sleep } from "heatherarch-core";
import {
  buildDeployment,
  Cluster,
  type DeployedVm,
  SHAPES,
  TestClient,
} from "../../mod.ts";

const MODEL = "reader-7b";
let cluster: Cluster;
let vms: readonly DeployedVm[];
const client = new TestClient();

before(async () => {
  cluster = new Cluster({
    deployment: await buildDeployment(SHAPES.small),
    settings: {
      platform: { snapshotEveryRecords: 10, requestTimeoutMs: 500 },
      lease: { durationMs: 1500, driftMs: 200, renewMs: 400 },
    },
  });
  await cluster.start();
  vms = cluster.deployment.vms;
});

after(async () => {
  await client.close();
  await cluster.stop();
});

async function setLogFaults(
  faults: Record<string, number | boolean>,
): Promise<void> {
  await cluster.sendCommand({ kind: "log", faults });
}

async function waitUntil(
  check: () => Promise<boolean>,
  ms = 8000,
): Promise<void> {
  const limit = performance.now() + ms;
  while (!(await check().catch(() => false))) {
    assert.ok(performance.now() < limit, "the condition was not met in time");
    await sleep(30);
  }
}

function sendRequest(vm: DeployedVm, key?: string) {
  const url = `http://${vm.callers}`;
  if (key === undefined) {
    return client.generate({
      url,
      model: MODEL,
      prompt: "a question",
      maxTokens: 5,
    });
  }
  const body = JSON.stringify({ passenger: key });
  return client.callService({
    url,
    service: "bookings",
    method: "POST",
    path: "/b",
    key,
    body,
  });
}

test("during an outage generations succeed and keyed bookings are refused as not run", async () => {
  await setLogFaults({ down: true });
  await sleep(300);
  assert.equal((await sendRequest(vms[0])).outcome, "whole");
  const booking = await sendRequest(vms[1], `${Date.now()}-outage`);
  assert.equal(booking.kind, "platformUnavailable");
  assert.equal(booking.run, "no");
  const ledger = await cluster.readLedger();
  assert.equal(ledger.runs.length, 0);
  await setLogFaults({ down: false });
});

test("a drain published during an outage reaches every VM through its peers", async () => {
  const target = cluster.deployment.fleet.targets[1].id;
  await setLogFaults({ down: true });
  const response = await cluster.publish(
    { kind: "directTarget", target, directive: "drain" },
    -1,
    vms[3],
  );
  assert.equal(response.body.verdict, "spreading");
  for (const vm of vms) {
    await waitUntil(async () => {
      const { targets } = await cluster.readStatus(vm);
      return targets.some((entry) => entry.id === target && !entry.usable);
    });
  }
  await setLogFaults({ down: false });
  await waitUntil(async () =>
    (await cluster.publish({
      kind: "directTarget",
      target,
      directive: "restore",
    }, -1)).status === 200
  );
  await cluster.waitTargetsUsable();
});

test("a restarted VM gets ready from its peers during a platform outage", async () => {
  const [vm] = vms;
  cluster.signalVm(vm.id, "SIGKILL");
  await cluster.waitExit(vm.id);
  await setLogFaults({ down: true });
  cluster.startVm(vm);
  await cluster.waitReady([vm]);
  assert.equal((await sendRequest(vm)).outcome, "whole");
  await setLogFaults({ down: false });
});

interface AuditEntry {
  readonly offset: number;
  readonly verdict: string;
  readonly what: string;
}

async function readAudit(vm: DeployedVm): Promise<AuditEntry[]> {
  const response = await fetch(`http://${vm.operators}/v1/audit`);
  const { entries } = await response.json() as { entries: AuditEntry[] };
  return entries;
}

test("a trimmed log is read from a snapshot, and a change with a lost response is published once", async () => {
  await setLogFaults({ retainRecords: 25, loseAnswerShare: 0.4 });
  let base = -1;
  const published: number[] = [];
  for (let i = 0; i < 60; i++) {
    const change = {
      kind: "putProfile",
      profile: { name: "busy", deadlineMs: 1000 + i },
    };
    const response = await cluster.publish(change, base, vms[i % vms.length]);
    if (response.status !== 200) continue;
    base = response.body.offset ?? base;
    published.push(base);
  }
  assert.ok(published.length > 30, `${published.length} of 60 were published`);
  const [vm] = vms;
  cluster.signalVm(vm.id, "SIGKILL");
  await cluster.waitExit(vm.id);
  cluster.startVm(vm);
  await cluster.waitReady([vm]);
  await setLogFaults({ loseAnswerShare: 0 });
  await waitUntil(async () => {
    const all = await Promise.all(
      vms.map((entry) => cluster.readStatus(entry)),
    );
    return all.every((status) => status.config.offset >= base);
  });
  for (const entry of vms) {
    const accepted = (await readAudit(entry))
      .filter(({ verdict, what }) =>
        verdict === "accepted" && what === "put profile busy"
      )
      .map(({ offset }) => offset);
    // Each change that was made has one record, which the publisher was told of.
    assert.deepEqual(accepted, published.slice(-accepted.length));
    assert.ok(accepted.length > 20, `${accepted.length}`);
  }
  assert.equal((await sendRequest(vm)).outcome, "whole");
});
