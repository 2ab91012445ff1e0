/**
 * Encodes records of streams grouped by version, with the keys of a version in one string of bytes.
 *
 * @module
 */
import { STREAM_KEY_BYTES, type StreamRecord } from "./stream_versions.ts";

/** Software versions, and the keys of the streams that each began, one after another. */
export type EncodedStreamRecords = readonly (readonly [string, Uint8Array])[];

/** Encodes records. */
export function encodeStreamRecords(
  records: readonly StreamRecord[],
): [string, Buffer<ArrayBuffer>][] {
  const keys = new Map<string, string>();
  for (const { key, softwareVersion } of records) {
    keys.set(softwareVersion, (keys.get(softwareVersion) ?? "") + key);
  }
  return [...keys].map(([version, joined]) => [
    version,
    Buffer.from(joined, "latin1"),
  ]);
}

/** Decodes records. */
export function decodeStreamRecords(
  streams: EncodedStreamRecords,
): StreamRecord[] {
  return streams.flatMap(([softwareVersion, bytes]) => {
    const keys = Buffer.from(bytes).toString("latin1");
    return Array.from(
      { length: Math.floor(keys.length / STREAM_KEY_BYTES) },
      (_, i): StreamRecord => ({
        key: keys.slice(i * STREAM_KEY_BYTES, (i + 1) * STREAM_KEY_BYTES),
        softwareVersion,
      }),
    );
  });
}
