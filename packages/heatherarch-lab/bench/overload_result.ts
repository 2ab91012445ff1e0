/**
 * Summarizes the requests of an overload simulation: shares served and earned worth, by kind and
 * size.
 *
 * @module
 */
import type { GenerationParams } from "heatherarch-forward";

/** A kind of request. Token counts are lognormal. */
export interface OverloadRequestKind {
  readonly name: string;
  /** Requests per second of the whole fleet. */
  readonly rate: number;
  readonly sharedTokens: number;
  /** Coefficient of variation of the shared token counts. */
  readonly sharedTokensCv: number;
  /** Number of distinct shared prefixes. */
  readonly prefixCount: number;
  readonly uniqueTokens: number;
  readonly uniqueTokensCv: number;
  readonly aimMs: number;
  readonly deadlineMs: number;
  readonly lane: number;
  /** Worth of a request of mean size that is on time. */
  readonly worth: number;
  /** Worth of a request of mean size that is late. */
  readonly lateWorth: number;
}

/** Shares of requests, 0 to 1. */
export interface ServedShares {
  readonly served: number;
  readonly onTime: number;
  /** Earned share of the offered worth. */
  readonly worth: number;
}

/** Result of one kind of request. */
export interface KindResult extends ServedShares {
  readonly asked: number;
  /** Shares of the largest tenth of the prompts. */
  readonly largestTenth: ServedShares;
  /** Shares of the fifth of the prompts below the largest tenth. */
  readonly fifthBelow: ServedShares;
}

/** A request of a client. */
export interface SimulatedRequest {
  readonly kind: OverloadRequestKind;
  readonly prompt: GenerationParams;
  readonly arrivedAtMs: number;
  /** When the first token reached the client; undefined if it did not. */
  firstTokenAtMs: number | undefined;
}

/**
 * The worth of a request is a fixed part, and a part in proportion to its size relative to the mean
 * of its kind.
 */
const FIXED_WORTH_SHARE = 0.3;
const SIZE_WORTH_SHARE = 0.7;
const MAX_WORTH_FACTOR = 4;
const LARGEST_TENTH_START = 0.9;
const FIFTH_BELOW_START = 0.7;

/** Summarizes all requests of one kind. */
export function summarizeKind(
  requests: readonly SimulatedRequest[],
): KindResult {
  const bySize = [...requests]
    .sort((a, b) => a.prompt.promptTokens - b.prompt.promptTokens);
  const tenthStart = Math.floor(bySize.length * LARGEST_TENTH_START);
  const fifthStart = Math.floor(bySize.length * FIFTH_BELOW_START);
  return {
    asked: requests.length,
    ...computeServedShares(bySize),
    largestTenth: computeServedShares(bySize.slice(tenthStart)),
    fifthBelow: computeServedShares(bySize.slice(fifthStart, tenthStart)),
  };
}

/** Computes the shares of requests of any kinds. */
export function computeServedShares(
  requests: readonly SimulatedRequest[],
): ServedShares {
  const served = requests.filter((request) =>
    request.firstTokenAtMs !== undefined
  );
  const onTime = served.filter(isOnTime);
  const count = Math.max(1, requests.length);
  const offeredWorth = requests.reduce(
    (sum, request) => sum + computeWorth(request),
    0,
  );
  const earnedWorth = served.reduce(
    (sum, request) => sum + computeEarnedWorth(request),
    0,
  );
  return {
    served: served.length / count,
    onTime: onTime.length / count,
    worth: earnedWorth / Math.max(1, offeredWorth),
  };
}

/** Returns the worth of a request, which grows with its size up to a limit. */
function computeWorth({ kind, prompt }: SimulatedRequest): number {
  const relativeSize = prompt.promptTokens /
    (kind.sharedTokens + kind.uniqueTokens);
  return kind.worth *
    Math.min(
      MAX_WORTH_FACTOR,
      FIXED_WORTH_SHARE + SIZE_WORTH_SHARE * relativeSize,
    );
}

function computeEarnedWorth(request: SimulatedRequest): number {
  const worth = computeWorth(request);
  const { kind } = request;
  return isOnTime(request) ? worth : worth * kind.lateWorth / kind.worth;
}

function isOnTime(
  { firstTokenAtMs = Infinity, arrivedAtMs, kind }: SimulatedRequest,
): boolean {
  return firstTokenAtMs - arrivedAtMs <= kind.aimMs;
}
