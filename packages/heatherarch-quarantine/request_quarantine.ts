/**
 * Quarantine of poison requests (queries of death), which crash every target that runs them.
 *
 * A single crash does not identify a poison request, since all requests in flight at the target are
 * lost with it. A request is quarantined when several target incarnations crashed while running it
 * and none of its runs succeeded. A successful run clears the request of all crashes known so far,
 * and of crashes that are reported within a minute after it.
 *
 * The state is a set of (request, incarnation) pairs in which "cleared" wins over "crashed", so
 * replicas converge regardless of the order and number of messages. The module is pure: callers
 * pass the time in.
 *
 * @module
 */

/**
 * A crash report as sent to peers: digest of the request, its client account, incarnation of the
 * target, 1 if the crash counts or 0 if the request was cleared of it, and the report's age in
 * milliseconds.
 */
export type CrashReport = readonly [string, string, string, 0 | 1, number];

/** A quarantined request. */
export interface QuarantinedRequest {
  readonly request: string;
  readonly account: string;
  /** Incarnations of targets that crashed while running the request. */
  readonly incarnations: readonly string[];
  /** Monotonic time of the latest crash report. */
  readonly sinceMs: number;
  /** Monotonic time at which the quarantine ends. */
  readonly untilMs: number;
}

/** Decision on whether a request may be sent. */
export type Admission =
  | { readonly kind: "free" }
  /** The request may be sent. No other copy of it may be sent until `end` is called. */
  | { readonly kind: "trial"; readonly end: () => void }
  /** Another copy of the request is on trial. */
  | { readonly kind: "onTrial" }
  | { readonly kind: "quarantined"; readonly entry: QuarantinedRequest };

/** A request entered or left quarantine on this VM. */
export interface QuarantineChange {
  readonly kind: "held" | "cleared";
  readonly request: string;
  /** Whether this VM's own observation caused the change, rather than a peer's report. */
  readonly isOwn: boolean;
}

/** One page of crash reports. */
export interface CrashReportPage {
  readonly reports: readonly CrashReport[];
  /** Position at which the next page begins. */
  readonly cursor: number;
}

/** Safety rules of the quarantine. The proofs disable them one at a time. */
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
  /** Number of crashes after which a request is quarantined. */
  readonly maxCrashes?: number;
  /** Duration of the first quarantine of a request. */
  readonly holdMs?: number;
  /** Maximum number of suspected requests that are kept. */
  readonly maxRequests?: number;
  /** Maximum number of suspected requests that are kept for one client account. */
  readonly maxPerAccount?: number;
  readonly disabledGuards?: ReadonlySet<QuarantineGuard>;
}

/** A request against which crashes count. */
export interface SuspectedRequest {
  readonly request: string;
  readonly account: string;
  /** Incarnations of targets whose crashes count. */
  readonly incarnations: readonly string[];
  /** Monotonic time of the latest crash report. */
  readonly latestMs: number;
}

interface CrashEntry {
  readonly isCleared: boolean;
  readonly atMs: number;
  /** Sequence number of the entry, in the order in which this VM learned of the entries. */
  readonly sequence: number;
}

interface Suspect {
  readonly account: string;
  /** Entries by incarnation of the target. */
  readonly entries: Map<string, CrashEntry>;
}

const DEFAULT_MAX_CRASHES = 3;
const DEFAULT_HOLD_MS = 600_000;
const DEFAULT_MAX_REQUESTS = 4096;
const DEFAULT_MAX_PER_ACCOUNT = 256;
/** Crashes that are reported within this time after a successful run don't count. */
const SUCCESS_VALID_MS = 60_000;
/** Each further crash doubles the duration of the quarantine, at most this many times. */
const MAX_DOUBLINGS = 6;
/**
 * Maximum number of crash reports in one message, about 30 KB. When many targets crash together,
 * all of their requests become suspects. The remaining reports follow in the next messages.
 */
const MAX_REPORTS_PER_PAGE = 256;

/** Tracks the requests that are suspected of crashing targets, and quarantines them. */
export class RequestQuarantine {
  readonly #options: Required<RequestQuarantineOptions>;
  /** Suspects by request, least recently reported first. */
  readonly #suspects = new Map<string, Suspect>();
  /** Monotonic times of the latest successful run of each request, least recent first. */
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

