import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { sleep } from "heatherarch-core";
import { computeCompletion } from "heatherarch-standins";
import { buildDeployment, Cluster, SHAPES, TestClient } from "../../mod.ts";

const MODEL = "reader-7b";
const TOKENS = 100;
let cluster: Cluster;
let engines: string[];
const client = new TestClient();

before(async () => {
  cluster = new Cluster({
    deployment: await buildDeployment(SHAPES.small),
    settings: { requests: { gapTimeoutMs: 600 } },
  });
  await cluster.start();
  engines = cluster.deployment.fleet.targets.map((target) => target.id)
    .filter((id) => id.includes("engine"));
});

after(async () => {
  await client.close();
  await cluster.stop();
});

function startStreams(count: number, prompt = "a question") {
  const url = `http://${cluster.deployment.vms[0].callers}`;
  return Array.from(
    { length: count },
    (_, i) =>
      client.generate({
        url,
        model: MODEL,
        prompt: `${prompt} ${i}`,
        maxTokens: TOKENS,
      }),
  );
}

async function assertAllComplete(
  streams: ReturnType<typeof startStreams>,
): Promise<void> {
  const results = await Promise.all(streams);
  const incomplete = results.filter((result) => result.outcome !== "whole");
  assert.deepEqual(
    incomplete.map((result) =>
      `${result.outcome} ${result.kind} ${result.detail}`
    ),
    [],
  );
}

test("responses are continued on other engines when their engines crash", async () => {
  const streams = startStreams(12);
  await sleep(500);
  for (const target of engines.slice(1, 3)) {
    await cluster.sendCommand({ kind: "crash", target, downMs: 1000 });
  }
  await assertAllComplete(streams);
});

test("responses are continued when an engine stops sending with its connections open", async () => {
  const streams = startStreams(12);
  await sleep(400);
  await cluster.sendCommand({ kind: "freeze", target: engines[1], ms: 4000 });
  await assertAllComplete(streams);
});

test("an engine that truncates or swaps responses causes no wrong response", async () => {
  await cluster.sendCommand({ kind: "truncate", target: engines[1], after: 5 });
  await cluster.sendCommand({
    kind: "crossAnswers",
    target: engines[2],
    on: true,
  });
  await assertAllComplete(startStreams(12));
  await cluster.sendCommand({ kind: "truncate", target: engines[1], after: 0 });
  await cluster.sendCommand({
    kind: "crossAnswers",
    target: engines[2],
    on: false,
  });
});

test("responses to long prompts whose KV cache is transferred are complete", async () => {
  await assertAllComplete(startStreams(8, "long ".repeat(1200)));
});

test("a withdrawn engine finishes its requests and gets no new ones", async () => {
  const streams = startStreams(12);
  await sleep(400);
  const target = engines[1];
  const response = await cluster.publish({
    kind: "directTarget",
    target,
    directive: "withdraw",
  }, -1);
  assert.equal(response.status, 200);
  await sleep(200);
  const before = (await cluster.readLedger()).engines[target].tries;
  await assertAllComplete([...streams, ...startStreams(8)]);
  assert.equal((await cluster.readLedger()).engines[target].tries, before);
});

test("a resumable stream is continued through another VM after its connection broke", async () => {
  const [first, second] = cluster.deployment.vms;
  const prompt = "tell me all";
  const abort = new AbortController();
  const response = await fetch(`http://${first.callers}/v1/completions`, {
    method: "POST",
    headers: {
      "x-heatherarch-resumable": "true",
      "x-request-id": "chosen-by-the-caller",
    },
    body: JSON.stringify({
      model: MODEL,
      prompt,
      max_tokens: TOKENS,
      stream: true,
    }),
    signal: abort.signal,
  });
  const id = response.headers.get("x-request-id") as string;
  assert.notEqual(
    id,
    "chosen-by-the-caller",
    "the client cannot choose the id of a stream",
  );
  await sleep(300);
  abort.abort();
  const url = `http://${second.callers}/v1/streams/${id}?from=0`;
  const resumed = await (await fetch(url)).text();
  const events = resumed.split("\n\n").filter((event) =>
    event.startsWith("data: {")
  );
  const text = events.map((event) => {
    const chunk = JSON.parse(event.slice("data: ".length));
    return chunk.choices?.[0]?.text ?? "";
  }).join("");
  assert.equal(text, computeCompletion(prompt, TOKENS));
  assert.match(resumed, /\[DONE\]/);
  const unknownStream = await fetch(
    `http://${second.callers}/v1/streams/${first.id}-aaaaaaaaaaaa`,
  );
  assert.equal(unknownStream.status, 410);
});
