/**
 * What the parsers of all dialects share: they turn the bytes of one answer into tokens, and
 * take nothing that does not carry the id of their try.
 *
 * @module
 */
import type { EngineCall, EngineResult, EngineSink } from "./engine_port.ts";

/** Guards of the parsers; the proofs switch them off one at a time. */
export const PARSER_GUARDS = ["tryIdMatch", "endMarker"] as const;
/** Name of a guard. */
export type ParserGuard = typeof PARSER_GUARDS[number];

/** Options of a parser. */
export interface ParserOptions {
  readonly disabledGuards?: ReadonlySet<ParserGuard>;
}

/** Builds the parser for one try. */
export type ParserFactory = (
  call: EngineCall,
  sink: EngineSink,
) => ResponseParser;

/** What an answer without its end marker would be taken for without the guard. */
const UNMARKED: EngineResult = {
  reason: "stop",
  promptTokens: 0,
  cachedTokens: 0,
};

/** The parser of one answer. */
export abstract class ResponseParser {
  protected readonly sink: EngineSink;
  readonly #tryId: string;
  readonly #disabledGuards: ReadonlySet<ParserGuard>;

  constructor(call: EngineCall, sink: EngineSink, options: ParserOptions) {
    this.#tryId = call.tryId;
    this.sink = sink;
    this.#disabledGuards = options.disabledGuards ?? new Set();
  }

  /** Takes in bytes. */
  abstract push(bytes: Buffer): void;

  /** The connection ended; an answer without its end marker is broken. */
  finish(): void {
    if (this.#disabledGuards.has("endMarker")) return this.sink.onEnd(UNMARKED);
    this.sink.onFailure("broken", "the answer ended without its end marker");
  }

  /** Whether a part of an answer belongs to this try. */
  protected matchesAttempt(tryId: string | undefined): boolean {
    return tryId === this.#tryId || this.#disabledGuards.has("tryIdMatch");
  }

  protected reportMismatch(): void {
    this.sink.onFailure(
      "mismatched",
      "a part of the answer does not carry the id of this try",
    );
  }
}
