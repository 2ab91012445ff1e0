/**
 * Work in progress at each target, over all VMs: this VM's own by the call, the others' as
 * they last told. Pure: time comes in with each update.
 *
 * Reports of engines lag behind by the time of several prompts, and each VM gives only a small
 * part of the work. The sum of what was given and not yet answered is known at once. An engine
 * with places left reads in the order of arrival, whatever the priority says, so the wait of a
 * prompt is all that was given before it.
 *
 * @module
 */

/** Lanes of prompts; lower ones are given to engines first. The last one is for late calls. */
export const LANE_COUNT = 4;
const LATE = LANE_COUNT - 1;

/** Work of one VM at one target, as told to peers: id, runs, KV tokens, milliseconds by lane. */
export type WorkRow = readonly [string, number, number, ...number[]];

/** Runs in progress at one target. */
export interface RunLoad {
  readonly runs: number;
  /** KV tokens that those runs hold. */
  readonly kvTokens: number;
}

interface ReadEntry {
  readonly lane: number;
  readonly costMs: number;
  readonly finishAtMs: number;
  /** When its answer is due: some time after the engine has gone on to other prompts. */
  readonly answerAtMs: number;
}

/** A prompt that is given to a target. */
export interface PrefillWork {
  /** Time for which it occupies the target, milliseconds. */
  readonly costMs: number;
  readonly lane: number;
  /** Time from the end of the reading to its answer, milliseconds; 0 by default. */
  readonly latencyMs?: number;
}

interface OwnWork {
  readonly reads: Set<ReadEntry>;
  runs: number;
  kvTokens: number;
}

interface PeerWork {
  readonly atMs: number;
  readonly rows: readonly WorkRow[];
  readonly scope: WorkScope;
}

/** What one peer told of one target, with the time for which it told it. */
interface PeerRow {
  readonly row: WorkRow;
  readonly atMs: number;
}

/**
 * Whose work a peer tells of: its own, or what it has gathered of VMs that this one has no link
 * to. Gathered work is passed on only to VMs of the own zone.
 */
export type WorkScope = "own" | "gathered";

/** A peer that has not told anything for this long is taken to have no work, milliseconds. */
const PEER_SILENCE_MS = 1500;
/** Fields of a row before the lanes. */
const ROW_HEAD = 3;
/** What a prompt that is overdue adds at most: an engine that has stopped answering fills up. */
const MAX_OVERDUE_MS = 400;

/** The ledger of one VM. */
export class WorkTracker {
  readonly #own = new Map<string, OwnWork>();
  readonly #peers = new Map<string, PeerWork>();
  /** Rows by target and peer: a hub has some 40 peers, of which few work at one target. */
  readonly #rows = new Map<string, Map<string, PeerRow>>();
  readonly #listeners = new Set<() => void>();
  #version = 0;

  /** Goes up with each change of what is known, but for the time that passes. */
  get version(): number {
    return this.#version;
  }

