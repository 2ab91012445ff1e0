/**
 * Reads request bodies within limits of size and time.
 *
 * @module
 */
import type { BodyMemory } from "heatherarch-client-limits";
import { Err, Ok, type Result, ServeError } from "heatherarch-core";
import type Koa from "koa";
import { registerResponseEnd } from "./response_end.ts";

/** Limits of a request body. */
export interface BodyLimits {
  readonly maxBodyBytes: number;
  readonly bodyTimeoutMs: number;
}

/**
 * Reads a complete body, which takes memory until its request has ended. Rejects with
 * {@linkcode ServeError} if the body is too large, too slow or incomplete, or if it gives way to others.
 */
export function readRequestBody(
  ctx: Pick<Koa.Context, "req" | "res">,
  limits: BodyLimits,
  memory: BodyMemory,
): Promise<Buffer> {
  const { req } = ctx;
  const declared = Number(req.headers["content-length"] ?? Infinity);
  const buildSizeError = () =>
    new ServeError(
      "payloadTooLarge",
      `the body is larger than ${limits.maxBodyBytes} bytes`,
    );
  if (declared !== Infinity && declared > limits.maxBodyBytes) {
    return Promise.reject(buildSizeError());
  }
  return new Promise((resolve, reject) => {
    const held = memory.open(() =>
      finish(
        new ServeError(
          "overloaded",
          "too much memory of request bodies at this VM",
        ),
      )
    );
    registerResponseEnd(ctx, () => held.release());
    const finish = (error?: ServeError): void => {
      clearTimeout(timer);
      req.removeAllListeners("data");
      if (error) reject(error);
      else resolve(held.complete());
    };
    const timer = setTimeout(() => {
      const message =
        `the body did not arrive within ${limits.bodyTimeoutMs} ms`;
      finish(new ServeError("requestTimeout", message));
    }, limits.bodyTimeoutMs);
    req.on("data", (chunk: Buffer) => {
      const size = held.length + chunk.length;
      if (size > limits.maxBodyBytes) finish(buildSizeError());
      else held.append(chunk, declared);
    });
    req.on("end", () => finish());
    req.on(
      "error",
      () => finish(new ServeError("badRequest", "the body ended prematurely")),
    );
    req.on(
      "aborted",
      () => finish(new ServeError("badRequest", "the body ended prematurely")),
    );
  });
}

/** Parses a body as JSON. */
export function parseJsonBody(body: Buffer): Result<unknown, ServeError> {
  try {
    return Ok(JSON.parse(body.toString("utf8")));
  } catch (error) {
    return Err(
      new ServeError(
        "badRequest",
        `the body is not JSON: ${(error as Error).message}`,
      ),
    );
  }
}
