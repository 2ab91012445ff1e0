/**
 * Tracks the outstanding work at each target over all VMs: this VM's own work call by call, and the
 * other VMs' work as they last reported it. The module has no clock: each update carries the time.
 *
 * Reports of engines lag by the time of several prompts, and each VM sends only a small part of the
 * work, whereas the sum of what was sent and has no response yet is known at once. An engine with
 * free slots prefills in the order of arrival, regardless of priority, so a prompt waits for all
 * work that was sent before it.
 *
 * @module
 */

/** Number of priority lanes. Lower lanes are sent first; the last lane holds late calls. */
export const LANE_COUNT = 4;
const LATE_LANE = LANE_COUNT - 1;

/**
 * Work of one VM at one target, as sent to peers: target id, number of runs, KV tokens, and
 * prefill milliseconds per lane.
 */
export type WorkRow = readonly [string, number, number, ...number[]];

/** Runs in progress at one target, and the KV cache that they use. */
export interface RunLoad {
  readonly runs: number;
  /** KV tokens that those runs hold. */
  readonly kvTokens: number;
}

interface PrefillEntry {
  readonly lane: number;
  readonly costMs: number;
  readonly finishAtMs: number;
  /** Time at which the response is due, which is after the engine has started on other prompts. */
  readonly responseDueAtMs: number;
}

/** A prompt that is sent to a target for prefill. */
export interface PrefillWork {
  /** Time for which the prompt occupies the target, milliseconds. */
  readonly costMs: number;
  readonly lane: number;
  /** Time from the end of the prefill to its response, milliseconds; 0 by default. */
  readonly latencyMs?: number;
}

interface OwnWork {
  readonly prefills: Set<PrefillEntry>;
  runs: number;
  kvTokens: number;
}

interface PeerWork {
  readonly atMs: number;
  readonly rows: readonly WorkRow[];
  readonly scope: WorkScope;
}

/** One peer's row for one target, with the time at which the row was valid. */
interface PeerRow {
  readonly row: WorkRow;
  readonly atMs: number;
}

/**
 * Whose work a peer reports: its own, or the aggregate (`gathered`) of VMs to which this VM has no
 * link. Aggregated work is relayed only to VMs of the same availability zone.
 */
export type WorkScope = "own" | "gathered";

/** A peer without a report for this long is assumed to have no work. */
const PEER_TIMEOUT_MS = 1500;
/** Number of fields before the lanes in a row. */
const LANE_OFFSET = 3;
/**
 * Upper bound of what an overdue prompt adds to the backlog. The addition lets the backlog of an
 * engine that has stopped responding grow.
 */
const MAX_OVERDUE_MS = 400;

/** The work that one VM knows of. */
export class WorkTracker {
  readonly #ownWork = new Map<string, OwnWork>();
  readonly #peerWork = new Map<string, PeerWork>();
  /** Rows by target and peer. A hub has about 40 peers, few of which have work at one target. */
  readonly #peerRows = new Map<string, Map<string, PeerRow>>();
  readonly #listeners = new Set<() => void>();
  #version = 0;

  /** Incremented with each change of the known work, but not with the passing of time. */
  get version(): number {
    return this.#version;
  }

