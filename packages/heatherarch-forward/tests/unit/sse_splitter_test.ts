import assert from "node:assert/strict";
import { test } from "node:test";
import { EventBuffers, SseSplitter } from "../../mod.ts";

const STREAM = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 3\nda";
const KILOBYTE = 1024;

function assertSplit(parts: readonly string[]): void {
  const splitter = new SseSplitter();
  const events = parts.flatMap((part) => splitter.push(Buffer.from(part)));
  assert.deepEqual(events.map((event) => event.id), ["1", "2", undefined]);
  const bytes = Buffer.concat([
    ...events.map((event) => event.bytes),
    splitter.remainder,
  ]);
  assert.equal(bytes.toString(), STREAM);
  assert.equal(splitter.remainder.toString(), "id: 3\nda");
}

test("events are returned complete, wherever the bytes are split", () => {
  for (let cut = 0; cut <= STREAM.length; cut++) {
    for (let next = cut; next <= STREAM.length; next++) {
      assertSplit([
        STREAM.slice(0, cut),
        STREAM.slice(cut, next),
        STREAM.slice(next),
      ]);
    }
  }
  assertSplit([...STREAM]);
});

// Guards against an object, a copy and a search for each of 32,768 line feeds that arrive together.
test("blank lines are part of the event that they follow", () => {
  for (const blank of ["\n", "\r\n"]) {
    const lines = blank.repeat(32 * KILOBYTE);
    const text = `${lines}id: 1\n\n${lines}id: 2\n\n${lines}id: 3`;
    const splitter = new SseSplitter();
    const events = splitter.push(Buffer.from(text));
    assert.deepEqual(events.map(({ id }) => id), [undefined, "1", "2"]);
    const bytes = [...events.map((event) => event.bytes), splitter.remainder];
    assert.equal(Buffer.concat(bytes).toString(), text);
  }
});

/** Time in milliseconds to split this many KiB without an end, which arrive in parts. */
function measureEndless(kilobytes: number, part: Buffer): number {
  const splitter = new SseSplitter({ maxEventBytes: Infinity });
  const startedAtMs = performance.now();
  const parts = kilobytes * KILOBYTE / part.length;
  for (let i = 0; i < parts; i++) splitter.push(part);
  return performance.now() - startedAtMs;
}

// Guards against a search and a copy of the whole unfinished event for each part that arrives: 8 MiB took
// seconds, and sixteen times as long as 2 MiB.
test("the cost of a byte does not depend on the size of the event", () => {
  for (const text of ["x", "data: \n"]) {
    const part = Buffer.alloc(KILOBYTE, text);
    measureEndless(1024, part);
    assert.ok(measureEndless(32 * 1024, part) < 1000);
  }
});

// Guards against an event that is held without any bound.
test("a stream whose event never ends is given up, and nothing of it is held", () => {
  const buffers = new EventBuffers();
  const reasons: string[] = [];
  const splitter = new SseSplitter({
    buffers,
    onOverflow: (reason) => reasons.push(reason),
  });
  const events = splitter.push(Buffer.from("id: 1\n\n"));
  const part = Buffer.alloc(64 * KILOBYTE, "x\n");
  for (let i = 0; i < 100; i++) events.push(...splitter.push(part));
  assert.deepEqual(events.map(({ id }) => id), ["1"]);
  assert.deepEqual(reasons, ["event exceeds 1048576 bytes"]);
  assert.equal(buffers.heldBytes, 0);
  assert.equal(splitter.remainder.length, 0);
});

// Guards against many events that never end and are each within their bound.
test("the streams that hold most are given up when all together hold too much", () => {
  const buffers = new EventBuffers({ maxBytes: 256 * KILOBYTE });
  const given = new Set<number>();
  const splitters = Array.from(
    { length: 40 },
    (_, i) => new SseSplitter({ buffers, onOverflow: () => given.add(i) }),
  );
  const [sound, ...endless] = splitters;
  for (let round = 0; round < 20; round++) {
    for (const splitter of endless) splitter.push(Buffer.alloc(KILOBYTE, "x"));
    const events = [
      ...sound.push(Buffer.from("data: a")),
      ...sound.push(Buffer.from("\n\n")),
    ];
    assert.equal(events.length, 1);
    assert.ok(buffers.heldBytes <= 256 * KILOBYTE, `${buffers.heldBytes}`);
  }
  assert.ok(given.size > 0 && !given.has(0), `${given.size}`);
  for (const splitter of splitters) splitter.close();
  assert.equal(buffers.heldBytes, 0);
});