  /** Whether no request is suspected. Callers then need not compute digests. */
  get isEmpty(): boolean {
    return this.#suspects.size === 0;
  }

  /** Records that a target crashed while the request was in flight there. */
  recordCrash(
    request: string,
    account: string,
    incarnation: string,
    nowMs: number,
  ): void {
    const key = this.#isOff("livesCountOnce")
      ? `${incarnation} (${this.#lastSequence})`
      : incarnation;
    if (!this.#addReport([request, account, key, 1, 0], nowMs)) return;
    if (this.countCrashes(request) >= this.#options.maxCrashes) {
      this.#notifyChange({ kind: "held", request, isOwn: true });
    }
    this.#notifyReports();
  }

  /**
   * Records that a run of the request succeeded. This clears the request, also of crashes that are
   * reported soon after. Returns whether a crash was cleared.
   */
  markSuccess(request: string, nowMs: number): boolean {
    this.#succeededAtMs.delete(request);
    this.#succeededAtMs.set(request, nowMs);
    const [oldest] = this.#succeededAtMs.keys();
    if (this.#succeededAtMs.size > this.#options.maxRequests) {
      this.#succeededAtMs.delete(oldest);
    }
    return this.clear(request, nowMs);
  }

  /**
   * Clears a request of all crashes known so far, after a successful run or on an operator's
   * request. Returns whether a crash was cleared.
   */
  clear(request: string, nowMs: number): boolean {
    const suspect = this.#suspects.get(request);
    if (suspect === undefined) return false;
    const wasHeld = this.countCrashes(request) >= this.#options.maxCrashes;
    let isNew = false;
    for (const incarnation of listCrashes(suspect)) {
      const report: CrashReport = [request, suspect.account, incarnation, 0, 0];
      isNew = this.#addReport(report, nowMs) || isNew;
    }
    if (!isNew) return false;
    if (wasHeld) this.#notifyChange({ kind: "cleared", request, isOwn: true });
    this.#notifyReports();
    return true;
  }

  /** Merges a peer's crash reports. */
  mergePeerReports(reports: readonly CrashReport[], nowMs: number): void {
    const crashesBefore = new Map<string, number>();
    for (const report of reports) {
      const [request] = report;
      const crashes = this.countCrashes(request);
      if (!this.#addReport(report, nowMs)) continue;
      if (!crashesBefore.has(request)) crashesBefore.set(request, crashes);
    }
    for (const [request, crashes] of crashesBefore) {
      this.#notifyPeerChange(request, crashes);
    }
    if (crashesBefore.size > 0) this.#notifyReports();
  }

  /** Returns the number of crashes that count against a request. */
  countCrashes(request: string): number {
    const suspect = this.#suspects.get(request);
    return suspect === undefined ? 0 : listCrashes(suspect).length;
  }

  /** Lists the requests against which crashes count. */
  listSuspects(): SuspectedRequest[] {
    return [...this.#suspects].map(([request, suspect]) => ({
      request,
      account: suspect.account,
      incarnations: listCrashes(suspect),
      latestMs: findLatest(suspect),
    })).filter(({ incarnations }) => incarnations.length > 0);
  }