  /** Registers a listener for changes of this VM's own work and returns its undo. */
  registerOwnWorkListener(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /** A prompt was given to a target; returns what ends the entry. */
  beginPrefill(target: string, read: PrefillWork, nowMs: number): () => void {
    const { costMs, lane, latencyMs = 0 } = read;
    const finishAtMs = nowMs + this.getPrefillBacklogMs(target, nowMs) + costMs;
    const answerAtMs = finishAtMs + latencyMs;
    const work = this.#open(target);
    const entry = { lane, costMs, finishAtMs, answerAtMs };
    work.reads.add(entry);
    this.#noteOwnChange();
    return () => {
      if (!work.reads.delete(entry)) return;
      this.#sweep(target, work);
      this.#noteOwnChange();
    };
  }

  /** A run was given to a target; returns what ends the entry. */
  beginRun(target: string, kvTokens: number): () => void {
    const work = this.#open(target);
    work.runs++;
    work.kvTokens += kvTokens;
    this.#noteOwnChange();
    let open = true;
    return () => {
      if (!open) return;
      open = false;
      work.runs--;
      work.kvTokens -= kvTokens;
      this.#sweep(target, work);
      this.#noteOwnChange();
    };
  }

  /** Takes in all that a peer has in progress, or has gathered. */
  setPeerWork(
    peer: string,
    rows: readonly WorkRow[],
    nowMs: number,
    scope: WorkScope = "own",
  ): void {
    this.forgetPeer(peer);
    this.#peers.set(peer, { atMs: nowMs, scope, rows });
    for (const row of rows) {
      let byPeer = this.#rows.get(row[0]);
      if (byPeer === undefined) {
        byPeer = new Map();
        this.#rows.set(row[0], byPeer);
      }
      byPeer.set(peer, { row, atMs: nowMs });
    }
  }

  /** Time until a target has read all that it was given, milliseconds. */
  getPrefillBacklogMs(target: string, nowMs: number): number {
    let leftMs = 0;
    for (const entry of this.#own.get(target)?.reads ?? []) {
      leftMs += computeLeft(entry, nowMs);
    }
    for (const { row, ageMs } of this.#listPeerRows(target, nowMs)) {
      leftMs += Math.max(0, sumLanes(row) - ageMs);
    }
    return leftMs;
  }

  /** Whether a target reads the prompt of a late call. */
  hasLatePrefill(target: string, nowMs: number): boolean {
    const own = this.#own.get(target)?.reads ?? [];
    if ([...own].some(({ lane }) => lane === LATE)) return true;
    return this.#listPeerRows(target, nowMs)
      .some(({ row, ageMs }) => (row[ROW_HEAD + LATE] as number) > ageMs);
  }

  /** Runs in progress at a target, over all VMs. */
  getRunLoad(target: string, nowMs: number): RunLoad {
    const own = this.#own.get(target);
    let runs = own?.runs ?? 0;
    let kvTokens = own?.kvTokens ?? 0;
    for (const { row } of this.#listPeerRows(target, nowMs)) {
      runs += row[1];
      kvTokens += row[2];
    }
    return { runs, kvTokens };
  }

  /** This VM's own work, for its peers. */
  listOwnRows(nowMs: number): WorkRow[] {
    const rows: WorkRow[] = [];
    for (const [target, work] of this.#own) {
      const lanes = new Array<number>(LANE_COUNT).fill(0);
      for (const entry of work.reads) {
        lanes[entry.lane] += computeLeft(entry, nowMs);
      }
      rows.push([target, work.runs, work.kvTokens, ...lanes.map(Math.round)]);
    }
    return rows;
  }

  /** A peer has stopped, or another one tells of its work now. */
  forgetPeer(peer: string): void {
    this.#version++;
    const known = this.#peers.get(peer);
    if (known === undefined) return;
    this.#peers.delete(peer);
    for (const [target] of known.rows) {
      const byPeer = this.#rows.get(target);
      byPeer?.delete(peer);
      if (byPeer?.size === 0) this.#rows.delete(target);
    }
  }

  /** What peers tell comes in another form from now on. */
  forgetAllPeers(): void {
    for (const peer of [...this.#peers.keys()]) this.forgetPeer(peer);
  }

  /** This VM's work and its peers', summed by target; with or without gathered work. */
  sumRows(nowMs: number, withGathered: boolean): WorkRow[] {
    const sums = new Map<string, number[]>();
    const add = ([id, ...values]: WorkRow, ageMs: number): void => {
      const sum = sums.get(id);
      const aged = values.map((value, i) =>
        i < ROW_HEAD - 1 ? value : Math.max(0, Math.round(value - ageMs))
      );
      if (sum === undefined) sums.set(id, aged);
      else aged.forEach((value, i) => sum[i] += value);
    };
    for (const row of this.listOwnRows(nowMs)) add(row, 0);
    for (const [peer, { atMs, rows, scope }] of this.#peers) {
      const ageMs = nowMs - atMs;
      if (ageMs > PEER_SILENCE_MS) {
        this.forgetPeer(peer);
        continue;
      }
      if (scope === "gathered" && !withGathered) continue;
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
    for (const { row, atMs } of this.#rows.get(target)?.values() ?? []) {
      const ageMs = nowMs - atMs;
      if (ageMs <= PEER_SILENCE_MS) rows.push({ row, ageMs });
    }
    return rows;
  }

  #noteOwnChange(): void {
    this.#version++;
    for (const listener of this.#listeners) listener();
  }

  #open(target: string): OwnWork {
    let work = this.#own.get(target);
    if (work === undefined) {
      work = { reads: new Set(), runs: 0, kvTokens: 0 };
      this.#own.set(target, work);
    }
    return work;
  }

  #sweep(target: string, work: OwnWork): void {
    if (work.runs > 0 || work.reads.size > 0) return;
    if (this.#own.get(target) === work) this.#own.delete(target);
  }
}

/** What others have in progress: a sum less the part that is one's own. */
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

/** What is left of a prompt, or the time by which it is overdue. */
function computeLeft(entry: ReadEntry, nowMs: number): number {
  const { costMs, finishAtMs, answerAtMs } = entry;
  if (nowMs <= finishAtMs) return Math.min(costMs, finishAtMs - nowMs);
  const overdueMs = Math.max(0, nowMs - answerAtMs);
  return Math.min(overdueMs, MAX_OVERDUE_MS);
}

function sumLanes(row: WorkRow): number {
  let total = 0;
  for (let i = ROW_HEAD; i < row.length; i++) total += row[i] as number;
  return total;
}
