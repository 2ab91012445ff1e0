/**
 * What the gateway reads from a caller's request: who asks, what for, and within which bounds.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type Koa from "koa";
import { type Result, ServeError } from "heatherarch-core";
import type { Fleet, ModelService, Profile } from "heatherarch-settings";
import type { Credentials } from "./account_directory.ts";
import type { GenerationRequest } from "./openai_format.ts";

/** Headers that end at this hop. */
const HOP_BY_HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "host",
  "content-length",
  "expect",
  "authorization",
]);

/** Who the caller says it is. */
export function readCredentials(ctx: Koa.Context): Credentials {
  return {
    token: /^Bearer (.+)$/i.exec(ctx.get("authorization"))?.[1],
    name: ctx.get("x-heatherarch-account"),
  };
}

/** The value of a success; throws the error of a failure. */
export function unwrap<T>(result: Result<T, ServeError>): T {
  if (!result.ok) throw result.val as ServeError;
  return result.val as T;
}

/** Whether the answer is to go on without its caller. */
export function isResumable(ctx: Koa.Context): boolean {
  return ctx.get("x-heatherarch-resumable") === "true";
}

/** Refuses other methods than one. */
export function requireMethod(ctx: Koa.Context, method: string): void {
  if (ctx.method === method) return;
  ctx.set("allow", method);
  throw new ServeError("methodNotAllowed", `${ctx.path} takes ${method}`);
}

/** The service that has a model. */
export function findModelService(fleet: Fleet, model: string): ModelService {
  for (const service of fleet.services) {
    if (service.kind === "model" && service.models.includes(model)) {
      return service;
    }
  }
  throw new ServeError("unknownModel", `no model is named ${model}`);
}

/** The most tokens of an answer, within the bounds of the profile. */
export function computeMaxTokens(
  request: GenerationRequest,
  promptTokens: number,
  profile: Profile,
): number {
  if (promptTokens > profile.maxPromptTokens) {
    const message =
      `the prompt has about ${promptTokens} tokens; ${profile.maxPromptTokens} are allowed`;
    throw new ServeError("badRequest", message);
  }
  const maxTokens = request.maxTokens ?? Math.min(256, profile.maxOutputTokens);
  if (maxTokens > profile.maxOutputTokens) {
    const message =
      `max_tokens is ${maxTokens}; ${profile.maxOutputTokens} are allowed`;
    throw new ServeError("badRequest", message);
  }
  return maxTokens;
}

/** Headers that pass on to a target. */
export function copyRequestHeaders(
  req: IncomingMessage,
): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(req.headers)) {
    if (value === undefined || HOP_BY_HOP_HEADERS.has(name)) continue;
    headers[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return headers;
}
