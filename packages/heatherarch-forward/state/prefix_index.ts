/**
 * Indexes which engines hold which shared prompt prefixes, based on the prefills that the VMs
 * requested. The module has no clock: each update carries the time.
 *
 * Engines publish their cache events late and with gaps, and each poll has a cost. Each VM knows
 * on which engines it had a prefix prefilled, and sends its peers one update per prefix and engine.
 *
 * @module
 */

/**
 * State of a prefix on an engine: its prefill is in progress (`reading`) or complete (`read`), or the
 * engine took the prefix over to decode (`copied`).
 */
export type HolderState = "reading" | "read" | "copied";

/** Key of a prefix, id of an engine, and the position of the state in {@linkcode STATES}. */
export type PrefixUpdate = readonly [string, string, number];

/**
 * Origin of an update: this VM, another VM of its availability zone, or another zone. A hub relays
 * updates of any origin to the VMs of its zone, and updates of its own zone to other zones.
 */
export type UpdateScope = "own" | "zone" | "fleet";

/** An engine that holds a prefix, or will once its prefill completes. */
export interface PrefixHolder {
  readonly target: string;
  readonly state: HolderState;
  /** Monotonic time of the prefix's last known use on the engine. */
  readonly usedAtMs: number;
}

/** Options of {@linkcode PrefixIndex}. */
export interface PrefixIndexOptions {
  /** Maximum number of prefixes in the index; the least recently updated ones are evicted first. */
  readonly maxKeys?: number;
}

/** Twenty times the prefixes of the users' load specifications, at about 100 bytes each. */
const DEFAULT_MAX_KEYS = 8192;
/** Engines kept per prefix; further copies would not reduce waiting. */
const MAX_HOLDERS_PER_PREFIX = 6;
/**
 * Minimum time between two updates on the use of one prefix on one engine, milliseconds. Engines
 * keep a prefix for ten times as long.
 */
const REPEAT_INTERVAL_MS = 1000;
/** Key of an update which says that the engine's full cache listing was requested. */
const SURVEY_KEY = "";
/** States in the order of their numbers in updates. */
const STATES: readonly HolderState[] = ["reading", "read", "copied"];
const SCOPES: readonly UpdateScope[] = ["own", "zone", "fleet"];
/**
 * Maximum number of updates sent at once: about 75 KB, which takes a tenth of a second on the
 * slowest links of the users' load specifications. Most older updates have been repeated since.
 */
const MAX_UPDATES_LISTED = 3000;

interface UpdateLogEntry {
  readonly update: PrefixUpdate;
  readonly scope: UpdateScope;
}

/** The engines that hold each known prompt prefix. */
export class PrefixIndex {
  readonly #maxKeys: number;
  readonly #holders = new Map<string, readonly PrefixHolder[]>();
  /** Updates for peers, in the order in which this VM learned of them. */
  readonly #updateLog: UpdateLogEntry[] = [];
  readonly #surveyed = new Set<string>();
  #updateLogStart = 0;

  constructor(options: PrefixIndexOptions = {}) {
    this.#maxKeys = options.maxKeys ?? DEFAULT_MAX_KEYS;
  }

