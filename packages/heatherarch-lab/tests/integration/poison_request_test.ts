import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { sleep } from "heatherarch-core";
import {
  buildDeployment,
  type CallResult,
  Cluster,
  SHAPES,
  TestClient,
} from "../../mod.ts";

const POISON = "ends whoever runs it";
/** Number of crashes after which a request is quarantined. */
const MAX_CRASHES = 3;
/** Time within which all VMs know of a quarantine. */
const QUARANTINE_PROPAGATION_MS = 3000;
/** Time after which a crashed target has restarted and the VMs know of it. */
const RESTART_MS = 1500;

let cluster: Cluster;
const client = new TestClient();

before(async () => {
  cluster = new Cluster({ deployment: await buildDeployment(SHAPES.small) });
  await cluster.start();
  for (const { id } of cluster.deployment.fleet.targets) {
    await cluster.sendCommand({ kind: "crashesOn", target: id, text: POISON });
  }
});

after(async () => {
  await client.close();
  await cluster.stop();
});

function pickUrl(i: number): string {
  const { vms } = cluster.deployment;
  return `http://${vms[i % vms.length].callers}`;
}

/** Sends a request `count` times, through one VM after the other. */
async function sendRepeatedly(
  count: number,
  send: (url: string, i: number) => Promise<CallResult>,
): Promise<CallResult[]> {
  const results: CallResult[] = [];
  for (let i = 0; i < count; i++) {
    results.push(await send(pickUrl(i), i));
    await sleep(RESTART_MS);
  }
  return results;
}

function sendBooking(url: string, body: string): Promise<CallResult> {
  return client.callService({
    url,
    service: "bookings",
    method: "POST",
    path: "/b",
    key: `${Date.now()}-${body.length}-${Math.random()}`,
    body,
  });
}

// Guards against a call that crashes every target: each retry would send it to another target.
test("a call that crashes targets of a plain service is quarantined on all VMs", async () => {
  const body = JSON.stringify({ passenger: POISON });
  const crashed = await sendRepeatedly(
    MAX_CRASHES,
    (url) => sendBooking(url, body),
  );
  assert.ok(crashed.every(({ outcome }) => outcome !== "whole"));
  await sleep(QUARANTINE_PROPAGATION_MS);
  const runsBefore = (await cluster.readLedger()).runs.length;
  const rejected = await sendRepeatedly(4, (url) => sendBooking(url, body));
  assert.deepEqual(
    rejected.map(({ kind }) => kind),
    Array(4).fill("quarantined"),
  );
  assert.deepEqual(rejected.map(({ run }) => run), Array(4).fill("no"));
  assert.equal((await cluster.readLedger()).runs.length, runsBefore);
  const other = await sendBooking(
    pickUrl(0),
    JSON.stringify({ passenger: "own" }),
  );
  assert.equal(other.outcome, "whole", other.detail);
});

// Guards against a prompt that crashes every engine: the system would continue it on other engines
// by itself.
test("a prompt that crashes engines is quarantined on all VMs", async () => {
  const { fleet } = cluster.deployment;
  const model =
    fleet.services.flatMap((service) =>
      service.kind === "model" ? service.models : []
    )[0];
  const generate = (url: string, prompt: string) =>
    client.generate({ url, model, prompt, maxTokens: 4 });
  await sendRepeatedly(MAX_CRASHES, (url) => generate(url, POISON));
  await sleep(QUARANTINE_PROPAGATION_MS);
  const rejected = await sendRepeatedly(4, (url) => generate(url, POISON));
  assert.deepEqual(
    rejected.map(({ kind }) => kind),
    Array(4).fill("quarantined"),
  );
  const other = await generate(pickUrl(0), "a prompt of its own");
  assert.equal(other.outcome, "whole", other.detail);
});
