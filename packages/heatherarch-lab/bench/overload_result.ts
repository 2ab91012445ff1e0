/**
 * What became of the requests of an overload: shares and worth, by kind and size.
 *
 * @module
 */
import type { GenerationParams } from "heatherarch-forward";

/** A kind of request. Sizes are lognormal. */
export interface OverloadRequestKind {
  readonly name: string;
  /** Requests a second of the whole fleet. */
  readonly rate: number;
  readonly sharedTokens: number;
  /** Standard deviation of the shared sizes as a part of their mean. */
  readonly sharedTokensCv: number;
  /** Beginnings that the requests share. */
  readonly prefixCount: number;
  readonly uniqueTokens: number;
  readonly uniqueTokensCv: number;
  readonly aimMs: number;
  readonly deadlineMs: number;
  readonly lane: number;
  /** What a request of mean size earns on time, and late. */
  readonly worth: number;
  readonly lateWorth: number;
}

/** Shares of requests, 0 to 1. */
export interface ServedShares {
  readonly served: number;
  readonly onTime: number;
  /** Of the worth that was asked for. */
  readonly worth: number;
}

/** What became of one kind of request. */
export interface KindResult extends ServedShares {
  readonly asked: number;
  readonly largestTenth: ServedShares;
  readonly fifthBelow: ServedShares;
}

/** What one caller wants. */
export interface SimulatedRequest {
  readonly kind: OverloadRequestKind;
  readonly prompt: GenerationParams;
  readonly arrivedAtMs: number;
  /** When its first token came; undefined if it came to nobody. */
  firstTokenAtMs: number | undefined;
}

/** Worth of a request by its size against the mean of its kind: a part that is fixed, and the rest. */
const FIXED_WORTH_SHARE = 0.3;
const SIZE_WORTH_SHARE = 0.7;
const MAX_WORTH_FACTOR = 4;
const LARGEST_TENTH_START = 0.9;
const FIFTH_BELOW_START = 0.7;

/** Rates all requests of one kind. */
export function summarizeKind(wishes: readonly SimulatedRequest[]): KindResult {
  const bySize = [...wishes]
    .sort((a, b) => a.prompt.promptTokens - b.prompt.promptTokens);
  const tenthAt = Math.floor(bySize.length * LARGEST_TENTH_START);
  const fifthAt = Math.floor(bySize.length * FIFTH_BELOW_START);
  return {
    asked: wishes.length,
    ...computeServedShares(bySize),
    largestTenth: computeServedShares(bySize.slice(tenthAt)),
    fifthBelow: computeServedShares(bySize.slice(fifthAt, tenthAt)),
  };
}

/** Rates requests of any kinds. */
export function computeServedShares(
  wishes: readonly SimulatedRequest[],
): ServedShares {
  const served = wishes.filter((wish) => wish.firstTokenAtMs !== undefined);
  const onTime = served.filter(isOnTime);
  const count = Math.max(1, wishes.length);
  const asked = wishes.reduce((sum, wish) => sum + computeWorth(wish), 0);
  const earned = served.reduce(
    (sum, wish) => sum + computeEarnedWorth(wish),
    0,
  );
  return {
    served: served.length / count,
    onTime: onTime.length / count,
    worth: earned / Math.max(1, asked),
  };
}

/** Larger requests are worth more, up to a bound. */
function computeWorth({ kind, prompt }: SimulatedRequest): number {
  const size = prompt.promptTokens / (kind.sharedTokens + kind.uniqueTokens);
  return kind.worth *
    Math.min(MAX_WORTH_FACTOR, FIXED_WORTH_SHARE + SIZE_WORTH_SHARE * size);
}

function computeEarnedWorth(wish: SimulatedRequest): number {
  const worth = computeWorth(wish);
  const { kind } = wish;
  return isOnTime(wish) ? worth : worth * kind.lateWorth / kind.worth;
}

function isOnTime(
  { firstTokenAtMs = Infinity, arrivedAtMs: atMs, kind }: SimulatedRequest,
): boolean {
  return firstTokenAtMs - atMs <= kind.aimMs;
}
