/**
 * Tracks how often prompts are placed, by their size relative to other prompts of the same kind.
 *
 * In an overload, every order by time (least slack, shortest first, late ones last) puts the largest
 * prompts last, and the last ones are not served. When the prefill cost grows tenfold from the
 * smallest tenth of the prompts to the largest, seven in ten of the small prompts are prefilled and
 * one in ten of the largest. The shares are therefore counted, and a size class that is underserved
 * is placed first.
 *
 * The counts do not depend on the time. The weight of old calls decreases as new ones arrive.
 *
 * @module
 */

/** Size of a prompt within its kind: the largest tenth, the fifth below it, and the others. */
export type SizeClass = "largest" | "large" | "usual";

/** Options of {@linkcode SizeFairness}. */
export interface SizeFairnessOptions {
  /** Smallest share of large prompts that is placed, as a fraction of the share of their kind. */
  readonly minRelativeShare?: number;
}

interface PromptCounts {
  arrived: number;
  ended: number;
  placed: number;
}

interface KindStats {
  /** Ring buffer of the token counts of the last prompts. */
  readonly sizes: number[];
  nextIndex: number;
  readonly counts: Record<SizeClass, PromptCounts>;
}

/**
 * Share that clients are promised. Each attempt counts as an arrival, so a client that retries is
 * served more often.
 */
const DEFAULT_MIN_RELATIVE_SHARE = 0.5;
/** Smallest ranks of a prompt within its kind, from 0 (smallest) to 1 (largest). */
const LARGEST_MIN_RANK = 0.9;
const LARGE_MIN_RANK = 0.7;
/** Number of last prompts against which the size of the next one is ranked. */
const SIZE_WINDOW = 128;
/** With fewer samples, no prompt counts as large. */
const MIN_SIZE_SAMPLES = 10;
/** When more prompts of a kind have arrived, all of its counts are halved. */
const MAX_ARRIVALS = 512;
/** Kinds change with the configuration. Above this number, the one added first is dropped. */
const MAX_KINDS = 256;
const SIZE_CLASSES: readonly SizeClass[] = ["largest", "large", "usual"];

/** Counts of arrived and placed prompts at one VM. */
export class SizeFairness {
  readonly #minRelativeShare: number;
  readonly #kinds = new Map<string, KindStats>();

  constructor(options: SizeFairnessOptions = {}) {
    this.#minRelativeShare = options.minRelativeShare ??
      DEFAULT_MIN_RELATIVE_SHARE;
  }

  /** Counts an arrived prompt and returns its size class within its kind. */
  recordArrival(name: string, tokens: number): SizeClass {
    const kind = this.#getOrCreateKind(name);
    const size = classifySize(kind.sizes, tokens);
    kind.sizes[kind.nextIndex] = tokens;
    kind.nextIndex = (kind.nextIndex + 1) % SIZE_WINDOW;
    kind.counts[size].arrived++;
    if (sumCounts(kind).arrived > MAX_ARRIVALS) halveCounts(kind);
    return size;
  }

  /** Counts the end of a prompt's wait. */
  recordEnd(name: string, size: SizeClass, isPlaced: boolean): void {
    const count = this.#getOrCreateKind(name).counts[size];
    count.ended++;
    if (isPlaced) count.placed++;
  }

  /** Whether too few prompts of this size class were placed; waiting ones count as not placed. */
  isUnderserved(name: string, size: SizeClass): boolean {
    if (size === "usual") return false;
    const kind = this.#getOrCreateKind(name);
    const all = sumCounts(kind);
    const share = all.ended === 0 ? 1 : all.placed / all.ended;
    const { arrived, placed } = kind.counts[size];
    return placed < arrived * share * this.#minRelativeShare;
  }

  #getOrCreateKind(name: string): KindStats {
    let kind = this.#kinds.get(name);
    if (kind === undefined) {
      const counts = {
        largest: buildCounts(),
        large: buildCounts(),
        usual: buildCounts(),
      };
      kind = { sizes: [], nextIndex: 0, counts };
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

function buildCounts(): PromptCounts {
  return { arrived: 0, ended: 0, placed: 0 };
}

function classifySize(sizes: readonly number[], tokens: number): SizeClass {
  if (sizes.length < MIN_SIZE_SAMPLES) return "usual";
  let smaller = 0;
  for (const other of sizes) if (other < tokens) smaller++;
  const rank = smaller / sizes.length;
  if (rank >= LARGEST_MIN_RANK) return "largest";
  return rank >= LARGE_MIN_RANK ? "large" : "usual";
}

function sumCounts({ counts }: KindStats): PromptCounts {
  const sum = buildCounts();
  for (const size of SIZE_CLASSES) {
    sum.arrived += counts[size].arrived;
    sum.ended += counts[size].ended;
    sum.placed += counts[size].placed;
  }
  return sum;
}

function halveCounts({ counts }: KindStats): void {
  for (const size of SIZE_CLASSES) {
    const count = counts[size];
    count.arrived /= 2;
    count.ended /= 2;
    count.placed /= 2;
  }
}
