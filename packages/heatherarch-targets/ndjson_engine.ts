/**
 * Dialect `ndjson`: one JSON value a line; other field names; orders are obeyed whoever
 * gives them.
 *
 * @module
 */
import { z } from "zod";
import type { EngineOrder, EngineRole, EngineState } from "heatherarch-core";
import { AnswerParser, type ParserOptions } from "./answer_parser.ts";
import {
  checkEngineState,
  EngineClient,
  type EngineOptions,
} from "./engine_client.ts";
import type {
  EngineCall,
  EnginePort,
  EngineSink,
  EngineTry,
  OrderAnswer,
} from "./engine_port.ts";

const MODES = {
  P: "prefill",
  D: "decode",
  PD: "mixed",
} as const satisfies Record<string, EngineRole>;
const MODE_OF_ROLE: Record<EngineRole, keyof typeof MODES> = {
  prefill: "P",
  decode: "D",
  mixed: "PD",
};

const STATE = z.object({
  mode: z.enum(["P", "D", "PD"]),
  weights: z.string(),
  reconfiguring: z.boolean(),
  leaving: z.boolean(),
  batch: z.number(),
  queue: z.number(),
  prefill_backlog: z.number(),
  cache_pct: z.number(),
});

interface Line {
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
    const state = STATE.parse(
      await this.#client.readJson("/metrics.json", options),
    );
    const [model, version = ""] = state.weights.split("@");
    return checkEngineState({
      role: MODES[state.mode],
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

  generate(call: EngineCall, sink: EngineSink): EngineTry {
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
    return this.#client.startTry(request, call, sink, createLineParser);
  }

  giveOrder(
    order: EngineOrder,
    options: { fencing: number; guard: () => boolean; timeoutMs: number },
  ): Promise<OrderAnswer> {
    const change = order.kind === "setRole"
      ? { set: "mode", mode: MODE_OF_ROLE[order.role] }
      : { set: "weights", weights: `${order.model}@${order.version}` };
    // The engine ignores `ref`; it stands in the engine's own log for operators.
    const body = { ...change, ref: options.fencing };
    return this.#client.sendOrder("/control", body, options);
  }

  close(): Promise<void> {
    return this.#client.close();
  }
}

/** Creates the parser of one answer. */
export function createLineParser(
  call: EngineCall,
  sink: EngineSink,
  options: ParserOptions = {},
): AnswerParser {
  return new LineAnswerParser(call, sink, options);
}

/** Reads lines, checks that each carries the try's id, and passes on tokens. */
class LineAnswerParser extends AnswerParser {
  #pending: Buffer = Buffer.alloc(0);

  override push(bytes: Buffer): void {
    const data = this.#pending.length === 0
      ? bytes
      : Buffer.concat([this.#pending, bytes]);
    const texts: string[] = [];
    let at = 0;
    let end: Line | undefined;
    for (
      let cut = data.indexOf(NEWLINE);
      cut !== -1;
      cut = data.indexOf(NEWLINE, at)
    ) {
      const line = parseLine(data.toString("utf8", at, cut));
      at = cut + 1;
      if (line === undefined || !this.isOwn(line.tag)) {
        return this.failMismatched();
      }
      if (line.s) texts.push(line.s);
      if (line.end) end = line;
    }
    this.#pending = data.subarray(at);
    if (this.#pending.length > MAX_LINE_BYTES) {
      return this.sink.onFailure("broken", "a line is too long");
    }
    if (texts.length > 0) this.sink.onTokens(texts);
    if (end !== undefined) this.#end(end);
  }

  #end(line: Line): void {
    this.sink.onEnd({
      reason: line.end === "stop" ? "stop" : "length",
      promptTokens: line.in ?? 0,
      cachedTokens: line.hit ?? 0,
      ...(line.handle === undefined ? {} : { kvHandle: line.handle }),
    });
  }
}

function parseLine(text: string): Line | undefined {
  try {
    return JSON.parse(text) as Line;
  } catch {
    return undefined;
  }
}
