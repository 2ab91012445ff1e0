/**
 * Work in progress at each target, over all VMs: this VM's own by the call, the others' as
 * they last told. Pure: time comes in with each update.
 *
 * Reports of engines lag behind by the time of several prompts, and each VM gives only a small
 * part of the work. The sum of what was given and not yet answered is known at once. Engines
 * read urgent prompts first, so the wait of a prompt is the work of its own lane and of the
 * lanes before it.
 *
 * @module
 */

/** Lanes of prompts at an engine; lower ones are read first. The last one is for late calls. */
export const LANES = 4;

/** Work of one VM at one target, as told to peers: id, runs, KV tokens, milliseconds by lane. */
export type WorkRow = readonly [string, number, number, ...number[]];

/** Runs in progress at one target. */
export interface RunWork {
  readonly runs: number;
  /** KV tokens that those runs hold. */
  readonly kvTokens: number;
}

interface ReadEntry {
  readonly lane: number;
  readonly costMs: number;
  readonly finishAtMs: number;
}

interface OwnWork {
  readonly reads: Set<ReadEntry>;
  runs: number;
  kvTokens: number;
}

interface PeerWork {
  readonly atMs: number;
  readonly rows: Map<string, WorkRow>;
}

/** A peer that has not told anything for this long is taken to have no work, milliseconds. */
const PEER_SILENCE_MS = 1500;
/** Fields of a row before the lanes. */
const ROW_HEAD = 3;
/**
 * What a prompt that is overdue adds at most. An engine that has stopped answering fills up by
 * itself; one that reads urgent prompts first is not mistaken for it.
 */
const MAX_OVERDUE_MS = 400;

/**
 * What a prompt of a later lane holds an engine up at most: it is read in pieces of 4,096 tokens,
 * and the piece in progress is finished first (66 ms, and attention over what came before).
 */
const PIECE_MS = 80;

/** The ledger of one VM. */
export class WorkLedger {
  readonly #own = new Map<string, OwnWork>();
  readonly #peers = new Map<string, PeerWork>();

  /** A prompt was given to a target; returns what ends the entry. */
  beginRead(
    target: string,
    costMs: number,
    lane: number,
    nowMs: number,
  ): () => void {
    const waitMs = this.getReadMs(target, lane, nowMs);
    const work = this.#open(target);
    const entry = { lane, costMs, finishAtMs: nowMs + waitMs + costMs };
    work.reads.add(entry);
    return () => {
      if (work.reads.delete(entry)) this.#sweep(target, work);
    };
  }

  /** A run was given to a target; returns what ends the entry. */
  beginRun(target: string, kvTokens: number): () => void {
    const work = this.#open(target);
    work.runs++;
    work.kvTokens += kvTokens;
    let open = true;
    return () => {
      if (!open) return;
      open = false;
      work.runs--;
      work.kvTokens -= kvTokens;
      this.#sweep(target, work);
    };
  }

  /** Takes in all that a peer has in progress. */
  notePeer(peer: string, rows: readonly WorkRow[], nowMs: number): void {
    this.#peers.set(peer, {
      atMs: nowMs,
      rows: new Map(rows.map((row) => [row[0], row])),
    });
  }

  /** Time until a target has read what comes before a new prompt of `lane`, milliseconds. */
  getReadMs(target: string, lane: number, nowMs: number): number {
    let beforeMs = 0;
    let behindMs = 0;
    for (const entry of this.#own.get(target)?.reads ?? []) {
      const leftMs = computeLeft(entry, nowMs);
      if (entry.lane <= lane) beforeMs += leftMs;
      else behindMs += leftMs;
    }
    for (const { row, ageMs } of this.#listPeerRows(target, nowMs)) {
      const lanes = row.slice(ROW_HEAD) as number[];
      const peerMs = sum(lanes.slice(0, lane + 1));
      beforeMs += Math.max(0, peerMs - ageMs);
      behindMs += sum(lanes.slice(lane + 1));
    }
    return beforeMs + Math.min(behindMs, PIECE_MS);
  }

  /** Runs in progress at a target, over all VMs. */
  getRuns(target: string, nowMs: number): RunWork {
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
      const lanes = new Array<number>(LANES).fill(0);
      for (const entry of work.reads) {
        lanes[entry.lane] += computeLeft(entry, nowMs);
      }
      rows.push([target, work.runs, work.kvTokens, ...lanes.map(Math.round)]);
    }
    return rows;
  }

  #listPeerRows(
    target: string,
    nowMs: number,
  ): { row: WorkRow; ageMs: number }[] {
    const rows: { row: WorkRow; ageMs: number }[] = [];
    for (const [peer, work] of this.#peers) {
      const ageMs = nowMs - work.atMs;
      if (ageMs > PEER_SILENCE_MS) {
        this.#peers.delete(peer);
        continue;
      }
      const row = work.rows.get(target);
      if (row !== undefined) rows.push({ row, ageMs });
    }
    return rows;
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

/** What is left of a prompt, or the time by which it is overdue. */
function computeLeft(entry: ReadEntry, nowMs: number): number {
  const { costMs, finishAtMs } = entry;
  if (nowMs <= finishAtMs) return Math.min(costMs, finishAtMs - nowMs);
  return Math.min(nowMs - finishAtMs, MAX_OVERDUE_MS);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
