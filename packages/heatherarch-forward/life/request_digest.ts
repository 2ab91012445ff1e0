/**
 * What makes two calls the same request.
 *
 * @module
 */
import { createHash } from "node:crypto";
import type { ForwardedCall } from "../model.ts";

const DIGEST_HEX_LENGTH = 32;

/**
 * Digest of a request's content. Ids, deadlines and other headers differ between a client's
 * attempts and are left out. It is cryptographic, so that no client account can build a request
 * that is taken for another one's.
 */
export function hashRequest(
  { method, host, path, body }: Pick<
    ForwardedCall,
    "method" | "host" | "path" | "body"
  >,
): string {
  return createHash("sha256")
    .update(JSON.stringify([method, host, path]))
    .update(body)
    .digest("hex")
    .slice(0, DIGEST_HEX_LENGTH);
}