  /** Registers a listener for this VM's own work and returns a function that removes it. */
  registerOwnWorkListener(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /** Records that a prompt was sent to a target. Returns a function that removes the entry. */
  beginPrefill(
    target: string,
    prefill: PrefillWork,
    nowMs: number,
  ): () => void {
    const { costMs, lane, latencyMs = 0 } = prefill;
    const finishAtMs = nowMs + this.getPrefillBacklogMs(target, nowMs) + costMs;
    const responseDueAtMs = finishAtMs + latencyMs;
    const work = this.#getOrCreate(target);
    const entry = { lane, costMs, finishAtMs, responseDueAtMs };
    work.prefills.add(entry);
    this.#notifyOwnChange();
    return () => {
      if (!work.prefills.delete(entry)) return;
      this.#removeIfIdle(target, work);
      this.#notifyOwnChange();
    };
  }

  /** Records that a run was sent to a target. Returns a function that removes the entry. */
  beginRun(target: string, kvTokens: number): () => void {
    const work = this.#getOrCreate(target);
    work.runs++;
    work.kvTokens += kvTokens;
    this.#notifyOwnChange();
    let isOpen = true;
    return () => {
      if (!isOpen) return;
      isOpen = false;
      work.runs--;
      work.kvTokens -= kvTokens;
      this.#removeIfIdle(target, work);
      this.#notifyOwnChange();
    };
  }

  /** Replaces all work that a peer reports, its own or aggregated. */
  setPeerWork(
    peer: string,
    rows: readonly WorkRow[],
    nowMs: number,
    scope: WorkScope = "own",
  ): void {
    this.forgetPeer(peer);
    this.#peerWork.set(peer, { atMs: nowMs, scope, rows });
    for (const row of rows) {
      let byPeer = this.#peerRows.get(row[0]);
      if (byPeer === undefined) {
        byPeer = new Map();
        this.#peerRows.set(row[0], byPeer);
      }
      byPeer.set(peer, { row, atMs: nowMs });
    }
  }

  /** Time until a target has prefilled all prompts that were sent to it, milliseconds. */
  getPrefillBacklogMs(target: string, nowMs: number): number {
    let remainingMs = 0;
    for (const entry of this.#ownWork.get(target)?.prefills ?? []) {
      remainingMs += computeRemainingMs(entry, nowMs);
    }
    for (const { row, ageMs } of this.#listPeerRows(target, nowMs)) {
      remainingMs += Math.max(0, sumLanes(row) - ageMs);
    }
    return remainingMs;
  }

  /** Sums what this VM's overdue prefills add to the backlogs of their targets, milliseconds. */
  sumOwnOverdueMs(nowMs: number): number {
    let overdueMs = 0;
    for (const { prefills } of this.#ownWork.values()) {
      for (const entry of prefills) {
        if (nowMs > entry.finishAtMs) {
          overdueMs += computeRemainingMs(entry, nowMs);
        }
      }
    }
    return overdueMs;
  }

  /** Whether a target has the prompt of a late call in prefill. */
  hasLatePrefill(target: string, nowMs: number): boolean {
    const own = this.#ownWork.get(target)?.prefills ?? [];
    if ([...own].some(({ lane }) => lane === LATE_LANE)) return true;
    return this.#listPeerRows(target, nowMs)
      .some(({ row, ageMs }) =>
        (row[LANE_OFFSET + LATE_LANE] as number) > ageMs
      );
  }

  /** Sums the runs in progress at a target over all VMs. */
  getRunLoad(target: string, nowMs: number): RunLoad {
    const own = this.#ownWork.get(target);
    let runs = own?.runs ?? 0;
    let kvTokens = own?.kvTokens ?? 0;
    for (const { row } of this.#listPeerRows(target, nowMs)) {
      runs += row[1];
      kvTokens += row[2];
    }
    return { runs, kvTokens };
  }

  /** Lists this VM's own work for its peers. */
  listOwnRows(nowMs: number): WorkRow[] {
    const rows: WorkRow[] = [];
    for (const [target, work] of this.#ownWork) {
      const lanes = new Array<number>(LANE_COUNT).fill(0);
      for (const entry of work.prefills) {
        lanes[entry.lane] += computeRemainingMs(entry, nowMs);
      }
      rows.push([target, work.runs, work.kvTokens, ...lanes.map(Math.round)]);
    }
    return rows;
  }

  /** Removes the work of a peer that has stopped, or whose work another peer reports now. */
  forgetPeer(peer: string): void {
    this.#version++;
    const existing = this.#peerWork.get(peer);
    if (existing === undefined) return;
    this.#peerWork.delete(peer);
    for (const [target] of existing.rows) {
      const byPeer = this.#peerRows.get(target);
      byPeer?.delete(peer);
      if (byPeer?.size === 0) this.#peerRows.delete(target);
    }
  }

  /** Removes the work of all peers, because their reports change their form. */
  forgetAllPeers(): void {
    for (const peer of [...this.#peerWork.keys()]) this.forgetPeer(peer);
  }

  /** Sums the work of this VM and its peers by target, with or without aggregated work. */
  sumRows(nowMs: number, includeGathered: boolean): WorkRow[] {
    const sums = new Map<string, number[]>();
    const add = ([id, ...values]: WorkRow, ageMs: number): void => {
      const sum = sums.get(id);
      const aged = values.map((value, i) =>
        i < LANE_OFFSET - 1 ? value : Math.max(0, Math.round(value - ageMs))
      );
      if (sum === undefined) sums.set(id, aged);
      else aged.forEach((value, i) => sum[i] += value);
    };
    for (const row of this.listOwnRows(nowMs)) add(row, 0);
    for (const [peer, { atMs, rows, scope }] of this.#peerWork) {
      const ageMs = nowMs - atMs;
      if (ageMs > PEER_TIMEOUT_MS) {
        this.forgetPeer(peer);
        continue;
      }
      if (scope === "gathered" && !includeGathered) continue;
      for (const row of rows) add(row, ageMs);
    }
    return [...sums].map(([id, [runs, kvTokens, ...lanes]]): WorkRow => [
      id,
      runs,
      kvTokens,
      ...lanes,
    ]);
  }

  #listPeerRows(
    target: string,
    nowMs: number,
  ): { row: WorkRow; ageMs: number }[] {
    const rows: { row: WorkRow; ageMs: number }[] = [];
    for (const { row, atMs } of this.#peerRows.get(target)?.values() ?? []) {
      const ageMs = nowMs - atMs;
      if (ageMs <= PEER_TIMEOUT_MS) rows.push({ row, ageMs });
    }
    return rows;
  }

  #notifyOwnChange(): void {
    this.#version++;
    for (const listener of this.#listeners) listener();
  }

  #getOrCreate(target: string): OwnWork {
    let work = this.#ownWork.get(target);
    if (work === undefined) {
      work = { prefills: new Set(), runs: 0, kvTokens: 0 };
      this.#ownWork.set(target, work);
    }
    return work;
  }

  #removeIfIdle(target: string, work: OwnWork): void {
    if (work.runs > 0 || work.prefills.size > 0) return;
    if (this.#ownWork.get(target) === work) this.#ownWork.delete(target);
  }
}

/** Subtracts a VM's own rows from a sum, which leaves the work of the other VMs. */
export function subtractRows(
  sum: readonly WorkRow[],
  own: readonly WorkRow[],
): WorkRow[] {
  const ownById = new Map(own.map((row) => [row[0], row]));
  return sum.map((row): WorkRow => {
    const part = ownById.get(row[0]);
    if (part === undefined) return row;
    const [id, ...values] = row;
    const [runs, kvTokens, ...lanes] = values.map((value, i) =>
      Math.max(0, value - (part[i + 1] as number))
    );
    return [id, runs, kvTokens, ...lanes];
  });
}

/** Remaining prefill time of a prompt, or the bounded time by which its response is overdue. */
function computeRemainingMs(entry: PrefillEntry, nowMs: number): number {
  const { costMs, finishAtMs, responseDueAtMs } = entry;
  if (nowMs <= finishAtMs) return Math.min(costMs, finishAtMs - nowMs);
  const overdueMs = Math.max(0, nowMs - responseDueAtMs);
  return Math.min(overdueMs, MAX_OVERDUE_MS);
}

function sumLanes(row: WorkRow): number {
  let total = 0;
  for (let i = LANE_OFFSET; i < row.length; i++) total += row[i] as number;
  return total;
}
