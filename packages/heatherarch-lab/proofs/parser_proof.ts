/**
 * Proof of the answer parsers: bytes cut anywhere, parts of another try mixed in, answers
 * broken off. The oracle is the text that was really sent for this try.
 *
 * @module
 */
import fc from "fast-check";
import {
  createNdjsonParser,
  createSseParser,
  type EngineCall,
  PARSER_GUARDS,
  type ParserGuard,
} from "heatherarch-targets";
import { buildGuardSet, type Proof, requirePromise } from "./proof.ts";

const CALL: EngineCall = {
  tryId: "mine",
  model: "m",
  prompt: "p",
  maxTokens: 100,
  priority: 1,
  kvExport: false,
};

type Part =
  | { readonly kind: "token"; readonly text: string }
  | { readonly kind: "crossed"; readonly text: string }
  | { readonly kind: "garbage" };

interface Schedule {
  readonly dialect: "sse" | "ndjson";
  readonly parts: readonly Part[];
  readonly marked: boolean;
  readonly cuts: readonly number[];
}

function buildBytes({ dialect, parts, marked }: Schedule): Buffer {
  const lines = parts.map((part) => {
    if (part.kind === "garbage") {
      return dialect === "sse" ? "data: {nonsense\n\n" : "{nonsense\n";
    }
    const id = part.kind === "token" ? CALL.tryId : "other";
    return dialect === "sse"
      ? `data: ${
        JSON.stringify({
          id,
          choices: [{ text: part.text, finish_reason: null }],
        })
      }\n\n`
      : `${JSON.stringify({ tag: id, s: part.text })}\n`;
  });
  if (marked) lines.push(buildEnd(dialect));
  return Buffer.from(lines.join(""));
}

function buildEnd(dialect: "sse" | "ndjson"): string {
  if (dialect === "ndjson") {
    return `${JSON.stringify({ tag: CALL.tryId, end: "length" })}\n`;
  }
  const last = {
    id: CALL.tryId,
    choices: [{ text: "", finish_reason: "length" }],
  };
  return `data: ${JSON.stringify(last)}\n\ndata: [DONE]\n\n`;
}

function checkSchedule(
  schedule: Schedule,
  off: ReadonlySet<ParserGuard>,
): void {
  let text = "";
  let ended = 0;
  let failed = 0;
  const create = schedule.dialect === "sse"
    ? createSseParser
    : createNdjsonParser;
  const parser = create(CALL, {
    onTokens: (texts) => {
      if (ended + failed === 0) text += texts.join("");
    },
    onEnd: () => {
      if (failed === 0) ended++;
    },
    onFailure: () => {
      if (ended === 0) failed++;
    },
  }, { disabledGuards: off });
  const bytes = buildBytes(schedule);
  const cuts = [
    ...schedule.cuts.map((cut) => cut % (bytes.length + 1)),
    bytes.length,
  ];
  cuts.sort((a, b) => a - b);
  let at = 0;
  for (const cut of cuts) {
    if (cut > at) parser.push(bytes.subarray(at, cut));
    at = cut;
  }
  parser.finish();
  const own = schedule.parts.filter((part) => part.kind === "token").map((
    part,
  ) => part.text);
  requirePromise(
    own.join("").startsWith(text),
    "only own tokens are delivered",
    text,
  );
  const clean = own.length === schedule.parts.length;
  if (ended > 0) {
    requirePromise(
      clean && schedule.marked,
      "an answer is whole when its end marker came",
    );
    requirePromise(text === own.join(""), "a whole answer has all its tokens");
  } else {
    requirePromise(!(clean && schedule.marked), "a whole answer is taken");
  }
}

const TEXT = fc.string({ minLength: 1, maxLength: 6, unit: "grapheme" });

const SCHEDULE: fc.Arbitrary<Schedule> = fc.record({
  dialect: fc.constantFrom("sse" as const, "ndjson" as const),
  parts: fc.array(
    fc.oneof(
      {
        weight: 12,
        arbitrary: fc.record({
          kind: fc.constant("token" as const),
          text: TEXT,
        }),
      },
      {
        weight: 1,
        arbitrary: fc.record({
          kind: fc.constant("crossed" as const),
          text: TEXT,
        }),
      },
      {
        weight: 1,
        arbitrary: fc.record({ kind: fc.constant("garbage" as const) }),
      },
    ),
    { maxLength: 12 },
  ),
  marked: fc.boolean(),
  cuts: fc.array(fc.nat({ max: 5000 }), { maxLength: 10 }),
});

/** Answer parsers under random bytes. */
export const PARSER_PROOF: Proof = {
  name: "parser",
  guards: PARSER_GUARDS,
  build: (off) =>
    fc.property(
      SCHEDULE,
      (schedule) => checkSchedule(schedule, buildGuardSet<ParserGuard>(off)),
    ),
};
