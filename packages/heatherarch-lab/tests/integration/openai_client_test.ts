import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import OpenAI, { APIError } from "openai";
import { computeCompletion } from "heatherarch-standins";
import { buildDeployment, Cluster, SHAPES } from "../../mod.ts";

const MODEL = "reader-7b";
const MESSAGES = [{ role: "user" as const, content: "what does the rule say" }];
const RENDERED_PROMPT = "<|user|>\nwhat does the rule say\n<|assistant|>\n";
let cluster: Cluster;
let client: OpenAI;

before(async () => {
  const shape = {
    ...SHAPES.small,
    availabilityZones: ["zone-a"],
    vmsPerZone: 1,
  };
  cluster = new Cluster({ deployment: await buildDeployment(shape) });
  await cluster.start();
  const baseURL = `http://${cluster.deployment.vms[0].callers}/v1`;
  client = new OpenAI({ baseURL, apiKey: "any", maxRetries: 0 });
});

after(() => cluster.stop());

test("the OpenAI client lists models", async () => {
  const ids = [];
  for await (const model of client.models.list()) ids.push(model.id);
  assert.deepEqual(ids, [MODEL]);
});

test("the OpenAI client gets a complete chat response with its usage", async () => {
  const response = await client.chat.completions.create({
    model: MODEL,
    messages: MESSAGES,
    max_completion_tokens: 12,
  });
  assert.equal(
    response.choices[0].message.content,
    computeCompletion(RENDERED_PROMPT, 12),
  );
  assert.equal(response.choices[0].finish_reason, "length");
  assert.equal(response.usage?.completion_tokens, 12);
});

test("the OpenAI client streams a chat response", async () => {
  const stream = await client.chat.completions.create({
    model: MODEL,
    messages: MESSAGES,
    max_tokens: 12,
    stream: true,
    stream_options: { include_usage: true },
  });
  let text = "";
  let usage = 0;
  for await (const chunk of stream) {
    text += chunk.choices[0]?.delta.content ?? "";
    usage = chunk.usage?.completion_tokens ?? usage;
  }
  assert.equal(text, computeCompletion(RENDERED_PROMPT, 12));
  assert.equal(usage, 12);
});

test("the OpenAI client gets a text completion", async () => {
  const response = await client.completions.create({
    model: MODEL,
    prompt: "once",
    max_tokens: 5,
  });
  assert.equal(response.choices[0].text, computeCompletion("once", 5));
});

test("the OpenAI client recognizes an error response", async () => {
  const wrong = client.chat.completions.create({
    model: "none",
    messages: MESSAGES,
  });
  await assert.rejects(
    wrong,
    (error: unknown) =>
      error instanceof APIError && error.status === 404 &&
      error.type === "unknownModel",
  );
});