  /** Returns the quarantine of a request, or undefined if it is not quarantined. */
  findQuarantined(
    request: string,
    nowMs: number,
  ): QuarantinedRequest | undefined {
    const suspect = this.#suspects.get(request);
    if (suspect === undefined) return undefined;
    const incarnations = listCrashes(suspect);
    if (incarnations.length < this.#options.maxCrashes) return undefined;
    const sinceMs = findLatest(suspect);
    const untilMs = sinceMs + this.#computeQuarantineMs(incarnations.length);
    if (nowMs >= untilMs) return undefined;
    return {
      request,
      account: suspect.account,
      incarnations,
      sinceMs,
      untilMs,
    };
  }

  /**
   * Decides whether a request may be sent. When one more crash would quarantine the request, its
   * copies run one at a time, so that concurrent copies do not crash several targets.
   */
  admit(request: string, nowMs: number): Admission {
    const entry = this.findQuarantined(request, nowMs);
    if (entry !== undefined) return { kind: "quarantined", entry };
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

  /** Lists all quarantined requests. */
  listQuarantined(nowMs: number): QuarantinedRequest[] {
    return [...this.#suspects.keys()]
      .map((request) => this.findQuarantined(request, nowMs))
      .filter((entry) => entry !== undefined);
  }

  /** Returns the page of crash reports after `cursor`, oldest first. */
  listReports(cursor: number | undefined, nowMs: number): CrashReportPage {
    const from = cursor ?? 0;
    if (from >= this.#lastSequence) return { reports: [], cursor: from };
    const newer = [...this.#suspects].flatMap(([request, suspect]) =>
      [...suspect.entries]
        .filter(([, entry]) => entry.sequence > from)
        .map(([incarnation, entry]) => ({
          request,
          suspect,
          incarnation,
          entry,
        }))
    );
    newer.sort((a, b) => a.entry.sequence - b.entry.sequence);
    const page = newer.slice(0, MAX_REPORTS_PER_PAGE);
    const isLast = page.length === newer.length;
    const last = isLast
      ? this.#lastSequence
      : page[page.length - 1].entry.sequence;
    const reports = page.map(
      ({ request, suspect, incarnation, entry }): CrashReport => {
        const ageMs = Math.max(0, Math.round(nowMs - entry.atMs));
        return [
          request,
          suspect.account,
          incarnation,
          entry.isCleared ? 0 : 1,
          ageMs,
        ];
      },
    );
    return { reports, cursor: last };
  }

  /** Drops requests without a new report for the sum of their quarantine and a first quarantine. */
  expire(nowMs: number): void {
    for (const [request, suspect] of this.#suspects) {
      const crashes = listCrashes(suspect).length;
      const keptMs = this.#computeQuarantineMs(crashes) + this.#options.holdMs;
      if (nowMs - findLatest(suspect) > keptMs) this.#suspects.delete(request);
    }
  }

  /** Registers a listener for crash reports that are new to this VM. Returns its removal. */
  registerReportListener(listener: () => void): () => void {
    this.#reportListeners.add(listener);
    return () => {
      this.#reportListeners.delete(listener);
    };
  }

  /** Registers a listener for requests that enter or leave quarantine. Returns its removal. */
  registerChangeListener(
    listener: (change: QuarantineChange) => void,
  ): () => void {
    this.#changeListeners.add(listener);
    return () => {
      this.#changeListeners.delete(listener);
    };
  }

  /** Adds a report and returns whether it is new. */
  #addReport(
    [request, account, incarnation, isCrash, ageMs]: CrashReport,
    nowMs: number,
  ): boolean {
    const suspect = this.#suspects.get(request) ??
      { account, entries: new Map<string, CrashEntry>() };
    const known = suspect.entries.get(incarnation);
    const isCleared = isCrash === 0 || this.#hasRecentSuccess(request, nowMs);
    if (known?.isCleared && !this.#isOff("clearedStaysCleared")) return false;
    if (known !== undefined && known.isCleared === isCleared) return false;
    const atMs = nowMs - ageMs;
    suspect.entries.set(incarnation, {
      isCleared,
      atMs,
      sequence: ++this.#lastSequence,
    });
    this.#suspects.delete(request);
    this.#suspects.set(request, suspect);
    this.#evictExcess(account);
    return true;
  }

  /**
   * Whether a run of the request succeeded recently. Popular requests succeed all the time, so
   * crashes that other requests cause do not accumulate against them.
   */
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

  /**
   * Evicts the least recently reported requests. The limit per client account prevents one client
   * account from evicting the requests of the others.
   */
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

/** Lists the incarnations whose crashes count. */
function listCrashes({ entries }: Suspect): string[] {
  return [...entries].filter(([, entry]) => !entry.isCleared)
    .map(([incarnation]) => incarnation);
}

/** Returns the monotonic time of the latest report. */
function findLatest({ entries }: Suspect): number {
  return Math.max(...[...entries.values()].map(({ atMs }) => atMs));
}
