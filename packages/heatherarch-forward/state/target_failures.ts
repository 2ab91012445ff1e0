/**
 * Failures of targets as all VMs observe them, so that a failing target is avoided after a few failed
 * attempts of the whole fleet.
 *
 * A VM of a large fleet makes a few attempts a second at some hundred targets. By its own attempts
 * alone it does not learn within seconds that a target resets its connections, and a target that fails
 * at once has no work in progress, so it looks like the least loaded one to every VM.
 *
 * The counts decay. An avoided target is attempted again when too few failures are left to avoid it.
 * The module has no clock: each update carries the time.
 *
 * @module
 */
import type { WorkScope } from "./work_tracker.ts";

/** What a VM reports of a target: its id, and tenths of attempts and of failed attempts. */
export type FailureRow = readonly [string, number, number];

/** Decaying counts of the attempts at one target. */
interface AttemptCounts {
  attempts: number;
  failures: number;
  atMs: number;
}

interface PeerFailures {
  readonly rows: readonly FailureRow[];
  readonly atMs: number;
  readonly scope: WorkScope;
}

/** Share of the attempts at a target that failed, and their number. */
interface FailureShare {
  readonly share: number;
  readonly failures: number;
}

/** Time constant of the decay, milliseconds: longer than most spans between attempts of one VM. */
const DECAY_MS = 2000;
/** A peer without a report for this long no longer counts. */
const PEER_TIMEOUT_MS = 1500;
/** Counts are reported in tenths. */
const SCALE = 10;
/** With fewer failures, a target does not count as failing. */
const MIN_FAILURES = 1.5;
/** Attempts that every target counts as having passed: VMs without failures may report late. */
const ASSUMED_SUCCESSES = 2;
/** Errors that targets return by design stay well below this share of failures. */
const MIN_FAILING_SHARE = 0.3;
/**
 * A failing target has this many times the share of failures of the soundest targets. Otherwise the
 * failures are not its own: the connections of this VM may have been reset.
 */
const FAILING_RATIO = 2;
/** Share of the targets that count as the soundest and stay in use at least. */
const SOUND_SHARE = 0.3;
/** Upper bound of what one VM reports of a target, so that one VM alone does not outvote others. */
const MAX_OWN_FAILURES = 4;
/**
 * Targets that one report names, those with most failures first. All engines of one availability zone
 * fit. With 40 bytes for each row and ten heartbeats a second, 32 rows take 13 KB/s on a link for the
 * seconds in which that many targets fail. A target that is not named counts by each VM's own attempts.
 */
const MAX_ROWS = 32;
/** Counts below this are dropped. */
const MIN_COUNT = 0.05;

/** Failures of targets, by this VM's attempts and the reports of its peers. */
export class TargetFailures {
  readonly #own = new Map<string, AttemptCounts>();
  readonly #peers = new Map<string, PeerFailures>();
  /** Targets of which any VM knows a failure. All VMs report their attempts at these. */
  #suspected = new Set<string>();

  /** Records the result of an attempt of this VM. */
  recordAttempt(target: string, hasFailed: boolean, nowMs: number): void {
    const counts = this.#own.get(target) ??
      { attempts: 0, failures: 0, atMs: nowMs };
    decayCounts(counts, nowMs);
    counts.attempts++;
    if (hasFailed) {
      counts.failures++;
      limitFailures(counts);
      this.#suspected.add(target);
    }
    this.#own.set(target, counts);
  }

