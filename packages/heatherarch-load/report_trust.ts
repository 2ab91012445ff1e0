/**
 * Finds targets whose load reports are contradicted by the time that their work takes.
 *
 * Guards against targets that report the usual speed while they are slow, which would attract all
 * calls. The module has no clock: each call carries the time.
 *
 * @module
 */

/** Work that a target has completed, with the time that its reports indicated. */
export interface CompletedWork {
  readonly tookMs: number;
  /** Usual time x own speed x reported slowdown, milliseconds. */
  readonly indicatedMs: number;
}

interface Evidence {
  readonly recent: CompletedWork[];
  ignoredUntilMs: number;
}

/** Number of last calls of a target that are compared with its reports. */
const COMPARED_CALLS = 8;
/**
 * Reports are ignored if work takes longer than indicated by more than this factor. A call that is
 * sent just before the target changes to a slowdown of 2.5 stays below it.
 */
const MAX_CONTRADICTION = 3;
/** Time for which the reports of such a target are ignored, milliseconds. */
const IGNORE_MS = 10_000;

/** Decides whose reports are believed. */
export class ReportTrust {
  readonly #evidence = new Map<string, Evidence>();

  /** Records completed work. Returns whether the target's reports are ignored from now on. */
  recordWork(target: string, work: CompletedWork, nowMs: number): boolean {
    const evidence = this.#getOrCreate(target);
    if (nowMs < evidence.ignoredUntilMs) return false;
    evidence.recent.push(work);
    if (evidence.recent.length > COMPARED_CALLS) evidence.recent.shift();
    if (!isContradicted(evidence.recent)) return false;
    evidence.recent.length = 0;
    evidence.ignoredUntilMs = nowMs + IGNORE_MS;
    return true;
  }

  /** Whether the reports of a target are believed now. */
  isTrusted(target: string, nowMs: number): boolean {
    const evidence = this.#evidence.get(target);
    return evidence === undefined || nowMs >= evidence.ignoredUntilMs;
  }

  /** Drops what is known of an incarnation that has ended. */
  forget(target: string): void {
    this.#evidence.delete(target);
  }

  #getOrCreate(target: string): Evidence {
    let evidence = this.#evidence.get(target);
    if (evidence === undefined) {
      evidence = { recent: [], ignoredUntilMs: -Infinity };
      this.#evidence.set(target, evidence);
    }
    return evidence;
  }
}

function isContradicted(recent: readonly CompletedWork[]): boolean {
  if (recent.length < COMPARED_CALLS) return false;
  let tookMs = 0;
  let indicatedMs = 0;
  for (const work of recent) {
    tookMs += work.tookMs;
    indicatedMs += work.indicatedMs;
  }
  return tookMs > indicatedMs * MAX_CONTRADICTION;
}
