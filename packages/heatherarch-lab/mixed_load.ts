/**
 * A mixed load of streamed and buffered generations, lookups, and bookings with duplicates.
 *
 * @module
 */
import { Random } from "heatherarch-core";
import { type CallResult, TestClient } from "./test_client.ts";
import type { Deployment } from "./deployment.ts";

/** Options of {@linkcode runMixedLoad}. */
export interface MixedLoadOptions {
  readonly deployment: Deployment;
  readonly requests: number;
  /** Maximum number of concurrent requests. */
  readonly concurrency: number;
  readonly seed: number;
}

/** One request of the load and its result. */
export interface LoadRecord {
  readonly what: "reading" | "lookup" | "booking";
  readonly key: string;
  readonly result: CallResult;
}

/** Sends the load and returns every result. */
export async function runMixedLoad(
  options: MixedLoadOptions,
): Promise<LoadRecord[]> {
  const random = new Random(options.seed);
  const client = new TestClient();
  const records: LoadRecord[] = [];
  let startedCount = 0;
  const runWorker = async (): Promise<void> => {
    while (startedCount < options.requests) {
      startedCount++;
      records.push(
        ...await sendRandomRequest(client, options.deployment, random),
      );
    }
  };
  await Promise.all(Array.from({ length: options.concurrency }, runWorker));
  await client.close();
  return records;
}

/** Maximum lengths of generations. */
export interface GenerationSizes {
  readonly maxPromptTokens: number;
  readonly maxOutputTokens: number;
}

/** Sizes with neither mostly long prompts nor mostly long outputs. */
export const BALANCED_SIZES: GenerationSizes = {
  maxPromptTokens: 1500,
  maxOutputTokens: 80,
};

/** Sends one random request, or a booking and its duplicate through another VM. */
export async function sendRandomRequest(
  client: TestClient,
  deployment: Deployment,
  random: Random,
  sizes: GenerationSizes = BALANCED_SIZES,
): Promise<LoadRecord[]> {
  const url = `http://${random.drawItem(deployment.vms).callers}`;
  const services = deployment.fleet.services;
  const plain = services.find((service) => service.kind === "plain");
  const model = services.find((service) => service.kind === "model");
  const draw = random.drawUnit();
  if (draw < 0.2 && plain) {
    const path = `/slots/${random.drawInteger(1, 10_000)}`;
    const result = await client.callService({
      url,
      service: plain.name,
      method: "GET",
      path,
    });
    return [{ what: "lookup", key: "", result }];
  }
  if (draw < 0.4 && plain) {
    const key = `${Date.now()}-${random.drawInteger(1, 1e9)}`;
    const call = {
      url,
      service: plain.name,
      method: "POST" as const,
      path: "/bookings",
      key,
      body: JSON.stringify({ passenger: key }),
    };
    const first = client.callService(call);
    const otherUrl = `http://${random.drawItem(deployment.vms).callers}`;
    const duplicates = random.drawUnit() < 0.5
      ? [client.callService({ ...call, url: otherUrl })]
      : [];
    const results = await Promise.all([first, ...duplicates]);
    return results.map((result) => ({ what: "booking", key, result }));
  }
  const result = await client.generate({
    url,
    model: model?.kind === "model" ? model.models[0] : "",
    prompt: buildPrompt(random, random.drawInteger(20, sizes.maxPromptTokens)),
    maxTokens: random.drawInteger(4, sizes.maxOutputTokens),
    stream: random.drawUnit() < 0.8,
  });
  return [{ what: "reading", key: "", result }];
}

/** Builds a prompt of about `tokens` tokens, some of which are shared with other prompts. */
export function buildPrompt(
  random: Random,
  tokens: number,
  prefixId = "common",
): string {
  const unique = `${random.drawInteger(1, 1e9)} `;
  const prefix = `fare rules of ${prefixId}. `.repeat(
    1 + Math.floor(tokens / 12),
  );
  const body = (prefix + unique.repeat(1 + Math.floor(tokens / 4))).slice(
    0,
    tokens * 4,
  );
  return body + unique;
}
