/**
 * Base class of the response parsers of all dialects. A parser turns the bytes of one response into
 * tokens, and rejects every part of the response that does not carry the id of its attempt.
 *
 * @module
 */
import type { EngineCall, EngineResult, EngineSink } from "./engine_port.ts";

/** Safety rules of the parsers. The proofs disable them one at a time. */
export const PARSER_GUARDS = ["tryIdMatch", "endMarker"] as const;
/** Name of a guard. */
export type ParserGuard = typeof PARSER_GUARDS[number];

/** Options of a parser. */
export interface ParserOptions {
  readonly disabledGuards?: ReadonlySet<ParserGuard>;
}

/** Creates the parser for one attempt. */
export type ParserFactory = (
  call: EngineCall,
  sink: EngineSink,
) => ResponseParser;

/** Result reported for a response without its end marker when that guard is disabled. */
const UNMARKED: EngineResult = {
  reason: "stop",
  promptTokens: 0,
  cachedTokens: 0,
};

/** Parser of one response. */
export abstract class ResponseParser {
  protected readonly sink: EngineSink;
  readonly #tryId: string;
  readonly #disabledGuards: ReadonlySet<ParserGuard>;

  constructor(call: EngineCall, sink: EngineSink, options: ParserOptions) {
    this.#tryId = call.tryId;
    this.sink = sink;
    this.#disabledGuards = options.disabledGuards ?? new Set();
  }

  /** Parses the next bytes of the response. */
  abstract push(bytes: Buffer): void;

  /** Handles the end of the connection. A response without its end marker is broken. */
  finish(): void {
    if (this.#disabledGuards.has("endMarker")) return this.sink.onEnd(UNMARKED);
    this.sink.onFailure("broken", "the response ended without its end marker");
  }

  /** Whether a part of a response carries the id of this attempt. */
  protected matchesAttempt(tryId: string | undefined): boolean {
    return tryId === this.#tryId || this.#disabledGuards.has("tryIdMatch");
  }

  protected reportMismatch(): void {
    this.sink.onFailure(
      "mismatched",
      "a part of the response does not carry the id of this attempt",
    );
  }
}
