import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { sleep } from "heatherarch-core";
import {
  buildDeployment,
  Cluster,
  countKeysRunTwice,
  SHAPES,
  TestClient,
} from "../../mod.ts";

let cluster: Cluster;
const client = new TestClient();

before(async () => {
  cluster = new Cluster({ deployment: await buildDeployment(SHAPES.small) });
  await cluster.start();
});

after(async () => {
  await client.close();
  await cluster.stop();
});

function sendBooking(vmIndex: number, key: string, passenger = key) {
  const url = `http://${cluster.deployment.vms[vmIndex].callers}`;
  const body = JSON.stringify({ passenger });
  return client.callService({
    url,
    service: "bookings",
    method: "POST",
    path: "/b",
    key,
    body,
  });
}

test("a key sent through all VMs at once runs once, and repeated calls get the stored response", async () => {
  const key = `${Date.now()}-everywhere`;
  const first = await Promise.all(
    [0, 1, 2, 3].map((at) => sendBooking(at, key)),
  );
  assert.deepEqual(
    first.map((result) => result.outcome),
    Array(4).fill("whole"),
    first.map((result) => result.detail).join("; "),
  );
  await sleep(500);
  const repeats = await Promise.all(
    [0, 1, 2, 3].map((at) => sendBooking(at, key)),
  );
  assert.deepEqual(
    repeats.map((result) => result.outcome),
    Array(4).fill("whole"),
  );
  const ledger = await cluster.readLedger();
  assert.equal(ledger.runs.filter((run) => run.key === key).length, 1);
});

test("a key that was used for another call is refused", async () => {
  const key = `${Date.now()}-reused`;
  assert.equal((await sendBooking(0, key)).outcome, "whole");
  assert.equal((await sendBooking(1, key, "someone else")).kind, "keyReused");
});

test("a call whose response was lost is never run again and never reported as not run", async () => {
  const services = cluster.deployment.fleet.targets.filter((target) =>
    target.id.includes("service")
  );
  for (const { id } of services) {
    await cluster.sendCommand({ kind: "loseAnswers", target: id, on: true });
  }
  const key = `${Date.now()}-lost`;
  const first = await sendBooking(0, key);
  assert.equal(first.run, "unknown");
  for (const { id } of services) {
    await cluster.sendCommand({ kind: "loseAnswers", target: id, on: false });
  }
  for (let at = 0; at < 4; at++) {
    const repeat = await sendBooking(at, key);
    assert.equal(repeat.outcome, "refused");
    assert.equal(repeat.run, "unknown");
  }
  const ledger = await cluster.readLedger();
  assert.equal(ledger.runs.filter((run) => run.key === key).length, 1);
  assert.equal(countKeysRunTwice(ledger), 0);
});

test("a service's response to another call is not delivered", async () => {
  const services = cluster.deployment.fleet.targets.filter((target) =>
    target.id.includes("service")
  );
  for (const { id } of services) {
    await cluster.sendCommand({ kind: "crossAnswers", target: id, on: true });
  }
  const result = await sendBooking(0, `${Date.now()}-crossed`);
  assert.equal(result.kind, "answerIncomplete");
  for (const { id } of services) {
    await cluster.sendCommand({ kind: "crossAnswers", target: id, on: false });
  }
});
