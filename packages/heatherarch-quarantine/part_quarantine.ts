/**
 * Quarantine of parts of prompts that crash each engine that begins to write a response on them.
 * Requests with such a part may be no two alike, so their digests tell nothing.
 *
 * A crash accuses the shared parts of all runs in progress at the engine. A run that succeeds clears
 * its parts of all crashes, so few parts remain suspects: those that were never seen to succeed.
 *
 * - After the first crash, a suspected part is tried by one run at a time. VMs take turns: one may
 *   try at once, and every {@linkcode TURN_MS} twice as many.
 * - After the second crash, the part is quarantined for a short time, as it may have been there by
 *   chance; after the third, for as long as a request that crashes targets.
 * - A crash that a part with more crashes explains doesn't count against the others.
 *
 * The evidence is that of a {@linkcode RequestQuarantine} whose requests are parts, so replicas
 * converge. The module is pure: callers pass the time in.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { RequestQuarantine } from "./request_quarantine.ts";

/** What identifies a part. One client account can't have the parts of another one quarantined. */
export interface PartIdentity {
  /** Client account or, where there are none, host of the request. */
  readonly account: string;
  readonly service: string;
  readonly model: string;
  /** Id of the part in the prompt. */
  readonly part: string;
}

/** A part that is quarantined. */
export interface QuarantinedPart {
  /** Digest of the part. */
  readonly part: string;
  readonly account: string;
  /** Incarnations of engines that crashed on the part. */
  readonly incarnations: readonly string[];
  /** Monotonic times of the latest crash, and of the end of the quarantine. */
  readonly sinceMs: number;
  readonly untilMs: number;
}

/** Decision on whether a request with certain parts may run. */
export type PartAdmission =
  | { readonly kind: "free" }
  /** The request tries suspected parts. No other one may do so here until `end` is called. */
  | { readonly kind: "trial"; readonly end: () => void }
  /** Another request tries a suspected part, or it is another VM's turn. */
  | { readonly kind: "onTrial" }
  | { readonly kind: "quarantined"; readonly entry: QuarantinedPart };

/** Safety rules of the quarantine. The proofs disable them one at a time. */
export const PART_QUARANTINE_GUARDS = [
  "suspectsAreTried",
  "vmsTakeTurns",
  "successClears",
  "crashesAreExplained",
] as const;
/** Name of a guard. */
export type PartQuarantineGuard = typeof PART_QUARANTINE_GUARDS[number];

/** Options of {@linkcode PartQuarantine}. */
export interface PartQuarantineOptions {
  /** Duration of the quarantine after the third crash. Each further crash doubles it. */
  readonly holdMs?: number;
  /** Position of this VM among those that try a part, from 0; by default it is the only one. */
  readonly rankSelf?: (part: string) => number;
  readonly disabledGuards?: ReadonlySet<PartQuarantineGuard>;
}

/** Interval at which the number of VMs that may try a suspected part doubles, milliseconds. */
export const TURN_MS = 400;
/** Crashes from which on a part is quarantined, first for a short time. */
const MIN_CRASHES = 2;
/** Quarantine after the second crash, milliseconds. */
const SHORT_HOLD_MS = 20_000;
const DEFAULT_HOLD_MS = 600_000;
/** Each further crash doubles the duration of the quarantine, at most this many times. */
const MAX_DOUBLINGS = 6;
/** Parts that are kept, as suspects and as those that succeeded lately. */
const MAX_PARTS = 16_384;
/** Parts of one prompt that are considered. */
const MAX_PARTS_PER_PROMPT = 32;
const DIGEST_HEX_LENGTH = 32;

/** What counts against a part. */
interface Accusation {
  readonly crashes: number;
  readonly latestMs: number;
  readonly account: string;
  readonly incarnations: readonly string[];
}

/** Computes the digest of a part. */
export function hashPart(identity: PartIdentity): string {
  const { account, service, model, part } = identity;
  return createHash("sha256")
    .update(JSON.stringify([account, service, model, part]))
    .digest("hex")
    .slice(0, DIGEST_HEX_LENGTH);
}

/** Lists the digests of the parts that a prompt shares with others: all but the last one. */
export function hashSharedParts(
  { parts, ...identity }: Omit<PartIdentity, "part"> & {
    readonly parts: readonly string[];
  },
): string[] {
  const shared = parts.slice(0, -1).slice(0, MAX_PARTS_PER_PROMPT);
  return [...new Set(shared)].map((part) => hashPart({ ...identity, part }));
}

/** Tracks the parts that are suspected of crashing engines, and quarantines them. */
export class PartQuarantine {
  /** Crashes and successes of parts, which VMs exchange. */
  readonly evidence: RequestQuarantine;
  readonly #holdMs: number;
  readonly #rankSelf: (part: string) => number;
  readonly #disabledGuards: ReadonlySet<PartQuarantineGuard>;
  readonly #onTrial = new Set<string>();
  readonly #listeners = new Set<() => void>();
  /** What counts against each part; undefined if reports have come since it was worked out. */
  #accusations: Map<string, Accusation> | undefined;

