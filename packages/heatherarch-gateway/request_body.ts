/**
 * Reads request bodies within limits of size and time.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { Err, Ok, type Result, ServeError } from "heatherarch-core";

/** Limits of a request body. */
export interface BodyLimits {
  readonly maxBodyBytes: number;
  readonly bodyTimeoutMs: number;
}

/**
 * Reads a complete body. Rejects with {@linkcode ServeError} if the body is too large, too slow or
 * incomplete.
 */
export function readRequestBody(
  req: IncomingMessage,
  limits: BodyLimits,
): Promise<Buffer> {
  const declared = Number(req.headers["content-length"] ?? 0);
  const buildSizeError = () =>
    new ServeError(
      "payloadTooLarge",
      `the body is larger than ${limits.maxBodyBytes} bytes`,
    );
  if (declared > limits.maxBodyBytes) return Promise.reject(buildSizeError());
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const finish = (error?: ServeError): void => {
      clearTimeout(timer);
      req.removeAllListeners("data");
      if (error) reject(error);
      else resolve(Buffer.concat(chunks));
    };
    const timer = setTimeout(() => {
      const message =
        `the body did not arrive within ${limits.bodyTimeoutMs} ms`;
      finish(new ServeError("requestTimeout", message));
    }, limits.bodyTimeoutMs);
    req.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size > limits.maxBodyBytes) finish(buildSizeError());
      else chunks.push(chunk);
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
