/**
 * A short mixed load: readings streamed and whole, lookups, and bookings with repeats.
 *
 * @module
 */
import { Random } from "heatherarch-core";
import { Caller, type CallResult } from "./caller.ts";
import type { Deployment } from "./deployment.ts";

/** Options of {@linkcode runMixedLoad}. */
export interface MixedLoadOptions {
  readonly deployment: Deployment;
  readonly requests: number;
  /** Requests in progress at once. */
  readonly concurrency: number;
  readonly seed: number;
}

/** One request of the load and how it ended. */
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
  const caller = new Caller();
  const records: LoadRecord[] = [];
  let started = 0;
  const worker = async (): Promise<void> => {
    while (started < options.requests) {
      started++;
      records.push(
        ...await sendRandomRequest(caller, options.deployment, random),
      );
    }
  };
  await Promise.all(Array.from({ length: options.concurrency }, worker));
  await caller.close();
  return records;
}

/** How long readings are. */
export interface GenerationSizes {
  readonly maxPromptTokens: number;
  readonly maxOutputTokens: number;
}

/** Neither long prompts nor long outputs prevail. */
export const BALANCED_SIZES: GenerationSizes = {
  maxPromptTokens: 1500,
  maxOutputTokens: 80,
};

/** Sends one request, or a booking and its repeat through another VM. */
export async function sendRandomRequest(
  caller: Caller,
  deployment: Deployment,
  random: Random,
  mix: GenerationSizes = BALANCED_SIZES,
): Promise<LoadRecord[]> {
  const url = `http://${random.drawItem(deployment.vms).callers}`;
  const services = deployment.fleet.services;
  const plain = services.find((service) => service.kind === "plain");
  const model = services.find((service) => service.kind === "model");
  const draw = random.drawUnit();
  if (draw < 0.2 && plain) {
    const path = `/slots/${random.drawInteger(1, 10_000)}`;
    const result = await caller.callService({
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
    const first = caller.callService(call);
    const other = `http://${random.drawItem(deployment.vms).callers}`;
    const repeat = random.drawUnit() < 0.5
      ? [caller.callService({ ...call, url: other })]
      : [];
    const results = await Promise.all([first, ...repeat]);
    return results.map((result) => ({ what: "booking", key, result }));
  }
  const result = await caller.generate({
    url,
    model: model?.kind === "model" ? model.models[0] : "",
    prompt: buildPrompt(random, random.drawInteger(20, mix.maxPromptTokens)),
    maxTokens: random.drawInteger(4, mix.maxOutputTokens),
    stream: random.drawUnit() < 0.8,
  });
  return [{ what: "reading", key: "", result }];
}

/** A prompt of about `tokens` tokens, some of which it shares with other prompts. */
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