  /** Records that an engine holds the prefix, or is prefilling it, as this VM observed. */
  recordHolder(
    key: string,
    target: string,
    state: HolderState,
    nowMs: number,
  ): void {
    if (!this.#storeHolder(key, target, state, nowMs)) return;
    this.#logUpdate([key, target, STATES.indexOf(state)], "own");
  }

  /** Applies a peer's updates. With `relayScope` they are relayed to further peers. */
  applyPeerUpdates(
    updates: readonly PrefixUpdate[],
    nowMs: number,
    relayScope?: Exclude<UpdateScope, "own">,
  ): void {
    for (const update of updates) {
      if (!this.#applyUpdate(update, nowMs)) continue;
      if (relayScope !== undefined) this.#logUpdate(update, relayScope);
    }
  }

  /** Records that this VM requested an engine's full cache listing. */
  markSurveyed(target: string): void {
    if (this.#surveyed.has(target)) return;
    this.#surveyed.add(target);
    this.#logUpdate([SURVEY_KEY, target, 1], "own");
  }

  /** Whether any VM is known to have requested the engine's full cache listing. */
  isSurveyed(target: string): boolean {
    return this.#surveyed.has(target);
  }

  /** Lists the holders of the prefix, the most recently used one last. Some may have evicted it. */
  listHolders(key: string): readonly PrefixHolder[] {
    return this.#holders.get(key) ?? [];
  }

  /** Removes an engine that has lost its cache or has been removed. */
  forgetTarget(target: string): void {
    this.#surveyed.delete(target);
    for (const key of [...this.#holders.keys()]) this.forgetHolder(key, target);
  }

  /** Removes an engine that turned out not to hold the prefix. */
  forgetHolder(key: string, target: string): void {
    const holders = this.listHolders(key);
    const others = holders.filter((holder) => holder.target !== target);
    if (others.length === 0) this.#holders.delete(key);
    else if (others.length < holders.length) this.#holders.set(key, others);
  }

  /**
   * Lists the updates from `cursor` on whose origin is within `scope`, and the cursor after them.
   * Cursor 0 is the start. Only the newest updates are listed if there are too many.
   */
  listUpdates(
    cursor: number,
    scope: UpdateScope = "own",
  ): { updates: PrefixUpdate[]; cursor: number } {
    const end = this.#updateLogStart + this.#updateLog.length;
    const from = Math.max(0, cursor - this.#updateLogStart);
    const widest = SCOPES.indexOf(scope);
    const updates = this.#updateLog.slice(from)
      .filter((entry) => SCOPES.indexOf(entry.scope) <= widest)
      .map((entry) => entry.update);
    const newest = updates.slice(-MAX_UPDATES_LISTED);
    const surveyUpdates = cursor === 0 ? this.#buildSurveyUpdates() : [];
    return { updates: [...surveyUpdates, ...newest], cursor: end };
  }

  #buildSurveyUpdates(): PrefixUpdate[] {
    return [...this.#surveyed].map((target) => [SURVEY_KEY, target, 1]);
  }

  /** Returns whether the update should be relayed. */
  #applyUpdate([key, target, state]: PrefixUpdate, nowMs: number): boolean {
    if (key !== SURVEY_KEY) {
      return this.#storeHolder(key, target, STATES[state] ?? "reading", nowMs);
    }
    if (this.#surveyed.has(target)) return false;
    this.#surveyed.add(target);
    return true;
  }

  #logUpdate(update: PrefixUpdate, scope: UpdateScope): void {
    this.#updateLog.push({ update, scope });
    if (this.#updateLog.length <= this.#maxKeys) return;
    this.#updateLog.shift();
    this.#updateLogStart++;
  }

  /** Returns whether peers should receive this as an update. */
  #storeHolder(
    key: string,
    target: string,
    state: HolderState,
    nowMs: number,
  ): boolean {
    if (state === "copied") return this.#storeCopy(key, target, nowMs);
    const holders = this.listHolders(key);
    const existing = holders.find((holder) => holder.target === target);
    const isSame = existing !== undefined &&
      (existing.state === "read" || existing.state === state);
    if (isSame && nowMs - existing.usedAtMs < REPEAT_INTERVAL_MS) return false;
    const holder = { target, state: existing?.state ?? state, usedAtMs: nowMs };
    if (state === "read") holder.state = "read";
    const others = holders.filter((other) => other.target !== target);
    this.#holders.delete(key);
    this.#holders.set(key, [...others, holder].slice(-MAX_HOLDERS_PER_PREFIX));
    if (this.#holders.size > this.#maxKeys) this.#evictOldest();
    return true;
  }

  /** Stores the newest copy only. Many decode engines have one, and one is enough to fetch from. */
  #storeCopy(key: string, target: string, nowMs: number): boolean {
    const holders = this.listHolders(key);
    const existing = holders.find(({ state }) => state === "copied");
    const isRecent = existing !== undefined &&
      nowMs - existing.usedAtMs < REPEAT_INTERVAL_MS;
    if (isRecent || holders.length === 0) return false;
    const others = holders.filter((holder) =>
      holder !== existing && holder.target !== target
    );
    const copy: PrefixHolder = { target, state: "copied", usedAtMs: nowMs };
    this.#holders.set(key, [copy, ...others].slice(-MAX_HOLDERS_PER_PREFIX));
    return true;
  }

  #evictOldest(): void {
    const [oldest] = this.#holders.keys();
    this.#holders.delete(oldest);
  }
}
