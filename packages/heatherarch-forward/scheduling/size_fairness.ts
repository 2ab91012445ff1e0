/**
 * How often prompts are placed, by their size among those of their kind.
 *
 * Pattern of load: more long prompts than engines can read. Whatever puts prompts in order by time
 * (least slack, shortest first, late ones last) puts the largest last, and in an overload the last
 * get nothing: with what a prompt costs growing tenfold from the smallest tenth to the largest,
 * seven in ten of the small are read and one in ten of the largest. So the shares are counted, and a
 * size that falls behind gets its turn.
 *
 * Pure: no time comes in; old calls are forgotten as new ones come.
 *
 * @module
 */

/** Sizes of prompts among those of one kind: the largest tenth, the fifth below it, the others. */
export type SizeClass = "largest" | "large" | "usual";

/** Options of {@linkcode SizeFairness}. */
export interface SizeFairnessOptions {
  /** Least share of large prompts that is placed, as a part of the share of all of their kind. */
  readonly minRelativeShare?: number;
}

interface Count {
  asked: number;
  ended: number;
  placed: number;
}

interface Kind {
  /** Tokens of the last prompts, a ring. */
  readonly sizes: number[];
  next: number;
  readonly counts: Record<SizeClass, Count>;
}

/** What callers are promised. It counts each try, so that one who comes back is served more often. */
const DEFAULT_LEAST_PART = 0.5;
const LARGEST_FROM = 0.9;
const LARGE_FROM = 0.7;
/** Prompts by which the size of the next one is judged. */
const KNOWN_SIZES = 128;
/** With fewer no prompt counts as large. */
const MIN_SIZES = 10;
/** When so many prompts of a kind have been counted, all counts are halved. */
const MAX_COUNTED = 512;
/** Kinds come and go with configurations; that of the oldest first prompt is forgotten. */
const MAX_KINDS = 256;
const SIZE_CLASSES: readonly SizeClass[] = ["largest", "large", "usual"];

/** The shares at one VM. */
export class SizeFairness {
  readonly #leastPart: number;
  readonly #kinds = new Map<string, Kind>();

  constructor(options: SizeFairnessOptions = {}) {
    this.#leastPart = options.minRelativeShare ?? DEFAULT_LEAST_PART;
  }

  /** A prompt has come; returns its size among those of its kind. */
  recordArrival(name: string, tokens: number): SizeClass {
    const kind = this.#open(name);
    const size = judgeSize(kind.sizes, tokens);
    kind.sizes[kind.next] = tokens;
    kind.next = (kind.next + 1) % KNOWN_SIZES;
    kind.counts[size].asked++;
    if (sumCounts(kind).asked > MAX_COUNTED) halveCounts(kind);
    return size;
  }

  /** A prompt's wait has ended. */
  recordEnd(name: string, size: SizeClass, isPlaced: boolean): void {
    const count = this.#open(name).counts[size];
    count.ended++;
    if (isPlaced) count.placed++;
  }

  /** Whether too few prompts of this size have been placed, those that still wait included. */
  isUnderserved(name: string, size: SizeClass): boolean {
    if (size === "usual") return false;
    const kind = this.#open(name);
    const all = sumCounts(kind);
    const share = all.ended === 0 ? 1 : all.placed / all.ended;
    const { asked, placed } = kind.counts[size];
    return placed < asked * share * this.#leastPart;
  }

  #open(name: string): Kind {
    let kind = this.#kinds.get(name);
    if (kind === undefined) {
      const counts = {
        largest: buildCount(),
        large: buildCount(),
        usual: buildCount(),
      };
      kind = { sizes: [], next: 0, counts };
      this.#kinds.set(name, kind);
      this.#dropOldest();
    }
    return kind;
  }

  #dropOldest(): void {
    if (this.#kinds.size <= MAX_KINDS) return;
    const oldest = this.#kinds.keys().next().value as string;
    this.#kinds.delete(oldest);
  }
}

function buildCount(): Count {
  return { asked: 0, ended: 0, placed: 0 };
}

function judgeSize(sizes: readonly number[], tokens: number): SizeClass {
  if (sizes.length < MIN_SIZES) return "usual";
  let smaller = 0;
  for (const other of sizes) if (other < tokens) smaller++;
  const rank = smaller / sizes.length;
  if (rank >= LARGEST_FROM) return "largest";
  return rank >= LARGE_FROM ? "large" : "usual";
}

function sumCounts({ counts }: Kind): Count {
  const sum = buildCount();
  for (const size of SIZE_CLASSES) {
    sum.asked += counts[size].asked;
    sum.ended += counts[size].ended;
    sum.placed += counts[size].placed;
  }
  return sum;
}

function halveCounts({ counts }: Kind): void {
  for (const size of SIZE_CLASSES) {
    const count = counts[size];
    count.asked /= 2;
    count.ended /= 2;
    count.placed /= 2;
  }
}
