import assert from "node:assert/strict";
import { test } from "node:test";
import { ByteGatherer, readBytes } from "../../mod.ts";

/** Gathers `totalBytes` in parts and returns the bytes that growth has copied again. */
function countRegrownBytes(
  totalBytes: number,
  partBytes: number,
  announcedBytes?: number,
): number {
  const gatherer = new ByteGatherer();
  const part = Buffer.alloc(partBytes, "x");
  let regrown = 0;
  while (gatherer.length < totalBytes) {
    const { capacity, length } = gatherer;
    gatherer.append(part, announcedBytes);
    if (gatherer.capacity !== capacity) regrown += length;
  }
  return regrown;
}

test("parts are gathered in order, and their buffer is given away", () => {
  const gatherer = new ByteGatherer();
  for (const text of ["a", "", "bc", "d".repeat(100)]) {
    gatherer.append(Buffer.from(text));
  }
  const taken = gatherer.take();
  assert.equal(taken.toString(), `abc${"d".repeat(100)}`);
  assert.equal(gatherer.length, 0);
  assert.equal(gatherer.capacity, 0);
  gatherer.append(Buffer.from("e"));
  assert.equal(taken.toString(), `abc${"d".repeat(100)}`);
  assert.equal(gatherer.bytes.toString(), "e");
});

// Guards against work for a byte that grows with what is gathered.
test("growth copies each byte 1.34 times at most, and a third of them if the total is known", () => {
  for (let totalBytes = 1000; totalBytes < 1 << 20; totalBytes *= 1.7) {
    for (const partBytes of [1, 63, 1460, 65_536]) {
      const total = Math.ceil(totalBytes / partBytes) * partBytes;
      const unknown = countRegrownBytes(total, partBytes);
      assert.ok(unknown < 1.34 * total, `${unknown} of ${total} bytes`);
      const known = countRegrownBytes(total, partBytes, total);
      assert.ok(known < 0.34 * total, `${known} of ${total} bytes`);
    }
  }
});

// Guards against memory that does not depend on what arrived.
test("the buffer has four times the size of its bytes at most, and never more than all parts", () => {
  const gatherer = new ByteGatherer();
  const part = Buffer.alloc(100);
  for (let i = 1; i <= 50; i++) {
    gatherer.append(part, 5000);
    assert.ok(gatherer.capacity <= Math.min(4 * 100 * i, 5000), `part ${i}`);
  }
  assert.equal(gatherer.capacity, 5000);
});

async function* sendParts(count: number): AsyncGenerator<Buffer> {
  for (let i = 0; i < count; i++) yield Buffer.from([i % 256]);
}

// Guards against a body without end, and against views of it that keep a buffer larger than the body.
test("a body is read up to a limit, in a buffer of its size", async () => {
  let parts = 0;
  const onPart = (): void => void parts++;
  const body = await readBytes(sendParts(100), { maxBytes: 100, onPart });
  assert.deepEqual([...body], Array.from({ length: 100 }, (_, i) => i));
  assert.equal(parts, 100);
  const large = await readBytes(sendParts(9000), { maxBytes: 1_000_000 });
  assert.equal(large.buffer.byteLength, 9000);
  await assert.rejects(
    readBytes(sendParts(1000), { maxBytes: 100, onPart }),
    /exceeds 100 bytes/,
  );
  assert.equal(parts, 201);
});
