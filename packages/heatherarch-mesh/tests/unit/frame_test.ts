import assert from "node:assert/strict";
import { mock, test } from "node:test";
import fc from "fast-check";
import {
  encodeFrame,
  FrameError,
  FrameReader,
  parseMeshMessage,
} from "../../mod.ts";

const MAX_BYTES = 1 << 20;

test("frames are decoded however the stream is split", () => {
  fc.assert(
    fc.property(
      fc.array(fc.jsonValue(), { minLength: 1, maxLength: 5 }),
      fc.array(fc.nat(), { maxLength: 8 }),
      (values, cuts) => {
        const bytes = Buffer.concat(values.map(encodeFrame));
        const reader = new FrameReader(MAX_BYTES);
        const points = [
          ...cuts.map((cut) => cut % (bytes.length + 1)),
          bytes.length,
        ];
        points.sort((a, b) => a - b);
        const read: unknown[] = [];
        let at = 0;
        for (const point of points) {
          read.push(...reader.push(bytes.subarray(at, point)));
          at = point;
        }
        // JSON has no negative zero, while CBOR keeps it. The codec renames a key that would set
        // the prototype of the decoded object.
        const expected = JSON.stringify(values)
          .replaceAll('"__proto__":', '"__proto_":');
        assert.deepEqual(
          JSON.parse(JSON.stringify(read)),
          JSON.parse(expected),
        );
      },
    ),
    { examples: [[[JSON.parse('{"__proto__":null}')], []]] },
  );
});

test("a frame can't set the prototype of a decoded value", () => {
  const reader = new FrameReader(MAX_BYTES);
  const hostile: unknown = JSON.parse('{"__proto__":{"polluted":true}}');
  const [value] = reader.push(encodeFrame(hostile));
  assert.equal((value as { polluted?: boolean }).polluted, undefined);
  assert.equal(({} as { polluted?: boolean }).polluted, undefined);
});

test("an oversized or malformed frame throws a FrameError", () => {
  const reader = new FrameReader(1024);
  const huge = Buffer.alloc(4);
  huge.writeUInt32BE(1025);
  assert.throws(() => reader.push(huge), FrameError);
  fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), (noise) => {
    const frame = Buffer.concat([
      Buffer.from([0, 0, 0, noise.length]),
      Buffer.from(noise),
    ]);
    try {
      for (const value of new FrameReader(1024).push(frame)) {
        parseMeshMessage(value);
      }
    } catch (error) {
      assert.ok(error instanceof FrameError);
    }
  }));
});

const PART_BYTES = 1460;
const LONG_BYTES = 4 * 1024 * 1024;

/** Counts the bytes that buffers copy while `run` runs. */
function countCopiedBytes(run: () => void): number {
  let copied = 0;
  const { concat } = Buffer;
  const { copy } = Buffer.prototype;
  const { set } = Uint8Array.prototype;
  const mocks = [
    mock.method(Buffer, "concat", (list: Buffer[], length?: number) => {
      for (const part of list) copied += part.length;
      return concat.call(Buffer, list, length);
    }),
    mock.method(
      Buffer.prototype,
      "copy",
      function (this: Buffer, ...args: Parameters<Buffer["copy"]>) {
        const count = copy.apply(this, args);
        copied += count;
        return count;
      },
    ),
    mock.method(
      Object.getPrototypeOf(Uint8Array.prototype),
      "set",
      function (this: Uint8Array, source: ArrayLike<number>, at?: number) {
        copied += source.length;
        set.call(this, source, at);
      },
    ),
  ];
  try {
    run();
  } finally {
    for (const { mock: mocked } of mocks) mocked.restore();
  }
  return copied;
}

/** Pushes a frame in parts and returns the values that they complete. */
function pushInParts(
  reader: FrameReader,
  frame: Buffer,
  partBytes: number,
): unknown[] {
  const values: unknown[] = [];
  for (let at = 0; at < frame.length; at += partBytes) {
    values.push(...reader.push(frame.subarray(at, at + partBytes)));
  }
  return values;
}

// Guards against a copy of all bytes of an unfinished frame for each part that arrives: 6 GB for one frame of
// 4 MB, during which the VM served nothing.
test("each byte of a frame that arrives in parts is copied once, and a third of them twice", () => {
  const cases = [[16_384, 1], [16_384, 3], [LONG_BYTES, PART_BYTES], [
    LONG_BYTES,
    65_536,
  ]];
  for (const [frameBytes, partBytes] of cases) {
    const bytes = Buffer.alloc(frameBytes, "x");
    const frame = encodeFrame({ kind: "bytes", bytes });
    const reader = new FrameReader(frame.length);
    let values: unknown[] = [];
    const copied = countCopiedBytes(() => {
      values = pushInParts(reader, frame, partBytes);
    });
    const [{ bytes: received }] = values as [{ bytes: Uint8Array }];
    assert.equal(Buffer.compare(received, bytes), 0);
    const perByte = copied / frame.length;
    assert.ok(perByte < 1.4, `${perByte} copies in parts of ${partBytes}`);
  }
});

// Guards against memory for bytes that a peer announces and does not send.
test("an announced frame takes memory only for the bytes that arrived", () => {
  const header = Buffer.alloc(4);
  header.writeUInt32BE(LONG_BYTES);
  const reader = new FrameReader(LONG_BYTES);
  assert.deepEqual(reader.push(header), []);
  assert.ok(reader.bufferBytes <= 256, `${reader.bufferBytes} bytes`);
  const part = Buffer.alloc(PART_BYTES);
  let arrived = header.length;
  while (arrived + part.length < LONG_BYTES) {
    assert.deepEqual(reader.push(part), []);
    arrived += part.length;
    const bound = Math.min(4 * arrived, header.length + LONG_BYTES);
    assert.ok(reader.bufferBytes <= bound, `${reader.bufferBytes} bytes`);
  }
});

test("values that are not messages are rejected", () => {
  const wrong = [null, 1, {}, { kind: "ping" }, {
    kind: "heartbeat",
    configOffset: "x",
  }];
  for (const value of wrong) assert.equal(parseMeshMessage(value), undefined);
});

test("work rows and prefix updates are accepted only if every field has its type", () => {
  const build = (fields: Record<string, unknown>) =>
    parseMeshMessage({
      kind: "heartbeat",
      configOffset: 1,
      controlOffset: -1,
      intervalMs: 100,
      leaving: false,
      ...fields,
    });
  assert.ok(build({ work: [["e", 1, 2, 3, 4]], prompts: [["k", "e", 1]] }));
  const digest = { scope: "zone", counted: -1, vms: 3 };
  assert.ok(build({ digest: { ...digest, work: [["e", 0, 0]] } }));
  const badRows = [
    [],
    ["e"],
    ["e", 1],
    [1, 1, 1],
    ["e", 1.5, 2],
    ["e", 1, "2"],
    "e",
  ];
  for (const row of badRows) {
    assert.equal(build({ work: [row] }), undefined, JSON.stringify(row));
    assert.equal(build({ digest: { ...digest, work: [row] } }), undefined);
  }
  for (
    const update of [["k", "e"], ["k", "e", 0.5], ["k", "e", 1, 2], [1, "e", 1]]
  ) {
    assert.equal(
      build({ prompts: [update] }),
      undefined,
      JSON.stringify(update),
    );
  }
  for (const other of [null, {}, "rows", 3]) {
    assert.equal(build({ work: other }), undefined);
    assert.equal(build({ prompts: other }), undefined);
  }
});
