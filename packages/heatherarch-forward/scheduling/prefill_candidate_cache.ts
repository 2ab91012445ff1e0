/**
 * The engines that may read prompts now, each with what it has still to read, worked out once for
 * prompts that are placed one after another.
 *
 * Pattern of load: in a burst a VM has ten and more prompts waiting and looks for engines some
 * tens of times a second. The prompts of one look share what is worked out for all of 82 engines.
 *
 * @module
 */
import type { CallContext } from "../calls/call_context.ts";
import { listAvailableEngines } from "./engine_selection.ts";
import type { Target } from "../model.ts";
import type { PrefillCandidate } from "./prompt_placement.ts";

/** A board as it was seen at some time. */
interface Seen {
  readonly service: string;
  readonly atMs: number;
  /** Version of the ledger that the backlogs follow from. */
  readonly version: number;
  readonly serving: readonly Target[];
  readonly candidates: readonly PrefillCandidate[];
  readonly readers: readonly Target[];
}

/** Time for which a board holds while nothing is given to engines, milliseconds: one look. */
const MAX_AGE_MS = 2;
const NONE: ReadonlySet<string> = new Set();

/** The board of one VM. */
export class PrefillCandidateCache {
  #seen: Seen | undefined;

  /** Engines that may read the prompt of `run` now, but for those in `tried`. */
  listCandidates(
    run: CallContext,
    tried: ReadonlySet<string>,
  ): readonly PrefillCandidate[] {
    const { candidates } = this.#look(run);
    if (!candidates.some(({ target }) => tried.has(target.id))) {
      return candidates;
    }
    return buildCandidates(run, tried);
  }

  /** All engines of the service that read, also those that may get nothing now. */
  listPrefillEngines(run: CallContext): readonly Target[] {
    return this.#look(run).readers;
  }

  #look(run: CallContext): Seen {
    const { directory, workTracker: ledger } = run.dependencies;
    const { name } = run.service;
    const serving = directory.listServing(name);
    const seen = this.#seen;
    const isCurrent = seen !== undefined && seen.service === name &&
      seen.version === ledger.version && seen.serving === serving &&
      run.nowMs - seen.atMs <= MAX_AGE_MS;
    if (isCurrent) return seen;
    this.#seen = {
      service: name,
      atMs: run.nowMs,
      version: ledger.version,
      serving,
      candidates: buildCandidates(run, NONE),
      readers: serving.filter((target) => target.role === "prefill"),
    };
    return this.#seen;
  }
}

function buildCandidates(
  run: CallContext,
  tried: ReadonlySet<string>,
): PrefillCandidate[] {
  const { workTracker: ledger } = run.dependencies;
  const nowMs = run.nowMs;
  return listAvailableEngines(run, "reading", tried).map((target) => ({
    target,
    backlogMs: ledger.getPrefillBacklogMs(target.id, nowMs),
  }));
}
