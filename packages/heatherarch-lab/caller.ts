/**
 * A caller: sends requests as the users' clients would and checks every answer against what
 * the request must give.
 *
 * @module
 */
import { randomUUID } from "node:crypto";
import { Agent, request } from "undici";
import { createParser } from "eventsource-parser";
import { computeCompletion } from "heatherarch-standins";

/** How a request ended, as its caller sees it. */
export type CallOutcome = "whole" | "wrong" | "cut" | "refused" | "failed";

/** Result of one request. */
export interface CallResult {
  readonly outcome: CallOutcome;
  readonly kind: string;
  /** What the error said of the run; empty without an error. */
  readonly run: string;
  readonly requestId: string;
  readonly durationMs: number;
  readonly firstTokenMs: number;
  /** Mean gap between tokens, milliseconds. */
  readonly tokenGapMs: number;
  readonly tokens: number;
  readonly detail: string;
}

/** A generation to ask for. */
export interface GenerationCall {
  readonly url: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly deadlineMs?: number;
  readonly profile?: string;
  readonly stream?: boolean;
}

/** A call on the booking service. */
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

/** Sends requests over its own connections. */
export class Caller {
  readonly #agent = new Agent({ connections: 2000, keepAliveTimeout: 10_000 });

  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  /** Asks for text and compares it with what the prompt must give. */
  async generate(call: GenerationCall): Promise<CallResult> {
    const requestId = randomUUID();
    const startMs = performance.now();
    const gathered = {
      text: "",
      tokens: 0,
      firstAtMs: 0,
      lastAtMs: 0,
      done: false,
    };
    const finish = (
      outcome: CallOutcome,
      error?: ErrorBody,
      detail = "",
    ): CallResult => {
      const gaps = gathered.tokens - 1;
      return {
        outcome,
        kind: error?.error?.kind ?? "",
        run: error?.error?.run ?? "",
        requestId,
        durationMs: performance.now() - startMs,
        firstTokenMs: gathered.firstAtMs === 0
          ? 0
          : gathered.firstAtMs - startMs,
        tokenGapMs: gaps > 0
          ? (gathered.lastAtMs - gathered.firstAtMs) / gaps
          : 0,
        tokens: gathered.tokens,
        detail: detail || (error?.error?.message ?? ""),
      };
    };
    try {
      const stream = call.stream ?? true;
      const answer = await request(`${call.url}/v1/completions`, {
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
      if (answer.statusCode !== 200) {
        return finish("refused", await answer.body.json() as ErrorBody);
      }
      if (!stream) {
        const body = await answer.body.json() as {
          choices: { text: string }[];
        };
        gathered.text = body.choices[0].text;
        gathered.tokens = call.maxTokens;
      } else {
        const failure = await readStream(answer.body, gathered);
        if (failure !== undefined) return finish("failed", failure);
        if (!gathered.done) {
          return finish("cut", undefined, "the stream ended without [DONE]");
        }
      }
      const expected = computeCompletion(call.prompt, call.maxTokens);
      const right = gathered.text === expected;
      return finish(
        right ? "whole" : "wrong",
        undefined,
        right ? "" : "text differs",
      );
    } catch (error) {
      const outcome = gathered.tokens > 0 ? "cut" : "failed";
      return finish(outcome, undefined, (error as Error).message);
    }
  }

  /** Calls the booking service and checks that the answer belongs to the request. */
  async callService(call: ServiceCall): Promise<CallResult> {
    const requestId = randomUUID();
    const startMs = performance.now();
    const finish = (
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
      const answer = await request(
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
      const text = await answer.body.text();
      const body = JSON.parse(text) as ErrorBody & {
        path?: string;
        echo?: string;
      };
      if (answer.statusCode !== 200) return finish("refused", body);
      const right = call.method === "GET"
        ? body.path === call.path
        : body.echo === call.body;
      return finish(
        right ? "whole" : "wrong",
        undefined,
        right ? "" : text.slice(0, 200),
      );
    } catch (error) {
      return finish("failed", undefined, (error as Error).message);
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

/** Reads a stream to its end; the error event where there was one. */
async function readStream(
  body: AsyncIterable<Buffer>,
  gathered: {
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
        gathered.done = true;
        return;
      }
      const event = JSON.parse(data) as ErrorBody & {
        choices?: { text?: string }[];
      };
      if (event.error !== undefined) failure = event;
      const text = event.choices?.[0]?.text;
      if (!text) return;
      gathered.text += text;
      gathered.tokens++;
      gathered.lastAtMs = performance.now();
      if (gathered.firstAtMs === 0) gathered.firstAtMs = gathered.lastAtMs;
    },
  });
  for await (const bytes of body) {
    parser.feed(decoder.decode(bytes, { stream: true }));
  }
  return failure;
}
