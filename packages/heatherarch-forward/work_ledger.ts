/**
 * Work in progress at each target, over all VMs: this VM's own by the call, the others' as
 * they last told. Pure: time comes in with each update.
 *
 * Reports of engines lag behind by the time of several prompts, and each VM gives only a small
 * part of the work. The sum of what was given and not yet answered is known at once.
 *
 * @module
 */

/** Work of one VM at one target, as told to peers: id, prompt milliseconds, runs, KV tokens. */
export type WorkRow = readonly [string, number, number, number];

/** Work in progress at one target. */
export interface TargetWork {
  /** Time until the prompts given so far are read, milliseconds. */
  readonly readMs: number;
  /** Runs in progress. */
  readonly runs: number;
  /** KV tokens that those runs hold. */
  readonly kvTokens: number;
}

interface ReadEntry {
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

/** The ledger of one VM. */
export class WorkLedger {
  readonly #own = new Map<string, OwnWork>();
  readonly #peers = new Map<string, PeerWork>();

  /** A prompt was given to a target; returns what ends the entry. */
  beginRead(target: string, costMs: number, nowMs: number): () => void {
    const work = this.#open(target);
    const waitMs = this.getWork(target, nowMs).readMs;
    const entry = { costMs, finishAtMs: nowMs + waitMs + costMs };
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

  /** Work in progress at a target, over all VMs. */
  getWork(target: string, nowMs: number): TargetWork {
    const own = this.#own.get(target);
    let readMs = own === undefined ? 0 : sumReads(own.reads, nowMs);
    let runs = own?.runs ?? 0;
    let kvTokens = own?.kvTokens ?? 0;
    for (const [peer, work] of this.#peers) {
      const ageMs = nowMs - work.atMs;
      if (ageMs > PEER_SILENCE_MS) {
        this.#peers.delete(peer);
        continue;
      }
      const row = work.rows.get(target);
      if (row === undefined) continue;
      readMs += Math.max(0, row[1] - ageMs);
      runs += row[2];
      kvTokens += row[3];
    }
    return { readMs, runs, kvTokens };
  }

  /** Runs of this VM alone at a target. */
  countOwnRuns(target: string): number {
    return this.#own.get(target)?.runs ?? 0;
  }

  /** This VM's own work, for its peers. */
  listOwnRows(nowMs: number): WorkRow[] {
    const rows: WorkRow[] = [];
    for (const [target, work] of this.#own) {
      const readMs = Math.round(sumReads(work.reads, nowMs));
      rows.push([target, readMs, work.runs, work.kvTokens]);
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
    if (work.runs === 0 && work.reads.size === 0) this.#own.delete(target);
  }
}

/**
 * What is left of the prompts given. One that is overdue counts for the time by which it is:
 * a target that has stopped answering fills up by itself.
 */
function sumReads(reads: ReadonlySet<ReadEntry>, nowMs: number): number {
  let sum = 0;
  for (const { costMs, finishAtMs } of reads) {
    sum += nowMs <= finishAtMs
      ? Math.min(costMs, finishAtMs - nowMs)
      : nowMs - finishAtMs;
  }
  return sum;
}
