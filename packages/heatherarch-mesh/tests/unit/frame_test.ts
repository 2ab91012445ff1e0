import assert from "node:assert/strict";
import { test } from "node:test";
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
