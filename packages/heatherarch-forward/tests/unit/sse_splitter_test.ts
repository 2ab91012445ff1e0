import assert from "node:assert/strict";
import { test } from "node:test";
import { SseSplitter } from "../../mod.ts";

const STREAM = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 3\nda";

test("events are returned complete, wherever the bytes are split", () => {
  for (let cut = 0; cut <= STREAM.length; cut++) {
    const splitter = new SseSplitter();
    const events = [
      ...splitter.push(Buffer.from(STREAM.slice(0, cut))),
      ...splitter.push(Buffer.from(STREAM.slice(cut))),
    ];
    assert.deepEqual(events.map((event) => event.id), ["1", "2", undefined]);
    const bytes = Buffer.concat([
      ...events.map((event) => event.bytes),
      splitter.remainder,
    ]);
    assert.equal(bytes.toString(), STREAM);
    assert.equal(splitter.remainder.toString(), "id: 3\nda");
  }
});