  /** Lists the targets among `ids` that are failing, compared with the others. */
  findFailing(ids: readonly string[], nowMs: number): ReadonlySet<string> {
    const failing = new Set<string>();
    if (this.#suspected.size === 0) return failing;
    const shares = this.#computeShares(nowMs);
    const ordered = ids
      .map((id) => shares.get(id)?.share ?? 0)
      .sort((a, b) => a - b);
    const soundCount = Math.ceil(ids.length * SOUND_SHARE);
    const soundShare = ordered[soundCount - 1] ?? 0;
    const minShare = Math.max(MIN_FAILING_SHARE, soundShare * FAILING_RATIO);
    for (const id of ids) {
      const known = shares.get(id);
      if (known === undefined || known.failures < MIN_FAILURES) continue;
      if (known.share > minShare) failing.add(id);
    }
    return failing;
  }

  /** Lists what this VM knows of the targets that any VM suspects. */
  listOwnRows(nowMs: number): FailureRow[] {
    const rows: FailureRow[] = [];
    for (const id of this.#suspected) {
      const counts = this.#own.get(id);
      if (counts === undefined) continue;
      decayCounts(counts, nowMs);
      const row = encodeRow(id, counts);
      if (row[1] > 0) rows.push(row);
    }
    return limitRows(rows);
  }

  /** Replaces what a peer reports, of itself or of several VMs. */
  setPeerRows(
    peer: string,
    allRows: readonly FailureRow[],
    nowMs: number,
    scope: WorkScope = "own",
  ): void {
    const rows = limitRows(allRows);
    this.#peers.set(peer, { rows, atMs: nowMs, scope });
    for (const [id, , failures] of rows) {
      if (failures > 0) this.#suspected.add(id);
    }
  }

  /** Sums the reports of this VM and its peers, with or without those that peers gathered. */
  sumRows(nowMs: number, includeGathered: boolean): FailureRow[] {
    const sums = this.#sumCounts(nowMs, includeGathered);
    const rows = [...sums]
      .map(([id, counts]) => encodeRow(id, counts))
      .filter(([, attempts]) => attempts > 0);
    return limitRows(rows);
  }

  /** Removes what a peer has reported. */
  forgetPeer(peer: string): void {
    this.#peers.delete(peer);
  }

  /** Removes the reports of all peers, because they change their form. */
  forgetAllPeers(): void {
    this.#peers.clear();
  }

  /** Drops a target that is gone. */
  forget(target: string): void {
    this.#own.delete(target);
    this.#suspected.delete(target);
  }

  /** Drops counts that have decayed. To be called every second or so. */
  sweep(nowMs: number): void {
    for (const [id, counts] of this.#own) {
      decayCounts(counts, nowMs);
      if (counts.attempts < MIN_COUNT) this.#own.delete(id);
    }
    const sums = this.#sumCounts(nowMs, true);
    this.#suspected = new Set(
      [...sums].filter(([, { failures }]) => failures >= MIN_COUNT)
        .map(([id]) => id),
    );
  }

  #computeShares(nowMs: number): Map<string, FailureShare> {
    const shares = new Map<string, FailureShare>();
    for (const [id, counts] of this.#sumCounts(nowMs, true)) {
      const { attempts, failures } = counts;
      const share = failures / (attempts + ASSUMED_SUCCESSES);
      shares.set(id, { share, failures });
    }
    return shares;
  }

  #sumCounts(
    nowMs: number,
    includeGathered: boolean,
  ): Map<string, AttemptCounts> {
    const sums = new Map<string, AttemptCounts>();
    const add = (id: string, attempts: number, failures: number): void => {
      const sum = sums.get(id);
      if (sum === undefined) {
        sums.set(id, { attempts, failures, atMs: nowMs });
        return;
      }
      sum.attempts += attempts;
      sum.failures += failures;
    };
    for (const id of this.#suspected) {
      const counts = this.#own.get(id);
      if (counts === undefined) continue;
      decayCounts(counts, nowMs);
      add(id, counts.attempts, counts.failures);
    }
    for (const [peer, { rows, atMs, scope }] of this.#peers) {
      const ageMs = nowMs - atMs;
      if (ageMs > PEER_TIMEOUT_MS) {
        this.#peers.delete(peer);
        continue;
      }
      if (scope === "gathered" && !includeGathered) continue;
      const decay = Math.exp(-ageMs / DECAY_MS) / SCALE;
      for (const [id, attempts, failures] of rows) {
        add(id, attempts * decay, failures * decay);
      }
    }
    return sums;
  }
}

/** Subtracts a VM's own rows from a sum, which leaves the reports of the other VMs. */
export function subtractFailureRows(
  sum: readonly FailureRow[],
  own: readonly FailureRow[],
): FailureRow[] {
  const ownById = new Map(own.map((row) => [row[0], row]));
  return sum.map(([id, attempts, failures]): FailureRow => {
    const part = ownById.get(id);
    return [
      id,
      Math.max(0, attempts - (part?.[1] ?? 0)),
      Math.max(0, failures - (part?.[2] ?? 0)),
    ];
  });
}

/** Keeps the rows with most failures. */
function limitRows(rows: readonly FailureRow[]): FailureRow[] {
  if (rows.length <= MAX_ROWS) return [...rows];
  return [...rows].sort(([, , a], [, , b]) => b - a).slice(0, MAX_ROWS);
}

function encodeRow(
  id: string,
  { attempts, failures }: AttemptCounts,
): FailureRow {
  return [id, Math.round(attempts * SCALE), Math.round(failures * SCALE)];
}

/**
 * Bounds the failures that count. The attempts shrink by the same factor, as the share of failures of a
 * target at which all attempts fail would fall with each further one.
 */
function limitFailures(counts: AttemptCounts): void {
  const factor = Math.min(1, MAX_OWN_FAILURES / counts.failures);
  counts.attempts *= factor;
  counts.failures *= factor;
}

function decayCounts(counts: AttemptCounts, nowMs: number): void {
  const factor = Math.exp(-Math.max(0, nowMs - counts.atMs) / DECAY_MS);
  counts.attempts *= factor;
  counts.failures *= factor;
  counts.atMs = nowMs;
}