  constructor(options: PartQuarantineOptions = {}) {
    this.#holdMs = options.holdMs ?? DEFAULT_HOLD_MS;
    this.#rankSelf = options.rankSelf ?? (() => 0);
    this.#disabledGuards = options.disabledGuards ?? new Set();
    this.evidence = new RequestQuarantine({
      maxCrashes: MIN_CRASHES,
      holdMs: this.#holdMs,
      maxRequests: MAX_PARTS,
    });
    this.evidence.registerReportListener(() => {
      this.#accusations = undefined;
      for (const listener of [...this.#listeners]) listener();
    });
  }

  /** Whether no part is suspected. Callers then need not compute digests. */
  get isEmpty(): boolean {
    return this.evidence.isEmpty;
  }

  /** Records that an engine crashed while a run with these parts was in progress there. */
  recordCrash(
    parts: readonly string[],
    account: string,
    incarnation: string,
    nowMs: number,
  ): void {
    for (const part of parts) {
      this.evidence.recordCrash(part, account, incarnation, nowMs);
    }
  }

  /** Records that an engine wrote a response on these parts. */
  recordSuccess(parts: readonly string[], nowMs: number): void {
    if (this.#isOff("successClears")) return;
    for (const part of parts) this.evidence.markSuccess(part, nowMs);
  }

  /** Whether a crash counts against one of the parts, so that only one run at a time tries it. */
  isSuspected(parts: readonly string[]): boolean {
    return this.#listSuspected(parts).length > 0;
  }

  /** Returns the quarantine of one of the parts; undefined if none is quarantined. */
  findQuarantined(
    parts: readonly string[],
    nowMs: number,
  ): QuarantinedPart | undefined {
    if (this.isEmpty) return undefined;
    for (const part of parts) {
      const accusation = this.#listAccusations().get(part);
      if (accusation === undefined || accusation.crashes < MIN_CRASHES) {
        continue;
      }
      const { latestMs: sinceMs, account, incarnations, crashes } = accusation;
      const untilMs = sinceMs + this.#computeHoldMs(crashes);
      if (nowMs >= untilMs) continue;
      return { part, account, incarnations, sinceMs, untilMs };
    }
    return undefined;
  }

  /** Whether a run with these parts may begin now, on trial if one of them is suspected. */
  mayRun(parts: readonly string[], nowMs: number): boolean {
    if (this.findQuarantined(parts, nowMs) !== undefined) return false;
    return this.#isOff("suspectsAreTried") ||
      this.#listSuspected(parts).every((part) =>
        !this.#onTrial.has(part) && this.#isOwnTurn(part, nowMs)
      );
  }

  /** Decides whether a run with these parts begins now. */
  admit(parts: readonly string[], nowMs: number): PartAdmission {
    const entry = this.findQuarantined(parts, nowMs);
    if (entry !== undefined) return { kind: "quarantined", entry };
    if (!this.mayRun(parts, nowMs)) return { kind: "onTrial" };
    const suspected = this.#listSuspected(parts);
    if (suspected.length === 0) return { kind: "free" };
    for (const part of suspected) this.#onTrial.add(part);
    return {
      kind: "trial",
      end: () => {
        for (const part of suspected) this.#onTrial.delete(part);
      },
    };
  }

  /** Lists all quarantined parts. */
  listQuarantined(nowMs: number): QuarantinedPart[] {
    return [...this.#listAccusations().keys()]
      .map((part) => this.findQuarantined([part], nowMs))
      .filter((entry) => entry !== undefined);
  }

  /** Drops evidence that is older than any quarantine. */
  expire(nowMs: number): void {
    if (this.isEmpty) return;
    this.evidence.expire(nowMs);
    this.#accusations = undefined;
  }

  /** Registers a listener for new evidence. Returns its removal. */
  registerListener(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  #listSuspected(parts: readonly string[]): string[] {
    if (this.isEmpty) return [];
    const accusations = this.#listAccusations();
    return parts.filter((part) => accusations.has(part));
  }

  /** The turn of a VM comes some time after the latest crash, later for each doubling of its rank. */
  #isOwnTurn(part: string, nowMs: number): boolean {
    if (this.#isOff("vmsTakeTurns")) return true;
    const accusation = this.#listAccusations().get(part);
    if (accusation === undefined) return true;
    const { crashes, latestMs } = accusation;
    const heldMs = crashes < MIN_CRASHES ? 0 : this.#computeHoldMs(crashes);
    const turn = Math.ceil(Math.log2(this.#rankSelf(part) + 1));
    return nowMs >= latestMs + heldMs + turn * TURN_MS;
  }

  #computeHoldMs(crashes: number): number {
    if (crashes <= MIN_CRASHES) return Math.min(SHORT_HOLD_MS, this.#holdMs);
    const doublings = Math.min(crashes - MIN_CRASHES - 1, MAX_DOUBLINGS);
    return this.#holdMs * 2 ** doublings;
  }

  #listAccusations(): Map<string, Accusation> {
    this.#accusations ??= this.#buildAccusations();
    return this.#accusations;
  }

  #buildAccusations(): Map<string, Accusation> {
    const suspects = this.evidence.listSuspects();
    const accusations = new Map<string, Accusation>();
    /** Number of crashes of the part that accounts for the crash of an incarnation. */
    const crashesByIncarnation = new Map<string, number>();
    for (const { incarnations } of suspects) {
      for (const incarnation of incarnations) {
        const known = crashesByIncarnation.get(incarnation) ?? 0;
        const crashes = Math.max(known, incarnations.length);
        crashesByIncarnation.set(incarnation, crashes);
      }
    }
    for (const { request, account, incarnations, latestMs } of suspects) {
      const unexplained = incarnations.filter((incarnation) =>
        this.#isOff("crashesAreExplained") ||
        crashesByIncarnation.get(incarnation) === incarnations.length
      );
      if (unexplained.length === 0) continue;
      accusations.set(request, {
        crashes: unexplained.length,
        latestMs,
        account,
        incarnations,
      });
    }
    return accusations;
  }

  #isOff(guard: PartQuarantineGuard): boolean {
    return this.#disabledGuards.has(guard);
  }
}
