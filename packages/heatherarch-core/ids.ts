/**
 * Identifiers: opaque strings that are unique across restarts.
 *
 * @module
 */
import { randomBytes } from "node:crypto";

const ID_BYTES = 9;

/** Creates an identifier with a readable prefix, for example `req-5f1s9…`. */
export function createId(prefix: string): string {
  return `${prefix}-${randomBytes(ID_BYTES).toString("base64url")}`;
}
