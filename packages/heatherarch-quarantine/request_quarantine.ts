/**
 * Quarantine of poison requests (queries of death): requests that crash each target that runs them.
 *
 * A single crash does not identify one, since all requests in flight at the target are lost with
 * it. A request is quarantined when several incarnations of targets crashed while running it and
 * none of its runs succeeded; a successful run clears it of crashes known so far and for a while.
 *
 * State is a set of (request, incarnation) pairs in which "cleared" wins over "crashed", so
 * replicas converge whatever the order and number of messages. Pure: time is passed in.
 *
 * @module
 */

/**
 * A crash report for peers: digest of the request, its client account, the target's incarnation,
 * 1 if the crash counts or 0 if the request was cleared of it, and the report's age, milliseconds.
 */
export type CrashReport = readonly [string, string, string, 0 | 1, number];

/** A quarantined request. */
export interface QuarantinedRequest {
  readonly request: string;
  readonly account: string;
  /** Incarnations of targets that crashed while running it. */
  readonly lives: readonly string[];
  /** Monotonic times of the latest crash, and of the end of the quarantine. */
  readonly sinceMs: number;
  readonly untilMs: number;
}

/** Whether a request may be sent. */
export type Admission =
  | { readonly kind: "free" }
  /** It may be sent, and no other copy of it until `end` is called. */
  | { readonly kind: "trial"; readonly end: () => void }
  /** A copy of it is on trial. */
  | { readonly kind: "onTrial" }
  | { readonly kind: "quarantined"; readonly entry: QuarantinedRequest };

/** A request entered or left quarantine on this VM, by its own observation or a peer's report. */
export interface QuarantineChange {
  readonly kind: "held" | "cleared";
  readonly request: string;
  readonly isOwn: boolean;
}

/** Crash reports from some cursor on. */
export interface CrashReportPage {
  readonly reports: readonly CrashReport[];
  /** Where the next ones begin. */
  readonly cursor: number;
}

/** Guards of the quarantine; the proofs switch them off one at a time. */
export const QUARANTINE_GUARDS = [
  "clearedStaysCleared",
  "livesCountOnce",
  "copiesOneAtATime",
  "successesAreRemembered",
] as const;
/** Name of a guard. */
export type QuarantineGuard = typeof QUARANTINE_GUARDS[number];

/** Options of {@linkcode RequestQuarantine}. */
export interface RequestQuarantineOptions {
  /** Crashes after which a request is quarantined. */
  readonly maxCrashes?: number;
  /** Length of a first quarantine, milliseconds. */
  readonly holdMs?: number;
  /** Suspected requests that are remembered: of all client accounts, and of one. */
  readonly maxRequests?: number;
  readonly maxPerAccount?: number;
  readonly disabledGuards?: ReadonlySet<QuarantineGuard>;
}

interface CrashEntry {
  readonly isCleared: boolean;
  readonly atMs: number;
  /** Sequence number, in the order in which this VM learned of it. */
  readonly sequence: number;
}

interface Suspect {
  readonly account: string;
  readonly entries: Map<string, CrashEntry>;
}

const DEFAULT_MAX_CRASHES = 3;
const DEFAULT_HOLD_MS = 600_000;
const DEFAULT_MAX_REQUESTS = 4096;
const DEFAULT_MAX_PER_ACCOUNT = 256;
/** Time for which a successful run vouches for a request, milliseconds. */
const SUCCESS_VALID_MS = 60_000;
/** Each further crash doubles the quarantine, up to so many times. */
const MAX_DOUBLINGS = 6;
/**
 * Crash reports in one message, some 30 KB. When many targets crash together all of their requests
 * become suspects; the rest of the reports follow in the next messages.
 */
const MAX_REPORTS_PER_PAGE = 256;

/** Requests that are suspected of crashing targets. */
export class RequestQuarantine {
  readonly #options: Required<RequestQuarantineOptions>;
  /** Least recently reported first. */
  readonly #suspects = new Map<string, Suspect>();
  /** Monotonic times of the latest successful runs, least recent first. */
  readonly #succeededAtMs = new Map<string, number>();
  readonly #onTrial = new Set<string>();
  readonly #reportListeners = new Set<() => void>();
  readonly #changeListeners = new Set<(change: QuarantineChange) => void>();
  #lastSequence = 0;

