import assert from "node:assert/strict";
import { mock, test } from "node:test";
import {
  createNdjsonParser,
  createSseParser,
  type EngineCall,
  type EngineSink,
  type ParserFactory,
} from "../../mod.ts";

const KILOBYTE = 1024;
const PART_BYTES = 1460;
const MAX_EVENT_BYTES = 1024 * KILOBYTE;

const CALL: EngineCall = {
  tryId: "mine",
  model: "m",
  prompt: "p",
  maxTokens: 100,
  priority: 1,
  kvExport: false,
};

/** A dialect and the bytes of an event that carries a text. */
interface Dialect {
  readonly name: string;
  readonly createParser: ParserFactory;
  readonly buildEvent: (text: string) => string;
  /** Texts that never end an event, however often they are repeated, and the share of them that is held. */
  readonly endlessTexts: readonly (readonly [string, number])[];
}

const DIALECTS: readonly Dialect[] = [
  {
    name: "sse",
    createParser: createSseParser,
    buildEvent: (text) =>
      `data: ${JSON.stringify({ id: CALL.tryId, choices: [{ text }] })}\n\n`,
    endlessTexts: [["x", 1], ["data: x", 1], ["data: x\n", 2 / 8]],
  },
  {
    name: "ndjson",
    createParser: createNdjsonParser,
    buildEvent: (text) => `${JSON.stringify({ tag: CALL.tryId, s: text })}\n`,
    endlessTexts: [["x", 1], ["\r", 1]],
  },
];

/** A sink that keeps what it gets. */
function createRecordingSink() {
  const texts: string[] = [];
  const failures: string[] = [];
  const sink: EngineSink = {
    onTokens: (given) => texts.push(...given),
    onEnd: () => undefined,
    onFailure: (failure) => failures.push(failure),
  };
  return { sink, texts, failures };
}

/** Counts the bytes that buffers copy while `run` runs. */
function countCopiedBytes(run: () => void): number {
  let copied = 0;
  const { concat } = Buffer;
  const { copy } = Buffer.prototype;
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
  ];
  try {
    run();
  } finally {
    for (const { mock: mocked } of mocks) mocked.restore();
  }
  return copied;
}

function splitBytes(bytes: Buffer, partBytes: number): Buffer[] {
  const parts: Buffer[] = [];
  for (let at = 0; at < bytes.length; at += partBytes) {
    parts.push(bytes.subarray(at, at + partBytes));
  }
  return parts;
}

for (const { name, createParser, buildEvent, endlessTexts } of DIALECTS) {
  // Guards against a copy of all bytes of an unfinished event for each part that arrives.
  test(`${name}: each byte of a long event is copied fewer than three times`, () => {
    const text = "x".repeat(512 * KILOBYTE);
    const bytes = Buffer.from(buildEvent(text));
    const { sink, texts, failures } = createRecordingSink();
    const parser = createParser(CALL, sink);
    const copied = countCopiedBytes(() => {
      for (const part of splitBytes(bytes, PART_BYTES)) parser.push(part);
    });
    assert.deepEqual(failures, []);
    assert.deepEqual(texts, [text]);
    const perByte = copied / bytes.length;
    assert.ok(perByte < 3, `${perByte} copies`);
  });

  // Guards against an event without end that is held without any bound.
  test(`${name}: a response whose event never ends is given up`, () => {
    for (const [text, share] of endlessTexts) {
      const maxBytes = MAX_EVENT_BYTES / share + 2 * PART_BYTES;
      const { sink, texts, failures } = createRecordingSink();
      const parser = createParser(CALL, sink);
      const repeats = Math.floor(PART_BYTES / text.length);
      const part = Buffer.from(text.repeat(repeats));
      let pushed = 0;
      while (failures.length === 0 && pushed < 2 * maxBytes) {
        parser.push(part);
        pushed += part.length;
      }
      parser.push(part);
      assert.deepEqual(failures, ["broken"]);
      assert.deepEqual(texts, []);
      assert.ok(pushed <= maxBytes, `${pushed} bytes`);
    }
  });
}

/** Shortest time of several runs to parse a text in parts, milliseconds. */
function measureParse(text: string, partBytes: number): number {
  const parts = splitBytes(Buffer.from(text), partBytes);
  const times = Array.from({ length: 5 }, () => {
    const parser = createSseParser(CALL, createRecordingSink().sink);
    const startedAtMs = performance.now();
    for (const part of parts) parser.push(part);
    return performance.now() - startedAtMs;
  });
  return Math.min(...times);
}

// Guards against a search of the whole part at each of its lines, which took sixty times as long.
test("sse: the time for short lines does not depend on the size of the part", () => {
  for (const text of ["\r".repeat(65_536), `${"\n".repeat(65_535)}\r`]) {
    const inSmallParts = measureParse(text, KILOBYTE);
    const asWhole = measureParse(text, text.length);
    const ratio = asWhole / inSmallParts;
    assert.ok(ratio < 10, `${ratio} times as long`);
  }
});
