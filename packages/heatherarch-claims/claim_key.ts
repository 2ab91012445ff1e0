/**
 * Idempotency keys. A key carries the time at which the caller made it, so that a key older
 * than what the log still remembers can be told from a new one.
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

/** A key that has been read. */
export interface ClaimKey {
  /** Account, service and the caller's key in one text. */
  readonly text: string;
  /** Wall-clock time that the key carries, milliseconds since the Unix epoch. */
  readonly madeAtMs: number;
}

/** Reads an `Idempotency-Key` header of the form `UNIXMS-TEXT`. */
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

/** The shard that a key belongs to. */
export function computeShard(keyText: string, shards: number): number {
  return mixHash(hashText(keyText)) % shards;
}

/** Name of the stream of a shard. */
export function buildClaimStreamName(shard: number): string {
  return `claims.${shard}`;
}
