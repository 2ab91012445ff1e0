/**
 * Encodes what a VM and a peer exchange about a call that is handed over: the call, the head of the
 * response, and a failure in its place.
 *
 * @module
 */
import {
  ERROR_KINDS,
  type ErrorKind,
  type RunState,
  ServeError,
} from "heatherarch-core";
import { z } from "zod";
import type { AttemptCounts, ForwardedCall, HandoverState } from "../model.ts";
import { UNKNOWN_ATTEMPTS } from "./attempt_ledger.ts";

/** Head of a response as a peer sends it. */
export interface HandoverResponseHead {
  readonly status: number;
  /** Alternating names and values. */
  readonly headers: readonly string[];
}

const CALL = z.object({
  id: z.string(),
  method: z.string(),
  path: z.string(),
  host: z.string(),
  headers: z.array(z.string()),
  /** Time since the head of the call was received, milliseconds. */
  elapsedMs: z.number().min(0),
  clientTimeoutMs: z.number().optional(),
  generation: z.object({
    model: z.string(),
    promptTokens: z.number(),
    maxOutputTokens: z.number(),
    parts: z.array(z.object({ id: z.string(), tokens: z.number() })),
  }).optional(),
  apiKey: z.string().optional(),
  lastEventId: z.string().optional(),
  resumedAttemptId: z.string().optional(),
  runs: z.int().min(0),
  isUsageRecorded: z.boolean(),
  softwareVersion: z.string().optional(),
  isHedge: z.boolean().optional(),
});

const RESPONSE_HEAD = z.object({
  status: z.int().min(200).max(599),
  headers: z.array(z.string()),
});

const FAILURE = z.object({
  kind: z.enum(ERROR_KINDS as [ErrorKind, ...ErrorKind[]]).catch("internal"),
  message: z.string(),
  run: z.enum(["no", "unknown"]).catch("unknown"),
  retryAfterMs: z.number().min(0).catch(0),
});

/** A VM of earlier software does not tell the prefills. Fewer of them leave no request uncounted. */
const ATTEMPTS = z.object({
  sent: z.int().min(0),
  prefills: z.int().min(0).optional(),
  isPrefilled: z.boolean(),
}).transform(({ prefills, ...counts }) => ({
  ...counts,
  prefills: prefills ?? (counts.isPrefilled ? 1 : 0),
}));

/** Encodes a call without its body. */
export function encodeHandoverCall(
  { body: _body, arrivedAtMs, account: _account, ...call }: ForwardedCall,
  { attempts, ...state }: HandoverState,
  nowMs: number,
): unknown {
  const elapsedMs = Math.max(0, nowMs - arrivedAtMs);
  // Peers of earlier software know only whether the next prefill is a retry.
  const isPromptRead = attempts.sent > 0;
  return { ...call, elapsedMs, ...state, ...attempts, isPromptRead };
}

/** Decodes the requests that a call or a failure tells; undefined if a VM of earlier software sent it. */
export function findAttemptCounts(head: unknown): AttemptCounts | undefined {
  return ATTEMPTS.safeParse(head).data;
}

/** Decodes a call from a peer; undefined if it is malformed. */
export function decodeHandoverCall(
  head: unknown,
  body: Buffer,
  nowMs: number,
): ForwardedCall | undefined {
  const parsed = CALL.safeParse(head).data;
  if (parsed === undefined) return undefined;
  const {
    elapsedMs,
    runs,
    isUsageRecorded,
    softwareVersion,
    isHedge,
    ...call
  } = parsed;
  const attempts = findAttemptCounts(head) ?? UNKNOWN_ATTEMPTS;
  return {
    ...call,
    body,
    arrivedAtMs: nowMs - elapsedMs,
    handover: { runs, isUsageRecorded, attempts, softwareVersion, isHedge },
  };
}

/** Encodes the head of a response, whose end the peer sends once it is confirmed. */
export function encodeHandoverResponse(head: HandoverResponseHead): unknown {
  // Peers of earlier software require the field; with it they would let the connection end the body.
  return { ...head, endsConnection: false };
}

/** Decodes the head of a response; undefined if it is malformed. */
export function decodeHandoverResponse(
  head: unknown,
): HandoverResponseHead | undefined {
  return RESPONSE_HEAD.safeParse(head).data;
}

/** Encodes an error with which a peer ends a call, and the requests counted until then. */
export function encodeHandoverFailure(
  { kind, message, run, retryAfterMs }: ServeError,
  attempts: AttemptCounts,
): unknown {
  return { kind, message, run, retryAfterMs, ...attempts };
}

/** Decodes the error with which a peer ended a call. What can't be decoded may have run. */
export function decodeHandoverFailure(failure: unknown): ServeError {
  const { kind, message, run, retryAfterMs } =
    FAILURE.safeParse(failure).data ?? UNREADABLE_FAILURE;
  return new ServeError(kind, message, { run, retryAfterMs });
}

const UNREADABLE_FAILURE: z.infer<typeof FAILURE> = {
  kind: "internal",
  message: "a peer failed without a readable reason",
  run: "unknown" satisfies RunState,
  retryAfterMs: 0,
};
