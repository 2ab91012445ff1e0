import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import {
  buildDeployment,
  Cluster,
  runMixedLoad,
  SHAPES,
  summarizeLoad,
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

test("a mixed load through four processes gets complete responses and runs each key once", async () => {
  const { deployment } = cluster;
  const records = await runMixedLoad({
    deployment,
    requests: 60,
    concurrency: 8,
    seed: 7,
  });
  const summary = summarizeLoad(records, await cluster.readLedger());
  assert.equal(summary.wrongAnswers + summary.cutAnswers + summary.failed, 0);
  assert.equal(summary.keysRunTwice, 0);
  assert.equal(summary.notRunButRun, 0);
  const expected = records.length - (summary.errorKinds.keyInProgress ?? 0);
  assert.equal(summary.wholeAnswers, expected);
});

test("SIGTERM interrupts no stream, and a second SIGTERM has no effect", async () => {
  const [vm] = cluster.deployment.vms;
  const call = {
    url: `http://${vm.callers}`,
    model: "reader-7b",
    prompt: "a long answer, please",
    maxTokens: 150,
  };
  const streams = Array.from({ length: 8 }, () => client.generate(call));
  await new Promise((resolve) => setTimeout(resolve, 300));
  cluster.signalVm(vm.id, "SIGTERM");
  await new Promise((resolve) => setTimeout(resolve, 200));
  cluster.signalVm(vm.id, "SIGTERM");
  const results = await Promise.all(streams);
  assert.deepEqual(
    results.map((result) => result.outcome),
    Array(8).fill("whole"),
  );
  assert.equal(await cluster.waitExit(vm.id), 0);
});