  constructor(options: RequestQuarantineOptions = {}) {
    this.#options = {
      maxCrashes: DEFAULT_MAX_CRASHES,
      holdMs: DEFAULT_HOLD_MS,
      maxRequests: DEFAULT_MAX_REQUESTS,
      maxPerAccount: DEFAULT_MAX_PER_ACCOUNT,
      disabledGuards: new Set(),
      ...options,
    };
  }

  /** Whether no request is suspected, so that digests need not be computed. */
  get isEmpty(): boolean {
    return this.#suspects.size === 0;
  }

  /** A target crashed while it had the request. */
  recordCrash(
    request: string,
    account: string,
    life: string,
    nowMs: number,
  ): void {
    const name = this.#isOff("livesCountOnce")
      ? `${life} (${this.#lastSequence})`
      : life;
    if (!this.#addReport([request, account, name, 1, 0], nowMs)) return;
    if (this.countCrashes(request) >= this.#options.maxCrashes) {
      this.#notifyChange({ kind: "held", request, isOwn: true });
    }
    this.#notifyReports();
  }

  /** A run of the request succeeded: it is cleared, also of crashes reported soon after. */
  markSuccess(request: string, nowMs: number): boolean {
    this.#succeededAtMs.delete(request);
    this.#succeededAtMs.set(request, nowMs);
    const [oldest] = this.#succeededAtMs.keys();
    if (this.#succeededAtMs.size > this.#options.maxRequests) {
      this.#succeededAtMs.delete(oldest);
    }
    return this.clear(request, nowMs);
  }

  /** Clears a request of all crashes known so far, as an operator does. */
  clear(request: string, nowMs: number): boolean {
    const suspect = this.#suspects.get(request);
    if (suspect === undefined) return false;
    const isHeld = this.countCrashes(request) >= this.#options.maxCrashes;
    let isNews = false;
    for (const life of listCrashes(suspect)) {
      const note: CrashReport = [request, suspect.account, life, 0, 0];
      isNews = this.#addReport(note, nowMs) || isNews;
    }
    if (!isNews) return false;
    if (isHeld) this.#notifyChange({ kind: "cleared", request, isOwn: true });
    this.#notifyReports();
    return true;
  }

  /** Merges a peer's crash reports. */
  mergePeerReports(notes: readonly CrashReport[], nowMs: number): void {
    const before = new Map<string, number>();
    for (const note of notes) {
      const [request] = note;
      const crashes = this.countCrashes(request);
      if (!this.#addReport(note, nowMs)) continue;
      if (!before.has(request)) before.set(request, crashes);
    }
    for (const [request, crashes] of before) {
      this.#notifyPeerChange(request, crashes);
    }
    if (before.size > 0) this.#notifyReports();
  }

  /** Crashes that count against a request. */
  countCrashes(request: string): number {
    const suspect = this.#suspects.get(request);
    return suspect === undefined ? 0 : listCrashes(suspect).length;
  }

  /** The quarantine of a request; undefined where there is none. */
  findQuarantined(
    request: string,
    nowMs: number,
  ): QuarantinedRequest | undefined {
    const suspect = this.#suspects.get(request);
    if (suspect === undefined) return undefined;
    const lives = listCrashes(suspect);
    if (lives.length < this.#options.maxCrashes) return undefined;
    const sinceMs = findLatest(suspect);
    const untilMs = sinceMs + this.#computeQuarantineMs(lives.length);
    if (nowMs >= untilMs) return undefined;
    return { request, account: suspect.account, lives, sinceMs, untilMs };
  }

  /**
   * Whether a request may be sent. One crash before quarantine its copies run one at a time, so
   * that concurrent copies do not crash several targets.
   */
  admit(request: string, nowMs: number): Admission {
    const held = this.findQuarantined(request, nowMs);
    if (held !== undefined) return { kind: "quarantined", entry: held };
    if (!this.isLastTrial(request)) return { kind: "free" };
    if (this.#onTrial.has(request) && !this.#isOff("copiesOneAtATime")) {
      return { kind: "onTrial" };
    }
    this.#onTrial.add(request);
    return { kind: "trial", end: () => this.#onTrial.delete(request) };
  }

  /** Whether one more crash would quarantine the request. */
  isLastTrial(request: string): boolean {
    return this.countCrashes(request) >= this.#options.maxCrashes - 1;
  }

  /** All quarantined requests. */
  listQuarantined(nowMs: number): QuarantinedRequest[] {
    return [...this.#suspects.keys()]
      .map((request) => this.findQuarantined(request, nowMs))
      .filter((held) => held !== undefined);
  }

  /** The next crash reports after `cursor`, oldest first. */
  listReports(cursor: number | undefined, nowMs: number): CrashReportPage {
    const from = cursor ?? 0;
    if (from >= this.#lastSequence) return { reports: [], cursor: from };
    const facts = [...this.#suspects].flatMap(([request, suspect]) =>
      [...suspect.entries]
        .filter(([, fact]) => fact.sequence > from)
        .map(([life, fact]) => ({ request, suspect, life, fact }))
    );
    facts.sort((a, b) => a.fact.sequence - b.fact.sequence);
    const told = facts.slice(0, MAX_REPORTS_PER_PAGE);
    const isAll = told.length === facts.length;
    const last = isAll
      ? this.#lastSequence
      : told[told.length - 1].fact.sequence;
    const notes = told.map(({ request, suspect, life, fact }): CrashReport => {
      const ageMs = Math.max(0, Math.round(nowMs - fact.atMs));
      return [request, suspect.account, life, fact.isCleared ? 0 : 1, ageMs];
    });
    return { reports: notes, cursor: last };
  }

  /** Forgets requests without reports for the length of their quarantine and a first one more. */
  expire(nowMs: number): void {
    for (const [request, suspect] of this.#suspects) {
      const crashes = listCrashes(suspect).length;
      const keptMs = this.#computeQuarantineMs(crashes) + this.#options.holdMs;
      if (nowMs - findLatest(suspect) > keptMs) this.#suspects.delete(request);
    }
  }

  /** Registers a listener for crash reports that are new to this VM and returns its undo. */
  registerReportListener(listener: () => void): () => void {
    this.#reportListeners.add(listener);
    return () => {
      this.#reportListeners.delete(listener);
    };
  }

  /** Registers a listener for requests that enter or leave quarantine and returns its undo. */
  registerChangeListener(
    listener: (change: QuarantineChange) => void,
  ): () => void {
    this.#changeListeners.add(listener);
    return () => {
      this.#changeListeners.delete(listener);
    };
  }

  /** Returns whether the report is new. */
  #addReport(
    [request, account, life, isCrash, ageMs]: CrashReport,
    nowMs: number,
  ): boolean {
    const suspect = this.#suspects.get(request) ??
      { account, entries: new Map<string, CrashEntry>() };
    const known = suspect.entries.get(life);
    const isCleared = isCrash === 0 || this.#hasRecentSuccess(request, nowMs);
    if (known?.isCleared && !this.#isOff("clearedStaysCleared")) return false;
    if (known !== undefined && known.isCleared === isCleared) return false;
    const atMs = nowMs - ageMs;
    suspect.entries.set(life, {
      isCleared,
      atMs,
      sequence: ++this.#lastSequence,
    });
    this.#suspects.delete(request);
    this.#suspects.set(request, suspect);
    this.#evictExcess(account);
    return true;
  }

  /** Popular requests succeed all the time, so crashes of others can't add up against them. */
  #hasRecentSuccess(request: string, nowMs: number): boolean {
    if (this.#isOff("successesAreRemembered")) return false;
    const atMs = this.#succeededAtMs.get(request);
    return atMs !== undefined && nowMs - atMs <= SUCCESS_VALID_MS;
  }

  #isOff(guard: QuarantineGuard): boolean {
    return this.#options.disabledGuards.has(guard);
  }

  #computeQuarantineMs(crashes: number): number {
    const { holdMs, maxCrashes } = this.#options;
    const doublings = Math.max(0, crashes - maxCrashes);
    return holdMs * 2 ** Math.min(doublings, MAX_DOUBLINGS);
  }

  /** Evicts the least recently reported requests; an account can't evict those of others. */
  #evictExcess(account: string): void {
    const own = [...this.#suspects]
      .filter(([, suspect]) => suspect.account === account);
    if (own.length > this.#options.maxPerAccount) {
      this.#suspects.delete(own[0][0]);
    }
    const [oldest] = this.#suspects.keys();
    if (this.#suspects.size > this.#options.maxRequests) {
      this.#suspects.delete(oldest);
    }
  }

  #notifyPeerChange(request: string, crashesBefore: number): void {
    const { maxCrashes } = this.#options;
    const crashes = this.countCrashes(request);
    if (crashes >= maxCrashes && crashes > crashesBefore) {
      this.#notifyChange({ kind: "held", request, isOwn: false });
    } else if (crashes < maxCrashes && crashesBefore >= maxCrashes) {
      this.#notifyChange({ kind: "cleared", request, isOwn: false });
    }
  }

  #notifyChange(change: QuarantineChange): void {
    for (const listener of [...this.#changeListeners]) listener(change);
  }

  #notifyReports(): void {
    for (const listener of [...this.#reportListeners]) listener();
  }
}

function listCrashes({ entries: facts }: Suspect): string[] {
  return [...facts].filter(([, fact]) => !fact.isCleared).map(([life]) => life);
}

/** Monotonic time of the latest report. */
function findLatest({ entries: facts }: Suspect): number {
  return Math.max(...[...facts.values()].map(({ atMs }) => atMs));
}
