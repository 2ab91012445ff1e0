/**
 * The closed list of error kinds and the answer that each one gives to a caller.
 *
 * @module
 */

/** Whether the request that failed was run by a target. `"no"` is a promise. */
export type RunState = "no" | "unknown";

/** What a kind of error means to the caller. */
export interface ErrorResponse {
  /** HTTP status. */
  readonly status: number;
  /** The strongest statement that the kind alone allows. */
  readonly run: RunState;
  /** Whether the same request may succeed later. */
  readonly retry: boolean;
  /** `Retry-After` when nothing better is known, milliseconds; 0 for none. */
  readonly retryAfterMs: number;
}

const RESPONSES = {
  badRequest: { status: 400, run: "no", retry: false, retryAfterMs: 0 },
  unknownProfile: { status: 400, run: "no", retry: false, retryAfterMs: 0 },
  badIdempotencyKey: { status: 400, run: "no", retry: false, retryAfterMs: 0 },
  keyRequired: { status: 400, run: "no", retry: false, retryAfterMs: 0 },
  unauthenticated: { status: 401, run: "no", retry: false, retryAfterMs: 0 },
  forbidden: { status: 403, run: "no", retry: false, retryAfterMs: 0 },
  notFound: { status: 404, run: "no", retry: false, retryAfterMs: 0 },
  unknownModel: { status: 404, run: "no", retry: false, retryAfterMs: 0 },
  methodNotAllowed: { status: 405, run: "no", retry: false, retryAfterMs: 0 },
  requestTimeout: { status: 408, run: "no", retry: true, retryAfterMs: 1000 },
  conflict: { status: 409, run: "no", retry: false, retryAfterMs: 0 },
  keyInProgress: {
    status: 409,
    run: "unknown",
    retry: true,
    retryAfterMs: 500,
  },
  outcomeUnknown: {
    status: 409,
    run: "unknown",
    retry: false,
    retryAfterMs: 0,
  },
  keyExpired: { status: 410, run: "unknown", retry: false, retryAfterMs: 0 },
  streamGone: { status: 410, run: "unknown", retry: false, retryAfterMs: 0 },
  payloadTooLarge: { status: 413, run: "no", retry: false, retryAfterMs: 0 },
  keyReused: { status: 422, run: "no", retry: false, retryAfterMs: 0 },
  accountLimit: { status: 429, run: "no", retry: true, retryAfterMs: 1000 },
  headersTooLarge: { status: 431, run: "no", retry: false, retryAfterMs: 0 },
  internal: { status: 500, run: "unknown", retry: false, retryAfterMs: 0 },
  targetFailed: { status: 502, run: "unknown", retry: false, retryAfterMs: 0 },
  answerIncomplete: {
    status: 502,
    run: "unknown",
    retry: false,
    retryAfterMs: 0,
  },
  overloaded: { status: 503, run: "no", retry: true, retryAfterMs: 1000 },
  noTarget: { status: 503, run: "no", retry: true, retryAfterMs: 2000 },
  quarantined: { status: 503, run: "no", retry: true, retryAfterMs: 600_000 },
  notReady: { status: 503, run: "no", retry: true, retryAfterMs: 2000 },
  platformUnavailable: {
    status: 503,
    run: "no",
    retry: true,
    retryAfterMs: 3000,
  },
  shuttingDown: { status: 503, run: "no", retry: true, retryAfterMs: 200 },
  deadlineExceeded: {
    status: 504,
    run: "unknown",
    retry: true,
    retryAfterMs: 1000,
  },
} as const satisfies Record<string, ErrorResponse>;

/** Every kind of error the system can answer with. */
export type ErrorKind = keyof typeof RESPONSES;

/** The table from error kind to answer. */
export const ERROR_RESPONSES: Readonly<Record<ErrorKind, ErrorResponse>> =
  RESPONSES;

/** All kinds, in the order of the table. */
export const ERROR_KINDS = Object.keys(RESPONSES) as readonly ErrorKind[];

/** Optional parts of a {@linkcode ServeError}. */
export interface ServeErrorOptions {
  /** Overrides the table where the caller of the constructor has proof. */
  readonly run?: RunState;
  /** Overrides the table's `Retry-After`, milliseconds. */
  readonly retryAfterMs?: number;
  readonly cause?: unknown;
}

/** An error with a kind from the closed list. */
export class ServeError extends Error {
  readonly kind: ErrorKind;
  readonly run: RunState;
  readonly retryAfterMs: number;

  constructor(
    kind: ErrorKind,
    message: string,
    options: ServeErrorOptions = {},
  ) {
    super(message, { cause: options.cause });
    this.name = "ServeError";
    this.kind = kind;
    this.run = options.run ?? ERROR_RESPONSES[kind].run;
    this.retryAfterMs = options.retryAfterMs ??
      ERROR_RESPONSES[kind].retryAfterMs;
  }

  get status(): number {
    return ERROR_RESPONSES[this.kind].status;
  }
}

/** The JSON shape of every error answer. */
export interface ErrorBody {
  readonly error: {
    readonly kind: ErrorKind;
    /** Same as `kind`; the field that stock OpenAI clients read. */
    readonly type: ErrorKind;
    readonly message: string;
    readonly run: RunState;
    /** Seconds, or null where a retry does not help. */
    readonly retryAfter: number | null;
    readonly requestId: string;
  };
}

/** Builds the JSON body that answers `error`. */
export function buildErrorBody(
  error: ServeError,
  requestId: string,
): ErrorBody {
  const retryAfter = error.retryAfterMs > 0
    ? Math.ceil(error.retryAfterMs / 100) / 10
    : null;
  return {
    error: {
      kind: error.kind,
      type: error.kind,
      message: error.message,
      run: error.run,
      retryAfter,
      requestId,
    },
  };
}

/** Wraps anything thrown into a {@linkcode ServeError}; kinds other than ours become `internal`. */
export function toServeError(thrown: unknown): ServeError {
  if (thrown instanceof ServeError) return thrown;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return new ServeError("internal", message, { cause: thrown });
}
