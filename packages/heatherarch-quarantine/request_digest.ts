/**
 * Digest that identifies repeated attempts of one request.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** The parts of a call that stay the same when its client retries the request. */
export interface RequestContent {
  readonly method: string;
  /** Destination of the request: a host, or a client account and a service. */
  readonly host: string;
  readonly path: string;
  readonly body: Buffer;
}

const DIGEST_HEX_LENGTH = 32;

/**
 * Computes the digest of a request's content. Headers are excluded, since ids and deadlines differ
 * between a client's attempts. A cryptographic hash prevents a client from crafting a collision
 * with a request of another client account.
 */
export function hashRequest(content: RequestContent): string {
  const { method, host, path, body } = content;
  return createHash("sha256")
    .update(JSON.stringify([method, host, path]))
    .update(body)
    .digest("hex")
    .slice(0, DIGEST_HEX_LENGTH);
}
