/**
 * Proof of the response parsers. Bytes are split at any point, parts of another attempt's response
 * are mixed in, and responses are truncated. The oracle is the text sent for this attempt.
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
import { assertProperty, buildGuardSet, type Proof } from "./proof.ts";

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
  readonly hasEndMarker: boolean;
  readonly splitPoints: readonly number[];
}

function buildBytes(
  { dialect, parts, hasEndMarker }: Schedule,
): Buffer {
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
  if (hasEndMarker) lines.push(buildEndMarker(dialect));
  return Buffer.from(lines.join(""));
}

function buildEndMarker(dialect: "sse" | "ndjson"): string {
  if (dialect === "ndjson") {
    return `${JSON.stringify({ tag: CALL.tryId, end: "length" })}\n`;
  }
  const finalEvent = {
    id: CALL.tryId,
    choices: [{ text: "", finish_reason: "length" }],
  };
  return `data: ${JSON.stringify(finalEvent)}\n\ndata: [DONE]\n\n`;
}

function checkSchedule(
  schedule: Schedule,
  disabledGuards: ReadonlySet<ParserGuard>,
): void {
  let text = "";
  let endCount = 0;
  let failureCount = 0;
  const createParser = schedule.dialect === "sse"
    ? createSseParser
    : createNdjsonParser;
  const parser = createParser(CALL, {
    onTokens: (texts) => {
      if (endCount + failureCount === 0) text += texts.join("");
    },
    onEnd: () => {
      if (failureCount === 0) endCount++;
    },
    onFailure: () => {
      if (endCount === 0) failureCount++;
    },
  }, { disabledGuards });
  const bytes = buildBytes(schedule);
  const splitPoints = [
    ...schedule.splitPoints.map((cut) => cut % (bytes.length + 1)),
    bytes.length,
  ];
  splitPoints.sort((a, b) => a - b);
  let position = 0;
  for (const cut of splitPoints) {
    if (cut > position) parser.push(bytes.subarray(position, cut));
    position = cut;
  }
  parser.finish();
  const ownTexts = schedule.parts.filter((part) => part.kind === "token").map((
    part,
  ) => part.text);
  assertProperty(
    ownTexts.join("").startsWith(text),
    "only tokens of this attempt are delivered",
    text,
  );
  const isIntact = ownTexts.length === schedule.parts.length;
  if (endCount > 0) {
    assertProperty(
      isIntact && schedule.hasEndMarker,
      "a response is complete only if it is intact and has its end marker",
    );
    assertProperty(
      text === ownTexts.join(""),
      "a complete response has all its tokens",
    );
  } else {
    assertProperty(
      !(isIntact && schedule.hasEndMarker),
      "an intact response with its end marker is complete",
    );
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
  hasEndMarker: fc.boolean(),
  splitPoints: fc.array(fc.nat({ max: 5000 }), { maxLength: 10 }),
});

/** The response parsers under random parts and splits. */
export const PARSER_PROOF: Proof = {
  name: "parser",
  guards: PARSER_GUARDS,
  build: (disabledGuard) =>
    fc.property(
      SCHEDULE,
      (schedule) =>
        checkSchedule(schedule, buildGuardSet<ParserGuard>(disabledGuard)),
    ),
};
