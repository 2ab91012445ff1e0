/**
 * Adapter for dialect `ndjson`. Responses carry one JSON value per line, the field names differ
 * from those of dialect `sse`, and engines obey orders without checking a fencing token.
 *
 * @module
 */
import { z } from "zod";
import {
  ByteGatherer,
  type EngineOrder,
  type EngineRole,
  type EngineState,
} from "heatherarch-core";
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

const ROLE_BY_MODE = {
  P: "prefill",
  D: "decode",
  PD: "mixed",
} as const satisfies Record<string, EngineRole>;
const MODE_BY_ROLE: Record<EngineRole, keyof typeof ROLE_BY_MODE> = {
  prefill: "P",
  decode: "D",
  mixed: "PD",
};

const STATE_SCHEMA = z.object({
  mode: z.enum(["P", "D", "PD"]),
  weights: z.string(),
  reconfiguring: z.boolean(),
  leaving: z.boolean(),
  batch: z.number(),
  queue: z.number(),
  prefill_backlog: z.number(),
  cache_pct: z.number(),
});

interface ResponseLine {
  tag?: string;
  s?: string;
  end?: string;
  in?: number;
  hit?: number;
  handle?: string;
}

const NEWLINE = 0x0a;
const MAX_LINE_BYTES = 1024 * 1024;

/** An engine that speaks dialect `ndjson`. */
export class NdjsonEngine implements EnginePort {
  readonly #client: EngineClient;

  constructor(options: EngineOptions) {
    this.#client = new EngineClient(options);
  }

  async readState(
    options: { timeoutMs: number; fresh?: boolean },
  ): Promise<EngineState> {
    const state = STATE_SCHEMA.parse(
      await this.#client.readJson("/metrics.json", options),
    );
    const [model, version = ""] = state.weights.split("@");
    return checkEngineState({
      role: ROLE_BY_MODE[state.mode],
      model,
      version,
      busyWithOrder: state.reconfiguring,
      leaving: state.leaving,
      running: state.batch,
      waiting: state.queue,
      pendingPrefillTokens: state.prefill_backlog,
      fencing: 0,
      kvUsed: state.cache_pct / 100,
    });
  }

  generate(call: EngineCall, sink: EngineSink): EngineAttempt {
    const body = JSON.stringify({
      weights: call.model,
      input: call.prompt,
      max_new_tokens: call.maxTokens,
      tag: call.tryId,
      prio: call.priority,
      export: call.kvExport,
      import: call.kvImport,
    });
    const request = { path: "/generate", method: "POST", body };
    return this.#client.startAttempt(request, call, sink, createNdjsonParser);
  }

  sendOrder(
    order: EngineOrder,
    options: { fencing: number; guard: () => boolean; timeoutMs: number },
  ): Promise<OrderResponse> {
    const change = order.kind === "setRole"
      ? { set: "mode", mode: MODE_BY_ROLE[order.role] }
      : { set: "weights", weights: `${order.model}@${order.version}` };
    // The engine does not check `ref`, but writes it to its own log for operators.
    const body = { ...change, ref: options.fencing };
    return this.#client.sendOrder("/control", body, options);
  }

  close(): Promise<void> {
    return this.#client.close();
  }
}

/** Creates the parser of one response. */
export function createNdjsonParser(
  call: EngineCall,
  sink: EngineSink,
  options: ParserOptions = {},
): ResponseParser {
  return new NdjsonResponseParser(call, sink, options);
}

/** Parses lines, checks that each carries the id of the attempt, and delivers the tokens. */
class NdjsonResponseParser extends ResponseParser {
  readonly #incompleteLine = new ByteGatherer();

  override push(bytes: Buffer): void {
    const texts: string[] = [];
    let offset = 0;
    let finalLine: ResponseLine | undefined;
    for (
      let newlineAt = bytes.indexOf(NEWLINE);
      newlineAt !== -1;
      newlineAt = bytes.indexOf(NEWLINE, offset)
    ) {
      const text = this.#completeLine(bytes.subarray(offset, newlineAt));
      const line = parseLine(text);
      offset = newlineAt + 1;
      if (line === undefined || !this.matchesAttempt(line.tag)) {
        return this.reportMismatch();
      }
      if (line.s) texts.push(line.s);
      if (line.end) finalLine = line;
    }
    this.#incompleteLine.append(bytes.subarray(offset));
    if (this.#incompleteLine.length > MAX_LINE_BYTES) {
      this.#incompleteLine.clear();
      return this.sink.onFailure(
        "broken",
        "a line of the response is too long",
      );
    }
    if (texts.length > 0) this.sink.onTokens(texts);
    if (finalLine !== undefined) this.#handleEnd(finalLine);
  }

  /** Returns the text of the line that `last` completes. */
  #completeLine(last: Buffer): string {
    if (this.#incompleteLine.length === 0) return last.toString("utf8");
    this.#incompleteLine.append(last);
    return this.#incompleteLine.take().toString("utf8");
  }

  #handleEnd(line: ResponseLine): void {
    this.sink.onEnd({
      reason: line.end === "stop" ? "stop" : "length",
      promptTokens: line.in ?? 0,
      cachedTokens: line.hit ?? 0,
      ...(line.handle === undefined ? {} : { kvHandle: line.handle }),
    });
  }
}

function parseLine(text: string): ResponseLine | undefined {
  try {
    return JSON.parse(text) as ResponseLine;
  } catch {
    return undefined;
  }
}
