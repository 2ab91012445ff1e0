/**
 * What became of the requests of an overload: shares and worth, by kind and size.
 *
 * @module
 */
import type { GenerationParams } from "heatherarch-forward";

/** A kind of request. Sizes are lognormal. */
export interface OverloadKind {
  readonly name: string;
  /** Requests a second of the whole fleet. */
  readonly rate: number;
  readonly sharedTokens: number;
  /** Standard deviation of the shared sizes as a part of their mean. */
  readonly sharedSpread: number;
  /** Beginnings that the requests share. */
  readonly beginnings: number;
  readonly ownTokens: number;
  readonly ownSpread: number;
  readonly aimMs: number;
  readonly deadlineMs: number;
  readonly lane: number;
  /** What a request of mean size earns on time, and late. */
  readonly worth: number;
  readonly lateWorth: number;
}

/** Shares of requests, 0 to 1. */
export interface Shares {
  readonly served: number;
  readonly onTime: number;
  /** Of the worth that was asked for. */
  readonly worth: number;
}

/** What became of one kind of request. */
export interface KindResult extends Shares {
  readonly asked: number;
  readonly largestTenth: Shares;
  readonly fifthBelow: Shares;
}

/** What one caller wants. */
export interface Wish {
  readonly kind: OverloadKind;
  readonly prompt: GenerationParams;
  readonly atMs: number;
  /** When its first token came; undefined if it came to nobody. */
  firstTokenAtMs: number | undefined;
}

/** Worth of a request by its size against the mean of its kind: a part that is fixed, and the rest. */
const PLAIN_WORTH = 0.3;
const SIZE_WORTH = 0.7;
const MOST_WORTH = 4;
const LARGEST_TENTH = 0.9;
const FIFTH_BELOW = 0.7;

/** Rates all requests of one kind. */
export function rateKind(wishes: readonly Wish[]): KindResult {
  const bySize = [...wishes]
    .sort((a, b) => a.prompt.promptTokens - b.prompt.promptTokens);
  const tenthAt = Math.floor(bySize.length * LARGEST_TENTH);
  const fifthAt = Math.floor(bySize.length * FIFTH_BELOW);
  return {
    asked: wishes.length,
    ...rateShares(bySize),
    largestTenth: rateShares(bySize.slice(tenthAt)),
    fifthBelow: rateShares(bySize.slice(fifthAt, tenthAt)),
  };
}

/** Rates requests of any kinds. */
export function rateShares(wishes: readonly Wish[]): Shares {
  const served = wishes.filter((wish) => wish.firstTokenAtMs !== undefined);
  const onTime = served.filter(isOnTime);
  const count = Math.max(1, wishes.length);
  const asked = wishes.reduce((sum, wish) => sum + computeWorth(wish), 0);
  const earned = served.reduce((sum, wish) => sum + computeEarned(wish), 0);
  return {
    served: served.length / count,
    onTime: onTime.length / count,
    worth: earned / Math.max(1, asked),
  };
}

/** Larger requests are worth more, up to a bound. */
function computeWorth({ kind, prompt }: Wish): number {
  const size = prompt.promptTokens / (kind.sharedTokens + kind.ownTokens);
  return kind.worth * Math.min(MOST_WORTH, PLAIN_WORTH + SIZE_WORTH * size);
}

function computeEarned(wish: Wish): number {
  const worth = computeWorth(wish);
  const { kind } = wish;
  return isOnTime(wish) ? worth : worth * kind.lateWorth / kind.worth;
}

function isOnTime({ firstTokenAtMs = Infinity, atMs, kind }: Wish): boolean {
  return firstTokenAtMs - atMs <= kind.aimMs;
}
