/**
 * A client that sends requests as the users' clients do, and compares every response with the one
 * that is expected for its request.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { Agent, request } from "undici";
import { createParser } from "eventsource-parser";
import { computeCompletion } from "heatherarch-standins";

/** How a request ended, as its client observed it. */
export type CallOutcome = "whole" | "wrong" | "cut" | "refused" | "failed";

/** Result of one request. */
export interface CallResult {
  readonly outcome: CallOutcome;
  readonly kind: string;
  /** The error's `run` field: whether the call has run. Empty without an error. */
  readonly run: string;
  readonly requestId: string;
  readonly durationMs: number;
  readonly firstTokenMs: number;
  /** Mean gap between tokens, in milliseconds. */
  readonly tokenGapMs: number;
  readonly tokens: number;
  readonly detail: string;
}

/** A generation request. */
export interface GenerationCall {
  readonly url: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly deadlineMs?: number;
  readonly profile?: string;
  readonly stream?: boolean;
}

/** A call of the booking service. */
export interface ServiceCall {
  readonly url: string;
  readonly service: string;
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly key?: string;
  readonly body?: string;
  readonly deadlineMs?: number;
}

interface ErrorBody {
  error?: { kind?: string; run?: string; message?: string };
}

/** Sends requests over its own connection pool. */
export class TestClient {
  readonly #agent = new Agent({ connections: 2000, keepAliveTimeout: 10_000 });

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  /** Requests a generation and compares the text with the one that is expected for the prompt. */
  async generate(call: GenerationCall): Promise<CallResult> {
    const requestId = randomUUID();
    const startMs = performance.now();
    const received = {
      text: "",
      tokens: 0,
      firstAtMs: 0,
      lastAtMs: 0,
      done: false,
    };
    const buildResult = (
      outcome: CallOutcome,
      error?: ErrorBody,
      detail = "",
    ): CallResult => {
      const gapCount = received.tokens - 1;
      return {
        outcome,
        kind: error?.error?.kind ?? "",
        run: error?.error?.run ?? "",
        requestId,
        durationMs: performance.now() - startMs,
        firstTokenMs: received.firstAtMs === 0
          ? 0
          : received.firstAtMs - startMs,
        tokenGapMs: gapCount > 0
          ? (received.lastAtMs - received.firstAtMs) / gapCount
          : 0,
        tokens: received.tokens,
        detail: detail || (error?.error?.message ?? ""),
      };
    };
    try {
      const stream = call.stream ?? true;
      const response = await request(`${call.url}/v1/completions`, {
        method: "POST",
        dispatcher: this.#agent,
        headers: this.#buildHeaders(requestId, call),
        body: JSON.stringify({
          model: call.model,
          prompt: call.prompt,
          max_tokens: call.maxTokens,
          stream,
          ...(call.profile === undefined ? {} : { profile: call.profile }),
        }),
        headersTimeout: 0,
        bodyTimeout: 0,
      });
      if (response.statusCode !== 200) {
        return buildResult("refused", await response.body.json() as ErrorBody);
      }
      if (!stream) {
        const body = await response.body.json() as {
          choices: { text: string }[];
        };
        received.text = body.choices[0].text;
        received.tokens = call.maxTokens;
      } else {
        const failure = await readStream(response.body, received);
        if (failure !== undefined) return buildResult("failed", failure);
        if (!received.done) {
          return buildResult(
            "cut",
            undefined,
            "the stream ended without [DONE]",
          );
        }
      }
      const expected = computeCompletion(call.prompt, call.maxTokens);
      const isExpected = received.text === expected;
      return buildResult(
        isExpected ? "whole" : "wrong",
        undefined,
        isExpected ? "" : "text differs",
      );
    } catch (error) {
      const outcome = received.tokens > 0 ? "cut" : "failed";
      return buildResult(outcome, undefined, (error as Error).message);
    }
  }

  /** Calls the booking service and checks that the response belongs to the request. */
  async callService(call: ServiceCall): Promise<CallResult> {
    const requestId = randomUUID();
    const startMs = performance.now();
    const buildResult = (
      outcome: CallOutcome,
      error?: ErrorBody,
      detail = "",
    ): CallResult => ({
      outcome,
      kind: error?.error?.kind ?? "",
      run: error?.error?.run ?? "",
      requestId,
      durationMs: performance.now() - startMs,
      firstTokenMs: 0,
      tokenGapMs: 0,
      tokens: 0,
      detail: detail || (error?.error?.message ?? ""),
    });
    try {
      const response = await request(
        `${call.url}/services/${call.service}${call.path}`,
        {
          method: call.method,
          dispatcher: this.#agent,
          headers: {
            ...this.#buildHeaders(requestId, call),
            ...(call.key === undefined ? {} : { "idempotency-key": call.key }),
          },
          body: call.body,
          headersTimeout: 0,
          bodyTimeout: 0,
        },
      );
      const text = await response.body.text();
      const body = JSON.parse(text) as ErrorBody & {
        path?: string;
        echo?: string;
      };
      if (response.statusCode !== 200) return buildResult("refused", body);
      const isExpected = call.method === "GET"
        ? body.path === call.path
        : body.echo === call.body;
      return buildResult(
        isExpected ? "whole" : "wrong",
        undefined,
        isExpected ? "" : text.slice(0, 200),
      );
    } catch (error) {
      return buildResult("failed", undefined, (error as Error).message);
    }
  }

  #buildHeaders(
    requestId: string,
    call: { deadlineMs?: number },
  ): Record<string, string> {
    return {
      "content-type": "application/json",
      "x-request-id": requestId,
      ...(call.deadlineMs === undefined
        ? {}
        : { "x-deadline-ms": String(call.deadlineMs) }),
    };
  }
}

/** Reads a stream to its end. Returns the error event, if there was one. */
async function readStream(
  body: AsyncIterable<Buffer>,
  received: {
    text: string;
    tokens: number;
    firstAtMs: number;
    lastAtMs: number;
    done: boolean;
  },
): Promise<ErrorBody | undefined> {
  let failure: ErrorBody | undefined;
  const decoder = new TextDecoder();
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === "[DONE]") {
        received.done = true;
        return;
      }
      const event = JSON.parse(data) as ErrorBody & {
        choices?: { text?: string }[];
      };
      if (event.error !== undefined) failure = event;
      const text = event.choices?.[0]?.text;
      if (!text) return;
      received.text += text;
      received.tokens++;
      received.lastAtMs = performance.now();
      if (received.firstAtMs === 0) received.firstAtMs = received.lastAtMs;
    },
  });
  for await (const chunk of body) {
    parser.feed(decoder.decode(chunk, { stream: true }));
  }
  return failure;
}
