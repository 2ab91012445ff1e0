/**
 * OpenAI-compatible formats of requests and responses.
 *
 * @module
 */
import { z } from "zod";
import { Err, Ok, type Result, ServeError } from "heatherarch-core";
import { buildIssues, formatIssues } from "heatherarch-settings";

const MAX_TOKENS = z.int().min(1).max(1_000_000);

const COMMON_FIELDS = {
  model: z.string().min(1).max(200),
  stream: z.boolean().nullish(),
  max_tokens: MAX_TOKENS.nullish(),
  stream_options: z.object({ include_usage: z.boolean().nullish() }).nullish(),
  /** Name of the profile. The `x-heatherarch-profile` header overrides it. */
  profile: z.string().max(63).nullish(),
};

const MESSAGE_CONTENT = z.union([
  z.string(),
  z.array(z.object({ type: z.literal("text"), text: z.string() })),
]);

const CHAT_REQUEST = z.object({
  ...COMMON_FIELDS,
  max_completion_tokens: MAX_TOKENS.nullish(),
  messages: z.array(z.object({
    role: z.enum(["system", "developer", "user", "assistant", "tool"]),
    content: MESSAGE_CONTENT.nullish(),
  })).min(1).max(10_000),
});

const TEXT_REQUEST = z.object({
  ...COMMON_FIELDS,
  prompt: z.union([z.string().min(1), z.array(z.string().min(1)).length(1)]),
});

/** Endpoint that was called: chat completions or text completions. */
export type GenerationKind = "chat" | "text";

/** A generation request from either endpoint. */
export interface GenerationRequest {
  readonly kind: GenerationKind;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number | undefined;
  readonly stream: boolean;
  readonly includeUsage: boolean;
  readonly profile: string | undefined;
}

/** Token counts of a response. */
export interface Usage {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly cachedTokens: number;
}

/** Parses the JSON body of `POST /v1/chat/completions`. */
export function parseChatRequest(
  body: unknown,
): Result<GenerationRequest, ServeError> {
  const parsed = CHAT_REQUEST.safeParse(body);
  if (!parsed.success) return Err(buildValidationError(parsed.error));
  const { data } = parsed;
  return Ok({
    kind: "chat",
    model: data.model,
    prompt: renderMessages(data.messages),
    maxTokens: data.max_completion_tokens ?? data.max_tokens ?? undefined,
    stream: data.stream ?? false,
    includeUsage: data.stream_options?.include_usage ?? false,
    profile: data.profile ?? undefined,
  });
}

/** Parses the JSON body of `POST /v1/completions`. */
export function parseTextRequest(
  body: unknown,
): Result<GenerationRequest, ServeError> {
  const parsed = TEXT_REQUEST.safeParse(body);
  if (!parsed.success) return Err(buildValidationError(parsed.error));
  const { data } = parsed;
  return Ok({
    kind: "text",
    model: data.model,
    prompt: typeof data.prompt === "string" ? data.prompt : data.prompt[0],
    maxTokens: data.max_tokens ?? undefined,
    stream: data.stream ?? false,
    includeUsage: data.stream_options?.include_usage ?? false,
    profile: data.profile ?? undefined,
  });
}

interface ChatMessage {
  readonly role: string;
  readonly content?: z.infer<typeof MESSAGE_CONTENT> | null;
}

/** Renders chat messages as one prompt. */
export function renderMessages(messages: readonly ChatMessage[]): string {
  const lines = messages.map(({ role, content }) => {
    const text = typeof content === "string"
      ? content
      : (content ?? []).map((part) => part.text).join("");
    return `<|${role}|>\n${text}\n`;
  });
  return `${lines.join("")}<|assistant|>\n`;
}

/** Builds the streamed chunks of one response. */
export class ChunkBuilder {
  readonly #chunkPrefix: string;
  readonly #chunkSuffix: string;
  readonly #request: GenerationRequest;
  readonly #commonFields: {
    id: string;
    object: string;
    created: number;
    model: string;
  };

  constructor(
    request: GenerationRequest,
    requestId: string,
    createdMs: number,
  ) {
    this.#request = request;
    const isChat = request.kind === "chat";
    this.#commonFields = {
      id: requestId,
      object: isChat ? "chat.completion.chunk" : "text_completion",
      created: Math.floor(createdMs / 1000),
      model: request.model,
    };
    const commonJson = JSON.stringify(this.#commonFields).slice(0, -1);
    const content = isChat ? `"delta":{"content":` : `"text":`;
    this.#chunkPrefix = `data: ${commonJson},"choices":[{"index":0,${content}`;
    this.#chunkSuffix = `${isChat ? "}" : ""},"finish_reason":null}]}\n\n`;
  }

  /** Builds the first chunk of a chat response. Returns an empty string for text completions. */
  buildFirstChunk(): string {
    if (this.#request.kind !== "chat") return "";
    const choice = {
      index: 0,
      delta: { role: "assistant", content: "" },
      finish_reason: null,
    };
    return buildSseEvent({ ...this.#commonFields, choices: [choice] });
  }

  /** Builds one chunk for each of the tokens that arrived together. */
  buildTokenChunks(texts: readonly string[]): string {
    let output = "";
    for (const text of texts) {
      output += this.#chunkPrefix + JSON.stringify(text) + this.#chunkSuffix;
    }
    return output;
  }

  /** Builds the last chunks of a complete response. */
  buildFinalChunks(reason: string, usage: Usage): string {
    const choice = this.#request.kind === "chat"
      ? { index: 0, delta: {}, finish_reason: reason }
      : { index: 0, text: "", finish_reason: reason };
    let output = buildSseEvent({ ...this.#commonFields, choices: [choice] });
    if (this.#request.includeUsage) {
      output += buildSseEvent({
        ...this.#commonFields,
        choices: [],
        usage: buildUsage(usage),
      });
    }
    return `${output}data: [DONE]\n\n`;
  }
}

/** Builds one server-sent event. */
export function buildSseEvent(value: unknown): string {
  return `data: ${JSON.stringify(value)}\n\n`;
}

/** Builds a response that is not streamed. */
export function buildCompletion(
  request: GenerationRequest,
  completion: {
    requestId: string;
    createdMs: number;
    text: string;
    reason: string;
    usage: Usage;
  },
): unknown {
  const chat = request.kind === "chat";
  const choice = chat
    ? {
      index: 0,
      message: { role: "assistant", content: completion.text },
      finish_reason: completion.reason,
    }
    : {
      index: 0,
      text: completion.text,
      logprobs: null,
      finish_reason: completion.reason,
    };
  return {
    id: completion.requestId,
    object: chat ? "chat.completion" : "text_completion",
    created: Math.floor(completion.createdMs / 1000),
    model: request.model,
    choices: [choice],
    usage: buildUsage(completion.usage),
  };
}

function buildUsage(usage: Usage): unknown {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.outputTokens,
    total_tokens: usage.promptTokens + usage.outputTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedTokens },
  };
}

function buildValidationError(error: z.ZodError): ServeError {
  return new ServeError("badRequest", formatIssues(buildIssues(error)));
}
