/**
 * What makes two calls the same request.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** The parts of a call that its client repeats when it sends the request again. */
export interface RequestContent {
  readonly method: string;
  /** Whom or what the request is addressed to: a host, or a client account and a service. */
  readonly host: string;
  readonly path: string;
  readonly body: Buffer;
}

const DIGEST_HEX_LENGTH = 32;

/**
 * Digest of a request's content. Headers are left out, since ids and deadlines differ between a
 * client's attempts. A cryptographic hash keeps a client from crafting a collision with a request
 * of another client account.
 */
export function hashRequest(content: RequestContent): string {
  const { method, host, path, body } = content;
  return createHash("sha256")
    .update(JSON.stringify([method, host, path]))
    .update(body)
    .digest("hex")
    .slice(0, DIGEST_HEX_LENGTH);
}
