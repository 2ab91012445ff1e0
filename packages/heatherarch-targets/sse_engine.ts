/**
 * Adapter for dialect `sse`. Responses are OpenAI-style completions as server-sent events, and
 * orders carry a fencing token that the engine checks.
 *
 * @module
 */
import { createParser, type EventSourceParser } from "eventsource-parser";
import { z } from "zod";
import type { EngineOrder, EngineState } from "heatherarch-core";
import { type ParserOptions, ResponseParser } from "./response_parser.ts";
import {
  checkEngineState,
  EngineClient,
  type EngineOptions,
} from "./engine_client.ts";
import type {
  EngineAttempt,
  EngineCall,
  EnginePort,
  EngineSink,
  OrderResponse,
} from "./engine_port.ts";

const STATE_SCHEMA = z.object({
  role: z.enum(["prefill", "decode", "mixed"]),
  model: z.string(),
  version: z.string(),
  changing: z.boolean(),
  draining: z.boolean(),
  running: z.number(),
  waiting: z.number(),
  pending_prefill_tokens: z.number(),
  kv_used: z.number(),
  fencing: z.number(),
});

/** Largest event that does not arrive as a whole, as for lines of dialect `ndjson`. */
const MAX_EVENT_CHARS = 1024 * 1024;
/**
 * The parser searches all that it is given for both kinds of line ends at each line: 64 KiB of empty
 * lines take 93 ms as a whole.
 */
const MAX_PARSED_CHARS = 1024;

interface Chunk {
  id?: string;
  choices?: { text?: string; finish_reason?: string | null }[];
  usage?: { prompt_tokens?: number; cached_tokens?: number };
  kv_handle?: string;
}

/** An engine that speaks dialect `sse`. */
export class SseEngine implements EnginePort {
  readonly #client: EngineClient;

  constructor(options: EngineOptions) {
    this.#client = new EngineClient(options);
  }

  async readState(
    options: { timeoutMs: number; fresh?: boolean },
  ): Promise<EngineState> {
    const state = STATE_SCHEMA.parse(
      await this.#client.readJson("/state", options),
    );
    return checkEngineState({
      role: state.role,
      model: state.model,
      version: state.version,
      busyWithOrder: state.changing,
      leaving: state.draining,
      running: state.running,
      waiting: state.waiting,
      pendingPrefillTokens: state.pending_prefill_tokens,
      fencing: state.fencing,
      kvUsed: state.kv_used,
    });
  }

  generate(call: EngineCall, sink: EngineSink): EngineAttempt {
    const body = JSON.stringify({
      model: call.model,
      prompt: call.prompt,
      max_tokens: call.maxTokens,
      stream: true,
      try_id: call.tryId,
      priority: call.priority,
      kv_export: call.kvExport,
      kv_import: call.kvImport,
    });
    const request = { path: "/v1/completions", method: "POST", body };
    return this.#client.startAttempt(request, call, sink, createSseParser);
  }

  resume(call: EngineCall, from: number, sink: EngineSink): EngineAttempt {
    const path = `/v1/streams/${call.tryId}?from=${from}`;
    return this.#client.startAttempt(
      { path, method: "GET" },
      call,
      sink,
      createSseParser,
    );
  }

  sendOrder(
    order: EngineOrder,
    options: { fencing: number; guard: () => boolean; timeoutMs: number },
  ): Promise<OrderResponse> {
    return this.#client.sendOrder("/orders", {
      fencing: options.fencing,
      ...order,
    }, options);
  }

  close(): Promise<void> {
    return this.#client.close();
  }
}

/** Creates the parser of one response. */
export function createSseParser(
  call: EngineCall,
  sink: EngineSink,
  options: ParserOptions = {},
): ResponseParser {
  return new SseResponseParser(call, sink, options);
}

/** Parses events, checks that each carries the id of the attempt, and delivers the tokens. */
class SseResponseParser extends ResponseParser {
  readonly #parser: EventSourceParser;
  readonly #decoder = new TextDecoder();
  #pendingTexts: string[] = [];
  #finalChunk: Chunk | undefined;
  #isGivenUp = false;

  constructor(call: EngineCall, sink: EngineSink, options: ParserOptions) {
    super(call, sink, options);
    this.#parser = createParser({
      onEvent: (event) => this.#handleEvent(event.data),
      onError: (error) => {
        if (error.type === "max-buffer-size-exceeded") this.#giveUp();
      },
      maxBufferSize: MAX_EVENT_CHARS,
    });
  }

  override push(bytes: Buffer): void {
    const text = this.#decoder.decode(bytes, { stream: true });
    for (let at = 0; at < text.length; at += MAX_PARSED_CHARS) {
      if (this.#isGivenUp) return;
      this.#parser.feed(text.slice(at, at + MAX_PARSED_CHARS));
    }
    if (this.#pendingTexts.length === 0) return;
    const texts = this.#pendingTexts;
    this.#pendingTexts = [];
    this.sink.onTokens(texts);
  }

  #giveUp(): void {
    this.#isGivenUp = true;
    this.#pendingTexts = [];
    this.sink.onFailure("broken", "an event of the response is too long");
  }

  #handleEvent(data: string): void {
    if (data === "[DONE]") return this.#handleEnd();
    const chunk = parseChunk(data);
    if (chunk === undefined || !this.matchesAttempt(chunk.id)) {
      this.#pendingTexts = [];
      return this.reportMismatch();
    }
    const choice = chunk.choices?.[0];
    if (choice?.text) this.#pendingTexts.push(choice.text);
    if (choice?.finish_reason) this.#finalChunk = chunk;
  }

  #handleEnd(): void {
    const finalChunk = this.#finalChunk;
    if (finalChunk === undefined) {
      return this.sink.onFailure(
        "broken",
        "the end marker arrived without a finish reason",
      );
    }
    if (this.#pendingTexts.length > 0) {
      const texts = this.#pendingTexts;
      this.#pendingTexts = [];
      this.sink.onTokens(texts);
    }
    this.sink.onEnd({
      reason: finalChunk.choices?.[0]?.finish_reason === "stop"
        ? "stop"
        : "length",
      promptTokens: finalChunk.usage?.prompt_tokens ?? 0,
      cachedTokens: finalChunk.usage?.cached_tokens ?? 0,
      ...(finalChunk.kv_handle === undefined
        ? {}
        : { kvHandle: finalChunk.kv_handle }),
    });
  }
}

function parseChunk(data: string): Chunk | undefined {
  try {
    return JSON.parse(data) as Chunk;
  } catch {
    return undefined;
  }
}
