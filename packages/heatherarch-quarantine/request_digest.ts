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
 * Digest of a request's content. Ids, deadlines and other headers differ between a client's
 * attempts and are left out. It is cryptographic, so that no client account can build a request
 * that is taken for another one's.
 */
export function hashRequest(content: RequestContent): string {
  const { method, host, path, body } = content;
  return createHash("sha256")
    .update(JSON.stringify([method, host, path]))
    .update(body)
    .digest("hex")
    .slice(0, DIGEST_HEX_LENGTH);
}
