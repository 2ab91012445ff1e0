/**
 * Reads the parameters of a client's request: identity, model, token limits and headers.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type Koa from "koa";
import { type Result, ServeError } from "heatherarch-core";
import type { Fleet, ModelService, Profile } from "heatherarch-settings";
import type { RequestIdentity } from "./account_directory.ts";
import type { GenerationRequest } from "./openai_format.ts";

/** Headers that are not forwarded to a target. */
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

/** Reads the identity that a request states. */
export function readRequestIdentity(ctx: Koa.Context): RequestIdentity {
  return {
    token: /^Bearer (.+)$/i.exec(ctx.get("authorization"))?.[1],
    name: ctx.get("x-heatherarch-account"),
  };
}

/** Returns the value of a success. Throws the error of a failure. */
export function unwrap<T>(result: Result<T, ServeError>): T {
  if (!result.ok) throw result.val as ServeError;
  return result.val as T;
}

/** Whether the generation continues after its client has disconnected. */
export function isResumable(ctx: Koa.Context): boolean {
  return ctx.get("x-heatherarch-resumable") === "true";
}

/** Throws {@linkcode ServeError} if the request has another method. */
export function requireMethod(ctx: Koa.Context, method: string): void {
  if (ctx.method === method) return;
  ctx.set("allow", method);
  throw new ServeError(
    "methodNotAllowed",
    `${ctx.path} only accepts ${method}`,
  );
}

/** Finds the service that serves a model. */
export function findModelService(fleet: Fleet, model: string): ModelService {
  for (const service of fleet.services) {
    if (service.kind === "model" && service.models.includes(model)) {
      return service;
    }
  }
  throw new ServeError("unknownModel", `no model is named ${model}`);
}

/** Computes the maximum number of output tokens, within the limits of the profile. */
export function computeMaxTokens(
  request: GenerationRequest,
  promptTokens: number,
  profile: Profile,
): number {
  if (promptTokens > profile.maxPromptTokens) {
    const message =
      `the prompt has about ${promptTokens} tokens; the maximum is ${profile.maxPromptTokens}`;
    throw new ServeError("badRequest", message);
  }
  const maxTokens = request.maxTokens ?? Math.min(256, profile.maxOutputTokens);
  if (maxTokens > profile.maxOutputTokens) {
    const message =
      `max_tokens is ${maxTokens}; the maximum is ${profile.maxOutputTokens}`;
    throw new ServeError("badRequest", message);
  }
  return maxTokens;
}

/** Copies the headers that are forwarded to a target. */
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

/** Formats a name for the requests of one service and profile, which take about as long as each other. */
export function formatRoute(service: string, { name }: Profile): string {
  return `${service} ${name}`;
}

/** Returns the VM that serves a stream, or undefined if the request does not name one. */
export function findOwningVm(
  ctx: Koa.Context,
  streamId: string,
): string | undefined {
  const stated = ctx.get("x-heatherarch-vm");
  if (stated !== "") return stated;
  return /^(.+)-[A-Za-z0-9_-]{12}$/.exec(streamId)?.[1];
}
