/**
 * Idempotency keys. A key carries the time at which the client created it, so that a key that is
 * older than the window of the log can be distinguished from a new one.
 *
 * @module
 */
import {
  Err,
  hashText,
  mixHash,
  Ok,
  type Result,
  ServeError,
} from "heatherarch-core";

const KEY_PATTERN = /^(\d{13})-([A-Za-z0-9._~-]{4,200})$/;

/** A parsed idempotency key. */
export interface ClaimKey {
  /** Client account, service and the client's key, joined. */
  readonly text: string;
  /** Wall-clock time that the key carries, in milliseconds since the Unix epoch. */
  readonly madeAtMs: number;
}

/** Parses an `Idempotency-Key` header of the form `UNIXMILLISECONDS-TEXT`. */
export function parseClaimKey(
  header: string,
  scope: { account: string; service: string },
): Result<ClaimKey, ServeError> {
  const match = KEY_PATTERN.exec(header);
  if (match === null) {
    const example = "1764700000000-3f9c2a7e";
    const reason =
      `Idempotency-Key must be UNIXMILLISECONDS-TEXT, for example ${example}`;
    return Err(new ServeError("badIdempotencyKey", reason));
  }
  const text = `${scope.account}/${scope.service}/${header}`;
  return Ok({ text, madeAtMs: Number(match[1]) });
}

/** Computes the shard of a key. */
export function computeShard(keyText: string, shards: number): number {
  return mixHash(hashText(keyText)) % shards;
}

/** Returns the name of the claims stream of a shard. */
export function buildClaimStreamName(shard: number): string {
  return `claims.${shard}`;
}
